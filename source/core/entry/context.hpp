#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <utility>

#include "common/sharded_map.hpp"
#include "entry/core.hpp"
#include "entry/core_hooks.hpp"
#include "entry/decisions.hpp"
#include "entry/exchange.hpp"
#include "entry/filter.hpp"
#include "placement/retry_budget.hpp"

namespace reedramp::entry {

/// Thread-safe counters for metrics and status.
class atomic_counters {
public:
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> retries{0};
    std::atomic<std::uint64_t> continued_streams{0};
    std::atomic<std::uint64_t> late_events{0};
    std::atomic<std::uint64_t> aborted_by_shutdown{0};

    auto count_refusal(common::result_code code) -> void;
    auto count_version(const common::version_id& version) -> void;
    [[nodiscard]] auto snapshot(std::size_t in_flight) -> core_counters;

private:
    static constexpr std::size_t code_limit = 1000;

    std::array<std::atomic<std::uint64_t>, code_limit> refusals{};
    common::sharded_map<common::version_id, std::uint64_t> versions;
};

/// Registry of the requests in flight and their deadlines. Thread-safe.
///
/// A timer per request would stay allocated until the deadline, long after the request was
/// answered; at 30 s and thousands of requests a second, the timers would need more memory than the
/// requests themselves. Instead, `take_overdue` is called periodically.
class request_registry {
public:
    auto add(const exchange_ptr& item) -> void;
    auto remove(const exchange& item) -> void;
    /// Returns the requests whose deadline has passed, each of them once.
    auto take_overdue(common::time_point now) -> std::vector<exchange_ptr>;
    auto all() -> std::vector<exchange_ptr>;
    /// Releases all requests, for a core that is destroyed before its requests have ended.
    auto clear() -> void;

    [[nodiscard]] auto size() const -> std::size_t { return this->count.load(); }

private:
    using due_key = std::pair<common::time_point, common::request_id>;

    struct shard {
        std::mutex lock;
        std::unordered_map<common::request_id, exchange_ptr> items;
        std::set<due_key> due;
    };

    static constexpr std::size_t shard_count = 16;

    auto shard_of(const common::request_id& id) -> shard&;

    std::array<shard, shard_count> shards;
    std::atomic<std::size_t> count{0};
};

/// State shared by all requests of one core.
class core_context {
public:
    core_context(core_options wanted, core_hooks given, admin_api operators);

    core_options options;
    core_hooks hooks;
    admin_api admin;
    decision_ring decisions;
    placement::retry_budget retry_budget;
    atomic_counters counters;
    request_registry requests;
    const filter_chain work_chain;
    const filter_chain models_chain;
    const filter_chain session_chain;
    /// Set when a graceful shutdown begins: no longer ready, but requests on open connections are
    /// still served.
    std::atomic<bool> is_draining{false};
    /// Set when the shutdown's deadline has passed: new requests are refused.
    std::atomic<bool> is_closed{false};
    /// Called when a request has ended during a graceful shutdown.
    std::function<auto()->void> on_request_ended;
};

} // namespace reedramp::entry
