#include "policy/chooser.hpp"

#include <algorithm>
#include <vector>

namespace reedramp::policy {

namespace {

constexpr std::uint64_t share_denominator = 1000;

auto allowed(const option& candidate, const choice_input& input) -> bool
{
    if (candidate.key.second && !input.may_cascade) {
        return false;
    }
    if (input.price_ceiling && candidate.expected_cost > *input.price_ceiling) {
        return false;
    }
    return candidate.expected_time <= input.time_left;
}

/// Options that could turn out to be cheaper at the target than `best`.
auto worth_exploring(
    const std::vector<const option*>& candidates, const option& best, double target)
    -> std::vector<const option*>
{
    std::vector<const option*> found;
    for (const auto* candidate : candidates) {
        const bool undecided =
            candidate->quality.lower < target && candidate->quality.upper >= target;
        const bool cheaper = candidate->expected_cost < best.expected_cost;
        const bool best_fails = best.quality.lower < target;
        if (undecided && candidate != &best && (cheaper || best_fails)) {
            found.push_back(candidate);
        }
    }
    return found;
}

auto cheaper_first(const option* left, const option* right) -> bool
{
    if (left->expected_cost != right->expected_cost) {
        return left->expected_cost < right->expected_cost;
    }
    return left->quality.mean > right->quality.mean;
}

} // namespace

auto to_string(choice_reason reason) -> std::string_view
{
    switch (reason) {
    case choice_reason::cheapest_at_target:
        return "cheapest_at_target";
    case choice_reason::best_available:
        return "best_available";
    case choice_reason::exploring:
        return "exploring";
    case choice_reason::pinned:
        return "pinned";
    case choice_reason::rollout_share:
        return "rollout_share";
    case choice_reason::named:
        return "named";
    }
    return "unknown";
}

auto choose(const choice_input& input) -> std::optional<choice>
{
    std::vector<const option*> candidates;
    for (const auto& candidate : input.options) {
        if (allowed(candidate, input)) {
            candidates.push_back(&candidate);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    // Those that meet the target first, cheapest in front; then the others, best bound in front.
    std::ranges::sort(candidates, [&input](const option* left, const option* right) {
        const bool left_meets = left->quality.lower >= input.quality_target;
        const bool right_meets = right->quality.lower >= input.quality_target;
        if (left_meets != right_meets) {
            return left_meets;
        }
        if (left_meets) {
            return cheaper_first(left, right);
        }
        return left->quality.lower > right->quality.lower;
    });
    const option& best = *candidates.front();
    choice made{best.key, choice_reason::best_available, std::nullopt};
    if (best.quality.lower >= input.quality_target) {
        made.reason = choice_reason::cheapest_at_target;
    }
    if (candidates.size() > 1) {
        made.runner_up = candidates[1]->key;
    }
    if (input.chance >= input.explore_share) {
        return made;
    }
    const auto open = worth_exploring(candidates, best, input.quality_target);
    if (open.empty()) {
        return made;
    }
    const double part = input.chance / input.explore_share;
    const auto index = static_cast<std::size_t>(part * static_cast<double>(open.size()));
    return choice{open[std::min(index, open.size() - 1)]->key, choice_reason::exploring, best.key};
}

auto in_share(std::uint64_t hash, common::permille share) -> bool
{
    return hash % share_denominator < share.value();
}

} // namespace reedramp::policy
