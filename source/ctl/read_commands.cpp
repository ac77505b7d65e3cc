#include <fstream>
#include <iostream>
#include <iterator>

#include "commands.hpp"
#include "daemon/clock.hpp"
#include "operators/answers.hpp"
#include "operators/difference.hpp"
#include "operators/drafts.hpp"
#include "operators/request_trace.hpp"
#include "operators/requests.hpp"
#include "operators/views.hpp"

namespace reedramp::ctl {

using common::failure;
using common::result_code;

namespace {

auto read_resource(caller& by, const options& given, const std::string& resource)
    -> common::result<std::string>
{
    const auto entries = entries_of(by, given);
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    return by.ask_any(*entries, operators::read_request(resource));
}

auto line(const std::string& text) -> std::string
{
    return text + "\n";
}

/// The host list with what each process says of itself; nothing if there is no list.
auto ask_hosts(caller& by, const options& given)
    -> std::optional<std::vector<operators::host_status>>
{
    if (!given.hosts) {
        return std::nullopt;
    }
    const auto rows = by.hosts(*given.hosts);
    if (!rows) {
        return std::nullopt;
    }
    std::vector<addressed_request> questions;
    for (const auto& row : *rows) {
        const auto where = http::parse_endpoint(row.http);
        questions.push_back({where.value_or(http::endpoint{}), operators::health_request()});
    }
    const auto answers = by.answers_of(questions);
    std::vector<operators::host_status> result;
    for (std::size_t index = 0; index < answers.size(); ++index) {
        result.push_back({rows->at(index), operators::health_text(answers[index])});
    }
    return result;
}

auto given_draft(const options& given) -> common::result<operators::draft>
{
    const auto text = read_file(given.words.front());
    if (!text) {
        return tl::unexpected(text.error());
    }
    return operators::read_draft(*text, {given.author, daemon::wall_time(), given.base});
}

auto compare_with(const inventory::state& current, operators::draft item)
    -> common::result<std::vector<operators::entity_difference>>
{
    const auto record = operators::complete_draft(std::move(item), current.offset);
    const auto after = inventory::check_record(current, record);
    if (!after) {
        return tl::unexpected(after.error());
    }
    return operators::differences(current, *after);
}

} // namespace

auto read_file(const std::string& path) -> common::result<std::string>
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return failure(result_code::not_found, "cannot read file " + path);
    }
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

auto fetch_state(caller& by, const options& given) -> common::result<inventory::state>
{
    const auto body = read_resource(by, given, "state");
    if (!body) {
        return tl::unexpected(body.error());
    }
    return operators::parse_state(*body);
}

auto show(caller& by, const options& given) -> printed
{
    const auto body = read_resource(by, given, "state");
    const auto kind = given.words.empty() ? "" : given.words.front();
    const auto id = given.words.size() < 2 ? "" : given.words.back();
    if (!body || (given.as_json && kind.empty())) {
        return body.map(line);
    }
    const auto current = operators::parse_state(*body);
    if (!current) {
        return tl::unexpected(current.error());
    }
    return operators::state_text(*current, kind, id);
}

auto history(caller& by, const options& given) -> printed
{
    const auto body = read_resource(by, given, "history");
    if (!body || given.as_json) {
        return body.map(line);
    }
    return operators::history_text(*body, given.limit);
}

auto bills(caller& by, const options& given) -> printed
{
    const auto body = read_resource(by, given, "bills");
    if (!body || given.as_json) {
        return body.map(line);
    }
    return operators::bills_text(*body);
}

