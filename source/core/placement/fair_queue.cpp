#include "placement/fair_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace reedramp::placement {

namespace {

/// Weight of the most recently finished request in the exponential averages.
constexpr double smoothing = 0.1;

/// An organisation may occupy at most this many times the number of free places in the queue, so
/// that an organisation which floods the queue leaves places for the others.
constexpr std::size_t max_flow_share_of_free = 2;

constexpr double min_weight = 1e-3;

auto to_duration(double seconds) -> common::duration
{
    // Far longer than any deadline, and far below the overflow of the clock.
    constexpr double max_seconds = 1e6;
    return std::chrono::duration_cast<common::duration>(
        std::chrono::duration<double>(std::clamp(seconds, 0.0, max_seconds)));
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
    if (this->is_flow_full(request.organisation)) {
        return refusal(common::result_code::queue_full, now + this->estimated_wait());
    }
    const auto run = this->run_time(request.cost.value());
    if (request.deadline != common::never && request.deadline - run < now) {
        // Even an idle server would be too slow, so a later retry would not help.
        return refusal(common::result_code::deadline_too_near, std::nullopt);
    }
    const auto expected_start = now + this->estimated_wait(request, now);
    auto latest_start = common::never;
    if (request.deadline != common::never) {
        // A request that can start immediately needs only its run time. Time passes between this
        // check and the start: with a margin as well, the request could be removed as infeasible
        // although the server is idle.
        auto reserved = run;
        if (expected_start > now) {
            // Half of the time left may always be spent waiting; otherwise a request with a long
            // expected run would be refused whenever it has to wait at all.
            const auto margin =
                std::chrono::duration_cast<common::duration>(run * this->settings.run_margin);
            reserved = std::max(run, std::min(margin, (request.deadline - now) / 2));
        }
        latest_start = request.deadline - reserved;
    }
    if (expected_start > latest_start) {
        // The expected wait has to shrink by this much before the same request would be accepted.
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
    const auto turn = this->next_flow();
    const auto& head = turn->second.requests.front().request;
    if (!this->fits(head.cost.value())) {
        // Smaller requests do not overtake it; that does not shorten waits. See
        // docs/design/placement.md.
        return std::nullopt;
    }
    return this->start(turn, 0, now);
}

auto fair_queue::take_infeasible(common::time_point now) -> std::vector<queued_request>
{
    std::vector<queued_request> infeasible;
    if (now <= this->earliest_check) {
        return infeasible;
    }
    // Two passes, because removing an organisation's last request erases its flow.
    std::vector<messages::run_key> late_keys;
    this->earliest_check = common::never;
    for (const auto& [organisation, item] : this->flows) {
        for (const auto& entry : item.requests) {
            if (entry.latest_start < now) {
                late_keys.push_back(entry.request.key);
            }
            else {
                this->earliest_check = std::min(this->earliest_check, entry.latest_start);
            }
        }
    }
    for (const auto& key : late_keys) {
        infeasible.push_back(*this->extract(key));
    }
    return infeasible;
}

auto fair_queue::next_check() const -> common::time_point
{
    if (this->earliest_check == common::never) {
        return common::never;
    }
    // A request may still start at exactly `latest_start`.
    return this->earliest_check + common::duration(1);
}

auto fair_queue::finish(
    const messages::run_key& key, common::token_count used, common::time_point now) -> void
{
    const auto found = this->running_requests.find(key);
    if (found == this->running_requests.end()) {
        return;
    }
    const auto elapsed = std::chrono::duration<double>(now - found->second.started).count();
    if (elapsed > 0.0 && used.value() > 0) {
        const auto tokens = static_cast<double>(used.value());
        smooth(this->stream_rate, tokens / elapsed);
        smooth(this->mean_cost, tokens);
    }
    this->running_tokens -= found->second.cost;
    this->running_requests.erase(found);
}

auto fair_queue::remove(const messages::run_key& key) -> bool
{
    return this->extract(key).has_value();
}

auto fair_queue::extract(const messages::run_key& key) -> std::optional<queued_request>
{
    for (auto position = this->flows.begin(); position != this->flows.end(); ++position) {
        const auto& requests = position->second.requests;
        const auto found = std::ranges::find_if(
            requests, [&key](const queued_item& item) { return item.request.key == key; });
        if (found != requests.end()) {
            return this->remove_at(position, static_cast<std::size_t>(found - requests.begin()));
        }
    }
    return std::nullopt;
}

auto fair_queue::take_all() -> std::vector<queued_request>
{
    std::vector<queued_request> all;
    for (auto& [organisation, item] : this->flows) {
        for (auto& entry : item.requests) {
            all.push_back(std::move(entry.request));
        }
    }
    this->flows.clear();
    this->flow_order.clear();
    this->quantum_credited = false;
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
    // With all slots busy, one becomes free after the mean run time divided by the slot count.
    const auto ahead = static_cast<double>(this->queued_tokens) + this->mean_cost;
    return to_duration(ahead / this->tokens_per_second());
}

auto fair_queue::estimated_wait(const queued_request& request, common::time_point now) const
    -> common::duration
{
    const auto queue_time = to_duration(this->tokens_ahead(request) / this->tokens_per_second());
    return this->capacity_available_at(request.cost.value(), now) - now + queue_time;
}

auto fair_queue::set_capacity(server_capacity capacity) -> void
{
    this->settings.capacity = capacity;
}

auto fair_queue::fits(std::uint64_t cost) const -> bool
{
    if (this->running_requests.empty()) {
        // A request larger than the whole capacity runs alone; the engine decides whether it can.
        return true;
    }
    const auto& capacity = this->settings.capacity;
    const auto tokens_left =
        capacity.tokens.value() == 0 || this->running_tokens + cost <= capacity.tokens.value();
    return this->running_requests.size() < capacity.slots && tokens_left;
}

auto fair_queue::run_time(std::uint64_t cost) const -> common::duration
{
    return to_duration(static_cast<double>(cost) / this->stream_rate);
}

auto fair_queue::tokens_per_second() const -> double
{
    const auto& capacity = this->settings.capacity;
    auto parallel_requests = static_cast<double>(capacity.slots);
    if (capacity.tokens.value() > 0 && this->mean_cost > 0.0) {
        parallel_requests = std::min(
            parallel_requests, static_cast<double>(capacity.tokens.value()) / this->mean_cost);
    }
    return this->stream_rate * std::max(parallel_requests, 1.0);
}

auto fair_queue::tokens_ahead(const queued_request& request) const -> double
{
    double own_ahead = 0.0;
    const auto own = this->flows.find(request.organisation);
    if (own != this->flows.end()) {
        for (const auto& other : own->second.requests) {
            if (other.request.priority >= request.priority) {
                own_ahead += static_cast<double>(other.request.cost.value());
            }
        }
    }
    // While this organisation uses its tokens, each other organisation uses its weighted share, but
    // at most what it has queued.
    const auto own_spends = own_ahead + static_cast<double>(request.cost.value());
    const auto weight = std::max(request.weight, min_weight);
    auto ahead = own_ahead;
    for (const auto& [organisation, other] : this->flows) {
        if (organisation != request.organisation) {
            const auto share = own_spends * other.weight / weight;
            ahead += std::min(static_cast<double>(other.queued_tokens), share);
        }
    }
    return ahead;
}

auto fair_queue::capacity_available_at(std::uint64_t cost, common::time_point now) const
    -> common::time_point
{
    if (this->fits(cost)) {
        return now;
    }
    std::vector<std::pair<common::time_point, std::uint64_t>> ends;
    ends.reserve(this->running_requests.size());
    for (const auto& [key, item] : this->running_requests) {
        ends.emplace_back(std::max(item.expected_end, now), item.cost);
    }
    std::ranges::sort(ends);
    const auto& capacity = this->settings.capacity;
    auto count = ends.size();
    auto tokens = this->running_tokens;
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

auto fair_queue::is_flow_full(const common::organisation_id& organisation) const -> bool
{
    if (this->queued_count >= this->settings.max_queued) {
        return true;
    }
    const auto own = this->flows.find(organisation);
    if (own == this->flows.end()) {
        return false;
    }
    const auto free = this->settings.max_queued - this->queued_count;
    return own->second.requests.size() >= max_flow_share_of_free * free;
}

auto fair_queue::insert(queued_item item) -> void
{
    const auto cost = item.request.cost.value();
    const auto [position, is_new] = this->flows.try_emplace(item.request.organisation);
    if (is_new) {
        this->flow_order.push_back(item.request.organisation);
    }
    auto& own = position->second;
    own.weight = std::max(item.request.weight, min_weight);
    own.queued_tokens += cost;
    this->queued_tokens += cost;
    ++this->queued_count;
    this->earliest_check = std::min(this->earliest_check, item.latest_start);
    const auto behind = std::ranges::find_if(own.requests, [&item](const queued_item& other) {
        return other.request.priority < item.request.priority;
    });
    own.requests.insert(behind, std::move(item));
}

auto fair_queue::next_flow() -> flow_map::iterator
{
    while (true) {
        const auto position = this->flows.find(this->flow_order.front());
        auto& item = position->second;
        if (!this->quantum_credited) {
            item.deficit += this->quantum() * item.weight;
            this->quantum_credited = true;
        }
        const auto cost = item.requests.front().request.cost.value();
        if (item.deficit >= static_cast<double>(cost)) {
            return position;
        }
        this->advance_flow();
    }
}

auto fair_queue::quantum() const -> double
{
    // With a quantum of many requests, one round over all organisations would take longer than the
    // deadlines allow, and small organisations would be refused although they use less than their
    // share.
    return std::max(this->mean_cost, 1.0);
}

auto fair_queue::advance_flow() -> void
{
    this->flow_order.push_back(this->flow_order.front());
    this->flow_order.pop_front();
    this->quantum_credited = false;
}

auto fair_queue::start(flow_map::iterator from, std::size_t index, common::time_point now)
    -> queued_request
{
    const auto cost = from->second.requests[index].request.cost.value();
    from->second.deficit -= static_cast<double>(cost);
    auto request = this->remove_at(from, index);
    if (this->mean_cost == 0.0) {
        this->mean_cost = static_cast<double>(cost);
    }
    this->running_requests[request.key] = {cost, now, now + this->run_time(cost)};
    this->running_tokens += cost;
    return request;
}

auto fair_queue::remove_at(flow_map::iterator from, std::size_t index) -> queued_request
{
    auto& item = from->second;
    const auto position = item.requests.begin() + static_cast<std::ptrdiff_t>(index);
    auto request = std::move(position->request);
    item.requests.erase(position);
    item.queued_tokens -= request.cost.value();
    this->queued_tokens -= request.cost.value();
    --this->queued_count;
    if (!item.requests.empty()) {
        return request;
    }
    // An organisation without queued requests loses its deficit; otherwise it could accumulate
    // credit while idle and later monopolise the server.
    const auto turn = std::ranges::find(this->flow_order, from->first);
    if (turn == this->flow_order.begin()) {
        this->quantum_credited = false;
    }
    this->flow_order.erase(turn);
    this->flows.erase(from);
    return request;
}

} // namespace reedramp::placement
