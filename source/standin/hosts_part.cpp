#include <algorithm>
#include <utility>

#include "parts.hpp"
#include "platform/fake_platform.hpp"
#include "platform/http_hosts.hpp"

namespace reedramp::standin {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_not_found = 404;
constexpr std::string_view list_path = "/hosts";
constexpr std::string_view host_path_prefix = "/hosts/";

/// Host list service over `platform::fake_hosts`.
struct hosts_part {
    hosts_part(part_server& given_server, const hosts_settings& config)
        : server(given_server),
          hosts(given_server.environment().clock, given_server.environment().timers),
          lag_ms(config.lag_ms)
    {
        for (const auto& entry : config.initial) {
            this->hosts.put(entry);
        }
        this->apply({});
    }

    auto apply(const faults& current) -> void
    {
        const auto lag = std::max(this->lag_ms, current.stale_hosts_ms);
        this->hosts.set_lag(std::chrono::milliseconds(lag));
    }

    auto serve(const http::request& request, const responder_pointer& responder) -> void
    {
        const auto path = strip_query(request.target);
        if (path == list_path && request.method == "GET") {
            this->reply(responder, platform::format_hosts(this->hosts.visible()));
            return;
        }
        if (!path.starts_with(host_path_prefix)) {
            responder->send(error_response(status_not_found, "no such path"));
            return;
        }
        const common::host_id host{std::string(path.substr(host_path_prefix.size()))};
        if (request.method == "DELETE") {
            this->hosts.remove(host);
            this->reply(responder, "{}");
            return;
        }
        this->put(host, request, responder);
    }

    auto
    put(const common::host_id& host,
        const http::request& request,
        const responder_pointer& responder) -> void
    {
        auto entry = platform::parse_host(request.body);
        if (request.method != "PUT" || !entry || entry->host != host) {
            responder->send(
                error_response(status_bad_request, "needs PUT with a row of this host"));
            return;
        }
        this->hosts.put(std::move(*entry));
        this->reply(responder, "{}");
    }

    auto reply(const responder_pointer& responder, std::string body) -> void
    {
        this->server.reply(responder, json_response(status_ok, std::move(body)));
    }

    part_server& server;
    platform::fake_hosts hosts;
    std::uint32_t lag_ms;
};

} // namespace

auto open_hosts(
    const part_environment& environment, const std::string& address, const hosts_settings& config)
    -> part_result
{
    part_description description{"hosts", "hosts", {address, config.port}};
    auto server = std::make_unique<part_server>(std::move(description), environment);
    const auto part = std::make_shared<hosts_part>(*server, config);
    part_server::hooks hooks;
    hooks.serve = [part](const http::request& request, const responder_pointer& responder) {
        part->serve(request, responder);
    };
    hooks.faults_changed = [part](const faults& current) {
        part->apply(current);
    };
    const auto opened = server->open(std::move(hooks));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    return server;
}

} // namespace reedramp::standin
