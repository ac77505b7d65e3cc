#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "router/router_core.hpp"

namespace reedramp::router {

struct follower_options {
    /// How long the store holds a read open if nothing is new. Each takes one call, and a
    /// connection that died silently is abandoned after it.
    std::chrono::milliseconds rules_wait{8000};
    /// Pauses after a failed call. `first_pause` is used until the entry is ready, as no caller can
    /// be served before.
    std::chrono::milliseconds pause{400};
    std::chrono::milliseconds first_pause{150};
    /// Time after an outage of the store in which registrations that lapsed during it are renewed.
    std::chrono::milliseconds registration_grace{2000};
    /// Interval at which servers register again; 0 if unknown.
    std::chrono::milliseconds registration_period{0};
};

/// Returns the pause after a failed call, which depends on whether `core` is ready.
auto pause_after_failure(const router_core& core, const follower_options& options)
    -> std::chrono::milliseconds;

/// Keeps the rules, the roll-out orders and the evacuations up to date from the store.
///
/// On an entry for which `is_reader` is true, one read is always waiting at the store, so that
/// changes arrive at once and a day without changes takes few calls. The other entries learn of
/// newer versions and orders from peers; otherwise the number of calls would grow with the entries.
/// If the store has dropped the records since the last reading, everything is read again.
class rules_follower : public std::enable_shared_from_this<rules_follower> {
public:
    /// `is_reader` returns whether this entry reads for the others; empty means that it does.
    /// `on_read` runs after each reading; may be empty.
    rules_follower(
        std::shared_ptr<router_core> core,
        shared_store store,
        follower_options options,
        std::function<auto()->bool> is_reader = {},
        std::function<auto()->void> on_read = {});

    /// Starts reading. If rules are in force already, a neighbour has provided them, and the entry
    /// reads only once it is a reader.
    auto start() -> void;

    /// Reads at once after the store has recovered. A read sent earlier may hang for all of
    /// `rules_wait` on a dead connection while another connection works, which would leave the
    /// entry with rules as much as 11 seconds old.
    auto refresh() -> void;

    /// Asks the store whether the operators' stream has ended since the last reading, beside the
    /// read that waits there.
    auto check() -> void;

private:
    using order_list = std::vector<routing::rollout_order>;

    /// What the operators' records before the newest ones say.
    struct rules_history {
        order_list orders;
        /// The rules of the highest version.
        std::optional<published_rules> newest;

        auto add(rules_document document) -> void;
    };

    auto read_rollout_states() -> void;
    /// Reads new documents, waiting for them up to `wait`.
    auto read_next(std::chrono::milliseconds wait) -> void;
    auto continue_reading() -> void;
    auto read_after_failure() -> void;
    /// Continues reading at once, or as soon as this entry is a reader.
    auto read_when_reader() -> void;
    auto apply_evacuations(
        const std::vector<routing::evacuation_order>& orders, bool is_whole, stream_position end)
        -> void;
    auto on_reading(common::result<stream_reading<rules_document>> reading, time_point asked_at)
        -> void;
    /// Applies a successful reading that continues at the position.
    auto apply_reading(stream_reading<rules_document> reading, time_point asked_at) -> void;
    auto apply_check(
        stream_position from,
        common::result<stream_reading<rules_document>> reading,
        time_point asked_at) -> void;
    auto log_check(const std::string& what) const -> void;
    auto apply_rollout_orders(const order_list& orders, bool is_whole, bool is_copy) -> void;
    /// Reads the operators' records from `from` to `end`, and applies them after those in
    /// `earlier`.
    auto read_history(stream_position from, stream_position end, rules_history earlier) -> void;
    /// Keeps rules whose record may be a late write until the records before it have been read.
    auto hold_rules(published_rules rules, time_point now) -> void;
    /// Puts the held rules in force, or those in the history if they are newer.
    auto apply_held(std::optional<published_rules> newest) -> void;

    std::shared_ptr<router_core> core;
    shared_store store;
    follower_options options;
    std::function<auto()->bool> is_reader;
    std::function<auto()->void> on_read;
    std::optional<stream_position> position;
    /// When the last successful reading was asked for, and the read that waits now.
    time_point read_at{};
    time_point waiting_since{};
    std::optional<published_rules> held_rules;
    /// Era of the store at the last reading.
    std::optional<std::uint64_t> era;

    bool is_store_lost = false;
    bool is_check_lost = false;
    /// Number of the newest read. Results of older ones are ignored, as the newest returns the same
    /// documents.
    std::uint64_t newest_read = 0;
};

} // namespace reedramp::router
