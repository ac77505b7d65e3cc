#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "billing/codec.hpp"
#include "common/hooks.hpp"
#include "common/ids.hpp"
#include "common/result.hpp"
#include "messages/channel.hpp"
#include "messages/peer.hpp"
#include "platform/hooks.hpp"

/// Billing of requests. Each request is billed exactly once: a bill is kept until it has been read
/// back from the log, and readers ignore further bills of the same id.
namespace reedramp::billing {

struct collector_config {
    /// Minimum time between the starts of two appends. With N processes that append, the log
    /// receives at most N / `append_interval` appends per second.
    common::duration append_interval = std::chrono::seconds{1};
    /// Maximum time that a bill waits for others to join its batch.
    common::duration batch_wait = std::chrono::milliseconds{500};
    /// Bills per append.
    std::size_t max_batch_bills = 2000;
    /// Delay before a failed batch is retried; doubles up to `max_retry_wait`.
    common::duration initial_retry_wait = std::chrono::milliseconds{500};
    common::duration max_retry_wait = std::chrono::seconds{5};
    /// A call without a response after this time is treated as one whose response was lost.
    common::duration call_timeout = std::chrono::seconds{10};
    /// Bytes of unconfirmed bills (see `size_of`) at which new work is refused. 24 MiB cover an
    /// hour without the log at 20 requests per second and 350 bytes per bill.
    std::size_t max_pending_bytes = std::size_t{24} * 1024 * 1024;
};

struct collector_hooks {
    platform::log_hooks log;
    common::clock_hook now;
    common::timer_hook timer;
    common::random_hook random;
    /// Sends bills to a gatherer, which appends them together with those of other entries (see
    /// `receive`), and calls `done` when the gatherer has read them back. If empty, the collector
    /// appends all bills itself. After an error it appends the batch itself; readers ignore
    /// duplicates.
    std::function<
        auto(messages::bill_handover bills, messages::answer_hook<messages::accepted> done)->void>
        forward = nullptr;
};

struct collector_counters {
    std::size_t pending_bills = 0;
    std::size_t pending_bytes = 0;
    std::uint64_t confirmed_bills = 0;
    std::uint64_t appends = 0;
    /// Batches sent again because it was unknown whether the log had stored them.
    std::uint64_t resent = 0;
};

/// Collects bills, appends them to the log in batches and keeps them until they have been read
/// back.
///
/// No bill is ever dropped. At the limit `accepts_work` returns false, so that the process refuses
/// new requests; bills of requests that already run are still accepted, at most one for each.
///
/// Thread-safe; hooks are called without the lock held. Timers hold weak references, so the object
/// may be destroyed at any time.
class collector : public std::enable_shared_from_this<collector> {
public:
    static auto create(collector_config config, collector_hooks hooks)
        -> std::shared_ptr<collector>;

    /// Adds the bill of a request that has ended.
    auto add(messages::bill item) -> void;

    /// Adds bills of another process, and calls `done` when all have been read back. The error is
    /// `queue_full` if more than half of the limit would be used, so that bills of other processes
    /// can't block this process's own work; the sender then keeps its bills.
    auto receive(messages::bill_handover bills, messages::answer_hook<messages::accepted> done)
        -> void;

    /// Whether new work may be accepted; false while the limit is reached.
    [[nodiscard]] auto accepts_work() const -> bool;

    /// Appends pending bills at once instead of waiting for full batches, from now on. For the
    /// graceful shutdown.
    auto flush() -> void;

    /// Returns all unconfirmed bills, for a peer's `receive`. They stay pending in this collector;
    /// call `release` when the peer has confirmed them.
    [[nodiscard]] auto make_handover() const -> messages::bill_handover;

    /// Removes the bills that a peer has confirmed.
    auto release(const messages::bill_handover& confirmed) -> void;

    /// Whether no bill is pending.
    [[nodiscard]] auto empty() const -> bool;
    [[nodiscard]] auto counters() const -> collector_counters;

    ~collector();
    collector(const collector&) = delete;
    auto operator=(const collector&) -> collector& = delete;

private:
    struct handover_receipt;
    struct pending_bill;
    struct in_flight_batch;
    using action = std::function<auto()->void>;
    using actions = std::vector<action>;

    collector(collector_config config, collector_hooks hooks);

    auto
    add_pending(messages::bill item, std::shared_ptr<handover_receipt> from, common::time_point now)
        -> void;
    auto schedule(common::time_point now, actions& deferred) -> void;
    auto call_at(common::time_point when, actions& deferred) -> void;
    auto start_batch() -> void;
    auto send(common::time_point now, actions& deferred) -> void;
    auto forward(actions& deferred) -> void;
    auto append(actions& deferred) -> void;
    auto read_back(actions& deferred) -> void;
    auto on_timer(common::time_point when) -> void;
    auto on_forwarded(std::uint64_t call, bool accepted) -> void;
    auto on_appended(std::uint64_t call, common::result<common::log_offset> answer) -> void;
    auto on_read(std::uint64_t call, const common::result<platform::read_answer>& answer) -> void;
    auto schedule_retry(common::time_point now) -> void;
    auto confirm(actions& deferred) -> void;
    auto remove_pending(pending_bill& item, actions& deferred) -> void;

    /// Runs `change(now, deferred)` with the lock held, then the deferred actions without it.
    template <typename Change>
    auto with_lock(Change change) -> void;

    collector_config config;
    collector_hooks hooks;

    mutable std::mutex lock;
    /// Bills in no batch yet, oldest first.
    std::deque<pending_bill> waiting;
    /// The current batch, if any.
    std::unique_ptr<in_flight_batch> in_flight;
    /// Identifies the current call, so that the response to an abandoned call is ignored.
    std::uint64_t call_number = 0;
    std::size_t pending_bytes = 0;
    common::time_point next_send{};
    common::time_point timer_at = common::never;
    common::duration retry_wait{};
    bool flushing = false;
    collector_counters counted;
};

} // namespace reedramp::billing
