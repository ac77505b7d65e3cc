#include "admin_client.hpp"

#include <algorithm>
#include <future>
#include <span>

#include "operators/answers.hpp"
#include "operators/requests.hpp"
#include "platform/http_hosts.hpp"

namespace reedramp::ctl {

namespace {

constexpr std::chrono::milliseconds publish_timeout{20'000};
constexpr std::chrono::milliseconds query_timeout{2'000};
/// Limits concurrent connections: 2000 would exceed the usual limit of open files.
constexpr std::size_t max_in_flight = 256;
constexpr std::size_t state_limit_bytes = 256UL << 20U;

using answer_future = std::future<common::result<http::response>>;

auto start_request(
    const std::shared_ptr<http::client>& client,
    const http::endpoint& endpoint,
    http::request request) -> answer_future
{
    const auto promise = std::make_shared<std::promise<common::result<http::response>>>();
    http::call_events events;
    events.on_done = [promise](common::result<http::response> answer) {
        promise->set_value(std::move(answer));
    };
    client->send(endpoint, std::move(request), std::move(events));
    return promise->get_future();
}

auto make_client(daemon::io_pool& pool, std::chrono::milliseconds timeout)
    -> std::shared_ptr<http::client>
{
    http::client_options options;
    options.idle_connections = 0;
    options.idle_timeout = timeout;
    options.body_limit_bytes = state_limit_bytes;
    return http::client::create(pool.next_context(), options);
}

} // namespace

admin_client::admin_client(std::string operator_key)
    : key(std::move(operator_key)), pool(1),
      publish_client(make_client(this->pool, publish_timeout)),
      query_client(make_client(this->pool, query_timeout))
{
    this->pool.start();
}

admin_client::~admin_client()
{
    this->pool.stop();
}

auto admin_client::send(
    const std::shared_ptr<http::client>& client,
    const http::endpoint& endpoint,
    http::request request) -> common::result<std::string>
{
    auto answer =
        operators::response_body(start_request(client, endpoint, std::move(request)).get());
    if (!answer && answer.error().code == common::result_code::peer_unavailable) {
        answer.error().detail = http::to_string(endpoint) + ": " + answer.error().detail;
    }
    return answer;
}

auto admin_client::send(const http::endpoint& endpoint, http::request request)
    -> common::result<std::string>
{
    return this->send(
        this->publish_client, endpoint, operators::with_key(std::move(request), this->key));
}

auto admin_client::fetch_responses(const std::vector<addressed_request>& requests)
    -> std::vector<common::result<http::response>>
{
    std::vector<common::result<http::response>> result;
    result.reserve(requests.size());
    while (result.size() < requests.size()) {
        const auto count = std::min(max_in_flight, requests.size() - result.size());
        std::vector<answer_future> in_flight;
        for (const auto& [endpoint, request] : std::span(requests).subspan(result.size(), count)) {
            in_flight.push_back(start_request(this->query_client, endpoint, request));
        }
        for (auto& future : in_flight) {
            result.push_back(future.get());
        }
    }
    return result;
}

auto admin_client::send_all(std::vector<addressed_request> requests, bool with_key)
    -> std::vector<common::result<std::string>>
{
    if (with_key) {
        for (auto& addressed : requests) {
            addressed.request = operators::with_key(std::move(addressed.request), this->key);
        }
    }
    std::vector<common::result<std::string>> result;
    result.reserve(requests.size());
    for (const auto& answer : this->fetch_responses(requests)) {
        result.push_back(operators::response_body(answer));
    }
    return result;
}

auto admin_client::send_to_any(
    const std::vector<http::endpoint>& entries, const http::request& request)
    -> common::result<std::string>
{
    auto answer = common::result<std::string>(
        common::failure(common::result_code::peer_unavailable, "no entry is configured or listed"));
    for (const auto& endpoint : entries) {
        answer = this->send(endpoint, request);
        if (answer || !operators::should_try_next_entry(answer.error())) {
            return answer;
        }
    }
    return answer;
}

auto admin_client::fetch_hosts(const http::endpoint& endpoint)
    -> common::result<std::vector<platform::host_entry>>
{
    http::request request;
    request.method = "GET";
    request.target = "/hosts";
    const auto body = this->send(this->query_client, endpoint, std::move(request));
    if (!body) {
        return common::failure(
            common::result_code::platform_unavailable,
            "cannot fetch the host list: " + body.error().detail);
    }
    return platform::parse_hosts(*body);
}

auto resolve_entries(admin_client& client, const options& opts)
    -> common::result<std::vector<http::endpoint>>
{
    auto result = opts.entries;
    if (!opts.hosts) {
        return result;
    }
    const auto rows = client.fetch_hosts(*opts.hosts);
    if (!rows) {
        if (result.empty()) {
            return tl::unexpected(rows.error());
        }
        return result;
    }
    for (const auto& row : *rows) {
        const auto is_live_entry =
            row.role == platform::host_role::entry && row.state == platform::host_state::live;
        const auto endpoint = http::parse_endpoint(row.http);
        if (is_live_entry && endpoint && std::ranges::find(result, *endpoint) == result.end()) {
            result.push_back(*endpoint);
        }
    }
    return result;
}

} // namespace reedramp::ctl
