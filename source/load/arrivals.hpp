#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "common/units.hpp"
#include "settings.hpp"

namespace reedramp::load {

/// One arrival: which kind of request, of which organisation, when.
struct arrival {
    std::uint64_t number = 0;
    std::size_t mix = 0;
    std::size_t organisation = 0;
    /// Since the start of the run.
    common::duration at{};
};

/// Poisson arrivals of a fixed rate: the next request does not wait for an answer, so that a slow
/// system does not slow the load down and hide its own delay. The same seed gives the same
/// arrivals.
class arrivals {
public:
    explicit arrivals(const load_settings& given);

    auto next() -> arrival;

private:
    std::mt19937_64 generator;
    std::exponential_distribution<double> gap_seconds;
    std::discrete_distribution<std::size_t> mix;
    std::discrete_distribution<std::size_t> organisation;
    std::uint64_t number = 0;
    std::chrono::duration<double> at{0.0};
};

/// The messages of a chat and what the answer to them has to be.
struct chat_prompt {
    /// One system message if the kind has a prefix, then callers' and assistant's messages in turn.
    std::vector<std::string> callers;
    std::vector<std::string> assistants;
    std::string system;

    /// The text that the stand-in engine's answer depends on.
    [[nodiscard]] auto hashed_text() const -> std::string;
};

/// Names one message of a run: an arrival and its turn within a session, 0 outside of one.
struct message_number {
    std::uint64_t arrival = 0;
    std::uint32_t turn = 0;
};

/// A caller's message that no other request of the run has.
auto make_message(const mix_settings& kind, std::uint64_t seed, message_number number)
    -> std::string;

auto make_system_message(const mix_settings& kind) -> std::string;

/// The JSON body of a chat request.
auto make_chat_body(const mix_settings& kind, const chat_prompt& prompt) -> std::string;

} // namespace reedramp::load
