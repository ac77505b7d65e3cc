#include "platform/http_log.hpp"

#include <algorithm>
#include <utility>

#include "platform/json_fields.hpp"

namespace reedramp::platform {

using common::execution;
using common::failure;
using common::result_code;

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_client_errors = 400;
constexpr std::uint16_t status_gone = 410;
constexpr std::uint16_t status_server_errors = 500;
constexpr std::uint16_t status_unavailable = 503;

/// Whether the status proves that the log did not append the record. Other 5xx statuses may come
/// from an intermediary after the record has reached the log.
auto was_rejected(std::uint16_t status) -> bool
{
    const auto is_client_error = status >= status_client_errors && status < status_server_errors;
    return is_client_error || status == status_unavailable;
}

auto describe(std::uint16_t status) -> std::string
{
    return "status=" + std::to_string(status);
}

auto parse_append_answer(const common::result<http::response>& answer)
    -> common::result<common::log_offset>
{
    if (!answer) {
        const auto was_sent = answer.error().run != execution::not_run;
        const auto code = was_sent ? result_code::append_unknown : result_code::log_unavailable;
        return failure(code, answer.error().detail);
    }
    if (answer->status != status_ok) {
        const auto code = was_rejected(answer->status) ? result_code::log_unavailable
                                                       : result_code::append_unknown;
        return failure(code, describe(answer->status));
    }
    const auto body = parse_object(answer->body);
    const auto offset = body ? count_field(*body, "offset") : std::nullopt;
    if (!offset) {
        return failure(result_code::append_unknown, "the answer has no offset");
    }
    return common::log_offset{*offset};
}

auto parse_records(const boost::json::array& rows)
    -> std::optional<std::vector<messages::log_record>>
{
    std::vector<messages::log_record> records;
    records.reserve(rows.size());
    for (const auto& row : rows) {
        const auto* fields = row.if_object();
        if (fields == nullptr) {
            return std::nullopt;
        }
        const auto offset = count_field(*fields, "offset");
        auto data = string_field(*fields, "data");
        if (!offset || !data) {
            return std::nullopt;
        }
        records.push_back({common::log_offset{*offset}, std::move(*data)});
    }
    return records;
}

auto parse_read_answer(const common::result<http::response>& answer) -> common::result<read_answer>
{
    if (!answer) {
        return failure(result_code::log_unavailable, answer.error().detail);
    }
    if (answer->status == status_gone) {
        return failure(result_code::log_trimmed, answer->body);
    }
    if (answer->status != status_ok) {
        return failure(result_code::log_unavailable, describe(answer->status));
    }
    const auto body = parse_object(answer->body);
    if (!body) {
        return failure(result_code::log_unavailable, "the answer is not a JSON object");
    }
    const auto* rows = array_field(*body, "records");
    const auto head = count_field(*body, "head");
    const auto oldest = count_field(*body, "oldest");
    auto records = rows == nullptr ? std::nullopt : parse_records(*rows);
    if (!records || !head || !oldest) {
        return failure(result_code::log_unavailable, "the answer has a missing or invalid field");
    }
    return read_answer{std::move(*records), common::log_offset{*head}, common::log_offset{*oldest}};
}

} // namespace

auto make_http_log(std::shared_ptr<http::client> client, http_log_options options) -> log_hooks
{
    log_hooks hooks;
    hooks.append = [client, options](
                       std::string stream, std::string data, answer_hook<common::log_offset> done) {
        http::request request;
        request.method = "POST";
        request.target = "/log/" + stream + "/append";
        request.body = std::move(data);
        http::call_events events;
        events.on_done = [done = std::move(done)](const common::result<http::response>& answer) {
            done(parse_append_answer(answer));
        };
        client->send(options.where, std::move(request), std::move(events));
    };
    hooks.read = [client, options](
                     std::string stream,
                     common::log_offset after,
                     std::chrono::milliseconds wait,
                     answer_hook<read_answer> done) {
        const auto poll_wait = std::min(wait, options.client_idle_timeout / 2);
        http::request request;
        request.method = "GET";
        request.target = "/log/" + stream + "/read?after=" + std::to_string(after.value()) +
                         "&wait_ms=" + std::to_string(poll_wait.count()) +
                         "&limit=" + std::to_string(options.read_limit);
        http::call_events events;
        events.on_done = [done = std::move(done)](const common::result<http::response>& answer) {
            done(parse_read_answer(answer));
        };
        client->send(options.where, std::move(request), std::move(events));
    };
    return hooks;
}

} // namespace reedramp::platform
