#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "http/message.hpp"
#include "http/server.hpp"

namespace reedramp::http {

/// The connection, as an exchange sees it from any thread.
class flusher {
public:
    virtual ~flusher() = default;

    /// Writes what the exchange holds, on the connection's thread: at once when called there.
    virtual auto flush_now() -> void = 0;

    /// The same in the next turn of the loop, so that all that is written in this turn goes out in
    /// one piece.
    virtual auto flush_soon() -> void = 0;

    /// Runs `action` on the connection's thread, never inside this call.
    virtual auto run_soon(std::function<auto()->void> action) -> void = 0;
};

/// What the connection has to write next.
struct outgoing {
    std::optional<response> head;
    std::string body;
    bool chunked = false;
    /// Nothing comes after this.
    bool last = false;
    /// The answer is broken off: close without its end.
    bool cut = false;
};

/// One request and its answer: the place where the thread that answers and the connection's thread
/// meet. Actions of the owner run outside the lock.
class exchange {
public:
    using action = std::function<auto()->void>;

    explicit exchange(std::weak_ptr<flusher> connection);

    // For the thread that answers.
    auto send(response answer) -> void;
    auto start(response head) -> void;
    auto write(std::string chunk) -> void;
    auto finish() -> void;
    auto abort() -> void;
    auto drop_unsent() -> void;
    auto backlog() -> std::size_t;
    [[nodiscard]] auto taken() const -> std::uint64_t;
    auto when_drained(std::size_t low_water, action run) -> void;
    auto on_disconnect(action run) -> void;
    /// The responder was dropped. Without an answer so far, a caller would wait for ever; it gets
    /// an error, or sees a broken answer.
    auto abandon() -> void;

    // For the connection's thread.
    /// Takes all that is there; nullopt when there is nothing new.
    auto take() -> std::optional<outgoing>;
    /// The answer was broken off; what the socket has not taken is not wanted any more.
    auto is_cut() -> bool;
    /// The socket has taken `bytes` of the last `take`, its head and framing included.
    auto written_part(std::size_t bytes) -> void;
    /// The socket has taken all of the last `take`.
    auto written() -> void;
    /// The caller has left, or has closed its sending side.
    auto caller_left() -> void;
    /// Nothing more will be written.
    auto closed() -> void;

private:
    enum class stage : std::uint8_t { waiting, started, ended };

    struct waiter {
        std::size_t low_water = 0;
        action run;
    };

    enum class urgency : std::uint8_t { now, soon };
    auto request_flush(std::unique_lock<std::mutex>& guard, urgency when) -> void;
    auto run_soon(action run) -> void;
    [[nodiscard]] auto held_bytes() const -> std::size_t;

    std::weak_ptr<flusher> connection;
    std::mutex lock;
    stage answer = stage::waiting;
    outgoing pending;
    bool has_news = false;
    bool flush_requested = false;
    bool caller_gone = false;
    bool connection_closed = false;
    std::size_t in_flight_bytes = 0;
    /// Bytes of finished pieces that the socket has taken, and of the one in flight.
    std::atomic<std::uint64_t> taken_before{0};
    std::atomic<std::uint64_t> taken_in_flight{0};
    std::vector<waiter> waiters;
    action disconnect_action;
};

/// The handle that a request handler gets.
class exchange_responder final : public responder {
public:
    explicit exchange_responder(std::shared_ptr<exchange> target);
    ~exchange_responder() override;
    exchange_responder(const exchange_responder&) = delete;
    exchange_responder(exchange_responder&&) = delete;
    auto operator=(const exchange_responder&) -> exchange_responder& = delete;
    auto operator=(exchange_responder&&) -> exchange_responder& = delete;

    auto send(response answer) -> void override;
    auto start(response head) -> void override;
    auto write(std::string chunk) -> void override;
    auto finish() -> void override;
    auto abort() -> void override;
    [[nodiscard]] auto backlog() const -> std::size_t override;
    [[nodiscard]] auto taken() const -> std::uint64_t override;
    auto drop_unsent() -> void override;
    auto when_drained(std::size_t low_water, std::function<auto()->void> action) -> void override;
    auto on_disconnect(std::function<auto()->void> action) -> void override;

private:
    std::shared_ptr<exchange> target;
};

} // namespace reedramp::http
