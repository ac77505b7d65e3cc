#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"

namespace reedramp::operators {

/// One line of a router's log: "LEVEL SECONDS PART: SENTENCE key=value...".
struct log_line {
    /// 'I', 'W' and so on.
    char level = 'I';
    /// Time of day, seconds since 1970, of the host that wrote it.
    double time = 0.0;
    std::string part;
    /// The words before the first pair.
    std::string what;
    std::map<std::string, std::string> fields;
    /// Where it was read, for people; the file's name.
    std::string source;

    /// Empty for a field that the line does not have.
    [[nodiscard]] auto field(const std::string& name) const -> std::string;
};

/// None for text that is no such line.
auto parse_log_line(std::string_view text) -> std::optional<log_line>;

/// What logs say of one request.
struct request_story {
    std::string request;
    /// The request's lines, by time, over all logs.
    std::vector<log_line> lines;
    /// Name of the result with which it ended: "served", "caller_left", or a result code's.
    std::string end;
    /// Why it ended so, in a sentence.
    std::string cause;
};

/// Gathers the lines of `request` from logs of any number of entries, in any order, and tells from
/// them how it ended and why. Errors: `not_found` when no line names it.
auto tell_request(const std::string& request, const std::vector<log_line>& logs)
    -> common::result<request_story>;

/// For people: the end and its cause, then the lines.
auto story_text(const request_story& story) -> std::string;

auto story_json(const request_story& story) -> std::string;

} // namespace reedramp::operators
