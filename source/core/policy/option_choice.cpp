#include "policy/option_choice.hpp"

#include <algorithm>
#include <vector>

namespace reedramp::policy {

namespace {

constexpr std::uint64_t share_denominator = 1000;

/// Change of the price of quality per unit of shortfall, as a multiple of the cost of the most
/// expensive option. See docs/design/policy.md.
constexpr double price_gain = 1.0;

/// Maximum price of one unit of quality, as a multiple of the cost of the most expensive option.
constexpr double price_ceiling = 30.0;

/// The controller aims this much above the target.
constexpr double target_margin = 0.002;

auto is_allowed(const option& candidate, const choice_input& input) -> bool
{
    if (candidate.key.second && !input.may_cascade) {
        return false;
    }
    if (input.price_ceiling && candidate.expected_cost > *input.price_ceiling) {
        return false;
    }
    return candidate.expected_time <= input.time_left;
}

/// Options that may turn out to meet the target at a lower cost than `best`.
auto find_exploration_candidates(
    const std::vector<const option*>& candidates, const option& best, double target)
    -> std::vector<const option*>
{
    std::vector<const option*> found;
    for (const auto* candidate : candidates) {
        const bool is_undecided =
            candidate->quality.lower < target && candidate->quality.upper >= target;
        const bool is_cheaper = candidate->expected_cost < best.expected_cost;
        const bool best_misses_target = best.quality.lower < target;
        if (is_undecided && candidate != &best && (is_cheaper || best_misses_target)) {
            found.push_back(candidate);
        }
    }
    return found;
}

auto costs_less(const option* left, const option* right) -> bool
{
    if (left->expected_cost != right->expected_cost) {
        return left->expected_cost < right->expected_cost;
    }
    return left->quality.mean > right->quality.mean;
}

/// Sorts options that meet the target first, by increasing cost, then the others by decreasing
/// lower bound.
auto sort_by_target(std::vector<const option*>& candidates, double target) -> void
{
    std::ranges::sort(candidates, [target](const option* left, const option* right) {
        const bool left_meets = left->quality.lower >= target;
        const bool right_meets = right->quality.lower >= target;
        if (left_meets != right_meets) {
            return left_meets;
        }
        if (left_meets) {
            return costs_less(left, right);
        }
        if (left->quality.lower != right->quality.lower) {
            return left->quality.lower > right->quality.lower;
        }
        // The bounds do not distinguish the two; the more expensive option is the safer one.
        return left->expected_cost > right->expected_cost;
    });
}

/// Sorts by increasing cost net of the value of the quality.
auto sort_by_price(std::vector<const option*>& candidates, double price) -> void
{
    const auto value = [price](const option* each) {
        return static_cast<double>(each->expected_cost.value()) - price * each->quality.lower;
    };
    std::ranges::sort(candidates, [&value](const option* left, const option* right) {
        return value(left) < value(right);
    });
}

} // namespace

auto to_string(choice_reason reason) -> std::string_view
{
    switch (reason) {
    case choice_reason::cheapest_at_target:
        return "cheapest_at_target";
    case choice_reason::best_available:
        return "best_available";
    case choice_reason::mixed_at_target:
        return "mixed_at_target";
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
        if (is_allowed(candidate, input)) {
            candidates.push_back(&candidate);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    sort_by_target(candidates, input.quality_target);
    // Trading quality against cost only makes sense if some option is known to meet the target.
    const bool is_target_reachable = candidates.front()->quality.lower >= input.quality_target;
    const bool trades_quality = input.quality_price && is_target_reachable;
    if (trades_quality) {
        sort_by_price(candidates, *input.quality_price);
    }
    const option& best = *candidates.front();
    choice chosen{best.key, choice_reason::best_available, std::nullopt};
    if (trades_quality) {
        chosen.reason = choice_reason::mixed_at_target;
    }
    else if (is_target_reachable) {
        chosen.reason = choice_reason::cheapest_at_target;
    }
    if (candidates.size() > 1) {
        chosen.runner_up = candidates[1]->key;
    }
    if (input.chance >= input.explore_share) {
        return chosen;
    }
    const auto explorable = find_exploration_candidates(candidates, best, input.quality_target);
    if (explorable.empty()) {
        return chosen;
    }
    const double part = input.chance / input.explore_share;
    const auto index = static_cast<std::size_t>(part * static_cast<double>(explorable.size()));
    return choice{
        explorable[std::min(index, explorable.size() - 1)]->key,
        choice_reason::exploring,
        best.key};
}

auto quality_price_controller::update(
    const quality_estimate& chosen, double target, common::micro_money max_cost) -> void
{
    const auto scale = static_cast<double>(max_cost.value());
    const double highest = price_ceiling * scale;
    if (!this->initialised) {
        // Starts at the maximum price, so that the first requests do not get the lowest quality.
        this->initialised = true;
        this->current = highest;
    }
    const double shortfall = target + target_margin - chosen.lower;
    this->current = std::clamp(this->current + price_gain * scale * shortfall, 0.0, highest);
}

auto is_in_rollout_share(std::uint64_t hash, common::permille share) -> bool
{
    return hash % share_denominator < share.value();
}

} // namespace reedramp::policy
