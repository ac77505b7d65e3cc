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
    /// passed on.
    unsigned accepted_confidence = 50;
    /// Callers' mean wait for the first event, as a part of its target, from where on less
    /// confidence is asked for, and where any is enough. A larger model takes ten times the
    /// engines' time; when that is short, an answer of doubtful worth is better than two late ones.
    double short_from = 0.35;
    double short_to = 1.00;
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

/// The confidence asked for at a level of the gauge.
auto asked_confidence(const model_options& options, double level) -> double;

/// The first model to ask: the smallest. Its prompt costs a fifteenth of the largest one's, takes a
/// tenth of its time, and with the head of its answer says how sure it is, before the caller has
/// any of it.
auto first_model(const route& on) -> std::size_t;

/// Whether the answer of `model` is passed on, or dropped for a larger model's.
/// `confidence` is -1 where the server says none.
auto is_accepted(const route& on, std::size_t model, int confidence, double asked) -> bool;

/// The model to ask after `model`'s answer was dropped: the largest. Those between are little
/// better than the smallest, and each try takes time.
auto next_model(const route& on) -> std::size_t;

/// How much more engine time a token of `model` takes than one of the service's largest model, by
/// the prices, which follow the time closely: price ratios of 15 and 2 stand for times of 10 and
/// 3.8. 1 where nothing is known.
auto slowness(const service* of, const std::string& model) -> double;

} // namespace reedramp::routing
