#include <algorithm>
#include <cmath>

#include "routing/rollout_manager.hpp"

/// The part of `rollout_manager` that collects evidence from the outcomes of requests.
namespace reedramp::routing {

namespace {

/// Callers whose entry lost power notice after 8 s or more that their stream is silent: four times
/// the target of draft streams. A caller that resumes earlier after an order had started its stream
/// before it.
constexpr common::duration cut_stream_known_after = std::chrono::seconds{8};

/// Number of requests over which the usual number of requests in flight is averaged.
constexpr double usage_memory = 50.0;

auto side_of(const rollout_order& order, const common::version_id& version) -> version_side
{
    return version == order.target ? version_side::new_one : version_side::old;
}

} // namespace

auto rollout_manager::running(const common::service_name& service) -> rollout*
{
    const auto found = this->rollouts.find(service);
    const bool runs =
        found != this->rollouts.end() && found->second.state == rollout_state::running;
    return runs ? &found->second : nullptr;
}

auto rollout_manager::baseline_evidence(
    const common::service_name& service, const common::version_id& version) -> version_evidence*
{
    const auto history = this->histories.find(service);
    const bool is_in_use = history == this->histories.end() || !history->second.current ||
                           *history->second.current == version;
    const bool is_excluded =
        history != this->histories.end() && history->second.excluded.contains(version);
    if (!is_in_use || is_excluded) {
        return nullptr;
    }
    return &this->baselines.try_emplace(service, this->settings.evidence).first->second;
}

auto rollout_manager::note_end(
    const common::service_name& service, const common::version_id& target, rollout_state state)
    -> void
{
    auto& history = this->histories[service];
    if (state == rollout_state::complete) {
        history.current = target;
        // This entry may have judged the version worse before it read the outcome. Barred and in
        // force at the same time, the version would leave the service without any server.
        history.excluded.erase(target);
    }
    else if (state == rollout_state::reverted) {
        history.excluded.insert(target);
    }
}

auto rollout_manager::note_resumed(
    const common::service_name& service, std::uint64_t session, time_point now) -> void
{
    const auto* one = this->running(service);
    if (one != nullptr && now < one->began + cut_stream_known_after) {
        // The stream started before the order, on an old version; or else no entry is left that
        // knows.
        this->sessions.apply_reports(
            service,
            {{session,
              std::chrono::duration_cast<std::chrono::milliseconds>(this->settings.session_time)}},
            now);
    }
}

auto rollout_manager::note_sent(
    const common::service_name& service,
    std::uint64_t session,
    const common::version_id& version,
    time_point now,
    unsigned slots) -> void
{
    auto& usage = this->usages[service];
    const auto counts = this->in_flight_of(service, version);
    usage.in_flight.add(counts.on_version + counts.on_others, usage_memory);
    usage.slots = slots;
    this->in_flight[{service, version}] += 1;
    this->rates[service].note(now);
    this->version_rates[{service, version}].note(now);
    this->sessions.note_sent(service, session, version, now);
}

auto rollout_manager::note_ended(
    const common::service_name& service,
    std::uint64_t session,
    const common::version_id& version,
    time_point now) -> void
{
    this->sessions.note_ended(service, session, now);
    auto& count = this->in_flight[{service, version}];
    count -= count > 0 ? 1 : 0;
}

auto rollout_manager::note_outcome(
    const common::service_name& service,
    const common::version_id& version,
    const route_name& route,
    bool is_good,
    occupancy server) -> void
{
    if (auto* one = this->running(service)) {
        one->evidence.add_outcome(route, side_of(one->order, version), is_good, server);
    }
    else if (auto* baseline = this->baseline_evidence(service, version)) {
        baseline->add_outcome(route, version_side::old, is_good, server);
    }
}

auto rollout_manager::note_lost(
    const common::service_name& service,
    const common::version_id& version,
    const route_name& route,
    time_point now) -> void
{
    const auto* one = this->running(service);
    if (one == nullptr) {
        this->note_outcome(service, version, route, false);
        return;
    }
    const auto counts = this->in_flight_of(service, one->order.target);
    this->losses[service].note(
        {now, side_of(one->order, version), route, counts.on_version, counts.on_others});
}

auto rollout_manager::settle_losses(const common::service_name& service, time_point now) -> void
{
    const auto tracker = this->losses.find(service);
    if (tracker == this->losses.end()) {
        return;
    }
    const auto counted = tracker->second.settled(now);
    if (auto* one = this->running(service)) {
        for (const auto& lost : counted) {
            one->evidence.add_outcome(lost.route, lost.side, false);
        }
    }
}

auto rollout_manager::note_first_event(
    const common::service_name& service,
    const common::version_id& version,
    const route_name& route,
    std::chrono::milliseconds took,
    time_point now,
    const answer_load& load) -> void
{
    auto* one = this->running(service);
    const auto side = one == nullptr ? version_side::old : side_of(one->order, version);
    // Differences below one millisecond do not matter.
    const auto log_ms = std::log(std::max(static_cast<double>(took.count()), 1.0));
    const std::chrono::duration<double, std::milli> adjusted{
        std::exp(this->load_effects[service].adjust_wait(side, route, load, log_ms))};
    // With all sessions on the new version there is nothing to compare with: the old version's
    // times belong to another load, and a burst of callers would look like a slow version.
    if (one != nullptr && this->share_of(*one, now) < 1.0) {
        one->evidence.add_first_event(route, side, adjusted);
    }
    auto* baseline = one == nullptr ? this->baseline_evidence(service, version) : nullptr;
    if (baseline != nullptr) {
        baseline->add_first_event(route, version_side::old, adjusted);
    }
}

auto rollout_manager::note_stall(
    const common::service_name& service,
    const common::version_id& version,
    const route_name& route,
    time_point now) -> void
{
    auto* one = this->running(service);
    if (one != nullptr && this->share_of(*one, now) < 1.0) {
        one->evidence.add_first_event(
            route, side_of(one->order, version), std::chrono::milliseconds{0}, true);
    }
}

auto rollout_manager::note_time(
    const common::service_name& service,
    const common::version_id& version,
    const route_name& route,
    const timed_answer& timed,
    time_point now) -> void
{
    auto* one = this->running(service);
    const auto side = one == nullptr ? version_side::old : side_of(one->order, version);
    // Differences below one millisecond do not matter.
    auto log_ms = std::log(std::max(timed.took_ms, 1.0));
    auto& effects = this->load_effects[service];
    if (timed.part == timed_part::event_pause) {
        log_ms = effects.adjust_pause(side, route, timed.load, log_ms);
    }
    else if (timed.part == timed_part::whole_answer) {
        log_ms = effects.adjust_wait(side, route, timed.load, log_ms);
    }
    if (one != nullptr && this->is_comparable(*one, version, now)) {
        one->evidence.add_time(route, side, timed.part, log_ms, timed.bound);
    }
    auto* baseline = one == nullptr ? this->baseline_evidence(service, version) : nullptr;
    if (baseline != nullptr) {
        baseline->add_time(route, version_side::old, timed.part, log_ms, timed.bound);
    }
}

auto rollout_manager::load_effect_pair::note(
    const route_name& route, const answer_load& load, double log_ms) -> void
{
    this->by_reading.note(route, load.reading, log_ms);
    this->by_requests.note(
        route, load.requests, this->by_reading.without_load(load.reading, log_ms));
}

auto rollout_manager::service_load_effects::adjust_wait(
    version_side side, const route_name& route, const answer_load& load, double log_ms) -> double
{
    if (side == version_side::old) {
        this->wait.note(route, load, log_ms);
        return log_ms;
    }
    if (!load.is_load_test) {
        return log_ms;
    }
    return log_ms - this->wait.by_reading.beyond_usual(route, load.reading) -
           this->wait.by_requests.beyond_usual(route, load.requests);
}

auto rollout_manager::service_load_effects::adjust_pause(
    version_side side, const route_name& route, const answer_load& load, double log_ms) -> double
{
    if (side == version_side::old) {
        this->pause.note(route, load, log_ms);
    }
    const auto without_reading = this->pause.by_reading.without_load(load.reading, log_ms);
    const bool is_tested = side == version_side::new_one && load.is_load_test;
    return is_tested ? without_reading - this->pause.by_requests.beyond_usual(route, load.requests)
                     : without_reading;
}

auto rollout_manager::is_comparable(rollout& one, const common::version_id& version, time_point now)
    -> bool
{
    const auto rate = this->rates[one.order.service].per_second(now);
    if (this->share_of(one, now) < 1.0) {
        one.baseline_rate = rate;
        return true;
    }
    // The old version's last answers come from servers that are nearly idle.
    return version == one.order.target && rate <= one.baseline_rate * this->settings.same_load;
}

} // namespace reedramp::routing
