#include "control/evidence_source.hpp"

namespace reedramp::control {

namespace {

/// Which side of a roll-out a version is on.
enum class side : std::uint8_t { neither, old_one, new_one };

auto side_of(const inventory::rollout& item, const common::version_id& version) -> side
{
    if (item.status != inventory::rollout_status::running) {
        return side::neither;
    }
    if (version == item.to) {
        return side::new_one;
    }
    return version == item.from ? side::old_one : side::neither;
}

auto as_number(bool value) -> double
{
    return value ? 1.0 : 0.0;
}

} // namespace

awaiting_ratings::awaiting_ratings(std::size_t most) : limit(most) {}

auto awaiting_ratings::add(const common::request_id& request, rated_answer answer) -> void
{
    const std::lock_guard guard(this->lock);
    if (!this->answers.emplace(request, std::move(answer)).second) {
        return;
    }
    this->order.push_back(request);
    while (this->order.size() > this->limit) {
        this->answers.erase(this->order.front());
        this->order.pop_front();
    }
}

auto awaiting_ratings::take(const common::request_id& request) -> std::optional<rated_answer>
{
    const std::lock_guard guard(this->lock);
    const auto found = this->answers.find(request);
    if (found == this->answers.end()) {
        return std::nullopt;
    }
    auto answer = std::move(found->second);
    this->answers.erase(found);
    return answer;
}

evidence_source::evidence_source(policy::regression_detector_options chosen) : options(chosen) {}

auto evidence_source::account_of(const inventory::rollout& item) -> account&
{
    const auto made = this->accounts.try_emplace(
        item.to, account{policy::regression_evidence(this->options), {}, {}});
    auto& found = made.first->second;
    found.old_counts.version = item.from;
    found.new_counts.version = item.to;
    return found;
}

auto evidence_source::on_run(const inventory::state& current, const observed_run& run) -> void
{
    using policy::signal;
    const std::lock_guard guard(this->lock);
    for (const auto& [id, item] : current.rollouts) {
        const auto where = side_of(item, run.version);
        if (where == side::neither) {
            continue;
        }
        auto& found = this->account_of(item);
        const bool is_new = where == side::new_one;
        auto& counts = is_new ? found.new_counts : found.old_counts;
        ++counts.requests;
        counts.errors += run.failed ? 1 : 0;
        counts.slow += run.slow ? 1 : 0;
        if (is_new) {
            found.bets.add_candidate(signal::error, as_number(run.failed));
            found.bets.add_candidate(signal::slow, as_number(run.slow));
            continue;
        }
        found.bets.add_baseline(signal::error, as_number(run.failed));
        found.bets.add_baseline(signal::slow, as_number(run.slow));
    }
}

auto evidence_source::on_rating(
    const inventory::state& current, const common::version_id& version, double score) -> void
{
    const std::lock_guard guard(this->lock);
    for (const auto& [id, item] : current.rollouts) {
        const auto where = side_of(item, version);
        if (where == side::neither) {
            continue;
        }
        auto& found = this->account_of(item);
        const bool is_new = where == side::new_one;
        auto& counts = is_new ? found.new_counts : found.old_counts;
        ++counts.ratings;
        counts.rating_sum += score;
        if (is_new) {
            found.bets.add_candidate(policy::signal::rating, score);
            continue;
        }
        found.bets.add_baseline(policy::signal::rating, score);
    }
}

auto evidence_source::use_pooled(
    const inventory::state& current, const messages::version_evidence& old_one) -> void
{
    using policy::signal;
    const std::lock_guard guard(this->lock);
    for (const auto& [id, item] : current.rollouts) {
        if (side_of(item, old_one.version) != side::old_one) {
            continue;
        }
        auto& bets = this->account_of(item).bets;
        const auto ratings = static_cast<double>(old_one.ratings);
        const auto requests = static_cast<double>(old_one.requests);
        if (ratings > 0) {
            bets.set_pooled_baseline(signal::rating, old_one.rating_sum / ratings, ratings);
        }
        if (requests > 0) {
            const auto errors = static_cast<double>(old_one.errors);
            const auto slow = static_cast<double>(old_one.slow);
            bets.set_pooled_baseline(signal::error, errors / requests, requests);
            bets.set_pooled_baseline(signal::slow, slow / requests, requests);
        }
    }
}

auto evidence_source::report() const -> std::vector<messages::version_evidence>
{
    const std::lock_guard guard(this->lock);
    std::vector<messages::version_evidence> rows;
    for (const auto& [version, item] : this->accounts) {
        rows.push_back(item.old_counts);
        rows.push_back(item.new_counts);
        rows.back().log_wealth = item.bets.log_wealth();
    }
    return rows;
}

} // namespace reedramp::control
