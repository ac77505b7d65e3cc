#include "placement/fair_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace reedramp::placement {

namespace {

/// Weight of the newest finished request in the smoothed rates.
constexpr double smoothing = 0.1;

/// An organisation may fill up to this many times the room that it leaves free, so that one which
/// floods the queue always leaves room for the others.
constexpr std::size_t lane_share_of_free = 2;

constexpr double least_weight = 1e-3;

auto seconds(double count) -> common::duration
{
    // Far more than any deadline, far less than what overflows the clock.
    constexpr double longest = 1e6;
    return std::chrono::duration_cast<common::duration>(
        std::chrono::duration<double>(std::clamp(count, 0.0, longest)));
}

auto refusal(common::result_code code, std::optional<common::time_point> retry_at)
    -> tl::unexpected<common::error>
{
    auto why = common::make_error(code);
    why.retry_at = retry_at;
    return tl::unexpected<common::error>(std::move(why));
}

auto smooth(double& average, double sample) -> void
{
    average += smoothing * (sample - average);
}

} // namespace

fair_queue::fair_queue(fair_queue_settings initial)
    : settings(initial), stream_rate(initial.expected_stream_rate)
{
}

auto fair_queue::push(queued_request request, common::time_point now) -> common::result<void>
{
    if (this->lane_is_full(request.organisation)) {
        return refusal(common::result_code::queue_full, now + this->estimated_wait());
    }
    const auto run = this->run_time(request.cost.value());
    if (request.deadline != common::never && request.deadline - run < now) {
        // Even an idle server would be too slow, so that no later time is better.
        return refusal(common::result_code::deadline_too_near, std::nullopt);
    }
    const auto expected_start = now + this->estimated_wait(request, now);
    auto latest_start = common::never;
    if (request.deadline != common::never) {
        // One that can start at once needs just the run. The clock goes on between this check and
        // the start: without the rest of its time it would be given up on before an idle server.
        auto kept_free = run;
        if (expected_start > now) {
            // Half of the time may always be spent on waiting; else a request whose expected run is
            // long would be refused whenever it has to wait at all.
            const auto margin =
                std::chrono::duration_cast<common::duration>(run * this->settings.run_margin);
            kept_free = std::max(run, std::min(margin, (request.deadline - now) / 2));
        }
        latest_start = request.deadline - kept_free;
    }
    if (expected_start > latest_start) {
        // The queue has to get shorter by this much before the same request would be accepted.
        const auto excess = expected_start - latest_start;
        return refusal(common::result_code::deadline_too_near, now + excess);
    }
    this->insert({std::move(request), latest_start});
    return {};
}

auto fair_queue::pop(common::time_point now) -> std::optional<queued_request>
{
    if (this->queued_count == 0) {
        return std::nullopt;
    }
    const auto turn = this->lane_in_turn();
    const auto& head = turn->second.requests.front().request;
    if (!this->fits(head.cost.value())) {
        // Smaller ones do not pass it: that gave no shorter waits, see docs/design/placement.md.
        return std::nullopt;
    }
    return this->start(turn, 0, now);
}

auto fair_queue::take_infeasible(common::time_point now) -> std::vector<queued_request>
{
    std::vector<queued_request> hopeless;
    if (now <= this->earliest_check) {
        return hopeless;
    }
    // Two passes, since taking an organisation's last request out ends its lane.
    std::vector<messages::run_key> late;
    this->earliest_check = common::never;
    for (const auto& [organisation, item] : this->lanes) {
        for (const auto& entry : item.requests) {
            if (entry.latest_start < now) {
                late.push_back(entry.request.key);
            }
            else {
                this->earliest_check = std::min(this->earliest_check, entry.latest_start);
            }
        }
    }
    for (const auto& key : late) {
        hopeless.push_back(*this->extract(key));
    }
    return hopeless;
}

auto fair_queue::next_check() const -> common::time_point
{
    if (this->earliest_check == common::never) {
        return common::never;
    }
    // At `latest_start` itself a request may still start.
    return this->earliest_check + common::duration(1);
}

