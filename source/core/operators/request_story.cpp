#include "operators/request_story.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <initializer_list>
#include <iterator>

#include <boost/json.hpp>

namespace reedramp::operators {

namespace json = boost::json;

namespace {

/// Fields whose value is the rest of the line.
constexpr auto open_fields = std::to_array<std::string_view>({"detail", "what"});

/// Words before and after which nothing more is known of a request.
constexpr std::string_view ended = "ended";
constexpr std::string_view refused = "refused";
constexpr std::string_view lost = "attempt lost";
constexpr std::string_view barred = "request barred";
constexpr std::string_view sent = "sent";

/// Takes the text up to the next space off `rest`.
auto take_word(std::string_view& rest) -> std::string_view
{
    const auto word = rest.substr(0, rest.find(' '));
    rest.remove_prefix(std::min(word.size() + 1, rest.size()));
    return word;
}

auto parse_seconds(std::string_view text) -> std::optional<double>
{
    double value = 0.0;
    const auto* end = text.data() + text.size();
    const auto [stopped, problem] = std::from_chars(text.data(), end, value);
    return problem == std::errc{} && stopped == end ? std::optional{value} : std::nullopt;
}

auto parse_sentence(std::string_view rest, log_line& into) -> void
{
    while (!rest.empty()) {
        const auto whole = rest;
        const auto word = take_word(rest);
        const auto split = word.find('=');
        if (split == std::string_view::npos) {
            into.what += into.what.empty() ? "" : " ";
            into.what += word;
            continue;
        }
        const auto name = word.substr(0, split);
        const bool is_open = std::ranges::find(open_fields, name) != open_fields.end();
        into.fields[std::string{name}] = is_open ? whole.substr(split + 1) : word.substr(split + 1);
        if (is_open) {
            return;
        }
    }
}

auto explanation_of(const std::string& name) -> std::string
{
    const auto rows = common::result_table();
    const auto row = std::ranges::find(rows, name, &common::result_row::name);
    return row == rows.end() ? name : std::string{row->explanation};
}

/// The newest of the lines for which `is_meant` holds; null without one.
template <typename Predicate>
auto newest(const std::vector<log_line>& lines, Predicate is_meant) -> const log_line*
{
    const auto found = std::find_if(lines.rbegin(), lines.rend(), is_meant);
    return found == lines.rend() ? nullptr : &*found;
}

/// What went wrong with a send, where the line tells of that.
auto trouble_of(const log_line& line) -> std::optional<std::string>
{
    const auto server = line.field("server");
    if (line.what == lost) {
        return "server " + server + " was lost (" + line.field("detail") + ")";
    }
    if (line.what == "stalled") {
        return "server " + server + " fell silent";
    }
    if (line.what == "answer not trusted") {
        return "server " + server + " answered something that is not its own";
    }
    if (line.what == "server refused") {
        return "server " + server + " refused it, status " + line.field("status");
    }
    if (line.what == "server failed") {
        return "server " + server + " failed, status " + line.field("status");
    }
    return std::nullopt;
}

auto cause_of_end(const std::vector<log_line>& lines, const log_line& end) -> std::string
{
    const auto how = end.field("how");
    const auto* last_send = newest(lines, [](const log_line& line) { return line.what == sent; });
    if (how == "served" && last_send != nullptr) {
        return "server " + last_send->field("server") + " of version " +
               last_send->field("version") + " answered, at send " + last_send->field("send");
    }
    if (how == "caller_left") {
        return "its caller closed the connection";
    }
    const auto* trouble =
        newest(lines, [](const log_line& line) { return trouble_of(line).has_value(); });
    const auto last = trouble == nullptr ? std::string{} : " Last, " + *trouble_of(*trouble) + ".";
    return explanation_of(how) + last;
}

/// Where the request was lost, under whatever id; empty if nowhere.
auto losses_of_copies(const std::vector<log_line>& lines) -> std::string
{
    std::string servers;
    for (const auto& line : lines) {
        if (line.what == lost) {
            servers += (servers.empty() ? "" : ", ") + line.field("server");
        }
    }
    return servers.empty() ? ""
                           : " In these logs copies of it were lost with servers " + servers + ".";
}

auto find_end(request_story& story) -> void
{
    const auto* end = newest(story.lines, [](const log_line& line) { return line.what == ended; });
    const auto* turned_away =
        newest(story.lines, [](const log_line& line) { return line.what == refused; });
    if (end != nullptr) {
        story.end = end->field("how");
        story.cause = cause_of_end(story.lines, *end);
    }
    else if (turned_away != nullptr) {
        story.end = turned_away->field("why");
        story.cause = "refused before it was sent anywhere: " + explanation_of(story.end) +
                      losses_of_copies(story.lines);
    }
    else {
        story.end = "unknown";
        story.cause = "no end in these logs: its entry ended before it did, or lines were dropped";
    }
}

/// The print of a request that was refused since it ends servers. Why it was stands in lines about
/// its copies, which bear other ids.
auto barred_print(const std::string& request, const std::vector<log_line>& logs) -> std::string
{
    const auto* turned_away = newest(logs, [&request](const log_line& line) {
        return line.what == refused && line.field("request") == request;
    });
    return turned_away == nullptr ? std::string{} : turned_away->field("print");
}

auto time_text(double time) -> std::string
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", time);
    return text.data();
}

} // namespace

