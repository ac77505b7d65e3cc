#pragma once

#include <deque>
#include <mutex>

#include "messages/channel.hpp"
#include "messages/run.hpp"

namespace reedramp::agent {

/// Delivers one run's events to its receiver in order and one at a time, whichever threads send
/// them.
///
/// A deadline on one thread may end a run while another thread sends its tokens; without this order
/// the receiver could get tokens after the final event. Nothing is delivered after a final event or
/// after `close`.
class event_outbox {
public:
    /// Holds events back until `release`, since the receiver must not be called from within
    /// `messages::agent_service::run`.
    explicit event_outbox(messages::run_sink sink);

    auto send(messages::run_event event) -> void;

    /// Ends the hold if no event is pending. Otherwise returns false; then call `release`
    /// asynchronously.
    auto release_if_empty() -> bool;
    auto release() -> void;

    /// Drops all pending and future events; called when the receiver has left.
    auto close() -> void;

private:
    auto append(messages::run_event event) -> void;
    auto deliver() -> void;
    /// Moves the sink out once no more events can follow. The sink may hold the run's handle, and
    /// the two would otherwise keep each other alive.
    auto drop_sink_if_done(messages::run_sink& dropped) -> void;

    messages::run_sink sink;
    std::mutex lock;
    std::deque<messages::run_event> pending;
    /// True while a thread delivers events, and during the initial hold.
    bool is_delivering = true;
    bool has_final_event = false;
    bool is_closed = false;
};

} // namespace reedramp::agent