auto fair_queue::finish(
    const messages::run_key& key, common::token_count used, common::time_point now) -> void
{
    const auto found = this->active.find(key);
    if (found == this->active.end()) {
        return;
    }
    const auto elapsed = std::chrono::duration<double>(now - found->second.started).count();
    if (elapsed > 0.0 && used.value() > 0) {
        const auto tokens = static_cast<double>(used.value());
        smooth(this->stream_rate, tokens / elapsed);
        smooth(this->mean_cost, tokens);
    }
    this->active_tokens -= found->second.cost;
    this->active.erase(found);
}

auto fair_queue::remove(const messages::run_key& key) -> bool
{
    return this->extract(key).has_value();
}

auto fair_queue::extract(const messages::run_key& key) -> std::optional<queued_request>
{
    for (auto place = this->lanes.begin(); place != this->lanes.end(); ++place) {
        const auto& requests = place->second.requests;
        const auto found = std::ranges::find_if(
            requests, [&key](const waiting& item) { return item.request.key == key; });
        if (found != requests.end()) {
            return this->erase_at(place, static_cast<std::size_t>(found - requests.begin()));
        }
    }
    return std::nullopt;
}

auto fair_queue::take_all() -> std::vector<queued_request>
{
    std::vector<queued_request> all;
    for (auto& [organisation, item] : this->lanes) {
        for (auto& entry : item.requests) {
            all.push_back(std::move(entry.request));
        }
    }
    this->lanes.clear();
    this->turns.clear();
    this->turn_credited = false;
    this->queued_count = 0;
    this->queued_tokens = 0;
    this->earliest_check = common::never;
    return all;
}

auto fair_queue::estimated_wait() const -> common::duration
{
    if (this->queued_count == 0 && this->fits(static_cast<std::uint64_t>(this->mean_cost))) {
        return {};
    }
    // With all slots taken, one becomes free after a slots-th part of a mean request.
    const auto ahead = static_cast<double>(this->queued_tokens) + this->mean_cost;
    return seconds(ahead / this->tokens_per_second());
}

auto fair_queue::estimated_wait(const queued_request& request, common::time_point now) const
    -> common::duration
{
    const auto queue_time = seconds(this->tokens_ahead(request) / this->tokens_per_second());
    return this->room_free_at(request.cost.value(), now) - now + queue_time;
}

auto fair_queue::set_capacity(server_capacity capacity) -> void
{
    this->settings.capacity = capacity;
}

auto fair_queue::fits(std::uint64_t cost) const -> bool
{
    if (this->active.empty()) {
        // Also what is larger than the whole capacity runs, alone: the engine is the judge of that.
        return true;
    }
    const auto& capacity = this->settings.capacity;
    const auto tokens_left =
        capacity.tokens.value() == 0 || this->active_tokens + cost <= capacity.tokens.value();
    return this->active.size() < capacity.slots && tokens_left;
}

auto fair_queue::run_time(std::uint64_t cost) const -> common::duration
{
    return seconds(static_cast<double>(cost) / this->stream_rate);
}

auto fair_queue::tokens_per_second() const -> double
{
    const auto& capacity = this->settings.capacity;
    auto at_once = static_cast<double>(capacity.slots);
    if (capacity.tokens.value() > 0 && this->mean_cost > 0.0) {
        at_once = std::min(at_once, static_cast<double>(capacity.tokens.value()) / this->mean_cost);
    }
    return this->stream_rate * std::max(at_once, 1.0);
}

auto fair_queue::tokens_ahead(const queued_request& request) const -> double
{
    double own_ahead = 0.0;
    const auto own = this->lanes.find(request.organisation);
    if (own != this->lanes.end()) {
        for (const auto& other : own->second.requests) {
            if (other.request.priority >= request.priority) {
                own_ahead += static_cast<double>(other.request.cost.value());
            }
        }
    }
    // While this organisation spends its tokens, each other one spends its share beside it, or all
    // that it has queued.
    const auto own_spends = own_ahead + static_cast<double>(request.cost.value());
    const auto weight = std::max(request.weight, least_weight);
    auto ahead = own_ahead;
    for (const auto& [organisation, other] : this->lanes) {
        if (organisation != request.organisation) {
            const auto share = own_spends * other.weight / weight;
            ahead += std::min(static_cast<double>(other.queued_tokens), share);
        }
    }
    return ahead;
}

