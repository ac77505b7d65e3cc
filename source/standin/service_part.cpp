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
constexpr std::size_t shown_body_bytes = 200;
constexpr std::size_t shown_repeats = 100;
constexpr auto request_header = "Reedramp-Request-Id";

/// The body's start, which people can read, and a hash that tells long bodies apart.
auto body_key(const std::string& body) -> std::string
{
    if (body.size() <= shown_body_bytes) {
        return body;
    }
    return body.substr(0, shown_body_bytes) + "#" +
           std::to_string(XXH64(body.data(), body.size(), 0));
}

/// How often one request id or one body was run.
struct run_count {
    std::uint64_t runs = 0;
    std::string method;
    std::string target;
};

using run_counts = std::unordered_map<std::string, run_count>;

auto count_run(run_counts& counts, const std::string& key, const http::request& asked) -> void
{
    if (key.empty()) {
        return;
    }
    auto& count = counts[key];
    ++count.runs;
    count.method = asked.method;
    count.target = asked.target;
}

auto list_repeats(const run_counts& counts) -> boost::json::array
{
    boost::json::array rows;
    for (const auto& [key, count] : counts) {
        if (count.runs < 2 || rows.size() >= shown_repeats) {
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

/// Counts runs by request id, and by body, since a caller's second try has an id of its own but the
/// same body.
struct service_part {
    service_part(part_server& given_server, const service_settings& given)
        : server(given_server), wanted(given)
    {
    }

    auto serve(const http::request& asked, const responder_pointer& out) -> void
    {
        if (asked.target == "/runs" && asked.method == "GET") {
            out->send(json_response(status_ok, this->counters()));
            return;
        }
        if (asked.target == "/runs/bodies" && asked.method == "GET") {
            out->send(json_response(status_ok, this->all_bodies()));
            return;
        }
        const auto id = http::find_header(asked.headers, request_header).value_or("");
        ++this->runs;
        count_run(this->by_request, std::string(id), asked);
        count_run(this->by_body, body_key(asked.body), asked);
        const boost::json::object body{
            {"service", this->server.name()},
            {"request", std::string(id)},
            {"run", this->runs},
            {"method", asked.method},
            {"target", asked.target},
            {"body_bytes", asked.body.size()},
        };
        this->answer(out, json_response(status_ok, boost::json::serialize(body)));
    }

    auto answer(const responder_pointer& out, http::response made) -> void
    {
        if (this->wanted.delay_us == 0) {
            this->server.reply(out, std::move(made));
            return;
        }
        const auto& tools = this->server.tools();
        const auto when = tools.clock() + std::chrono::microseconds(this->wanted.delay_us);
        tools.timers(when, [this, out, made = std::move(made)] { this->server.reply(out, made); });
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

    /// Each body with its runs, so that a reader can add up several services.
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
    service_settings wanted;
    std::uint64_t runs = 0;
    run_counts by_request;
    run_counts by_body;
};

} // namespace

auto open_service(
    const part_tools& tools, const std::string& address, const service_settings& wanted)
    -> opened_part
{
    part_description about{
        "service", wanted.name, {address, wanted.port}, down_answer::closed_connection};
    auto server = std::make_unique<part_server>(std::move(about), tools);
    const auto part = std::make_shared<service_part>(*server, wanted);
    part_server::hooks hooks;
    hooks.serve = [part](const http::request& asked, const responder_pointer& out) {
        part->serve(asked, out);
    };
    const auto opened = server->open(std::move(hooks));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    return server;
}

} // namespace reedramp::standin