namespace {

auto read_log(const std::string& path, std::vector<operators::log_line>& into)
    -> common::result<void>
{
    std::ifstream file;
    const bool is_standard_input = path == "-";
    if (!is_standard_input) {
        file.open(path);
        if (!file) {
            return failure(result_code::not_found, "cannot read " + path);
        }
    }
    std::istream& from = is_standard_input ? std::cin : file;
    std::string text;
    while (std::getline(from, text)) {
        if (auto parsed = operators::parse_log_line(text)) {
            parsed->source = path;
            into.push_back(std::move(*parsed));
        }
    }
    return {};
}

auto explain_from_logs(const options& given) -> printed
{
    std::vector<operators::log_line> lines;
    for (const auto& path : given.logs) {
        const auto read = read_log(path, lines);
        if (!read) {
            return tl::unexpected(read.error());
        }
    }
    const auto trace = operators::build_request_trace(given.words.front(), lines);
    if (!trace) {
        return tl::unexpected(trace.error());
    }
    return given.as_json ? line(operators::trace_json(*trace)) : operators::trace_text(*trace);
}

} // namespace

auto explain(caller& by, const options& given) -> printed
{
    if (!given.logs.empty()) {
        return explain_from_logs(given);
    }
    const auto entries = entries_of(by, given);
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    std::vector<addressed_request> questions;
    for (const auto& where : *entries) {
        questions.push_back({where, operators::read_request("explain/" + given.words.front())});
    }
    auto not_found = common::result<std::string>(
        failure(result_code::not_found, "no entry has a record of the request"));
    const auto answers = by.ask_all(questions, true);
    for (std::size_t index = 0; index < answers.size(); ++index) {
        const auto& answer = answers[index];
        if (answer) {
            return given.as_json ? line(*answer) : operators::explanation_text(*answer);
        }
        // The entry that did not answer may be the one that knows.
        if (answer.error().code != result_code::not_found) {
            not_found = answer;
            not_found.error().detail =
                http::to_string(questions[index].where) + ": " + answer.error().detail;
        }
    }
    return not_found;
}

auto status(caller& by, const options& given) -> printed
{
    const auto entries = entries_of(by, given);
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    std::vector<addressed_request> questions;
    for (const auto& where : *entries) {
        questions.push_back({where, operators::read_request("status")});
    }
    auto answers = by.ask_all(questions, true);
    operators::system_status report;
    const common::error* refused = nullptr;
    auto has_answer = false;
    for (std::size_t index = 0; index < answers.size(); ++index) {
        report.entries.push_back({http::to_string(questions[index].where), answers[index]});
        has_answer = has_answer || answers[index].has_value();
        refused = answers[index] ? refused : &answers[index].error();
    }
    if (!has_answer && refused != nullptr) {
        return tl::unexpected(*refused);
    }
    if (auto state = fetch_state(by, given)) {
        report.state = std::move(*state);
    }
    if (auto bills = read_resource(by, given, "bills")) {
        report.bills = std::move(*bills);
    }
    report.hosts = ask_hosts(by, given);
    return given.as_json ? line(operators::status_json(report)) : operators::status_text(report);
}

auto check(caller& by, const options& given) -> printed
{
    auto item = given_draft(given);
    if (!item) {
        return tl::unexpected(item.error());
    }
    const auto is_online = !given.entries.empty() || given.hosts;
    if (is_online) {
        return diff(by, given);
    }
    const auto is_first = item->has_base && item->item.base == common::log_offset{0};
    if (!is_first) {
        return given.as_json ? line(R"({"form":"good","checked_against":null})")
                             : line("the form is good; give --entry to check what it changes");
    }
    // A first inventory needs no entry: it goes onto the empty configuration.
    const auto rows = compare_with({}, std::move(*item));
    if (!rows) {
        return tl::unexpected(rows.error());
    }
    return given.as_json ? line(operators::difference_json(*rows))
                         : operators::difference_text(*rows);
}

auto diff(caller& by, const options& given) -> printed
{
    auto item = given_draft(given);
    if (!item) {
        return tl::unexpected(item.error());
    }
    const auto current = fetch_state(by, given);
    if (!current) {
        return tl::unexpected(current.error());
    }
    const auto rows = compare_with(*current, std::move(*item));
    if (!rows) {
        return tl::unexpected(rows.error());
    }
    return given.as_json ? line(operators::difference_json(*rows))
                         : operators::difference_text(*rows);
}

} // namespace reedramp::ctl
