#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "routing/rollout.hpp"
#include "routing/server_instance.hpp"

namespace reedramp::routing {

using common::time_point;

/// Longest time after which the store still performs a write that it has not answered, with a
/// margin for the writer's own retries. The platform speaks of seconds.
inline constexpr common::duration late_write_time = std::chrono::seconds{10};

/// How an entry learned of an order.
struct order_origin {
    /// Earliest time at which its record can have been written: an earlier reading did not have it
    /// yet. Without a value, when it is applied.
    std::optional<time_point> written_after = std::nullopt;
    /// It was read as the newest record of its key, so the orders before it are not known.
    bool is_newest_only = false;
};

/// Why an order is held.
enum class hold_reason : std::uint8_t {
    /// It repeats a past one. It is carried out when new servers of its version have started.
    repeats_past,
    /// It would replace one that is under way. It is carried out when its version has servers.
    has_no_servers,
};

/// An order that is not carried out unless servers show that it was given.
struct held_order {
    rollout_order order;
    time_point since;
    hold_reason why = hold_reason::repeats_past;
};

/// The past orders of one service, by which a new order is told from a late write of a past one.
///
/// An order's record does not say which order it is. The store may perform an operator's write
/// seconds late, a second time or for the first, and after the next order: its newest record is
/// then an order that is over. But operators may also give a past order again, or replace one that
/// is under way. What tells them apart are the servers: each order that is given starts servers of
/// its version, a late write starts none.
class order_history {
public:
    /// Whether the record at this position, or a later one, was judged before. Unknown positions
    /// were not.
    [[nodiscard]] auto has_judged(stream_position at) const -> bool
    {
        return at != stream_position{} && at <= this->newest_judged;
    }

    auto note_judged(stream_position at) -> void;

    /// Position of the newest record that was judged.
    [[nodiscard]] auto judged_to() const -> stream_position { return this->newest_judged; }

    auto note_replaced(const rollout_order& order, time_point now) -> void;

    [[nodiscard]] auto was_replaced(const rollout_order& order) const -> bool;

    /// Whether a record of this order, written at `written` or later, may be a late write of an
    /// order that was replaced.
    [[nodiscard]] auto may_be_late_write(const rollout_order& order, time_point written) const
        -> bool;

    /// Records that the store was restored from an older copy. Operators then write again what the
    /// copy lacks, so the order of earlier records says nothing about later ones.
    auto note_new_era() -> void;

    /// Records the servers of the version in force, until its state is published.
    auto note_servers(const common::version_id& version, const std::vector<server_instance>& now)
        -> void;

    /// Whether servers of the version were recorded, even if there were none.
    [[nodiscard]] auto has_seen(const common::version_id& version) const -> bool
    {
        return this->seen.contains(version);
    }

    /// Whether more servers of the version have started since it was given up than can be
    /// stragglers of that start, whose first registration was late.
    [[nodiscard]] auto has_new_servers(
        const common::version_id& version,
        const std::vector<server_instance>& now,
        std::size_t servers_in_force) const -> bool;

    /// Holds an order in place of the one that is held. One that repeats a past order does not
    /// replace a new one.
    auto hold(const held_order& one) -> void;

    auto drop_held() -> void { this->waiting.reset(); }

    [[nodiscard]] auto held() const -> const std::optional<held_order>& { return this->waiting; }

private:
    struct replaced_order {
        rollout_order order;
        time_point at;
        bool is_of_this_era = true;
    };

    stream_position newest_judged{};
    /// Newest last.
    std::deque<replaced_order> replaced;
    /// Instances of each recent version that were seen while it was in force.
    std::map<common::version_id, std::set<server_instance>> seen;
    std::optional<held_order> waiting;
};

} // namespace reedramp::routing
