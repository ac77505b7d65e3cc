#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "common/hooks.hpp"
#include "common/units.hpp"

namespace reedramp::overload {

using common::time_point;

struct admission_options {
    /// Pressure above which capacity is scarce.
    double scarce_from = 1.0;
    /// The same for a plain service, whose pressure is the expected time relative to the target.
    double plain_scarce_from = 0.9;
    /// How long the pressure stays above `scarce_from` before requests are rejected for it. Models
    /// are made smaller first, and a short burst is worked off within the deadlines.
    std::chrono::milliseconds patience{1000};
    /// Work admitted with its own urgency, relative to the work that the service completes. A rank
    /// whose requests wait nevertheless defers more of them.
    double used_room = 1.0;
    /// Share of the requests of every kind that is never rejected for scarcity.
    double least_admitted = 0.1;
    /// A deferred request is not rejected while its expected end is within this share of the time
    /// that its caller has left. A late answer has some value, and a refused caller returns once.
    double well_inside = 0.7;
    /// A request may wait for this share of its target.
    double longest_wait = 0.125;
    std::size_t max_waiting = 64;
    std::size_t max_waiting_bytes = 1024UL * 1024UL;
    /// Shortest Retry-After; callers that return sooner find the same load.
    std::chrono::milliseconds least_return{250};
    /// Time in which pressure falls by 1 once requests are rejected.
    std::chrono::milliseconds fall_time{1000};
};

/// What is known of the service at the moment of a decision.
struct service_state {
    /// As `pressure_of`.
    double pressure = 0.0;
    /// Its servers work on the most urgent request first. Without that, a request can't be
    /// deferred.
    bool has_urgency = true;
};

/// A request at its arrival, or before a further send.
struct admission_request {
    /// 0 is the most urgent.
    unsigned rank = 0;
    /// How many times its fair share the organisation uses; 1.0 within it.
    double excess = 1.0;
    /// Work at the smallest model, in the load tracker's unit.
    double work = 1.0;
    std::chrono::milliseconds target{0};
    /// Time until its deadline at this entry, and for which its caller waits at all.
    std::chrono::milliseconds left{0};
    std::chrono::milliseconds caller_left{0};
    /// It was refused before, or its server was lost.
    bool was_refused = false;
    /// Expected time at the smallest model from the start of the work to the end.
    std::chrono::milliseconds expected_duration{0};
    /// Expected time before the work starts, behind all requests in flight.
    std::chrono::milliseconds expected_wait{0};
    /// It was admitted before; only its deadline counts, and whether it gives way.
    bool is_further_send = false;
    /// It has waited at the entry, and may not do so again.
    bool has_waited = false;
    std::size_t bytes = 0;
};

enum class admission : std::uint8_t {
    start,
    /// Start behind all requests that are not deferred.
    start_deferred,
    wait,
    reject,
};

struct admission_decision {
    admission what = admission::start;
    /// "deadline", "scarcity", "share" or "burst"; empty for a plain start.
    std::string_view why = {};
    /// Length of the wait, or when the caller should return.
    std::chrono::milliseconds delay{0};
    /// Time until the expected end.
    std::chrono::milliseconds expected{0};
};

/// A request that started, at its first event or its response.
struct completed_request {
    unsigned rank = 0;
    /// As in `admission_request`.
    double work = 1.0;
    bool was_deferred = false;
    /// Time since it started, and its target.
    std::chrono::milliseconds waited{0};
    std::chrono::milliseconds target{0};
};

/// Returns a Retry-After around `expected`, spread over as long again, and in all at most a third
/// of the time `left`, which is the most that callers honour.
auto spread_return(std::chrono::milliseconds expected, std::chrono::milliseconds left, double draw)
    -> std::chrono::milliseconds;

/// Decides which requests to one service start, are deferred, wait and are rejected while its
/// capacity is scarce.
///
/// The room is measured: work of the entry's own requests that the service completes, relative to
/// the work that arrives. Unlike the pressure, which may be seconds old, that is known at once, so
/// entries do not swing. The room goes to the most urgent requests by the distribution of the
/// entry's own arrivals: the load balancer gives all entries a sample of the same load. Work beyond
/// the fair share of its organisation gives way before any other.
class admission_control {
public:
    explicit admission_control(common::random_hook random, admission_options options = {});

    auto decide(const admission_request& request, const service_state& state, time_point now)
        -> admission_decision;

    /// Records that the service has given a request's first event or its response.
    auto note_completed(const completed_request& request, time_point now) -> void;

    /// Records that a request starts to wait, or that its wait has ended.
    auto note_wait(std::size_t bytes) -> void;
    auto note_wait_end(std::size_t bytes) -> void;

    /// Share of the arriving work that gives way.
    [[nodiscard]] auto yielding_share() const -> double { return this->yielding; }

private:
    static constexpr std::size_t ranks = 10;
    /// One level per rank for work within the fair share of its organisation, then one per rank for
    /// work beyond it.
    using level_work = std::array<double, 2 * ranks>;

    auto choose(const admission_request& request, const service_state& state, std::size_t level)
        -> admission_decision;
    auto update(const service_state& state, time_point now) -> void;
    /// Lets the remembered arrivals and completions decay.
    auto forget(time_point now) -> void;
    [[nodiscard]] auto measured_yielding(const service_state& state) const -> double;
    auto level_of(const admission_request& request) -> std::size_t;
    /// Probability with which a request of the level keeps its urgency, by the room.
    [[nodiscard]] auto admitted_at(std::size_t level) const -> double;
    /// As `admitted_at`; lower while requests of its rank wait for long.
    [[nodiscard]] auto undelayed_at(std::size_t level) const -> double;
    /// Share of the deferred work that is as urgent as the level, or more.
    [[nodiscard]] auto deferred_before(std::size_t level) const -> double;
    /// Decision for a request that gives way.
    auto
    decide_yielding(const admission_request& request, const service_state& state, std::size_t level)
        -> admission_decision;
    auto reject(std::string_view why, const admission_request& request, const service_state& state)
        -> admission_decision;
    [[nodiscard]] auto may_wait(const admission_request& request) const -> bool;

    auto draw() -> double { return common::random_unit(this->random); }

    common::random_hook random;
    admission_options options;
    level_work arrived{};
    /// Waits of requests that were not deferred relative to their targets, by rank; falling.
    std::array<double, ranks> waits{};
    double completed = 0.0;
    /// Number of arrivals remembered.
    double arrivals = 0.0;
    time_point updated{};
    time_point last_arrival{};
    /// First arrival after a quiet time.
    time_point measured_since{};
    /// Time constant of the remembered arrivals and completions.
    std::chrono::duration<double> memory{2.0};
    /// Since when the pressure is above `scarce_from`; `never` if it is not.
    time_point scarce_since = common::never;
    bool has_lasted = false;
    double yielding = 0.0;
    std::size_t waiting = 0;
    std::size_t waiting_bytes = 0;
};

} // namespace reedramp::overload
