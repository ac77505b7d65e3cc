#pragma once

#include <deque>
#include <mutex>

#include "messages/channel.hpp"
#include "messages/run.hpp"

namespace reedramp::agent {

/// Hands one run's events to its reader, in order and one at a time, whichever threads they come
/// from.
///
/// A deadline on one thread may end a run while another thread brings its tokens. Without an order
/// here the reader could see tokens after the final event. Nothing is delivered after a final event
/// or after `close`.
class event_outbox {
public:
    /// Holds events back until `release`, since a reader must not be called inside `run`.
    explicit event_outbox(messages::run_sink sink);

    auto send(messages::run_event event) -> void;

    /// Ends the hold if nothing waits, else leaves it and gives false: then call `release` from
    /// another stack.
    auto release_if_empty() -> bool;
    auto release() -> void;

    /// The reader has left.
    auto close() -> void;

private:
    auto append(messages::run_event event) -> void;
    auto deliver() -> void;
    /// Lets go of the reader once nothing more can come: it may hold this run's handle, and the two
    /// would keep each other for ever.
    auto drop_sink_if_done(messages::run_sink& dropped) -> void;

    messages::run_sink sink;
    std::mutex lock;
    std::deque<messages::run_event> pending;
    /// Some thread is delivering, or the hold is on.
    bool is_delivering = true;
    bool has_final_event = false;
    bool is_closed = false;
};

} // namespace reedramp::agent
