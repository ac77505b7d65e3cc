#include "control/evidence_recorder.hpp"

namespace reedramp::control {

namespace {

enum class rollout_side : std::uint8_t { neither, old_version, new_version };

auto side_of(const inventory::rollout& item, const common::version_id& version) -> rollout_side
{
    if (item.status != inventory::rollout_status::running) {
        return rollout_side::neither;
    }
    if (version == item.to) {
        return rollout_side::new_version;
    }
    return version == item.from ? rollout_side::old_version : rollout_side::neither;
}

auto as_number(bool value) -> double
{
    return value ? 1.0 : 0.0;
}

} // namespace

unrated_answers::unrated_answers(std::size_t max_answers) : limit(max_answers) {}

auto unrated_answers::add(const common::request_id& request, rated_answer answer) -> void
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

auto unrated_answers::take(const common::request_id& request) -> std::optional<rated_answer>
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

evidence_recorder::evidence_recorder(policy::regression_detector_options chosen) : options(chosen)
{
}

auto evidence_recorder::evidence_of(const inventory::rollout& item) -> rollout_evidence&
{
    const auto made = this->evidence_by_version.try_emplace(
        item.to, rollout_evidence{policy::regression_evidence(this->options), {}, {}});
    auto& found = made.first->second;
    found.old_counts.version = item.from;
    found.new_counts.version = item.to;
    return found;
}

auto evidence_recorder::on_run(const inventory::state& current, const observed_run& run) -> void
{
    using policy::signal;
    const std::lock_guard guard(this->lock);
    for (const auto& [id, item] : current.rollouts) {
        const auto side = side_of(item, run.version);
        if (side == rollout_side::neither) {
            continue;
        }
        auto& found = this->evidence_of(item);
        const bool is_new = side == rollout_side::new_version;
        auto& counts = is_new ? found.new_counts : found.old_counts;
        ++counts.requests;
        counts.errors += run.failed ? 1 : 0;
        counts.slow += run.slow ? 1 : 0;
        if (is_new) {
            found.regression.add_candidate(signal::error, as_number(run.failed));
            found.regression.add_candidate(signal::slow, as_number(run.slow));
            continue;
        }
        found.regression.add_baseline(signal::error, as_number(run.failed));
        found.regression.add_baseline(signal::slow, as_number(run.slow));
    }
}

auto evidence_recorder::on_rating(
    const inventory::state& current, const common::version_id& version, double score) -> void
{
    const std::lock_guard guard(this->lock);
    for (const auto& [id, item] : current.rollouts) {
        const auto side = side_of(item, version);
        if (side == rollout_side::neither) {
            continue;
        }
        auto& found = this->evidence_of(item);
        const bool is_new = side == rollout_side::new_version;
        auto& counts = is_new ? found.new_counts : found.old_counts;
        ++counts.ratings;
        counts.rating_sum += score;
        if (is_new) {
            found.regression.add_candidate(policy::signal::rating, score);
            continue;
        }
        found.regression.add_baseline(policy::signal::rating, score);
    }
}

auto evidence_recorder::set_pooled_baseline(
    const inventory::state& current, const messages::version_evidence& baseline) -> void
{
    using policy::signal;
    const std::lock_guard guard(this->lock);
    for (const auto& [id, item] : current.rollouts) {
        if (side_of(item, baseline.version) != rollout_side::old_version) {
            continue;
        }
        auto& regression = this->evidence_of(item).regression;
        const auto ratings = static_cast<double>(baseline.ratings);
        const auto requests = static_cast<double>(baseline.requests);
        if (ratings > 0) {
            regression.set_pooled_baseline(signal::rating, baseline.rating_sum / ratings, ratings);
        }
        if (requests > 0) {
            const auto errors = static_cast<double>(baseline.errors);
            const auto slow = static_cast<double>(baseline.slow);
            regression.set_pooled_baseline(signal::error, errors / requests, requests);
            regression.set_pooled_baseline(signal::slow, slow / requests, requests);
        }
    }
}

auto evidence_recorder::report() const -> std::vector<messages::version_evidence>
{
    const std::lock_guard guard(this->lock);
    std::vector<messages::version_evidence> rows;
    for (const auto& [version, item] : this->evidence_by_version) {
        rows.push_back(item.old_counts);
        rows.push_back(item.new_counts);
        rows.back().log_wealth = item.regression.log_wealth();
    }
    return rows;
}

} // namespace reedramp::control
