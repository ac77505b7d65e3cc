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

auto read_resource(admin_client& client, const options& opts, const std::string& resource)
    -> common::result<std::string>
{
    const auto entries = resolve_entries(client, opts);
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    return client.send_to_any(*entries, operators::read_request(resource));
}

auto with_newline(const std::string& text) -> std::string
{
    return text + "\n";
}

/// The host list with the health that each process reports; empty if no list is given or available.
auto fetch_host_status(admin_client& client, const options& opts)
    -> std::optional<std::vector<operators::host_status>>
{
    if (!opts.hosts) {
        return std::nullopt;
    }
    const auto rows = client.fetch_hosts(*opts.hosts);
    if (!rows) {
        return std::nullopt;
    }
    std::vector<addressed_request> requests;
    for (const auto& row : *rows) {
        const auto endpoint = http::parse_endpoint(row.http);
        requests.push_back({endpoint.value_or(http::endpoint{}), operators::health_request()});
    }
    const auto answers = client.fetch_responses(requests);
    std::vector<operators::host_status> result;
    for (std::size_t index = 0; index < answers.size(); ++index) {
        result.push_back({rows->at(index), operators::health_text(answers[index])});
    }
    return result;
}

auto read_draft_file(const options& opts) -> common::result<operators::draft>
{
    const auto text = read_file(opts.arguments.front());
    if (!text) {
        return tl::unexpected(text.error());
    }
    return operators::read_draft(*text, {opts.author, daemon::wall_time(), opts.base});
}

auto preview_changes(const inventory::state& current, operators::draft item)
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

auto fetch_state(admin_client& client, const options& opts) -> common::result<inventory::state>
{
    const auto body = read_resource(client, opts, "state");
    if (!body) {
        return tl::unexpected(body.error());
    }
    return operators::parse_state(*body);
}

auto show(admin_client& client, const options& opts) -> command_output
{
    const auto body = read_resource(client, opts, "state");
    const auto kind = opts.arguments.empty() ? "" : opts.arguments.front();
    const auto id = opts.arguments.size() < 2 ? "" : opts.arguments.back();
    if (!body || (opts.as_json && kind.empty())) {
        return body.map(with_newline);
    }
    const auto current = operators::parse_state(*body);
    if (!current) {
        return tl::unexpected(current.error());
    }
    return operators::state_text(*current, kind, id);
}

auto history(admin_client& client, const options& opts) -> command_output
{
    const auto body = read_resource(client, opts, "history");
    if (!body || opts.as_json) {
        return body.map(with_newline);
    }
    return operators::history_text(*body, opts.limit);
}

auto bills(admin_client& client, const options& opts) -> command_output
{
    const auto body = read_resource(client, opts, "bills");
    if (!body || opts.as_json) {
        return body.map(with_newline);
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
            return failure(result_code::not_found, "cannot read log " + path);
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

auto explain_from_logs(const options& opts) -> command_output
{
    std::vector<operators::log_line> lines;
    for (const auto& path : opts.logs) {
        const auto read = read_log(path, lines);
        if (!read) {
            return tl::unexpected(read.error());
        }
    }
    const auto trace = operators::build_request_trace(opts.arguments.front(), lines);
    if (!trace) {
        return tl::unexpected(trace.error());
    }
    return opts.as_json ? with_newline(operators::trace_json(*trace))
                        : operators::trace_text(*trace);
}

} // namespace

auto explain(admin_client& client, const options& opts) -> command_output
{
    if (!opts.logs.empty()) {
        return explain_from_logs(opts);
    }
    const auto entries = resolve_entries(client, opts);
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    std::vector<addressed_request> requests;
    for (const auto& endpoint : *entries) {
        requests.push_back(
            {endpoint, operators::read_request("explain/" + opts.arguments.front())});
    }
    auto not_found = common::result<std::string>(
        failure(result_code::not_found, "no entry has an explanation of the request"));
    const auto answers = client.send_all(requests, true);
    for (std::size_t index = 0; index < answers.size(); ++index) {
        const auto& answer = answers[index];
        if (answer) {
            return opts.as_json ? with_newline(*answer) : operators::explanation_text(*answer);
        }
        // An entry that failed to answer may be the one that has the record.
        if (answer.error().code != result_code::not_found) {
            not_found = answer;
            not_found.error().detail =
                http::to_string(requests[index].endpoint) + ": " + answer.error().detail;
        }
    }
    return not_found;
}

auto status(admin_client& client, const options& opts) -> command_output
{
    const auto entries = resolve_entries(client, opts);
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    std::vector<addressed_request> requests;
    for (const auto& endpoint : *entries) {
        requests.push_back({endpoint, operators::read_request("status")});
    }
    auto answers = client.send_all(requests, true);
    operators::system_status report;
    const common::error* last_error = nullptr;
    auto has_answer = false;
    for (std::size_t index = 0; index < answers.size(); ++index) {
        report.entries.push_back({http::to_string(requests[index].endpoint), answers[index]});
        has_answer = has_answer || answers[index].has_value();
        last_error = answers[index] ? last_error : &answers[index].error();
    }
    if (!has_answer && last_error != nullptr) {
        return tl::unexpected(*last_error);
    }
    if (auto state = fetch_state(client, opts)) {
        report.state = std::move(*state);
    }
    if (auto bills = read_resource(client, opts, "bills")) {
        report.bills = std::move(*bills);
    }
    report.hosts = fetch_host_status(client, opts);
    return opts.as_json ? with_newline(operators::status_json(report))
                        : operators::status_text(report);
}

auto check(admin_client& client, const options& opts) -> command_output
{
    auto item = read_draft_file(opts);
    if (!item) {
        return tl::unexpected(item.error());
    }
    const auto is_online = !opts.entries.empty() || opts.hosts;
    if (is_online) {
        return diff(client, opts);
    }
    const auto is_first = item->has_base && item->item.base == common::log_offset{0};
    if (!is_first) {
        return opts.as_json
                   ? with_newline(R"({"form":"good","checked_against":null})")
                   : with_newline(
                         "the record file is valid; use --entry to check what it would change");
    }
    // The first record of an inventory is compared with the empty configuration, without an entry.
    const auto rows = preview_changes({}, std::move(*item));
    if (!rows) {
        return tl::unexpected(rows.error());
    }
    return opts.as_json ? with_newline(operators::difference_json(*rows))
                        : operators::difference_text(*rows);
}

auto diff(admin_client& client, const options& opts) -> command_output
{
    auto item = read_draft_file(opts);
    if (!item) {
        return tl::unexpected(item.error());
    }
    const auto current = fetch_state(client, opts);
    if (!current) {
        return tl::unexpected(current.error());
    }
    const auto rows = preview_changes(*current, std::move(*item));
    if (!rows) {
        return tl::unexpected(rows.error());
    }
    return opts.as_json ? with_newline(operators::difference_json(*rows))
                        : operators::difference_text(*rows);
}

} // namespace reedramp::ctl
