#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "administration.hpp"
#include "billing/collector.hpp"
#include "claim_router.hpp"
#include "claims/claim_arbiter_set.hpp"
#include "control/checkpointer.hpp"
#include "daemon/io_pool.hpp"
#include "entry/core.hpp"
#include "entry/placer.hpp"
#include "entry/version_policy.hpp"
#include "entry_metrics.hpp"
#include "http/server.hpp"
#include "inventory/follower.hpp"
#include "inventory/publisher.hpp"
#include "limits/shared_limiter.hpp"
#include "membership/host_watcher.hpp"
#include "membership/readiness.hpp"
#include "membership/view.hpp"
#include "platform/hooks.hpp"
#include "settings.hpp"
#include "wire/rpc_client.hpp"
#include "wire/rpc_server.hpp"

namespace reedramp::entry_program {

/// The entry process: connects the core and its collaborators to sockets, threads and timers. It
/// contains no routing logic.
class entry_process {
public:
    explicit entry_process(entry_settings wanted);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process(entry_process&&) = delete;
    auto operator=(const entry_process&) -> entry_process& = delete;
    auto operator=(entry_process&&) -> entry_process& = delete;

    /// Opens the listeners and starts following the configuration. Until a configuration has been
    /// read, requests are refused with `not_run`.
    auto start() -> common::result<void>;

    /// Shuts down gracefully: lets requests in flight complete within the timeout, then waits for
    /// the bills to be confirmed or hands them over. Calls `done` with the number of aborted
    /// requests. Must be called once.
    auto shut_down(std::function<auto(std::size_t aborted_count)->void> done) -> void;

    [[nodiscard]] auto rpc_address() const -> std::string;
    [[nodiscard]] auto http_port() const -> std::uint16_t;

    [[nodiscard]] auto pool() -> daemon::io_pool& { return this->threads; }

private:
    auto make_clients() -> void;
    auto make_members() -> void;
    auto make_follower() -> void;
    auto make_claims() -> void;
    auto make_bills() -> void;
    auto make_core() -> void;
    auto make_core_hooks() -> entry::core_hooks;
    auto set_routing_hooks(entry::core_hooks& hooks) -> void;
    auto set_accounting_hooks(entry::core_hooks& hooks) -> void;
    auto open_rpc() -> common::result<void>;
    auto open_http() -> common::result<void>;

    auto configuration_changed(const inventory::snapshot_ptr& state) -> void;
    auto entries_changed(std::vector<common::host_id> entries) -> void;
    auto schedule_tick() -> void;
    auto send_gossip() -> void;
    auto send_gossip_to(const messages::rpc_address& to, messages::gossip gossip) -> void;
    auto make_gossip() -> messages::gossip;
    auto answer_gossip(const messages::gossip& gossip) -> messages::gossip;
    auto fetch_ratings() -> void;
    auto advance_rollouts() -> void;
    auto append_checkpoint() -> void;
    auto propose(const control::rollout_action& action) -> void;
    auto submit_for_rating(entry::rated_chat item) -> void;
    auto wait_for_connections(common::time_point limit, std::function<auto()->void> done) -> void;
    auto finish_shutdown(
        std::size_t aborted_count, std::function<auto(std::size_t aborted_count)->void> done)
        -> void;
    auto flush_bills(common::time_point limit, std::function<auto()->void> done) -> void;
    auto hand_over_bills(std::function<auto()->void> done) -> void;

    const entry_settings settings;
    daemon::io_pool threads;
    entry_metrics metrics;
    platform::log_hooks log;
    platform::rating_hooks ratings;
    std::shared_ptr<membership::view> members;
    std::shared_ptr<membership::host_watcher> hosts;
    membership::readiness readiness;
    control::checkpointer checkpoints;
    std::shared_ptr<entry::placer> placer;
    std::unique_ptr<wire::rpc_client> peers;
    std::shared_ptr<inventory::follower> follower;
    std::shared_ptr<inventory::publisher> publisher;
    std::shared_ptr<claims::claim_arbiter_set> claim_arbiters;
    std::shared_ptr<claim_router> claim_routing;
    std::shared_ptr<billing::collector> bills;
    std::unique_ptr<limits::shared_limiter> limiter;
    std::shared_ptr<administration> admin;
    std::unique_ptr<entry::version_policy> versions;
    std::shared_ptr<entry::core> core;
    std::atomic<std::uint64_t> gossip_sequence{0};
    std::atomic<std::uint64_t> ratings_read{0};
    std::atomic<bool> fetching_ratings{false};
    std::mutex configuration_lock;
    common::log_offset configured_offset;
    std::unique_ptr<wire::rpc_server> rpc;
    std::unique_ptr<http::server> http;
};

} // namespace reedramp::entry_program
