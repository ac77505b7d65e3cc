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
constexpr std::string_view row_prefix = "/hosts/";

struct hosts_part {
    hosts_part(part_server& given_server, const hosts_settings& wanted)
        : server(given_server), hosts(given_server.tools().clock, given_server.tools().timers),
          lag_ms(wanted.lag_ms)
    {
        for (const auto& entry : wanted.initial) {
            this->hosts.put(entry);
        }
        this->apply({});
    }

    auto apply(const faults& current) -> void
    {
        const auto lag = std::max(this->lag_ms, current.stale_hosts_ms);
        this->hosts.set_lag(std::chrono::milliseconds(lag));
    }

    auto serve(const http::request& asked, const responder_pointer& out) -> void
    {
        const auto path = path_of(asked.target);
        if (path == list_path && asked.method == "GET") {
            this->reply(out, platform::format_hosts(this->hosts.visible()));
            return;
        }
        if (!path.starts_with(row_prefix)) {
            out->send(error_response(status_not_found, "no such path"));
            return;
        }
        const common::host_id host{std::string(path.substr(row_prefix.size()))};
        if (asked.method == "DELETE") {
            this->hosts.remove(host);
            this->reply(out, "{}");
            return;
        }
        this->put(host, asked, out);
    }

    auto put(const common::host_id& host, const http::request& asked, const responder_pointer& out)
        -> void
    {
        auto entry = platform::parse_host(asked.body);
        if (asked.method != "PUT" || !entry || entry->host != host) {
            out->send(error_response(status_bad_request, "needs PUT with a row of this host"));
            return;
        }
        this->hosts.put(std::move(*entry));
        this->reply(out, "{}");
    }

    auto reply(const responder_pointer& out, std::string body) -> void
    {
        this->server.reply(out, json_response(status_ok, std::move(body)));
    }

    part_server& server;
    platform::fake_hosts hosts;
    std::uint32_t lag_ms;
};

} // namespace

auto open_hosts(const part_tools& tools, const std::string& address, const hosts_settings& wanted)
    -> opened_part
{
    part_description about{"hosts", "hosts", {address, wanted.port}};
    auto server = std::make_unique<part_server>(std::move(about), tools);
    const auto part = std::make_shared<hosts_part>(*server, wanted);
    part_server::hooks hooks;
    hooks.serve = [part](const http::request& asked, const responder_pointer& out) {
        part->serve(asked, out);
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
