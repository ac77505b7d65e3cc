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

/// Each request is billed exactly once: a bill is kept until it was read back from the log, and
/// readers drop a second record of an id.
namespace reedramp::billing {

struct collector_config {
    /// Least time between the starts of two appends. With N processes that append, the log gets at
    /// most N / interval appends a second.
    common::duration append_interval = std::chrono::seconds{1};
    /// Longest wait of a bill for others to share its append.
    common::duration batch_wait = std::chrono::milliseconds{500};
    /// Bills of one append.
    std::size_t batch_bills = 2000;
    /// Wait after the log could not be reached; doubles up to the longest.
    common::duration first_retry = std::chrono::milliseconds{500};
    common::duration longest_retry = std::chrono::seconds{5};
    /// A call that has not answered by then counts as one whose answer is lost.
    common::duration call_within = std::chrono::seconds{10};
    /// Bytes of bills not yet read back (`size_of`) at which new work is refused. 24 MiB hold an
    /// hour without the log at 20 requests a second and 350 bytes a bill.
    std::size_t full_bytes = std::size_t{24} * 1024 * 1024;
};

struct collector_hooks {
    platform::log_hooks log;
    common::clock_hook now;
    common::timer_hook timer;
    common::random_hook random;
    /// Passes bills to another process that appends them with those of many (see `receive`), and
    /// answers when that process has read them back. Empty: append directly. An error makes the
    /// collector append the batch itself; the reader drops what arrives twice.
    std::function<
        auto(messages::bill_handover bills, messages::answer_hook<messages::accepted> done)->void>
        forward = nullptr;
};

struct collector_counters {
    std::size_t pending_bills = 0;
    std::size_t pending_bytes = 0;
    std::uint64_t confirmed_bills = 0;
    std::uint64_t appends = 0;
    /// Batches sent again since it was not known whether the first was kept.
    std::uint64_t resent = 0;
};

/// Gathers bills, appends them in batches and keeps them until they were read back from the log.
///
/// Nothing is ever dropped: at the bound `accepts_work` turns false, so that the process refuses
/// new requests; what already runs is still taken, at most one bill for each running request.
///
/// Thread-safe; hooks are called outside the lock. Timers hold weak references, so that the object
/// may go at any time.
class collector : public std::enable_shared_from_this<collector> {
public:
    static auto create(collector_config config, collector_hooks hooks)
        -> std::shared_ptr<collector>;

    /// Takes the bill of a request that has ended.
    auto add(messages::bill item) -> void;

    /// Takes bills of another process; `done` is called when all were read back. Error:
    /// `queue_full` when half of the bound is reached, so that the bills of others cannot stop this
    /// process's own work; the sender keeps them then.
    auto receive(messages::bill_handover bills, messages::answer_hook<messages::accepted> done)
        -> void;

    /// False while the bound is reached: refuse new work.
    [[nodiscard]] auto accepts_work() const -> bool;

    /// Stops waiting for full batches: appends what there is at once. For the graceful shutdown.
    auto flush() -> void;

    /// All bills that were not read back, for a peer's `receive`. They stay pending here too; give
    /// them up with `release` when the peer has confirmed.
    [[nodiscard]] auto hand_over() const -> messages::bill_handover;

    /// Forgets the bills that a peer has read back.
    auto release(const messages::bill_handover& confirmed) -> void;

    [[nodiscard]] auto empty() const -> bool;
    [[nodiscard]] auto counters() const -> collector_counters;

    ~collector();
    collector(const collector&) = delete;
    auto operator=(const collector&) -> collector& = delete;

private:
    struct receipt;
    struct held_bill;
    struct sent_batch;
    using action = std::function<auto()->void>;
    using actions = std::vector<action>;

    collector(collector_config config, collector_hooks hooks);

    auto hold(messages::bill item, std::shared_ptr<receipt> from, common::time_point now) -> void;
    auto schedule(common::time_point now, actions& todo) -> void;
    auto call_at(common::time_point when, actions& todo) -> void;
    auto form_batch() -> void;
    auto send(common::time_point now, actions& todo) -> void;
    auto forward(actions& todo) -> void;
    auto append(actions& todo) -> void;
    auto read_back(actions& todo) -> void;
    auto on_timer(common::time_point when) -> void;
    auto on_forwarded(std::uint64_t turn, bool accepted) -> void;
    auto on_appended(std::uint64_t turn, common::result<common::log_offset> answer) -> void;
    auto on_read(std::uint64_t turn, const common::result<platform::read_answer>& answer) -> void;
    auto try_again(common::time_point now) -> void;
    auto confirm(actions& todo) -> void;
    auto let_go(held_bill& item, actions& todo) -> void;

    /// Runs `change(now, todo)` under the lock, then the actions that it collected outside it.
    template <typename Change>
    auto with_lock(Change change) -> void;

    collector_config config;
    collector_hooks hooks;

    mutable std::mutex lock;
    /// Not sent yet, oldest first.
    std::deque<held_bill> waiting;
    /// The batch under way, if any.
    std::unique_ptr<sent_batch> sent;
    /// Numbers the calls, so that the answer of one that was given up is not taken for another's.
    std::uint64_t turns = 0;
    std::size_t held_bytes = 0;
    common::time_point next_send{};
    common::time_point timer_at = common::never;
    common::duration retry_wait{};
    bool flushing = false;
    collector_counters counted;
};

} // namespace reedramp::billing
