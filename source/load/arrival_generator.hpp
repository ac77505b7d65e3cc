#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "common/units.hpp"
#include "settings.hpp"

namespace reedramp::load {

/// One request to be sent.
struct arrival {
    std::uint64_t number = 0;
    /// Index of its kind in `load_settings::mix`.
    std::size_t mix = 0;
    /// Index in `load_settings::organisations`.
    std::size_t organisation = 0;
    /// Time since the start of the run.
    common::duration at{};
};

/// Generates Poisson arrivals at a fixed rate (an open loop): requests do not wait for earlier
/// answers, so a slow system cannot reduce the load and thereby hide its own delay. The same seed
/// gives the same arrivals.
class arrival_generator {
public:
    explicit arrival_generator(const load_settings& run_settings);

    auto next() -> arrival;

private:
    std::mt19937_64 generator;
    std::exponential_distribution<double> gap_seconds;
    std::discrete_distribution<std::size_t> mix;
    std::discrete_distribution<std::size_t> organisation;
    std::uint64_t number = 0;
    std::chrono::duration<double> at{0.0};
};

/// The messages of a chat.
struct chat_prompt {
    /// User and assistant messages alternate in the request, user messages first.
    std::vector<std::string> user_messages;
    std::vector<std::string> assistant_messages;
    /// Empty if the kind has no prefix.
    std::string system_message;

    /// The text from which the stand-in engine computes its answer.
    [[nodiscard]] auto text_to_hash() const -> std::string;
};

/// Identifies a message of a run: an arrival, and the turn within its session (0 without a
/// session).
struct message_number {
    std::uint64_t arrival = 0;
    std::uint32_t turn = 0;
};

/// Creates a user message that is unique in the run.
auto make_message(const mix_settings& kind, std::uint64_t seed, message_number number)
    -> std::string;

auto make_system_message(const mix_settings& kind) -> std::string;

/// The JSON body of a chat request.
auto make_chat_body(const mix_settings& kind, const chat_prompt& prompt) -> std::string;

} // namespace reedramp::load
