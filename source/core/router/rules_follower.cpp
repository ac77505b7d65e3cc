#include "router/rules_follower.hpp"

#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

using common::log_level;
using common::log_part;

namespace {

constexpr std::chrono::milliseconds at_once{0};

/// Interval of peer reports, from which it is known whether an entry's readers are alive.
constexpr std::chrono::milliseconds check_interval{100};

} // namespace

auto pause_after_failure(const router_core& core, const follower_options& options)
    -> std::chrono::milliseconds
{
    return core.is_ready() ? options.pause : options.first_pause;
}

rules_follower::rules_follower(
    std::shared_ptr<router_core> core_to_feed,
    shared_store store_to_read,
    follower_options options_to_use,
    std::function<auto()->bool> reader_check,
    std::function<auto()->void> after_reading)
    : core(std::move(core_to_feed)), store(std::move(store_to_read)), options(options_to_use),
      is_reader(std::move(reader_check)), on_read(std::move(after_reading))
{
}

auto rules_follower::start() -> void
{
    if (this->core->rules() == nullptr) {
        this->read_rollout_states();
        return;
    }
    // A neighbour has provided the current state. The store is read once this entry is a reader.
    this->read_when_reader();
}

/// Reads the states of roll-outs before the rules: an order read without its state would start
/// again.
auto rules_follower::read_rollout_states() -> void
{
    this->store.read_rollout_states(
        [self = this->shared_from_this()](
            const common::result<stream_reading<routing::rollout_status>>& reading) {
            if (!reading) {
                self->core->hooks.timer(
                    self->core->hooks.clock() + pause_after_failure(*self->core, self->options),
                    [self] { self->read_rollout_states(); });
                return;
            }
            self->core->counters.count_skipped("states", reading->skipped);
            for (const auto& status : reading->documents) {
                self->core->rollouts.apply_status(status);
            }
            self->read_next(self->options.rules_wait);
        });
}

auto rules_follower::refresh() -> void
{
    // Before the first reading there is no position to continue from, and that reading is in
    // flight.
    if (this->newest_read > 0) {
        this->read_next(at_once);
    }
}

auto rules_follower::read_next(std::chrono::milliseconds wait) -> void
{
    this->newest_read += 1;
    this->store.read_rules(
        this->position,
        wait,
        [self = this->shared_from_this(),
         number = this->newest_read](common::result<stream_reading<rules_document>> reading) {
            if (number == self->newest_read) {
                self->on_reading(std::move(reading));
            }
        });
}

auto rules_follower::on_reading(common::result<stream_reading<rules_document>> reading) -> void
{
    const auto now = this->core->hooks.clock();
    if (!reading) {
        if (!std::exchange(this->is_store_lost, true)) {
            common::log(
                log_part::config, log_level::warning, "store lost what=" + reading.error().detail);
        }
        if (reading.error().code == common::result_code::log_trimmed) {
            this->position.reset();
        }
        this->core->hooks.timer(
            now + pause_after_failure(*this->core, this->options),
            [self = this->shared_from_this(), number = this->newest_read] {
                if (number == self->newest_read) {
                    self->read_after_failure();
                }
            });
        return;
    }
    if (std::exchange(this->is_store_lost, false)) {
        common::log(log_part::config, log_level::info, "store recovered");
    }

    this->core->note_era(reading->end, "store");
    const bool is_copy = reading->is_whole && this->era && *this->era != reading->end.era();
    this->era = reading->end.era();
    std::vector<routing::evacuation_order> evacuations;
    for (auto& document : reading->documents) {
        if (auto* rules = std::get_if<published_rules>(&document)) {
            this->core->apply_rules(std::move(*rules));
        }
        else if (const auto* evacuation = std::get_if<routing::evacuation_order>(&document)) {
            evacuations.push_back(*evacuation);
        }
        else if (const auto& order = std::get<routing::rollout_order>(document); is_copy) {
            this->core->rollouts.apply_restored_order(order, now);
        }
        else {
            this->core->rollouts.apply_order(order, now);
        }
    }
    this->apply_evacuations(evacuations, reading->is_whole, reading->end);
    this->position = reading->end;
    if (this->on_read) {
        this->on_read();
    }
    this->read_when_reader();
}

auto rules_follower::apply_evacuations(
    const std::vector<routing::evacuation_order>& orders, bool is_whole, stream_position end)
    -> void
{
    if (!is_whole) {
        this->core->apply_evacuation_orders(orders, end);
        return;
    }
    routing::evacuation_report known{end, {}};
    for (const auto& order : orders) {
        known.evacuated.push_back(order.data_centre);
    }
    this->core->replace_evacuations(known, "store");
}

auto rules_follower::continue_reading() -> void
{
    if (this->newest_read == 0) {
        this->read_rollout_states();
        return;
    }
    this->read_next(this->options.rules_wait);
}

auto rules_follower::read_after_failure() -> void
{
    // An entry that has rules and is no reader leaves the store to the readers. Without rules
    // nothing can be served, so the entry reads itself.
    const bool leaves_store =
        this->core->rules() != nullptr && this->is_reader && !this->is_reader();
    if (leaves_store) {
        this->read_when_reader();
        return;
    }
    // Reads without waiting: during an outage a waiting call can't be told from a lost one, and the
    // next would come seconds after the store has recovered.
    this->read_next(at_once);
}

auto rules_follower::read_when_reader() -> void
{
    if (!this->is_reader || this->is_reader()) {
        this->continue_reading();
        return;
    }
    this->core->hooks.timer(
        this->core->hooks.clock() + check_interval,
        [self = this->shared_from_this(), number = this->newest_read] {
            // Another reading may have started meanwhile because the store has recovered.
            if (number == self->newest_read) {
                self->read_when_reader();
            }
        });
}

} // namespace reedramp::router
