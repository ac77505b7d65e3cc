#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "common/strong.hpp"
#include "common/units.hpp"

namespace reedramp::overload {

using common::time_point;

/// Names one stream for as long as the process holds bytes of it.
using held_stream_id = common::strong<struct held_stream_tag, std::uint64_t>;

struct held_bytes_options {
    /// Most bytes that all streams may hold; 0 if unlimited.
    std::size_t budget = 0;
    /// A stream without progress for this long is given up before the others.
    std::chrono::milliseconds idle_after{1000};
    /// How long new streams are refused after the budget was exceeded. Without it, each new stream
    /// would be admitted at the expense of one that has begun.
    std::chrono::milliseconds refusal_time{1000};
    /// Shares of the budget at which the entry becomes crowded, and below which it ceases to be.
    double crowded_from = 0.9;
    double crowded_until = 0.5;
};

/// Counts the bytes that the process holds for each stream because a reader is slow: a caller that
/// reads its response, or a server that reads a request's body. Decides which stream is given up
/// beyond the budget, and whether new ones are accepted.
class held_bytes {
public:
    explicit held_bytes(held_bytes_options options);

    auto add(time_point now) -> held_stream_id;

    /// Forgets the stream with all that it holds. Unknown streams are ignored.
    auto remove(held_stream_id stream) -> void;

    /// Sets what the stream holds now. `progress` counts bytes that its reader has taken or that
    /// still arrive; a change shows that it is not idle. Unknown streams are ignored.
    auto update(held_stream_id stream, std::size_t held, std::uint64_t progress, time_point now)
        -> void;

    /// Bytes held by all streams.
    [[nodiscard]] auto total() const -> std::size_t { return this->sum; }

    /// Bytes held by the stream; 0 if it is unknown.
    [[nodiscard]] auto held_by(held_stream_id stream) const -> std::size_t;

    /// Time since the stream's last progress, or since the stream began to hold bytes.
    [[nodiscard]] auto idle_time(held_stream_id stream, time_point now) const
        -> std::chrono::milliseconds;

    [[nodiscard]] auto is_over_budget() const -> bool;

    /// Returns the stream to give up: none within the budget; otherwise the one with the most bytes
    /// among the idle ones, or among all if none is idle.
    [[nodiscard]] auto choose_stream_to_give_up(time_point now) const
        -> std::optional<held_stream_id>;

    /// Whether new streams are refused.
    [[nodiscard]] auto refuses_new(time_point now) const -> bool;

    /// Whether the load balancer should send callers elsewhere.
    [[nodiscard]] auto is_crowded() const -> bool { return this->crowded; }

private:
    struct stream_state {
        std::size_t held = 0;
        std::uint64_t progress = 0;
        /// Time of the last progress, or at which the stream began to hold bytes.
        time_point moved_at{};
    };

    auto change_total(std::size_t before, std::size_t after) -> void;

    held_bytes_options options;
    std::unordered_map<std::uint64_t, stream_state> streams;
    std::uint64_t last_id = 0;
    std::size_t sum = 0;
    bool crowded = false;
    std::optional<time_point> exceeded_at;
};

} // namespace reedramp::overload
