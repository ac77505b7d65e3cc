#include "operators/answers.hpp"

#include <algorithm>

#include "inventory/entity_json.hpp"
#include "platform/json_fields.hpp"

namespace reedramp::operators {

namespace json = boost::json;
using common::execution;
using common::failure;
using common::result_code;

namespace {

constexpr std::uint16_t first_error_status = 300;
constexpr std::uint16_t codes_per_group = 100;

auto code_by_name(std::string_view name) -> std::optional<result_code>
{
    const auto rows = common::result_table();
    const auto found = std::ranges::find(rows, name, &common::result_row::name);
    if (found == rows.end()) {
        return std::nullopt;
    }
    return found->code;
}

auto execution_by_name(std::string_view name, execution fallback) -> execution
{
    for (const auto value : {execution::not_run, execution::ran, execution::unknown}) {
        if (common::to_string(value) == name) {
            return value;
        }
    }
    return fallback;
}

/// Reads the error from a problem+json answer.
auto parse_problem(const http::response& answer) -> common::error
{
    const auto body = platform::parse_object(answer.body).value_or(json::object{});
    const auto code = code_by_name(platform::string_field(body, "name").value_or(""));
    if (!code) {
        return common::make_error(
            result_code::peer_unavailable,
            "unexpected answer: status " + std::to_string(answer.status) +
                " without a result code");
    }
    auto result = common::make_error(*code, platform::string_field(body, "detail").value_or(""));
    result.run =
        execution_by_name(platform::string_field(body, "execution").value_or(""), result.run);
    return result;
}

} // namespace

auto exit_code_of(result_code code) -> int
{
    return static_cast<int>(code) / codes_per_group;
}

auto response_body(const common::result<http::response>& answer) -> common::result<std::string>
{
    if (!answer) {
        auto result = common::make_error(result_code::peer_unavailable, answer.error().detail);
        result.run = answer.error().run;
        return tl::unexpected(std::move(result));
    }
    if (answer->status >= first_error_status) {
        return tl::unexpected(parse_problem(*answer));
    }
    return answer->body;
}

auto health_text(const common::result<http::response>& answer) -> std::string
{
    if (!answer) {
        return "NO ANSWER";
    }
    if (answer->status < first_error_status) {
        return "ready";
    }
    const auto body = platform::parse_object(answer->body).value_or(json::object{});
    const auto error = platform::string_field(body, "why").value_or("not ready");
    return error == "leaving" ? "LEAVING" : error;
}

auto should_try_next_entry(const common::error& error) -> bool
{
    switch (error.code) {
    case result_code::peer_unavailable:
    case result_code::not_ready:
    case result_code::shutting_down:
    case result_code::log_unavailable:
    case result_code::append_unknown:
        return true;
    default:
        return false;
    }
}

auto parse_published_offset(std::string_view body) -> common::result<common::log_offset>
{
    const auto answer = platform::parse_object(body);
    const auto offset = answer ? platform::count_field(*answer, "offset") : std::nullopt;
    if (!offset) {
        return failure(result_code::internal_error, "the entry's answer contains no offset");
    }
    return common::log_offset{*offset};
}

auto find_record_outcome(std::string_view history, const common::record_id& id)
    -> std::optional<common::result<common::log_offset>>
{
    const auto answer = platform::parse_object(history).value_or(json::object{});
    const auto* records = platform::array_field(answer, "records");
    if (records == nullptr) {
        return std::nullopt;
    }
    for (const auto& row : *records) {
        const auto* item = row.if_object();
        if (item == nullptr || platform::string_field(*item, "id") != id.value()) {
            continue;
        }
        const auto code = code_by_name(platform::string_field(*item, "result").value_or(""))
                              .value_or(result_code::internal_error);
        if (code != result_code::ok) {
            return failure(code, platform::string_field(*item, "why").value_or(""));
        }
        return common::log_offset{platform::count_field(*item, "offset").value_or(0)};
    }
    return std::nullopt;
}

auto parse_state(std::string_view body) -> common::result<inventory::state>
{
    json::error_code failed;
    const auto parsed = json::parse({body.data(), body.size()}, failed);
    if (failed) {
        return failure(result_code::malformed_json, "the entry's state is not valid JSON");
    }
    return inventory::state_from_json(parsed);
}

auto error_text(const common::error& error) -> std::string
{
    const auto& row = common::row_of(error.code);
    auto text = std::string(row.name) + " (" + std::to_string(static_cast<int>(error.code)) +
                "): " + std::string(row.explanation);
    if (!error.detail.empty()) {
        text += "\n  " + error.detail;
    }
    if (error.run == execution::unknown) {
        text += "\n  It is not known whether it took effect.";
    }
    return text + "\n";
}

auto error_json(const common::error& error) -> std::string
{
    const auto& row = common::row_of(error.code);
    const auto run = common::to_string(error.run);
    return json::serialize(json::object{
        {"error",
         json::object{
             {"code", static_cast<int>(error.code)},
             {"name", json::string_view(row.name.data(), row.name.size())},
             {"execution", json::string_view(run.data(), run.size())},
             {"detail", error.detail}}}});
}

} // namespace reedramp::operators
