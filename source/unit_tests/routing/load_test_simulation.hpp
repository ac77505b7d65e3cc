#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "routing/rollout_manager.hpp"

/// A roll-out of a plain service at several entries, with servers whose answers take as long as on
/// an idle one until their slots are used up.
namespace reedramp::routing::testing {

struct load_test_setup {
    std::size_t entries = 4;
    double requests_per_second = 20.0;
    double answer_ms = 60.0;
    unsigned slots = 6;
    std::size_t servers = 3;
    /// Part of the requests that fail on both versions.
    double usual_failures = 0.004;
    /// The new version fails half of the requests that begin with at least so many running there,
    /// itself included; none if it is good.
    std::optional<unsigned> fails_from;
};

struct load_test_result {
    bool is_reverted = false;
    unsigned on_new_version = 0;
    unsigned requests = 0;
    /// The most requests that one of the new version's servers ran at once.
    unsigned most_running = 0;
};

/// Plays the order's time. Requests have no session, arrive at random, and go where the rules of
/// the entry that they reach send them.
auto play_load_test(const load_test_setup& setup, std::uint64_t seed) -> load_test_result;

} // namespace reedramp::routing::testing
