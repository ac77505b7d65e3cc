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
    /// For a configuration as new as the entry's.
    waiting,
    queued,
    running,
    ended
};

/// What a run that has just ended was, for whoever ended it.
struct ended_run {
    run_phase before = run_phase::waiting;
    /// Null if the backend server was not called.
    std::shared_ptr<backend_handle> backend;
    messages::usage used;
};

/// One request at this agent, from its arrival to its final event. Thread-safe; calls the reader
/// and the backend server outside its lock.
class run {
public:
    run(messages::run_request request,
        common::time_point deadline,
        messages::run_sink sink,
        std::size_t text_limit);

    /// False if it has ended, or is not in phase `from`.
    auto change_phase(run_phase from, run_phase to) -> bool;

    /// Ends it for the one caller that comes first; the others get nothing.
    auto end() -> std::optional<ended_run>;

    /// The same, but only if it has not been started.
    auto end_unless_running() -> std::optional<ended_run>;

    [[nodiscard]] auto phase() -> run_phase;

    /// The call has been started; passes on a pause, or the end, that came first.
    auto attach_backend(std::shared_ptr<backend_handle> handle) -> void;

    auto pause() -> void;
    auto resume() -> void;

    auto on_head(backend_head head) -> void;

    /// Passes tokens on to the reader. An error means that the answer is broken.
    auto on_chunk(std::string piece) -> common::result<void>;

    /// What `outcome` makes of the answer read so far.
    auto final_event(const common::result<void>& outcome) -> messages::run_event;

    /// For a retry of an at-most-once request.
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
