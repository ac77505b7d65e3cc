#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "common/result.hpp"
#include "router/header_names.hpp"
#include "router/shared_store.hpp"
#include "settings.hpp"

namespace reedramp::router_program {

/// HTTP clients for the store. There are two since each client has one idle timeout.
struct store_clients {
    /// For reads that wait at the store.
    std::shared_ptr<http::client> waiting;
    /// For all other calls.
    std::shared_ptr<http::client> quick;
};

/// What a platform adapter provides to the program.
struct platform_parts {
    router::header_names names;
    /// Creates the store's hooks using the program's clients.
    std::function<auto(store_clients clients, const http::endpoint& where)->router::shared_store>
        open_store;
    /// Path of the balancer's readiness check.
    std::string ready_path = "/ready";
    /// The feature of a deployment whose callers compete for capacity. Empty: none says so.
    std::string competing_callers_feature = {};
};

/// Reads the settings file again.
using reload_hook = std::function<auto()->common::result<router_settings>>;

/// An entry that sends requests straight to backend servers, on one thread: sockets, timers and
/// signals around the router core.
class router_process {
public:
    router_process(router_settings settings_to_use, platform_parts impl);
    ~router_process();
    router_process(const router_process&) = delete;
    router_process(router_process&&) = delete;
    auto operator=(const router_process&) -> router_process& = delete;
    auto operator=(router_process&&) -> router_process& = delete;

    /// Opens the listening sockets. Error `invalid_settings`.
    auto start() -> common::result<void>;

    /// Runs until a graceful shutdown is complete. On SIGHUP reads the settings again through
    /// `reload`.
    auto run(reload_hook reload) -> void;

    /// Applies the settings that may change at run time: the retry ratio, the confidence required
    /// of small models, and the shutdown grace. Addresses and names stay until a restart.
    auto apply(const router_settings& changed) -> void;

    /// Shuts down as on SIGTERM. May be called from any thread.
    auto shut_down() -> void;

    [[nodiscard]] auto callers_port() const -> std::uint16_t;
    [[nodiscard]] auto ready_port() const -> std::uint16_t;
    [[nodiscard]] auto peers_port() const -> std::uint16_t;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace reedramp::router_program
