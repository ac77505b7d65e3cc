#include "router/rollout_writer.hpp"

#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

namespace {

/// Delay between the first attempts of two entries: time for a read and a write at a slow store.
constexpr std::chrono::milliseconds rank_delay{600};
/// Pause after a failed call.
constexpr std::chrono::milliseconds pause{500};

} // namespace

rollout_writer::rollout_writer(
    std::shared_ptr<router_core> core_to_ask,
    shared_store store_to_write,
    std::function<auto()->std::size_t> rank_of_this)
    : core(std::move(core_to_ask)), store(std::move(store_to_write)), rank(std::move(rank_of_this))
{
}

auto rollout_writer::tick() -> void
{
    const auto now = this->core->hooks.clock();
    if (this->core->rollouts.due_states(now).empty()) {
        this->due_since = common::never;
        return;
    }
    if (this->due_since == common::never) {
        this->due_since = now;
    }
    const auto write_at = this->due_since + rank_delay * static_cast<int>(this->rank());
    if (this->is_busy || now < write_at || now < this->next_try) {
        return;
    }
    this->is_busy = true;
    this->read_then_write();
}

auto rollout_writer::read_then_write() -> void
{
    this->store.read_rollout_states(
        [self = this->shared_from_this()](
            const common::result<stream_reading<routing::rollout_status>>& reading) {
            if (!reading) {
                self->is_busy = false;
                self->next_try = self->core->hooks.clock() + pause;
                return;
            }
            for (const auto& status : reading->documents) {
                self->core->rollouts.apply_status(status);
            }
            self->write(reading->end);
        });
}

auto rollout_writer::write(stream_position at) -> void
{
    const auto due = this->core->rollouts.due_states(this->core->hooks.clock());
    if (due.empty()) {
        this->is_busy = false;
        return;
    }
    const auto& status = due.front();
    this->store.write_rollout_state(
        status,
        at,
        [self = this->shared_from_this(), status](const common::result<stream_position>& written) {
            self->is_busy = false;
            common::log(
                common::log_part::rollout,
                written ? common::log_level::info : common::log_level::warning,
                "state written service=" + status.service.value() + " target=" +
                    status.target.value() + " state=" + std::string{to_string(status.state)} +
                    " ok=" + (written ? "yes" : "no"));
            if (written) {
                self->core->rollouts.apply_status(status);
                return;
            }
            // Another entry was faster, or the response was lost. The next attempt reads again.
            self->next_try = self->core->hooks.clock() + pause;
        });
}

} // namespace reedramp::router
