#include "overload/admission_control.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace reedramp::overload {

namespace {

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

/// Arrivals to remember. Fewer make the distribution over the ranks too rough; many make it slow to
/// follow a burst. Small entries receive less than one request a second.
constexpr double remembered_arrivals = 40.0;
constexpr seconds shortest_memory{2.0};
constexpr seconds longest_memory{15.0};

auto scaled(milliseconds time, double factor) -> milliseconds
{
    return milliseconds{std::llround(static_cast<double>(time.count()) * factor)};
}

} // namespace

auto spread_return(milliseconds expected, milliseconds left, double draw) -> milliseconds
{
    return scaled(std::min(expected, left / 6), 1.0 + draw);
}

admission_control::admission_control(common::random_hook draws, admission_options options_to_use)
    : random(std::move(draws)), options(options_to_use)
{
}

auto admission_control::decide(
    const admission_request& request, const service_state& state, time_point now)
    -> admission_decision
{
    const auto level = this->level_of(request);
    // After a quiet time nothing is remembered, as in a new process.
    const bool is_first = this->arrivals <= 0.0 || now - this->last_arrival > longest_memory;
    this->measured_since = is_first ? now : this->measured_since;
    this->last_arrival = now;
    this->forget(now);
    const bool is_new = !request.is_further_send && !request.has_waited;
    this->arrived.at(level) += is_new ? request.work : 0.0;
    this->arrivals += is_new ? 1.0 : 0.0;
    this->update(state, now);
    return this->choose(request, state, level);
}

auto admission_control::choose(
    const admission_request& request, const service_state& state, std::size_t level)
    -> admission_decision
{
    if (request.expected_duration > request.left) {
        return this->reject("deadline", request, state);
    }
    if (this->yielding > 0.0 && this->draw() >= this->undelayed_at(level)) {
        return this->decide_yielding(request, state, level);
    }
    const bool is_burst = this->yielding <= 0.0 && this->scarce_since != common::never;
    if (is_burst && level > 0 && this->may_wait(request)) {
        return {
            admission::wait,
            "burst",
            scaled(request.target, this->options.longest_wait),
            request.expected_wait + request.expected_duration};
    }
    return {};
}

auto admission_control::decide_yielding(
    const admission_request& request, const service_state& state, std::size_t level)
    -> admission_decision
{
    const auto* why = level < ranks ? "scarcity" : "share";
    const auto expected =
        scaled(request.expected_wait, this->deferred_before(level)) + request.expected_duration;
    const auto used = static_cast<double>(expected.count()) /
                      static_cast<double>(std::max<std::int64_t>(1, request.left.count()));
    const auto well_inside = this->options.well_inside;
    const auto risk =
        state.has_urgency ? std::clamp((used - well_inside) / (1.0 - well_inside), 0.0, 1.0) : 1.0;
    if (state.has_urgency && (!this->has_lasted || this->draw() >= risk)) {
        return {admission::start_deferred, why, milliseconds{0}, expected};
    }
    const auto after_return = request.caller_left - request.caller_left / 3;
    const bool may_return = request.caller_left / 3 >= this->options.least_return &&
                            after_return > request.expected_duration;
    if (this->has_lasted && may_return && this->draw() >= this->options.least_admitted) {
        return this->reject(why, request, state);
    }
    return {};
}

auto admission_control::note_completed(const completed_request& request, time_point now) -> void
{
    this->forget(now);
    this->completed += request.work;
    if (!request.was_deferred && request.target.count() > 0) {
        auto& wait = this->waits.at(std::min<std::size_t>(request.rank, ranks - 1));
        wait = std::max(
            wait,
            static_cast<double>(request.waited.count()) /
                static_cast<double>(request.target.count()));
    }
}

auto admission_control::note_wait(std::size_t bytes) -> void
{
    this->waiting += 1;
    this->waiting_bytes += bytes;
}

auto admission_control::note_wait_end(std::size_t bytes) -> void
{
    this->waiting -= 1;
    this->waiting_bytes -= bytes;
}

auto admission_control::forget(time_point now) -> void
{
    const auto passed = std::max<seconds>(now - this->updated, seconds::zero());
    this->updated = now;
    // The number remembered is the rate times the memory.
    const auto wanted = std::clamp<seconds>(
        this->memory * (remembered_arrivals / std::max(1.0, this->arrivals)),
        shortest_memory,
        longest_memory);
    this->memory += (wanted - this->memory) * std::min(1.0, passed / shortest_memory);
    const auto kept = std::exp(-passed / this->memory);
    for (auto& work : this->arrived) {
        work *= kept;
    }
    // Requests of a rank start anew about a second after they were found to wait.
    constexpr seconds wait_memory{1.0};
    for (auto& wait : this->waits) {
        wait *= std::exp(-passed / wait_memory);
    }
    this->completed *= kept;
    this->arrivals *= kept;
}

