#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "common/units.hpp"
#include "policy/quality.hpp"

namespace reedramp::policy {

/// One way to serve a request, with what is expected of it.
struct option {
    option_key key;
    common::micro_money expected_cost;
    common::duration expected_time{};
    quality_estimate quality;
};

/// Why an option was chosen; the number goes into the decision's log line.
enum class choice_reason : std::uint8_t {
    /// The cheapest one whose lower bound meets the target.
    cheapest_at_target,
    /// None meets the target; the one with the best lower bound.
    best_available,
    /// The best of cost and quality at the present price of quality; see
    /// `quality_price_controller`.
    mixed_at_target,
    /// A cheaper one whose bounds include the target, to learn about it.
    exploring,
    /// The session's version.
    pinned,
    /// The share of a version that is being rolled out.
    rollout_share,
    /// The request names the version.
    named,
};

auto to_string(choice_reason reason) -> std::string_view;

struct choice_input {
    std::span<const option> options;
    double quality_target = 0.0;
    /// Highest expected cost of one request; a higher one is never chosen.
    std::optional<common::micro_money> price_ceiling;
    common::duration time_left = common::duration::max();
    /// A cascade runs a request twice; what must run at most once never takes one.
    bool may_cascade = true;
    /// Share of requests that may explore.
    double explore_share = 0.03;
    /// Uniform in [0, 1), given by the caller.
    double chance = 1.0;
    /// What one unit of quality is worth at present, in micro-money. Without it each single choice
    /// has to meet the target; with it their mean does.
    std::optional<double> quality_price;
};

struct choice {
    option_key key;
    choice_reason reason = choice_reason::best_available;
    /// What would have been taken next.
    std::optional<option_key> runner_up;
};

/// Chooses the cheapest option whose lower bound meets the target; see docs/design/policy.md.
/// Empty if no option is allowed by ceiling, time and cascade rule.
auto choose(const choice_input& input) -> std::optional<choice>;

/// Keeps the mean quality of one organisation's requests of one task at the target, and no higher.
///
/// A target that lies between two options is missed by the cheap one and exceeded by the dear one.
/// The account raises the price of quality while the chosen options' lower bounds have fallen short
/// of the target, and lowers it while they exceeded it; at the right price the choices alternate.
class quality_price_controller {
public:
    [[nodiscard]] auto price() const -> double { return this->current; }

    /// Books a choice that was made by price. `dearest` is the cost of the dearest option; it sets
    /// the scale.
    auto update(const quality_estimate& chosen, double target, common::micro_money dearest) -> void;

private:
    double current = 0.0;
    bool opened = false;
};

/// Whether a request belongs to the share of a version that is being rolled out. A hash of the
/// session (or of the request, without one) decides, so that a growing share only adds sessions.
auto is_in_rollout_share(std::uint64_t hash, common::permille share) -> bool;

} // namespace reedramp::policy
