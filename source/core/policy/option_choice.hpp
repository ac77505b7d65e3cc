#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "common/units.hpp"
#include "policy/quality.hpp"

namespace reedramp::policy {

/// One way to serve a request, with its expected cost, time and quality.
struct option {
    option_key key;
    common::micro_money expected_cost;
    common::duration expected_time{};
    quality_estimate quality;
};

/// Why an option was chosen; written to the decision's log line.
enum class choice_reason : std::uint8_t {
    /// The cheapest option whose lower quality bound meets the target.
    cheapest_at_target,
    /// No option meets the target; the one with the highest lower bound.
    best_available,
    /// The best trade-off of cost and quality at the current price of quality; see
    /// `quality_price_controller`.
    mixed_at_target,
    /// An option whose bounds include the target, chosen to learn about it.
    exploring,
    /// The session's version.
    pinned,
    /// The request belongs to the share of a version that is being rolled out.
    rollout_share,
    /// The request names the version.
    named,
};

auto to_string(choice_reason reason) -> std::string_view;

struct choice_input {
    std::span<const option> options;
    double quality_target = 0.0;
    /// Maximum expected cost of the request; more expensive options are never chosen.
    std::optional<common::micro_money> price_ceiling;
    common::duration time_left = common::duration::max();
    /// Whether a cascade is allowed. A cascade may run a request twice, so it is not allowed for
    /// requests that must run at most once.
    bool may_cascade = true;
    /// Share of requests that may explore.
    double explore_share = 0.03;
    /// A random number, uniform in [0, 1).
    double chance = 1.0;
    /// The current price of one unit of quality, in micro-money. Without it, each choice has to
    /// meet the target; with it, the mean over all choices has to.
    std::optional<double> quality_price;
};

struct choice {
    option_key key;
    choice_reason reason = choice_reason::best_available;
    /// The next best option.
    std::optional<option_key> runner_up;
};

/// Chooses the cheapest option whose lower quality bound meets the target; see
/// docs/design/policy.md. Empty if the price ceiling, the time left and the cascade rule exclude
/// all options.
auto choose(const choice_input& input) -> std::optional<choice>;

/// Adjusts the price of quality so that the mean quality of one organisation's requests of one task
/// stays at the target.
///
/// If the target lies between the qualities of two options, the cheaper one misses it and the more
/// expensive one exceeds it. The controller raises the price when a chosen option's lower bound is
/// below the target and lowers it when the bound is above, so that the choices alternate.
class quality_price_controller {
public:
    [[nodiscard]] auto price() const -> double { return this->current; }

    /// Records a choice that was made by price. `max_cost` is the cost of the most expensive
    /// option, which sets the scale.
    auto update(const quality_estimate& chosen, double target, common::micro_money max_cost)
        -> void;

private:
    double current = 0.0;
    bool initialised = false;
};

/// Whether a request belongs to the share of a version that is being rolled out. `hash` is that of
/// the session, or of the request if it has none, so that a growing share only adds sessions.
auto is_in_rollout_share(std::uint64_t hash, common::permille share) -> bool;

} // namespace reedramp::policy
