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

/// Calls `action` for each trimmed item of the comma-separated `text`.
template <typename Action>
auto for_each_item(std::string_view text, Action action) -> void
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
    for_each_item(text, [&parts](std::string_view piece) {
        const auto colon = piece.find(':');
        const auto tokens = colon == std::string_view::npos
                                ? std::nullopt
                                : parse_number<std::uint64_t>(piece.substr(colon + 1));
        parts.push_back({std::string{piece.substr(0, colon)}, tokens.value_or(0)});
    });
    return parts;
}

auto bad_header_error(std::string_view name) -> tl::unexpected<common::error>
{
    return common::failure(common::result_code::bad_header, std::string{name});
}

/// Whether the header is hop-by-hop (RFC 9110, 7.6.1). "Expect" is handled by this entry; a server
/// that saw it would send an interim response that nobody waits for.
auto is_hop_by_hop(std::string_view name) -> bool
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

/// Header names listed by the Connection headers.
auto connection_header_names(const std::vector<http::header>& headers) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& item : headers) {
        if (same_name(item.name, "Connection")) {
            for_each_item(
                item.value, [&names](std::string_view name) { names.emplace_back(name); });
        }
    }
    return names;
}

auto contains_name(const std::vector<std::string>& names, std::string_view name) -> bool
{
    return std::ranges::any_of(names, [name](const auto& one) { return same_name(one, name); });
}

} // namespace

auto read_caller_request(
    const http::request& request, const header_names& names, time_point received)
    -> common::result<caller_request>
{
    caller_request read;
    for (const auto& [name, value] : request.headers) {
        if (same_name(name, names.attempt)) {
            read.attempt = value;
        }
        else if (same_name(name, names.deadline_ms)) {
            const auto wait = parse_number<std::int64_t>(value);
            if (!wait) {
                return bad_header_error(name);
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
                return bad_header_error(name);
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
                return bad_header_error(name);
            }
            read.prompt_tokens = *prompt;
            read.max_answer_tokens = *answer;
        }
    }
    if (read.attempt.empty()) {
        return bad_header_error(names.attempt);
    }
    return read;
}

auto make_server_request(
    const http::request& request, const header_names& names, const forward_headers& added)
    -> http::request
{
    http::request sent;
    sent.method = request.method;
    sent.target = request.target;
    sent.body = request.body;
    const auto hop_by_hop = connection_header_names(request.headers);
    for (const auto& item : request.headers) {
        const bool is_replaced =
            same_name(item.name, names.key) || same_name(item.name, names.organisation) ||
            same_name(item.name, names.expected_server) ||
            same_name(item.name, names.deadline_ms) || same_name(item.name, names.urgency) ||
            same_name(item.name, last_event_header) ||
            (!added.model.empty() && same_name(item.name, names.model));
        // The attempt id is kept even if the caller's Connection header lists it.
        const bool is_needed = same_name(item.name, names.attempt) || same_name(item.name, "Host");
        const bool is_dropped = is_replaced || is_hop_by_hop(item.name) ||
                                contains_name(names.reserved, item.name) ||
                                contains_name(hop_by_hop, item.name);
        if (is_needed || !is_dropped) {
            sent.headers.push_back(item);
        }
    }
    sent.headers.push_back({names.deadline_ms, std::to_string(added.remaining.count())});
    sent.headers.push_back({names.expected_server, added.expected_server});
    if (!added.organisation.empty()) {
        sent.headers.push_back({names.organisation, added.organisation});
    }
    if (!added.model.empty()) {
        sent.headers.push_back({names.model, added.model});
    }
    if (added.urgency >= 0) {
        sent.headers.push_back({names.urgency, std::to_string(added.urgency)});
    }
    if (added.last_event >= 0) {
        sent.headers.push_back({std::string{last_event_header}, std::to_string(added.last_event)});
    }
    return sent;
}

auto make_caller_response(const http::response& answer) -> http::response
{
    http::response passed;
    passed.status = answer.status;
    const auto hop_by_hop = connection_header_names(answer.headers);
    for (const auto& item : answer.headers) {
        if (!is_hop_by_hop(item.name) && !contains_name(hop_by_hop, item.name)) {
            passed.headers.push_back(item);
        }
    }
    return passed;
}

} // namespace reedramp::router
