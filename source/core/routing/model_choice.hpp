#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "routing/configuration.hpp"

namespace reedramp::routing {

/// Which of a route's models answers, where the caller leaves it open.
struct model_options {
    /// Least confidence, 0 to 100, with which the answer of a model that is not the largest is
    /// passed on, on the most urgent routes.
    unsigned accepted_confidence = 65;
    /// Less is asked for by this for each rank of a route's priority: a larger model costs the same
    /// for a short tag as for a letter of that size, and there is less to lose.
    unsigned rank_step = 6;
    /// What a right answer is worth that comes late, against one on time; a larger model's answer
    /// that would be late has to be right as much more often than the small one's.
    double late_worth = 0.5;
    /// Callers' mean wait for the first event, as a part of its target, from where on less
    /// confidence is asked for, and where any is enough. A larger model takes ten times the
    /// engines' time; when that is short, an answer of doubtful worth is better than two late ones.
    double short_from = 0.35;
    double short_to = 1.00;
    /// Waits count this much for the most urgent routes, and by `rank_pressure` more for each rank
    /// below: the larger model gives way first where there is least to lose.
    double urgent_pressure = 1.0;
    double rank_pressure = 0.7;
};

/// How short the engines are: callers' waits for the first event against the targets, newest
/// weighted most.
class wait_gauge {
public:
    auto note(std::chrono::milliseconds waited, std::chrono::milliseconds target) -> void;

    /// 0 when nothing waits, 1 when the mean wait is the target.
    [[nodiscard]] auto level() const -> double { return this->mean; }

private:
    double mean = 0.0;
};

/// The confidence asked for on a route at a level of the gauge, when the larger model's answer
/// would come on time, or late.
auto asked_confidence(
    const model_options& options, const route& on, double level, bool larger_is_late) -> double;

/// The first model to ask: the smallest. It costs and takes a small part of what the largest does,
/// and with the head of its answer says how sure it is, before the caller has any of it.
auto first_model(const route& on) -> std::size_t;

/// Whether the answer of `model` is passed on, or dropped for a larger model's.
/// `confidence` is -1 where the server says none.
auto is_accepted(const route& on, std::size_t model, int confidence, double asked) -> bool;

/// The model to ask after `model`'s answer was dropped: the largest. Those between are little
/// better than the smallest, and each try takes time.
auto next_model(const route& on) -> std::size_t;

/// How much more engine time a token of `model` takes than one of the service's largest model, by
/// the prices, which follow the time closely. 1 where nothing is known.
auto slowness(const service* of, const std::string& model) -> double;

} // namespace reedramp::routing