auto fair_queue::room_free_at(std::uint64_t cost, common::time_point now) const
    -> common::time_point
{
    if (this->fits(cost)) {
        return now;
    }
    std::vector<std::pair<common::time_point, std::uint64_t>> ends;
    ends.reserve(this->active.size());
    for (const auto& [key, item] : this->active) {
        ends.emplace_back(std::max(item.expected_end, now), item.cost);
    }
    std::ranges::sort(ends);
    const auto& capacity = this->settings.capacity;
    auto count = ends.size();
    auto tokens = this->active_tokens;
    for (const auto& [end, freed] : ends) {
        --count;
        tokens -= freed;
        const auto tokens_left =
            capacity.tokens.value() == 0 || tokens + cost <= capacity.tokens.value();
        if (count < capacity.slots && tokens_left) {
            return end;
        }
    }
    return ends.back().first;
}

auto fair_queue::lane_is_full(const common::organisation_id& organisation) const -> bool
{
    if (this->queued_count >= this->settings.max_queued) {
        return true;
    }
    const auto own = this->lanes.find(organisation);
    if (own == this->lanes.end()) {
        return false;
    }
    const auto free = this->settings.max_queued - this->queued_count;
    return own->second.requests.size() >= lane_share_of_free * free;
}

auto fair_queue::insert(waiting item) -> void
{
    const auto cost = item.request.cost.value();
    const auto [place, is_new] = this->lanes.try_emplace(item.request.organisation);
    if (is_new) {
        this->turns.push_back(item.request.organisation);
    }
    auto& own = place->second;
    own.weight = std::max(item.request.weight, least_weight);
    own.queued_tokens += cost;
    this->queued_tokens += cost;
    ++this->queued_count;
    this->earliest_check = std::min(this->earliest_check, item.latest_start);
    const auto behind = std::ranges::find_if(own.requests, [&item](const waiting& other) {
        return other.request.priority < item.request.priority;
    });
    own.requests.insert(behind, std::move(item));
}

auto fair_queue::lane_in_turn() -> lane_map::iterator
{
    while (true) {
        const auto place = this->lanes.find(this->turns.front());
        auto& item = place->second;
        if (!this->turn_credited) {
            item.deficit += this->turn_tokens() * item.weight;
            this->turn_credited = true;
        }
        const auto cost = item.requests.front().request.cost.value();
        if (item.deficit >= static_cast<double>(cost)) {
            return place;
        }
        this->end_turn();
    }
}

auto fair_queue::turn_tokens() const -> double
{
    // With turns of many requests, a round of all organisations takes longer than deadlines leave,
    // and the small ones are refused although they ask for less than their share.
    return std::max(this->mean_cost, 1.0);
}

auto fair_queue::end_turn() -> void
{
    this->turns.push_back(this->turns.front());
    this->turns.pop_front();
    this->turn_credited = false;
}

auto fair_queue::start(lane_map::iterator from, std::size_t index, common::time_point now)
    -> queued_request
{
    const auto cost = from->second.requests[index].request.cost.value();
    from->second.deficit -= static_cast<double>(cost);
    auto request = this->erase_at(from, index);
    if (this->mean_cost == 0.0) {
        this->mean_cost = static_cast<double>(cost);
    }
    this->active[request.key] = {cost, now, now + this->run_time(cost)};
    this->active_tokens += cost;
    return request;
}

auto fair_queue::erase_at(lane_map::iterator from, std::size_t index) -> queued_request
{
    auto& item = from->second;
    const auto place = item.requests.begin() + static_cast<std::ptrdiff_t>(index);
    auto request = std::move(place->request);
    item.requests.erase(place);
    item.queued_tokens -= request.cost.value();
    this->queued_tokens -= request.cost.value();
    --this->queued_count;
    if (!item.requests.empty()) {
        return request;
    }
    // An organisation that has nothing queued saves nothing up for later; else it could later hold
    // the server for as long as it has been idle.
    const auto turn = std::ranges::find(this->turns, from->first);
    if (turn == this->turns.begin()) {
        this->turn_credited = false;
    }
    this->turns.erase(turn);
    this->lanes.erase(from);
    return request;
}

} // namespace reedramp::placement
