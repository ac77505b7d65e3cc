#include "agent/run.hpp"

#include <utility>

namespace reedramp::agent {

run::run(
    messages::run_request asked,
    common::time_point until,
    messages::run_sink sink,
    std::size_t text_limit)
    : request(std::move(asked)), deadline(until), outbox(std::move(sink)),
      reader(
          this->request,
          this->request.repeat == messages::repeat_rule::at_most_once ? text_limit : 0)
{
}

auto run::change_phase(run_phase from, run_phase to) -> bool
{
    const std::lock_guard guard(this->lock);
    if (this->current_phase != from) {
        return false;
    }
    this->current_phase = to;
    return true;
}

auto run::end_locked() -> ended_run
{
    ended_run result{this->current_phase, std::move(this->backend), this->reader.used_tokens()};
    this->backend = nullptr;
    this->current_phase = run_phase::ended;
    return result;
}

auto run::end() -> std::optional<ended_run>
{
    const std::lock_guard guard(this->lock);
    if (this->current_phase == run_phase::ended) {
        return std::nullopt;
    }
    return this->end_locked();
}

auto run::end_unless_running() -> std::optional<ended_run>
{
    const std::lock_guard guard(this->lock);
    if (this->current_phase == run_phase::ended || this->current_phase == run_phase::running) {
        return std::nullopt;
    }
    return this->end_locked();
}

auto run::phase() -> run_phase
{
    const std::lock_guard guard(this->lock);
    return this->current_phase;
}

auto run::attach_backend(std::shared_ptr<backend_handle> handle) -> void
{
    {
        const std::lock_guard guard(this->lock);
        if (this->current_phase != run_phase::ended) {
            this->backend = handle;
        }
    }
    if (this->phase() == run_phase::ended) {
        handle->cancel();
        return;
    }
    if (!this->is_paused()) {
        return;
    }
    handle->pause();
    // Another thread may have resumed the run just before this pause.
    if (!this->is_paused()) {
        handle->resume();
    }
}

auto run::is_paused() -> bool
{
    const std::lock_guard guard(this->lock);
    return this->paused;
}

auto run::pause() -> void
{
    std::shared_ptr<backend_handle> handle;
    {
        const std::lock_guard guard(this->lock);
        this->paused = true;
        handle = this->backend;
    }
    if (handle) {
        handle->pause();
    }
}

auto run::resume() -> void
{
    std::shared_ptr<backend_handle> handle;
    {
        const std::lock_guard guard(this->lock);
        this->paused = false;
        handle = this->backend;
    }
    if (handle) {
        handle->resume();
    }
}

auto run::on_head(backend_head head) -> void
{
    const std::lock_guard guard(this->lock);
    this->reader.on_head(std::move(head));
}

auto run::on_chunk(std::string piece) -> common::result<void>
{
    std::optional<messages::tokens_event> tokens;
    {
        const std::lock_guard guard(this->lock);
        if (this->current_phase == run_phase::ended) {
            return {};
        }
        auto parsed = this->reader.on_chunk(std::move(piece));
        if (!parsed) {
            return tl::unexpected(parsed.error());
        }
        tokens = std::move(*parsed);
    }
    if (tokens) {
        this->outbox.send(std::move(*tokens));
    }
    return {};
}

auto run::final_event(const common::result<void>& outcome) -> messages::run_event
{
    const std::lock_guard guard(this->lock);
    return this->reader.finish(outcome);
}

auto run::answer_for_retry(const messages::finished_event& finished)
    -> std::optional<messages::finished_event>
{
    const std::lock_guard guard(this->lock);
    return this->reader.answer_for_retry(finished);
}

} // namespace reedramp::agent
