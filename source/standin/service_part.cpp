#include <chrono>
#include <string>
#include <unordered_map>
#include <utility>

#include <boost/json.hpp>
#include <xxhash.h>

#include "parts.hpp"

namespace reedramp::standin {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::size_t body_key_prefix_bytes = 200;
constexpr std::size_t max_listed_repeats = 100;
constexpr auto request_header = "Reedramp-Request-Id";

/// Returns the body, or for long bodies a readable prefix and a hash that distinguishes them.
auto make_body_key(const std::string& body) -> std::string
{
    if (body.size() <= body_key_prefix_bytes) {
        return body;
    }
    return body.substr(0, body_key_prefix_bytes) + "#" +
           std::to_string(XXH64(body.data(), body.size(), 0));
}

/// Number of runs of one request id or one body, with the method and target of the last run.
struct run_count {
    std::uint64_t runs = 0;
    std::string method;
    std::string target;
};

using run_counts = std::unordered_map<std::string, run_count>;

auto count_run(run_counts& counts, const std::string& key, const http::request& request) -> void
{
    if (key.empty()) {
        return;
    }
    auto& count = counts[key];
    ++count.runs;
    count.method = request.method;
    count.target = request.target;
}

/// Lists keys that ran more than once, up to `max_listed_repeats`.
auto list_repeats(const run_counts& counts) -> boost::json::array
{
    boost::json::array rows;
    for (const auto& [key, count] : counts) {
        if (count.runs < 2 || rows.size() >= max_listed_repeats) {
            continue;
        }
        rows.emplace_back(boost::json::object{
            {"key", key},
            {"runs", count.runs},
            {"method", count.method},
            {"target", count.target},
        });
    }
    return rows;
}

/// Counts runs by request id and by body. The body identifies retries by the client, which have the
/// same body but a new request id.
struct service_part {
    service_part(part_server& given_server, const service_settings& given_config)
        : server(given_server), config(given_config)
    {
    }

    auto serve(const http::request& request, const responder_pointer& responder) -> void
    {
        if (request.target == "/runs" && request.method == "GET") {
            responder->send(json_response(status_ok, this->counters()));
            return;
        }
        if (request.target == "/runs/bodies" && request.method == "GET") {
            responder->send(json_response(status_ok, this->all_bodies()));
            return;
        }
        const auto id = http::find_header(request.headers, request_header).value_or("");
        ++this->runs;
        count_run(this->by_request, std::string(id), request);
        count_run(this->by_body, make_body_key(request.body), request);
        const boost::json::object body{
            {"service", this->server.name()},
            {"request", std::string(id)},
            {"run", this->runs},
            {"method", request.method},
            {"target", request.target},
            {"body_bytes", request.body.size()},
        };
        this->reply_after_delay(responder, json_response(status_ok, boost::json::serialize(body)));
    }

    auto reply_after_delay(const responder_pointer& responder, http::response response) -> void
    {
        if (this->config.delay_us == 0) {
            this->server.reply(responder, std::move(response));
            return;
        }
        const auto& environment = this->server.environment();
        const auto when = environment.clock() + std::chrono::microseconds(this->config.delay_us);
        environment.timers(when, [this, responder, response = std::move(response)] {
            this->server.reply(responder, response);
        });
    }

    [[nodiscard]] auto counters() const -> std::string
    {
        const boost::json::object body{
            {"runs", this->runs},
            {"requests", this->by_request.size()},
            {"bodies", this->by_body.size()},
            {"repeated_requests", list_repeats(this->by_request)},
            {"repeated_bodies", list_repeats(this->by_body)},
        };
        return boost::json::serialize(body);
    }

    /// Lists all bodies with their runs, so that a client can sum them over several services.
    [[nodiscard]] auto all_bodies() const -> std::string
    {
        boost::json::array rows;
        rows.reserve(this->by_body.size());
        for (const auto& [body, count] : this->by_body) {
            rows.emplace_back(boost::json::object{{"key", body}, {"runs", count.runs}});
        }
        return boost::json::serialize(boost::json::object{{"bodies", std::move(rows)}});
    }

    part_server& server;
    service_settings config;
    std::uint64_t runs = 0;
    run_counts by_request;
    run_counts by_body;
};

} // namespace

auto open_service(
    const part_environment& environment, const std::string& address, const service_settings& config)
    -> part_result
{
    part_description description{
        "service", config.name, {address, config.port}, down_behaviour::closed_connection};
    auto server = std::make_unique<part_server>(std::move(description), environment);
    const auto part = std::make_shared<service_part>(*server, config);
    part_server::hooks hooks;
    hooks.serve = [part](const http::request& request, const responder_pointer& responder) {
        part->serve(request, responder);
    };
    const auto opened = server->open(std::move(hooks));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    return server;
}

} // namespace reedramp::standin
