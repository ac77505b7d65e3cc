#include "platform/http_hosts.hpp"

#include <utility>

#include "platform/json_fields.hpp"

namespace reedramp::platform {

using common::failure;
using common::result_code;

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::string_view role_entry = "entry";
constexpr std::string_view role_server = "server";
constexpr std::string_view state_live = "live";
constexpr std::string_view state_leaving = "leaving";

auto to_json(const host_entry& entry) -> boost::json::object
{
    const auto role = entry.role == host_role::entry ? role_entry : role_server;
    const auto state = entry.state == host_state::live ? state_live : state_leaving;
    return {
        {"host", entry.host.value()},
        {"data_centre", entry.data_centre.value()},
        {"region", entry.region.value()},
        {"role", role},
        {"state", state},
        {"rpc", entry.rpc},
        {"http", entry.http},
    };
}

auto from_json(const boost::json::object& row) -> common::result<host_entry>
{
    const auto host = string_field(row, "host");
    const auto role = string_field(row, "role");
    const auto state = string_field(row, "state");
    if (!host || host->empty()) {
        return failure(result_code::malformed_json, "a host has no name");
    }
    if (!role || (*role != role_entry && *role != role_server)) {
        return failure(result_code::malformed_json, "a host has no known role");
    }
    if (!state || (*state != state_live && *state != state_leaving)) {
        return failure(result_code::malformed_json, "a host has no known state");
    }
    host_entry entry;
    entry.host = common::host_id{*host};
    entry.data_centre = common::data_centre_id{string_field(row, "data_centre").value_or("")};
    entry.region = common::region_id{string_field(row, "region").value_or("")};
    entry.role = *role == role_entry ? host_role::entry : host_role::server;
    entry.state = *state == state_live ? host_state::live : host_state::leaving;
    entry.rpc = string_field(row, "rpc").value_or("");
    entry.http = string_field(row, "http").value_or("");
    return entry;
}

auto parse_hosts_answer(const common::result<http::response>& answer)
    -> common::result<std::vector<host_entry>>
{
    if (!answer) {
        return failure(result_code::platform_unavailable, answer.error().detail);
    }
    if (answer->status != status_ok) {
        return failure(
            result_code::platform_unavailable, "status=" + std::to_string(answer->status));
    }
    auto parsed = parse_hosts(answer->body);
    if (!parsed) {
        return failure(result_code::platform_unavailable, parsed.error().detail);
    }
    return parsed;
}

} // namespace

auto make_http_hosts(std::shared_ptr<http::client> client, http::endpoint where) -> host_hooks
{
    host_hooks hooks;
    hooks.list = [client, where](answer_hook<std::vector<host_entry>> done) {
        http::request request;
        request.method = "GET";
        request.target = "/hosts";
        http::call_events events;
        events.on_done = [done = std::move(done)](const common::result<http::response>& answer) {
            done(parse_hosts_answer(answer));
        };
        client->send(where, std::move(request), std::move(events));
    };
    return hooks;
}

auto format_host(const host_entry& entry) -> std::string
{
    return boost::json::serialize(to_json(entry));
}

auto parse_host(std::string_view text) -> common::result<host_entry>
{
    const auto row = parse_object(text);
    if (!row) {
        return failure(result_code::malformed_json, "not a JSON object");
    }
    return from_json(*row);
}

auto format_hosts(const std::vector<host_entry>& entries) -> std::string
{
    boost::json::array rows;
    rows.reserve(entries.size());
    for (const auto& entry : entries) {
        rows.emplace_back(to_json(entry));
    }
    return boost::json::serialize(boost::json::object{{"hosts", std::move(rows)}});
}

auto parse_hosts(std::string_view text) -> common::result<std::vector<host_entry>>
{
    const auto body = parse_object(text);
    const auto* rows = body ? array_field(*body, "hosts") : nullptr;
    if (rows == nullptr) {
        return failure(result_code::malformed_json, "no array hosts");
    }
    std::vector<host_entry> entries;
    entries.reserve(rows->size());
    for (const auto& row : *rows) {
        const auto* fields = row.if_object();
        if (fields == nullptr) {
            return failure(result_code::malformed_json, "a host is not an object");
        }
        auto entry = from_json(*fields);
        if (!entry) {
            return tl::unexpected(entry.error());
        }
        entries.push_back(std::move(*entry));
    }
    return entries;
}

} // namespace reedramp::platform
