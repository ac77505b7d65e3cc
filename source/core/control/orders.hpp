#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"

namespace reedramp::control {

struct order_settings {
    /// How long a lease holds after the evidence that there is no newer one.
    common::duration lease_time = std::chrono::seconds(10);
    /// Time between two looks for a newer registration, while there is an order to give.
    common::duration renew_period = std::chrono::seconds(3);
    /// The same while there is none. It has to be shorter than the log keeps its records: a reader
    /// that has not read on since can't know what it missed, and would never get its lease back.
    common::duration idle_period = std::chrono::minutes(5);
    /// How long after its check an order may still reach the engine.
    common::duration order_time = std::chrono::seconds(5);
    /// A call that has not answered by then counts as one whose answer is lost.
    common::duration answer_time = std::chrono::seconds(120);
    /// Time between two looks at the engine while nothing is to be done.
    common::duration look_period = std::chrono::seconds(5);
    /// Pause after a look, a fetch or an order that failed.
    common::duration retry_after = std::chrono::seconds(2);
};

enum class order_action : std::uint8_t { load, unload };

struct engine_order {
    order_action action = order_action::load;
    common::version_id version;

    auto operator==(const engine_order&) const -> bool = default;
};

/// What the configuration says of this agent's engine.
struct engine_plan {
    std::set<common::version_id> wanted;
    /// To be unloaded if they are loaded; others are left alone.
    std::set<common::version_id> unwanted;
    /// Whether the engine refuses an order with an old fencing number.
    bool checks_fencing = false;
};

/// Look for the newest registration record of this agent's backend server.
struct read_registrations {
    std::uint64_t ticket = 0;
};

/// Ask the engine which versions it has loaded.
struct read_engine {
    std::uint64_t ticket = 0;
};

/// Take a version's weights out of the weight store, whose rate all agents share.
struct fetch_weights {
    std::uint64_t ticket = 0;
    common::version_id version;
};

/// Send this order with the fencing number. Call `authorise` right before the bytes go, and don't
/// send them if it says no.
struct give_order {
    std::uint64_t ticket = 0;
    engine_order order;
    std::uint64_t fencing = 0;
};

using order_step = std::variant<read_registrations, read_engine, fetch_weights, give_order>;

/// The orders of one agent to its engine: state + event + now -> steps. Thread-safe.
///
/// Two processes may each believe that they are the engine's agent: one was replaced while its host
/// was suspended, and wakes. They are kept apart by a lease. Its number is the offset of the
/// agent's own registration record, so the log orders the leases; it is held until a newer record
/// was seen, and at most `lease_time` from the sending of the last question that showed none. The
/// clock counts suspended time, so a process that wakes finds its lease lapsed before it orders
/// anything.
///
/// An engine that checks fencing numbers refuses whatever the old agent sends later. With one that
/// does not, the new agent waits until the old lease has lapsed and its last order has arrived. A
/// process that is suspended between the check and the send, for longer than that, can still
/// disturb such an engine; reading the engine's state back after each order, and every
/// `look_period`, finds and mends that.
class engine_orders {
public:
    /// `lease` is the offset of the registration record, whose append was sent at `asked_at` and
    /// answered at `now`. Nothing when the agent could not register: it then gives no order at all.
    engine_orders(
        order_settings settings,
        std::optional<common::log_offset> lease,
        common::time_point asked_at,
        common::time_point now);

    /// What is due now. Call it several times a second, and after each event.
    auto tick(const engine_plan& plan, common::time_point now) -> std::vector<order_step>;

    /// The newest registration of this server that the log holds.
    auto on_registrations(
        std::uint64_t ticket,
        const common::result<common::log_offset>& newest,
        common::time_point now) -> void;

    auto on_engine(
        std::uint64_t ticket,
        common::result<std::set<common::version_id>> loaded,
        common::time_point now) -> void;

    /// The weights are fetched, or, as an error, they are not; `retry_at` of the error is heeded.
    auto
    on_weights(std::uint64_t ticket, const common::result<void>& outcome, common::time_point now)
        -> void;

    /// Whether the order with this ticket may be sent at this moment.
    [[nodiscard]] auto authorise(std::uint64_t ticket, common::time_point now) const -> bool;

    /// The engine's answer. `fencing_refused`: it knows a newer agent.
    auto on_order(std::uint64_t ticket, const common::result<void>& outcome, common::time_point now)
        -> void;

    /// Until when the lease holds as far as is known; in the past if it does not.
    [[nodiscard]] auto held_until() const -> common::time_point;

private:
    enum class stage : std::uint8_t { idle, looking, fetching, ordering };

    [[nodiscard]] auto holds(common::time_point now) const -> bool;
    [[nodiscard]] auto next_order(const engine_plan& plan) const -> std::optional<engine_order>;
    [[nodiscard]] auto may_order(const engine_plan& plan, common::time_point now) const -> bool;
    [[nodiscard]] auto needs_lease(const engine_plan& plan) const -> bool;
    auto expire(common::time_point now) -> void;
    auto renew(common::time_point now, std::vector<order_step>& steps) -> void;
    auto look(common::time_point now, std::vector<order_step>& steps) -> void;
    auto order(const engine_plan& plan, common::time_point now, std::vector<order_step>& steps)
        -> void;
    auto begin(stage next, common::time_point now) -> std::uint64_t;
    /// Ends the call with this ticket; false if it is not the one under way.
    auto finish(stage of, std::uint64_t ticket) -> bool;
    auto lose(const char* why) -> void;
    /// Compares what the engine reports with the last order.
    auto check_effect(common::time_point now) -> void;

    const order_settings settings;
    const std::optional<common::log_offset> lease;
    /// For an engine that ignores fencing numbers.
    const common::time_point old_lease_ends;

    mutable std::mutex lock;
    common::time_point evidence;
    bool lost = false;
    std::uint64_t last_ticket = 0;

    std::optional<std::uint64_t> renewal;
    common::time_point renewal_sent{};
    common::time_point next_renewal{};

    stage now_doing = stage::idle;
    std::uint64_t call = 0;
    common::time_point call_ends{};
    engine_order current;

    /// What the engine has; nothing while an order may have changed it.
    std::optional<std::set<common::version_id>> loaded;
    common::time_point next_look{};
    common::time_point next_order_at{};
    /// Given, but its effect was not seen yet.
    std::optional<engine_order> unconfirmed;
    /// Fetched from the weight store, but not seen loaded yet.
    std::optional<common::version_id> fetched;
};

} // namespace reedramp::control
