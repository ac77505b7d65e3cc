#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "routing/configuration.hpp"

namespace reedramp::routing {

/// Settings for the choice among a route's models when the caller names none.
struct model_options {
    /// Minimum confidence, 0 to 100, for passing on the answer of a model that is not the largest,
    /// on routes of the highest priority.
    unsigned accepted_confidence = 65;
    /// Reduction of that confidence for each step down in priority: a larger model costs the same
    /// for a short tag as for a letter of that size, and a wrong answer costs less there.
    unsigned rank_step = 6;
    /// Value of a correct answer that is late, relative to one on time. A larger model's answer
    /// that would be late has to be correct that much more often than the small model's.
    double late_value = 0.5;
    /// The same where overload control is in force.
    double contended_late_value = 0.3;
    /// Callers' mean wait for the first event, as a fraction of its target, from which the required
    /// confidence falls, and at which it is zero. A larger model takes ten times the engine time;
    /// when that is scarce, one doubtful answer is better than two late ones.
    double scarcity_from = 0.35;
    double scarcity_to = 1.00;
    /// Weight of the waits on routes of the highest priority; `rank_pressure` is added for each
    /// step down, so that the larger model is given up first where a wrong answer costs least.
    double urgent_pressure = 1.0;
    double rank_pressure = 0.7;
};

/// Measures how scarce engine time is: callers' waits for the first event relative to the targets,
/// as a moving average.
class wait_gauge {
public:
    auto note(std::chrono::milliseconds waited, std::chrono::milliseconds target) -> void;

    /// 0 when no request waits, 1 when the mean wait equals the target.
    [[nodiscard]] auto level() const -> double { return this->mean; }

private:
    double mean = 0.0;
};

/// When the larger model's first event is expected.
enum class larger_model_timing : std::uint8_t {
    in_time,
    /// After the route's target, since the servers are busy or the request has waited already.
    late,
    /// Never: every larger model takes longer than the target to read the prompt, and meanwhile
    /// delays all other streams of its server.
    too_slow,
};

/// Returns the confidence required of a request of priority `rank`. `level` is that of the gauge;
/// where overload control is in force, the larger of it and the service's pressure.
auto required_confidence(
    const model_options& options, unsigned rank, double level, larger_model_timing larger)
    -> double;

/// Returns the index of the first model to ask: the smallest. It costs and takes a small fraction
/// of what the largest does, and the head of its response states its confidence before the caller
/// has received any of it.
auto first_model(const route& on) -> std::size_t;

/// Whether the answer of `model` is passed on rather than discarded for a larger model's.
/// `confidence` is -1 if the server states none.
auto is_accepted(const route& on, std::size_t model, int confidence, double asked) -> bool;

/// Returns the index of the model to ask after `model`'s answer was discarded: the largest. Those
/// in between are little better than the smallest, and each attempt takes time.
auto next_model(const route& on) -> std::size_t;

/// Returns the index of the largest model after `model` that reads the prompt within the route's
/// target; none if each takes longer. Without a target, the largest. `reading_time` returns how
/// long a request waits for its first event at the model with that index.
auto next_model_in_time(
    const route& on,
    std::size_t model,
    const std::function<auto(std::size_t model)->std::chrono::milliseconds>& reading_time)
    -> std::optional<std::size_t>;

/// Returns the engine time per token of `model` relative to the service's largest model, estimated
/// from the prices, which follow the time closely. 1 if unknown.
auto slowness(const service* of, const std::string& model) -> double;

} // namespace reedramp::routing