auto log_line::field(const std::string& name) const -> std::string
{
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? std::string{} : found->second;
}

auto parse_log_line(std::string_view text) -> std::optional<log_line>
{
    log_line line;
    const auto level = take_word(text);
    const auto time = parse_seconds(take_word(text));
    const auto part = take_word(text);
    if (level.size() != 1 || !time || part.size() < 2 || !part.ends_with(':')) {
        return std::nullopt;
    }
    line.level = level.front();
    line.time = *time;
    line.part = part.substr(0, part.size() - 1);
    parse_sentence(text, line);
    return line;
}

auto tell_request(const std::string& request, const std::vector<log_line>& logs)
    -> common::result<request_story>
{
    request_story story;
    story.request = request;
    const auto print = barred_print(request, logs);
    std::ranges::copy_if(logs, std::back_inserter(story.lines), [&](const log_line& line) {
        const bool is_of_copy = !print.empty() && line.field("print") == print &&
                                (line.what == lost || line.what == barred);
        return line.field("request") == request || is_of_copy;
    });
    if (story.lines.empty()) {
        return common::failure(
            common::result_code::not_found, "no line of these logs names the request");
    }
    // Stable: lines of one entry within a millisecond stay in the order in which it wrote them.
    std::ranges::stable_sort(story.lines, {}, &log_line::time);
    find_end(story);
    return story;
}

auto story_text(const request_story& story) -> std::string
{
    std::string text;
    const auto add = [&text](std::initializer_list<std::string_view> pieces) {
        for (const auto piece : pieces) {
            text += piece;
        }
    };
    add({"request ", story.request, ": ", story.end, "\n", story.cause, "\n"});
    for (const auto& line : story.lines) {
        add({"  ", time_text(line.time), " ", line.source, " ", line.part, ": ", line.what});
        for (const auto& [name, value] : line.fields) {
            if (name != "request") {
                add({" ", name, "=", value});
            }
        }
        text += "\n";
    }
    return text;
}

auto story_json(const request_story& story) -> std::string
{
    json::array lines;
    for (const auto& line : story.lines) {
        json::object fields;
        for (const auto& [name, value] : line.fields) {
            fields[name] = value;
        }
        lines.push_back(json::object{
            {"time", line.time},
            {"source", line.source},
            {"level", std::string(1, line.level)},
            {"part", line.part},
            {"what", line.what},
            {"fields", std::move(fields)}});
    }
    return json::serialize(json::object{
        {"request", story.request},
        {"end", story.end},
        {"cause", story.cause},
        {"lines", std::move(lines)}});
}

} // namespace reedramp::operators
