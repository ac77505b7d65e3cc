#pragma once

#include "routing/configuration.hpp"

namespace reedramp::routing {

/// How one send of a request ended, as far as this process knows.
enum class attempt_end : std::uint8_t {
    /// No byte of the request was sent.
    not_sent,
    /// The server states that it has not executed the request and never will.
    not_executed,
    /// The server executed it: a response, or part of one, was received.
    ran,
    /// The request was sent and no response arrived.
    unknown,
    /// As `unknown`, for a stream. A stream's response head arrives with its first token, so the
    /// request was most likely still queued at the server.
    unknown_in_queue,
};

/// Tracks all sends of one request and decides whether it may be sent again.
///
/// Two mistakes have to be avoided: resending a request that may have been executed executes it
/// twice, and reporting "not executed" for such a request makes the caller do the same.
class attempt_ledger {
public:
    /// Number of sends, refused ones included.
    [[nodiscard]] auto sends() const -> unsigned { return this->sent; }

    auto note_sent() -> void
    {
        this->sent += 1;
        this->has_send_in_flight = true;
    }

    /// Records how the send in flight ended.
    auto note_end(attempt_end how) -> void;

    [[nodiscard]] auto is_in_flight() const -> bool { return this->has_send_in_flight; }

    /// Whether a send may begin now: none is in flight, and the route allows another run if there
    /// may have been one. Holds whatever led to the send, so that a second continuation of a
    /// request cannot run it twice.
    [[nodiscard]] auto may_begin_send(const route& on) const -> bool;

    /// Records that a server refused the request and asked for a backoff. The request can't return
    /// to that server soon, so the send does not count towards `max_sends`; at most `max_sends`
    /// refusals are exempt in this way.
    auto note_backoff_asked() -> void { this->backoffs += 1; }

    /// Whether it is certain that no server has executed the request.
    [[nodiscard]] auto is_not_run() const -> bool { return !this->may_have_run; }

    /// Whether the route allows another send, with at most `max_sends` in total.
    [[nodiscard]] auto may_send_again(const route& on, unsigned max_sends) const -> bool;

    /// Whether a send in flight may be abandoned for another one. It may have been executed
    /// although no response has arrived: servers that hang accept requests and start them. Two
    /// further executions must therefore be allowed. With room for only one, a stream that stalled
    /// at several servers was executed by more servers than its route allows.
    [[nodiscard]] auto may_abandon_send(const route& on, unsigned max_sends) const -> bool;

    /// Whether the current answer may be discarded in favour of a larger model. Needs room for two
    /// more sends: one to the larger model, and one more if that is lost.
    [[nodiscard]] auto may_discard_answer(const route& on, unsigned max_sends) const -> bool;

private:
    [[nodiscard]] auto
    leaves_room(const route& on, unsigned max_sends, unsigned more_runs, unsigned more_sends) const
        -> bool;

    unsigned sent = 0;
    bool has_send_in_flight = false;
    /// How many of these were refused by servers that asked for a backoff.
    unsigned backoffs = 0;
    /// Sends known to have been executed, or assumed to be; they count against the route's limit.
    unsigned runs = 0;
    bool may_have_run = false;
};

} // namespace reedramp::routing
