#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "common/result.hpp"
#include "router/header_names.hpp"
#include "router/shared_store.hpp"
#include "settings.hpp"

namespace reedramp::router_program {

/// Two clients for the store, since each has one limit of silence.
struct store_clients {
    /// For readings that wait at the store.
    std::shared_ptr<http::client> waiting;
    /// For all other calls.
    std::shared_ptr<http::client> quick;
};

/// What an adapter of a platform adds to the program.
struct platform_parts {
    router::header_names names;
    /// Makes the store's hooks over the program's clients.
    std::function<auto(store_clients clients, const http::endpoint& where)->router::shared_store>
        open_store;
    /// What the balancer asks for.
    std::string ready_path = "/ready";
};

/// Reads the settings file again.
using reload_hook = std::function<auto()->common::result<router_settings>>;

/// The entry that sends straight to backend servers, on one thread: sockets, timers and signals
/// around the router's core.
class router_process {
public:
    router_process(router_settings wanted, platform_parts parts);
    ~router_process();
    router_process(const router_process&) = delete;
    router_process(router_process&&) = delete;
    auto operator=(const router_process&) -> router_process& = delete;
    auto operator=(router_process&&) -> router_process& = delete;

    /// Listens. Errors: `invalid_settings`.
    auto start() -> common::result<void>;

    /// Runs until a graceful shutdown is over. At SIGHUP reads the settings again through `reload`.
    auto run(reload_hook reload) -> void;

    /// Takes over what may change while the process runs: the share of second sends, the confidence
    /// asked of small models, the grace. Addresses and names stay as they are until a restart.
    auto apply(const router_settings& changed) -> void;

    /// As at SIGTERM; from any thread.
    auto shut_down() -> void;

    [[nodiscard]] auto callers_port() const -> std::uint16_t;
    [[nodiscard]] auto ready_port() const -> std::uint16_t;
    [[nodiscard]] auto peers_port() const -> std::uint16_t;

private:
    struct parts_of_process;
    std::unique_ptr<parts_of_process> parts;
};

} // namespace reedramp::router_program
