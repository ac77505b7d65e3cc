#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include "agent/core.hpp"
#include "agent/registration.hpp"
#include "backend_client.hpp"
#include "core_metrics.hpp"
#include "daemon/io_pool.hpp"
#include "engine_control.hpp"
#include "http/server.hpp"
#include "inventory/follower.hpp"
#include "membership/host_watcher.hpp"
#include "operations_api.hpp"
#include "platform/hooks.hpp"
#include "settings.hpp"
#include "wire/rpc_client.hpp"
#include "wire/rpc_server.hpp"

namespace reedramp::agent_program {

/// The agent's process: connects the core to sockets, threads and timers.
///
/// The listeners are opened first, so that their ports are known for the registration. Until the
/// incarnation is known, all requests are refused; that is correct for every run key, since no key
/// can contain this incarnation yet.
class agent_process {
public:
    explicit agent_process(agent_settings initial_settings);
    ~agent_process();
    agent_process(const agent_process&) = delete;
    agent_process(agent_process&&) = delete;
    auto operator=(const agent_process&) -> agent_process& = delete;
    auto operator=(agent_process&&) -> agent_process& = delete;

    /// Opens the listeners and starts registration and the configuration follower. `on_serving` is
    /// called once, when the incarnation is known.
    auto start(std::function<auto()->void> on_serving) -> common::result<void>;

    /// Drains, waits for the runs up to the drain limit, and calls `done` with the number of runs
    /// that were failed at the limit. Call once.
    auto shut_down(std::function<auto(std::size_t failed_runs)->void> done) -> void;

    [[nodiscard]] auto rpc_address() const -> std::string;
    [[nodiscard]] auto http_port() const -> std::uint16_t;

    [[nodiscard]] auto pool() -> daemon::io_pool& { return this->threads; }

private:
    auto make_follower() -> std::shared_ptr<inventory::follower>;
    auto make_log() -> platform::log_hooks;
    auto open_rpc() -> common::result<void>;
    auto open_http() -> common::result<void>;
    auto register_self(std::function<auto()->void> on_serving) -> void;
    auto make_core(common::incarnation_id incarnation) -> void;
    /// Starts to send orders to the engine if the incarnation is a log offset, which is the lease,
    /// and a weight store is configured.
    auto start_engine_control(
        const agent::registration_record& record,
        common::incarnation_id incarnation,
        common::time_point requested_at) -> void;
    auto make_agent_service() -> messages::agent_service;
    auto schedule_tick() -> void;
    auto wait_until_idle(
        common::time_point limit, std::function<auto(std::size_t failed_runs)->void> done) -> void;
    auto close_rpc(std::size_t failed_runs, std::function<auto(std::size_t failed_runs)->void> done)
        -> void;
    [[nodiscard]] auto current_core() const -> std::shared_ptr<agent::core>;

    const agent_settings settings;
    daemon::io_pool threads;
    core_metrics metrics;
    std::shared_ptr<membership::host_watcher> hosts;
    std::unique_ptr<wire::rpc_client> peers;
    std::shared_ptr<inventory::follower> follower;
    platform::log_hooks log;
    std::atomic<std::shared_ptr<agent::core>> core;
    /// Set before the first tick; null if the engine gets no orders.
    std::shared_ptr<engine_control> engine;
    std::atomic<bool> leaving = false;
    std::unique_ptr<wire::rpc_server> rpc;
    std::unique_ptr<http::server> http;
};

} // namespace reedramp::agent_program
