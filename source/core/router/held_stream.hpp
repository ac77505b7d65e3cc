#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "common/hooks.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "overload/held_bytes.hpp"
#include "router/router_metrics.hpp"

namespace reedramp::router {

using common::time_point;

struct held_stream_options {
    /// With a budget of 0 nothing is counted, paused or given up.
    overload::held_bytes_options held;
    /// Backlog of a caller from which its server's response is not read on. As large as the largest
    /// read of the HTTP client, and below what the system buffers for a caller that reads.
    std::size_t high_water = 64UL * 1024UL;
    /// Backlog below which it is read on.
    std::size_t low_water = 16UL * 1024UL;
    /// Longest pause: a server cuts a response that stays unread for some seconds.
    std::chrono::milliseconds longest_pause{2000};
    /// Interval at which the callers' progress is read while bytes are held.
    std::chrono::milliseconds sample_interval{250};
    /// Most log lines on pauses in a second, over all streams.
    unsigned pause_lines_per_second = 10;
};

class held_stream;

/// The bytes that the entry holds for slow readers, over all requests, and the bound on them. Used
/// from one thread. Outlives its streams.
class held_streams : public std::enable_shared_from_this<held_streams> {
public:
    held_streams(
        common::clock_hook clock,
        common::timer_hook timer,
        held_stream_options options,
        const router_metrics& counters);

    /// Starts to count what is held for a request's caller. `request` names it in log lines.
    auto open(std::string request, std::shared_ptr<http::responder> caller)
        -> std::shared_ptr<held_stream>;

    /// Whether a new request is refused, because the budget is or was a moment ago exceeded.
    [[nodiscard]] auto refuses_new() const -> bool
    {
        return this->bytes.refuses_new(this->clock());
    }

    /// Whether the load balancer should send callers elsewhere.
    [[nodiscard]] auto is_crowded() const -> bool { return this->bytes.is_crowded(); }

    /// Bytes held for all requests.
    [[nodiscard]] auto total() const -> std::size_t { return this->bytes.total(); }

private:
    friend class held_stream;

    /// Counts what the stream holds now. Gives streams up until the budget is met.
    auto note(held_stream& stream) -> void;
    auto count(held_stream& stream) -> void;
    auto forget(overload::held_stream_id number) -> void;
    auto enforce_budget() -> void;
    /// Reads the progress of all streams that hold bytes.
    auto sample() -> void;
    auto schedule_sample() -> void;
    /// Counts a pause of the stream. Logs the first one of each stream, within the limit of lines.
    auto note_pause(held_stream& stream) -> void;

    common::clock_hook clock;
    common::timer_hook timer;
    held_stream_options options;
    const router_metrics& counters;
    overload::held_bytes bytes;
    std::unordered_map<std::uint64_t, held_stream*> streams;
    bool is_sampling = false;
    time_point pause_lines_since{};
    unsigned pause_lines = 0;
    /// Streams whose response has ended, until their callers have read it. Destroyed before the
    /// members that streams use at their end.
    std::map<std::uint64_t, std::shared_ptr<held_stream>> draining;
};

/// The way back to one caller, which counts the bytes held for the request, and pauses the server's
/// response while the caller reads slowly.
class held_stream final : public http::responder, public std::enable_shared_from_this<held_stream> {
public:
    held_stream(held_streams& owner, std::string request, std::shared_ptr<http::responder> caller);
    ~held_stream() override;
    held_stream(const held_stream&) = delete;
    held_stream(held_stream&&) = delete;
    auto operator=(const held_stream&) -> held_stream& = delete;
    auto operator=(held_stream&&) -> held_stream& = delete;

    auto send(http::response answer) -> void override;
    auto start(http::response head) -> void override;
    auto write(std::string chunk) -> void override;
    auto finish() -> void override;
    auto abort() -> void override;
    [[nodiscard]] auto backlog() const -> std::size_t override;
    [[nodiscard]] auto taken() const -> std::uint64_t override;
    auto drop_unsent() -> void override;
    auto when_drained(std::size_t low_water, std::function<auto()->void> action) -> void override;
    auto on_disconnect(std::function<auto()->void> action) -> void override;

    /// The server's call whose response is passed on from now on, and the size of its request's
    /// body, which the client holds until the system has taken it.
    auto follow(std::shared_ptr<http::call> server, std::size_t request_body) -> void;

    /// The system has taken the whole request to the server.
    auto note_request_sent() -> void;

    /// Sets the bytes of a response that is kept until it is whole.
    auto note_buffered(std::size_t size) -> void;

    /// `action` ends the request if its stream is given up before its response has ended.
    auto when_given_up(std::function<auto()->void> action) -> void;

    /// Whether the server's response is not read at present.
    [[nodiscard]] auto is_paused() const -> bool { return this->paused; }

    /// Since when the server's response is read without a pause: now while it is paused.
    [[nodiscard]] auto reading_since() const -> time_point;

private:
    friend class held_streams;

    [[nodiscard]] auto held() const -> std::size_t;
    auto pause_if_slow() -> void;
    auto watch_pause() -> void;
    auto on_drained() -> void;
    auto resume() -> void;
    /// Nothing more is written. The stream is counted until its caller has read all.
    auto end() -> void;
    /// Nothing is held any more.
    auto release() -> void;
    auto give_up() -> void;

    held_streams& owner;
    /// False without a budget, and once nothing more is held.
    bool counted = false;
    overload::held_stream_id number;
    std::string request;
    std::shared_ptr<http::responder> caller;
    std::shared_ptr<http::call> server;
    std::function<auto()->void> given_up_action;
    std::size_t buffered = 0;
    /// Bytes that the HTTP client holds of a request until it is sent.
    std::size_t unsent = 0;
    bool paused = false;
    /// The last pause reached its bound, or goes on: the next one starts only after the backlog has
    /// drained.
    bool awaits_drain = false;
    bool watches_pause = false;
    bool was_paused = false;
    time_point paused_at{};
    time_point resumed_at{};
};

} // namespace reedramp::router
