#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include "agent/answer_reader.hpp"
#include "agent/backend.hpp"
#include "agent/event_outbox.hpp"
#include "common/units.hpp"
#include "messages/channel.hpp"
#include "messages/run.hpp"

namespace reedramp::agent {

enum class run_phase : std::uint8_t {
    /// Not queued yet; may wait for a configuration as new as the one the entry used.
    waiting,
    queued,
    running,
    ended
};

/// State of a run at its end, for the caller that ended it.
struct ended_run {
    run_phase before = run_phase::waiting;
    /// Null if the backend server was not called.
    std::shared_ptr<backend_handle> backend;
    messages::usage used;
};

/// One request at this agent, from its arrival to its final event. Thread-safe; calls the event
/// sink and the backend server outside its lock.
class run {
public:
    run(messages::run_request request,
        common::time_point deadline,
        messages::run_sink sink,
        std::size_t text_limit);

    /// Changes the phase. False if the run has ended or is not in phase `from`.
    auto change_phase(run_phase from, run_phase to) -> bool;

    /// Ends the run. Only the first caller gets a value.
    auto end() -> std::optional<ended_run>;

    /// Ends the run if it has not started. Only the first caller gets a value.
    auto end_unless_running() -> std::optional<ended_run>;

    [[nodiscard]] auto phase() -> run_phase;

    /// Sets the handle of the started call and applies a pause or an end that happened before.
    auto attach_backend(std::shared_ptr<backend_handle> handle) -> void;

    auto pause() -> void;
    auto resume() -> void;

    auto on_head(backend_head head) -> void;

    /// Sends the chunk's tokens to the sink. An error means that the response is malformed.
    auto on_chunk(std::string piece) -> common::result<void>;

    /// Returns the final event for the response read so far and the call's `outcome`.
    auto final_event(const common::result<void>& outcome) -> messages::run_event;

    /// Returns the answer to keep for retries of an at-most-once request; see `answer_reader`.
    auto answer_for_retry(const messages::finished_event& finished)
        -> std::optional<messages::finished_event>;

    const messages::run_request request;
    const common::time_point deadline;
    event_outbox outbox;

private:
    auto end_locked() -> ended_run;
    auto is_paused() -> bool;

    std::mutex lock;
    run_phase current_phase = run_phase::waiting;
    std::shared_ptr<backend_handle> backend;
    answer_reader reader;
    bool paused = false;
};

} // namespace reedramp::agent