auto admission_control::update(const service_state& state, time_point now) -> void
{
    const auto scarce_from =
        state.has_urgency ? this->options.scarce_from : this->options.plain_scarce_from;
    if (state.pressure <= scarce_from) {
        this->scarce_since = common::never;
    }
    else if (this->scarce_since == common::never) {
        this->scarce_since = now;
    }
    const bool is_scarce = this->scarce_since != common::never;
    this->has_lasted = is_scarce && now - this->scarce_since >= this->options.patience;
    // Completions follow arrivals by a while, so that too little room is found at first.
    const bool is_measured = now - this->measured_since >= shortest_memory;
    this->yielding = is_scarce && is_measured ? this->measured_yielding(state) : 0.0;
}

auto admission_control::measured_yielding(const service_state& state) const -> double
{
    const auto all = std::accumulate(this->arrived.begin(), this->arrived.end(), 0.0);
    // Without deferred requests nothing would show that there is more room than is used. The
    // pressure then decides whether a little more or a little less is sent than was completed.
    constexpr double most_change = 0.1;
    constexpr double kept_pressure = 0.9;
    const auto change = std::clamp(kept_pressure - state.pressure, -most_change, most_change);
    const auto used = state.has_urgency ? this->options.used_room : 1.0 + change;
    const auto room = used * this->completed / std::max(all, 1e-9);
    return std::clamp(1.0 - room, 0.0, 1.0);
}

auto admission_control::level_of(const admission_request& request) -> std::size_t
{
    const auto higher = request.was_refused && request.rank > 0 ? 1U : 0U;
    const auto rank = std::min<std::size_t>(request.rank - higher, ranks - 1);
    // Of an organisation's work, the part within its fair share keeps its rank.
    const bool is_beyond = request.excess > 1.0 && this->draw() >= 1.0 / request.excess;
    return is_beyond ? ranks + rank : rank;
}

auto admission_control::admitted_at(std::size_t level) const -> double
{
    const auto all = std::accumulate(this->arrived.begin(), this->arrived.end(), 0.0);
    const auto own = this->arrived.at(level);
    if (own <= 0.0 || this->yielding <= 0.0) {
        return 1.0;
    }
    const auto end = this->arrived.begin() + static_cast<std::ptrdiff_t>(level);
    const auto before = std::accumulate(this->arrived.begin(), end, 0.0);
    return std::clamp(((1.0 - this->yielding) * all - before) / own, 0.0, 1.0);
}

auto admission_control::undelayed_at(std::size_t level) const -> double
{
    // What started before requests gave way is worked off first. Otherwise all that follow at the
    // same rank would wait behind it for as long as the overload lasts.
    constexpr double unnoticed_wait = 0.5;
    const auto wait = this->waits.at(level % ranks);
    const auto part = std::clamp((1.0 - wait) / (1.0 - unnoticed_wait), 0.0, 1.0);
    return part * this->admitted_at(level);
}

auto admission_control::deferred_before(std::size_t level) const -> double
{
    double before = 0.0;
    double all = 0.0;
    for (std::size_t i = 0; i < this->arrived.size(); ++i) {
        const auto deferred = this->arrived.at(i) * (1.0 - this->admitted_at(i));
        before += i <= level ? deferred : 0.0;
        all += deferred;
    }
    return all > 0.0 ? before / all : 1.0;
}

auto admission_control::reject(
    std::string_view why, const admission_request& request, const service_state& state)
    -> admission_decision
{
    // The more gives way, the longer the room will be missing.
    constexpr double share_weight = 4.0;
    const auto excess = std::max(0.0, state.pressure - this->options.scarce_from);
    const auto room = std::max(
        this->options.least_return,
        scaled(this->options.fall_time, excess + share_weight * this->yielding));
    return {
        admission::reject,
        why,
        spread_return(room, request.caller_left, this->draw()),
        request.expected_wait + request.expected_duration};
}

auto admission_control::may_wait(const admission_request& request) const -> bool
{
    // The wait must not be what lets the request miss its deadline.
    const auto ends =
        scaled(request.target, this->options.longest_wait) + request.expected_duration;
    return !request.has_waited && request.target.count() > 0 && ends < request.left &&
           this->waiting < this->options.max_waiting &&
           this->waiting_bytes + request.bytes <= this->options.max_waiting_bytes;
}

} // namespace reedramp::overload
