#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "routing/server_choice.hpp"

/// Simulation of engines that read prompts in order of arrival, in chunks between the steps that
/// generate tokens, without a network. Uses the real trackers and the real choice.
namespace reedramp::routing::testing {

struct wait_shape {
    std::size_t entries = 22;
    std::size_t servers = 41;
    /// Requests per second for each server.
    double rate = 8.0;
    /// Whether entries judge servers by pauses and peers' reports, as under overload control.
    bool is_controlled = true;
    std::uint64_t seed = 1;
};

struct wait_result {
    /// Of the predicted cost of the chosen server with the wait for the first token.
    double correlation = 0.0;
    double mean_ms = 0.0;
    double p99_ms = 0.0;
    /// Share of first tokens after a quarter of their target, and how many times that share the
    /// worst server has.
    double late = 0.0;
    double worst_server = 0.0;
};

/// Runs for `time`, after a warm-up of the same length that is not measured.
auto simulate_waits(
    const wait_shape& shape, const choice_options& options, std::chrono::seconds time)
    -> wait_result;

} // namespace reedramp::routing::testing
