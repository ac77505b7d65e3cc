#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"

namespace reedramp::operators {

/// One line of a router's log: "LEVEL SECONDS COMPONENT: MESSAGE key=value...".
struct log_line {
    /// First letter of the level: 'I' (info), 'W' (warning) and so on.
    char level = 'I';
    /// Wall-clock time of the host that wrote the line, in seconds since 1970.
    double time = 0.0;
    std::string component;
    /// Text without the key=value pairs.
    std::string message;
    std::map<std::string, std::string> fields;
    /// Name of the file that the line was read from, for display.
    std::string source;

    /// Value of a field; empty if the line does not have it.
    [[nodiscard]] auto field(const std::string& name) const -> std::string;
};

/// Empty if `text` is not a log line of a router.
auto parse_log_line(std::string_view text) -> std::optional<log_line>;

/// The log lines of one request and the outcome derived from them.
struct request_trace {
    std::string request;
    /// The request's lines from all logs, ordered by time.
    std::vector<log_line> lines;
    /// Result of the request: "served", "caller_left", the name of a result code, or "unknown".
    std::string end;
    /// Reason for the result, in a sentence.
    std::string cause;
    /// The caller's organisation and the request's rank (0 is the highest); empty if no line states
    /// them, as in logs of older releases.
    std::string organisation;
    std::string rank;
};

/// Collects the lines of `request` from logs of any number of entries, in any order, and derives
/// from them how and why the request ended. Errors: `not_found` if no line contains its id.
auto build_request_trace(const std::string& request, const std::vector<log_line>& logs)
    -> common::result<request_trace>;

/// Text for a terminal: the result and its cause, then the lines.
auto trace_text(const request_trace& trace) -> std::string;

auto trace_json(const request_trace& trace) -> std::string;

} // namespace reedramp::operators
