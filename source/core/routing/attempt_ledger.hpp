#pragma once

#include "routing/configuration.hpp"

namespace reedramp::routing {

/// How one send of a request ended, as far as that is known.
enum class attempt_end : std::uint8_t {
    /// No byte of it left.
    not_sent,
    /// The server says that it has not run it and never will.
    not_executed,
    /// The server worked on it: its answer, or a part of it, is here.
    ran,
    /// It was sent, and nothing came back.
    unknown,
    /// The same for a stream, whose head comes with its first token: as a rule it still waited for
    /// its turn.
    unknown_in_queue,
};

/// What is known of a request over all its sends, and what follows from that.
///
/// Two mistakes are possible. Sending again what may have run lets it run twice; telling the caller
/// "not run" of what may have run makes the caller do the same.
class attempt_ledger {
public:
    /// Sends in all, refused ones included.
    [[nodiscard]] auto sends() const -> unsigned { return this->sent; }

    auto note_sent() -> void { this->sent += 1; }

    auto note_end(attempt_end how) -> void;

    /// A server has turned the request away and asked for rest: it can't be met again so soon. Not
    /// a send that brings the request nearer to its last one, up to as many as it may have.
    auto note_rest_asked() -> void { this->rests += 1; }

    /// No server has worked on the request, for certain.
    [[nodiscard]] auto is_not_run() const -> bool { return !this->may_have_run; }

    /// Whether the route lets the request be sent once more after what is known, with at most
    /// `most_sends` in all.
    [[nodiscard]] auto may_send_again(const route& on, unsigned most_sends) const -> bool;

    /// Whether a send under way may be left for another one. It may have run, though no word of it
    /// has come: servers that hang take requests and begin them. Left with only one run to spare,
    /// a stream that stalled at several of them ran on more servers than its route allows.
    [[nodiscard]] auto may_leave(const route& on, unsigned most_sends) const -> bool;

    /// Whether two more may be sent: one for a larger model, and one if that is lost.
    [[nodiscard]] auto may_be_dropped(const route& on, unsigned most_sends) const -> bool;

private:
    [[nodiscard]] auto
    leaves_room(const route& on, unsigned most_sends, unsigned more_runs, unsigned more_sends) const
        -> bool;

    unsigned sent = 0;
    /// Of them, refused by servers that asked for rest.
    unsigned rests = 0;
    /// Sends that ran, as far as is known; they count against the route's bound.
    unsigned runs = 0;
    bool may_have_run = false;
};

} // namespace reedramp::routing
