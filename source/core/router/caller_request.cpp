#include "router/caller_request.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace reedramp::router {

using http::same_name;

namespace {

constexpr std::string_view last_event_header = "Last-Event-Id";

auto trimmed(std::string_view text) -> std::string_view
{
    while (text.starts_with(' ')) {
        text.remove_prefix(1);
    }
    while (text.ends_with(' ')) {
        text.remove_suffix(1);
    }
    return text;
}

template <typename Number>
auto parse_number(std::string_view text) -> std::optional<Number>
{
    Number value{};
    const auto* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, value);
    if (parsed.ec != std::errc{} || parsed.ptr != last) {
        return std::nullopt;
    }
    return value;
}

/// Calls `action` for each piece of `text` between commas.
template <typename Action>
auto for_each_piece(std::string_view text, Action action) -> void
{
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        action(trimmed(text.substr(0, comma)));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
}

auto parse_parts(std::string_view text) -> std::vector<prompt_part>
{
    std::vector<prompt_part> parts;
    for_each_piece(text, [&parts](std::string_view piece) {
        const auto colon = piece.find(':');
        const auto tokens = colon == std::string_view::npos
                                ? std::nullopt
                                : parse_number<std::uint64_t>(piece.substr(colon + 1));
        parts.push_back({std::string{piece.substr(0, colon)}, tokens.value_or(0)});
    });
    return parts;
}

auto bad(std::string_view name) -> tl::unexpected<common::error>
{
    return common::failure(common::result_code::bad_header, std::string{name});
}

/// Headers of one connection (RFC 9110, 7.6.1). "Expect" is answered here; a server that saw it
/// would send an interim answer that nobody waits for.
auto concerns_one_connection(std::string_view name) -> bool
{
    static constexpr auto names = std::to_array<std::string_view>(
        {"Connection",
         "Keep-Alive",
         "Proxy-Connection",
         "Proxy-Authenticate",
         "Proxy-Authorization",
         "TE",
         "Trailer",
         "Transfer-Encoding",
         "Content-Length",
         "Upgrade",
         "Expect"});
    return std::ranges::any_of(names, [name](auto one) { return same_name(one, name); });
}

/// Names that the sender's own Connection header lists.
auto listed_by_connection(const std::vector<http::header>& headers) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& item : headers) {
        if (same_name(item.name, "Connection")) {
            for_each_piece(
                item.value, [&names](std::string_view name) { names.emplace_back(name); });
        }
    }
    return names;
}

auto holds(const std::vector<std::string>& names, std::string_view name) -> bool
{
    return std::ranges::any_of(names, [name](const auto& one) { return same_name(one, name); });
}

} // namespace

auto read_caller_request(const http::request& asked, const header_names& names, time_point received)
    -> common::result<caller_request>
{
    caller_request read;
    for (const auto& [name, value] : asked.headers) {
        if (same_name(name, names.attempt)) {
            read.attempt = value;
        }
        else if (same_name(name, names.deadline_ms)) {
            const auto wait = parse_number<std::int64_t>(value);
            if (!wait) {
                return bad(name);
            }
            read.deadline = received + std::chrono::milliseconds{*wait};
        }
        else if (same_name(name, names.key)) {
            read.key = value;
        }
        else if (same_name(name, names.model)) {
            read.model = value;
        }
        else if (same_name(name, names.session)) {
            read.session = value;
        }
        else if (same_name(name, names.prompt_parts)) {
            read.parts = parse_parts(value);
        }
        else if (same_name(name, names.expected_tokens)) {
            read.expected_answer_tokens = parse_number<std::uint64_t>(value).value_or(0);
        }
        else if (same_name(name, last_event_header)) {
            const auto id = parse_number<std::int64_t>(value);
            if (!id || *id < 0) {
                return bad(name);
            }
            read.last_event = *id;
        }
        else if (same_name(name, names.token_counts)) {
            const auto comma = value.find(',');
            const auto prompt = parse_number<std::uint64_t>(value.substr(0, comma));
            const auto answer = comma == std::string::npos
                                    ? std::nullopt
                                    : parse_number<std::uint64_t>(
                                          trimmed(std::string_view{value}.substr(comma + 1)));
            if (!prompt || !answer) {
                return bad(name);
            }
            read.prompt_tokens = *prompt;
            read.most_answer_tokens = *answer;
        }
    }
    if (read.attempt.empty()) {
        return bad(names.attempt);
    }
    return read;
}

auto make_forwarded(
    const http::request& asked, const header_names& names, const forward_headers& ours)
    -> http::request
{
    http::request sent;
    sent.method = asked.method;
    sent.target = asked.target;
    sent.body = asked.body;
    const auto listed = listed_by_connection(asked.headers);
    for (const auto& item : asked.headers) {
        const bool is_replaced =
            same_name(item.name, names.key) || same_name(item.name, names.organisation) ||
            same_name(item.name, names.expected_server) ||
            same_name(item.name, names.deadline_ms) || same_name(item.name, names.urgency) ||
            same_name(item.name, last_event_header) ||
            (!ours.model.empty() && same_name(item.name, names.model));
        // A caller that lists its attempt's id as a header of one connection must not make the
        // server lose it.
        const bool is_needed = same_name(item.name, names.attempt) || same_name(item.name, "Host");
        const bool is_dropped = is_replaced || concerns_one_connection(item.name) ||
                                holds(names.ours_alone, item.name) || holds(listed, item.name);
        if (is_needed || !is_dropped) {
            sent.headers.push_back(item);
        }
    }
    sent.headers.push_back({names.deadline_ms, std::to_string(ours.left.count())});
    sent.headers.push_back({names.expected_server, ours.expected_server});
    if (!ours.organisation.empty()) {
        sent.headers.push_back({names.organisation, ours.organisation});
    }
    if (!ours.model.empty()) {
        sent.headers.push_back({names.model, ours.model});
    }
    if (ours.urgency >= 0) {
        sent.headers.push_back({names.urgency, std::to_string(ours.urgency)});
    }
    if (ours.last_event >= 0) {
        sent.headers.push_back({std::string{last_event_header}, std::to_string(ours.last_event)});
    }
    return sent;
}

auto make_passed_on(const http::response& answer) -> http::response
{
    http::response passed;
    passed.status = answer.status;
    const auto listed = listed_by_connection(answer.headers);
    for (const auto& item : answer.headers) {
        if (!concerns_one_connection(item.name) && !holds(listed, item.name)) {
            passed.headers.push_back(item);
        }
    }
    return passed;
}

} // namespace reedramp::router
