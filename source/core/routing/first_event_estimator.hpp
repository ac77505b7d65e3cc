#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace reedramp::routing {

/// Learns how long requests of one service wait for their first event, by the work of their own
/// prompts.
///
/// The time per unit of work grows with the prompt, since each token attends to all before it. A
/// mean over all requests predicts half of what the longest prompts take.
class first_event_estimator {
public:
    /// Records that the first event came `took` after the request was sent.
    auto note(double prompt_work, std::chrono::milliseconds took) -> void;

    /// Returns the expected wait. For prompts longer than any seen, extrapolates in proportion,
    /// which is a lower bound. Zero without samples of prompts of this size or a smaller one.
    [[nodiscard]] auto expected(double prompt_work) const -> std::chrono::milliseconds;

private:
    /// Prompts up to twice the work of the previous class.
    struct size_class {
        double mean_work = 0.0;
        double mean_ms = 0.0;
        unsigned samples = 0;
    };

    static constexpr std::size_t class_count = 12;

    [[nodiscard]] static auto class_of(double prompt_work) -> std::size_t;

    std::array<size_class, class_count> classes{};
};

} // namespace reedramp::routing
