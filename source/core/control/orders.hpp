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
    /// How long a lease is valid after the last confirmation that there is no newer one.
    common::duration lease_time = std::chrono::seconds(10);
    /// Interval of the checks for a newer registration while there is an order to send.
    common::duration renew_period = std::chrono::seconds(3);
    /// Interval of these checks while there is no order to send. It must be shorter than the log's
    /// retention: an agent that reads less often can't tell which records it missed, and would
    /// never regain its lease.
    common::duration idle_period = std::chrono::minutes(5);
    /// Maximum time between the authorisation of an order and its arrival at the engine.
    common::duration order_delivery_time = std::chrono::seconds(5);
    /// A call without a response after this time is treated as one whose response was lost.
    common::duration call_timeout = std::chrono::seconds(120);
    /// Interval at which the engine's state is read while there is nothing to do.
    common::duration engine_read_period = std::chrono::seconds(5);
    /// Delay after a failed read, fetch or order.
    common::duration retry_after = std::chrono::seconds(2);
};

enum class order_action : std::uint8_t { load, unload };

struct engine_order {
    order_action action = order_action::load;
    common::version_id version;

    auto operator==(const engine_order&) const -> bool = default;
};

/// What the configuration requires of this agent's engine.
struct engine_plan {
    /// Versions to load.
    std::set<common::version_id> wanted;
    /// Versions to unload if they are loaded. Versions in neither set are left as they are.
    std::set<common::version_id> unwanted;
    /// Whether the engine refuses an order with an old fencing number.
    bool checks_fencing = false;
};

/// Read the newest registration record of this agent's backend server from the log.
struct read_registrations {
    std::uint64_t ticket = 0;
};

/// Ask the engine which versions it has loaded.
struct read_engine {
    std::uint64_t ticket = 0;
};

/// Fetch a version's weights from the weight store, whose rate limit all agents share.
struct fetch_weights {
    std::uint64_t ticket = 0;
    common::version_id version;
};

/// Send this order with the fencing number. Call `authorise` immediately before writing the
/// request, and don't send it if the result is false.
struct send_order {
    std::uint64_t ticket = 0;
    engine_order order;
    std::uint64_t fencing = 0;
};

using order_step = std::variant<read_registrations, read_engine, fetch_weights, send_order>;

/// Decides which orders an agent sends to its engine. Maps its state, an event and the current time
/// to steps that the caller executes. Thread-safe.
///
/// Two processes may both believe that they are the engine's agent, for example when a process is
/// replaced while its host is suspended and then resumes. A lease keeps the older one from sending
/// orders. The lease number is the offset of the agent's own registration record, so the log orders
/// the leases. A lease is valid until a newer record is seen, and for at most `lease_time` after
/// the last read that showed none was sent. The clock includes suspended time, so a process that
/// resumes finds its lease expired before it sends an order.
///
/// An engine that checks fencing numbers refuses any later order of the old agent. If the engine
/// does not check them, the new agent waits until the old lease has expired and its last order must
/// have arrived. A process that is suspended for longer than that between `authorise` and the send
/// can still change such an engine's state; reading that state after each order and every
/// `engine_read_period` detects this, and further orders correct it.
class engine_orders {
public:
    /// `lease` is the offset of the registration record, whose append was sent at
    /// `registration_sent_at` and completed at `now`. Without a lease, because the agent could not
    /// register, no orders are sent.
    engine_orders(
        order_settings settings,
        std::optional<common::log_offset> lease,
        common::time_point registration_sent_at,
        common::time_point now);

    /// Returns the steps to execute now. Call it several times a second, and after each event.
    auto tick(const engine_plan& plan, common::time_point now) -> std::vector<order_step>;

    /// Result of `read_registrations`: the offset of the newest registration of this server in the
    /// log.
    auto on_registrations(
        std::uint64_t ticket,
        const common::result<common::log_offset>& newest,
        common::time_point now) -> void;

    /// Result of `read_engine`: the versions that the engine has loaded.
    auto on_engine(
        std::uint64_t ticket,
        common::result<std::set<common::version_id>> loaded,
        common::time_point now) -> void;

    /// Result of `fetch_weights`. If the error has a `retry_at`, no order is sent before it.
    auto
    on_weights(std::uint64_t ticket, const common::result<void>& outcome, common::time_point now)
        -> void;

    /// Whether the order with this ticket may be sent now.
    [[nodiscard]] auto authorise(std::uint64_t ticket, common::time_point now) const -> bool;

    /// Result of `send_order`: the engine's response. `fencing_refused` means that the engine has
    /// seen the number of a newer agent, and ends the lease.
    auto on_order(std::uint64_t ticket, const common::result<void>& outcome, common::time_point now)
        -> void;

    /// When the lease expires unless it is renewed; `time_point::min()` if there is none or it was
    /// lost.
    [[nodiscard]] auto held_until() const -> common::time_point;

private:
    enum class stage : std::uint8_t { idle, reading_engine, fetching_weights, sending_order };

    [[nodiscard]] auto holds_lease(common::time_point now) const -> bool;
    [[nodiscard]] auto next_order(const engine_plan& plan) const -> std::optional<engine_order>;
    [[nodiscard]] auto may_send_order(const engine_plan& plan, common::time_point now) const
        -> bool;
    [[nodiscard]] auto needs_lease(const engine_plan& plan) const -> bool;
    auto expire_calls(common::time_point now) -> void;
    auto renew_lease(common::time_point now, std::vector<order_step>& steps) -> void;
    auto read_engine_state(common::time_point now, std::vector<order_step>& steps) -> void;
    auto begin_next_order(
        const engine_plan& plan, common::time_point now, std::vector<order_step>& steps) -> void;
    auto begin_call(stage next, common::time_point now) -> std::uint64_t;
    /// Ends the call with this ticket. Returns false if it is not the current call, for example
    /// because that one has timed out.
    auto finish_call(stage of, std::uint64_t ticket) -> bool;
    auto lose_lease(const char* why) -> void;
    /// Compares the engine's reported state with the last order.
    auto check_effect(common::time_point now) -> void;

    const order_settings settings;
    const std::optional<common::log_offset> lease;
    /// When the lease of a previous agent has expired and its last order has arrived; used for an
    /// engine that does not check fencing numbers.
    const common::time_point old_lease_end;

    mutable std::mutex lock;
    /// When the last read that showed no newer registration was sent.
    common::time_point lease_confirmed_at;
    bool lease_lost = false;
    std::uint64_t last_ticket = 0;

    /// Ticket of the read of registrations in flight.
    std::optional<std::uint64_t> renewal;
    common::time_point renewal_sent{};
    common::time_point next_renewal{};

    stage current_stage = stage::idle;
    std::uint64_t call_ticket = 0;
    common::time_point call_deadline{};
    engine_order current;

    /// Versions that the engine has loaded; empty while an order may have changed them.
    std::optional<std::set<common::version_id>> loaded;
    common::time_point next_engine_read{};
    common::time_point next_order_at{};
    /// Sent, but its effect is not visible in the engine's state yet.
    std::optional<engine_order> unconfirmed;
    /// Version whose weights were fetched, but that the engine does not report as loaded yet.
    std::optional<common::version_id> fetched;
};

} // namespace reedramp::control
