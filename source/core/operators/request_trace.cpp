#include "operators/request_trace.hpp"

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

/// Keys whose value extends to the end of the line.
constexpr auto rest_of_line_fields = std::to_array<std::string_view>({"detail", "what"});

// Messages of the router's log from which the outcome of a request is derived. Logs of older
// releases contain the same texts.
constexpr std::string_view ended = "ended";
constexpr std::string_view refused = "refused";
constexpr std::string_view lost = "attempt lost";
constexpr std::string_view barred = "request barred";
constexpr std::string_view sent = "sent";
constexpr std::string_view accepted = "answer accepted";
constexpr std::string_view held = "held";
constexpr std::string_view deferred = "deferred";

/// Component of the lines of overload control's decisions.
constexpr std::string_view policy = "policy";

/// Removes the first word and the space after it from `rest`, and returns the word.
auto take_next_word(std::string_view& rest) -> std::string_view
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

auto parse_message(std::string_view rest, log_line& into) -> void
{
    while (!rest.empty()) {
        const auto whole = rest;
        const auto word = take_next_word(rest);
        const auto split = word.find('=');
        if (split == std::string_view::npos) {
            into.message += into.message.empty() ? "" : " ";
            into.message += word;
            continue;
        }
        const auto name = word.substr(0, split);
        const bool is_rest_of_line =
            std::ranges::find(rest_of_line_fields, name) != rest_of_line_fields.end();
        into.fields[std::string{name}] =
            is_rest_of_line ? whole.substr(split + 1) : word.substr(split + 1);
        if (is_rest_of_line) {
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

/// The last of the lines for which `matches` is true; null if there is none.
template <typename Predicate>
auto find_newest(const std::vector<log_line>& lines, Predicate matches) -> const log_line*
{
    const auto found = std::find_if(lines.rbegin(), lines.rend(), matches);
    return found == lines.rend() ? nullptr : &*found;
}

/// Describes a failed send; empty if the line does not report one.
auto describe_failure(const log_line& line) -> std::optional<std::string>
{
    const auto server = line.field("server");
    if (line.message == lost) {
        return "server " + server + " was lost (" + line.field("detail") + ")";
    }
    if (line.message == "stalled") {
        return "server " + server + " stopped sending its answer";
    }
    if (line.message == "answer not trusted") {
        return "server " + server + " sent an answer that failed verification";
    }
    if (line.message == "server refused") {
        return "server " + server + " refused it, status " + line.field("status");
    }
    if (line.message == "server failed") {
        return "server " + server + " failed with status " + line.field("status");
    }
    return std::nullopt;
}

/// Why the answer of this model was passed on, with the inputs of that decision; empty if no model
/// was chosen.
auto describe_accepted_model(const std::vector<log_line>& lines) -> std::string
{
    const auto* line =
        find_newest(lines, [](const log_line& one) { return one.message == accepted; });
    if (line == nullptr) {
        return "";
    }
    const auto pressure = line->field("pressure");
    return ". The answer of model " + line->field("model") + " was passed on: its confidence was " +
           line->field("confidence") + ", " + line->field("asked") + " was required" +
           (pressure.empty() ? "" : " at a pressure of " + pressure);
}

/// What overload control last decided on the request, with the inputs of that decision; empty if
/// it was sent as usual.
auto describe_admission(const std::vector<log_line>& lines) -> std::string
{
    const auto* line = find_newest(lines, [](const log_line& one) {
        return one.component == policy &&
               (one.message == held || one.message == deferred || one.message == refused);
    });
    return line == nullptr
               ? std::string{}
               : " It was " + line->message + " for \"" + line->field("why") +
                     "\" at a pressure of " + line->field("pressure") +
                     ", with its end expected after " + line->field("expected_ms") + " ms.";
}

/// Why the request was sent less urgent than its rank says; empty if it was not.
auto describe_excess(const log_line& last_send) -> std::string
{
    const auto excess = last_send.field("excess");
    return excess.empty() ? ""
                          : ". Its organisation used " + excess +
                                " times its fair share, so it was sent one step less urgent";
}

auto describe_cause(const std::vector<log_line>& lines, const log_line& end) -> std::string
{
    const auto how = end.field("how");
    const auto* last_send =
        find_newest(lines, [](const log_line& line) { return line.message == sent; });
    if (how == "served" && last_send != nullptr) {
        const auto admission = describe_admission(lines);
        return "server " + last_send->field("server") + " of version " +
               last_send->field("version") + " answered on send " + last_send->field("send") +
               describe_accepted_model(lines) + describe_excess(*last_send) +
               (admission.empty() ? "" : "." + admission);
    }
    if (how == "caller_left") {
        return "the caller closed the connection";
    }
    const auto* failed_send =
        find_newest(lines, [](const log_line& line) { return describe_failure(line).has_value(); });
    const auto last = failed_send == nullptr
                          ? std::string{}
                          : " Last failure: " + *describe_failure(*failed_send) + ".";
    return explanation_of(how) + describe_admission(lines) + last;
}

/// Lists the servers at which attempts of the request were lost, under any request id; empty if
/// there are none.
auto describe_lost_copies(const std::vector<log_line>& lines) -> std::string
{
    std::string servers;
    for (const auto& line : lines) {
        if (line.message == lost) {
            servers += (servers.empty() ? "" : ", ") + line.field("server");
        }
    }
    return servers.empty()
               ? ""
               : " In these logs, attempts with the same fingerprint were lost at servers " +
                     servers + ".";
}

/// Value of the field in the newest of the request's own lines that has it.
auto newest_value(const request_trace& trace, const std::string& name) -> std::string
{
    const auto* line = find_newest(trace.lines, [&](const log_line& one) {
        return one.field("request") == trace.request && !one.field(name).empty();
    });
    return line == nullptr ? std::string{} : line->field(name);
}

auto set_end_and_cause(request_trace& trace) -> void
{
    const auto* end =
        find_newest(trace.lines, [](const log_line& line) { return line.message == ended; });
    // Overload control may refuse a request that was sent before; only its end shows that.
    const auto* refusal = find_newest(trace.lines, [](const log_line& line) {
        return line.message == refused && line.component != policy;
    });
    if (end != nullptr) {
        trace.end = end->field("how");
        trace.cause = describe_cause(trace.lines, *end);
    }
    else if (refusal != nullptr) {
        trace.end = refusal->field("why");
        trace.cause = "refused before it was sent to a server: " + explanation_of(trace.end) +
                      describe_lost_copies(trace.lines);
    }
    else {
        trace.end = "unknown";
        trace.cause = "no end in these logs: the entry stopped before the request ended, or lines "
                      "were dropped";
    }
}

/// Fingerprint of a request that was refused because it crashes servers; empty for other requests.
/// The lines that show the crashes are about earlier attempts with other request ids.
auto barred_fingerprint(const std::string& request, const std::vector<log_line>& logs)
    -> std::string
{
    const auto* refusal = find_newest(logs, [&request](const log_line& line) {
        return line.message == refused && line.field("request") == request;
    });
    return refusal == nullptr ? std::string{} : refusal->field("print");
}

auto format_time(double time) -> std::string
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
    const auto level = take_next_word(text);
    const auto time = parse_seconds(take_next_word(text));
    const auto component = take_next_word(text);
    if (level.size() != 1 || !time || component.size() < 2 || !component.ends_with(':')) {
        return std::nullopt;
    }
    line.level = level.front();
    line.time = *time;
    line.component = component.substr(0, component.size() - 1);
    parse_message(text, line);
    return line;
}

auto build_request_trace(const std::string& request, const std::vector<log_line>& logs)
    -> common::result<request_trace>
{
    request_trace trace;
    trace.request = request;
    const auto fingerprint = barred_fingerprint(request, logs);
    std::ranges::copy_if(logs, std::back_inserter(trace.lines), [&](const log_line& line) {
        const bool is_of_copy = !fingerprint.empty() && line.field("print") == fingerprint &&
                                (line.message == lost || line.message == barred);
        return line.field("request") == request || is_of_copy;
    });
    if (trace.lines.empty()) {
        return common::failure(
            common::result_code::not_found, "no line of these logs contains the request id");
    }
    // A stable sort keeps the order of lines that one entry wrote within the same millisecond.
    std::ranges::stable_sort(trace.lines, {}, &log_line::time);
    set_end_and_cause(trace);
    trace.organisation = newest_value(trace, "organisation");
    trace.rank = newest_value(trace, "rank");
    return trace;
}

auto trace_text(const request_trace& trace) -> std::string
{
    std::string text;
    const auto add = [&text](std::initializer_list<std::string_view> parts) {
        for (const auto part_text : parts) {
            text += part_text;
        }
    };
    add({"request ", trace.request, ": ", trace.end, "\n", trace.cause, "\n"});
    if (!trace.organisation.empty()) {
        add({"organisation ", trace.organisation, "\n"});
    }
    if (!trace.rank.empty()) {
        add({"rank ", trace.rank, "\n"});
    }
    for (const auto& line : trace.lines) {
        add(
            {"  ",
             format_time(line.time),
             " ",
             line.source,
             " ",
             line.component,
             ": ",
             line.message});
        for (const auto& [name, value] : line.fields) {
            if (name != "request") {
                add({" ", name, "=", value});
            }
        }
        text += "\n";
    }
    return text;
}

auto trace_json(const request_trace& trace) -> std::string
{
    json::array lines;
    for (const auto& line : trace.lines) {
        json::object fields;
        for (const auto& [name, value] : line.fields) {
            fields[name] = value;
        }
        lines.push_back(json::object{
            {"time", line.time},
            {"source", line.source},
            {"level", std::string(1, line.level)},
            {"part", line.component},
            {"what", line.message},
            {"fields", std::move(fields)}});
    }
    return json::serialize(json::object{
        {"request", trace.request},
        {"end", trace.end},
        {"cause", trace.cause},
        {"organisation", trace.organisation},
        {"rank", trace.rank},
        {"lines", std::move(lines)}});
}

} // namespace reedramp::operators
