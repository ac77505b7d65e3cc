#include "router/rules_follower.hpp"

#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

using common::log_level;
using common::log_part;

namespace {

constexpr std::chrono::milliseconds at_once{0};

/// Whether an entry's readers live shows each 100 ms, as peers speak.
constexpr std::chrono::milliseconds between_checks{100};

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
    std::function<auto()->bool> reads_in_turn,
    std::function<auto()->void> after_reading)
    : core(std::move(core_to_feed)), store(std::move(store_to_read)), options(options_to_use),
      reads(std::move(reads_in_turn)), on_read(std::move(after_reading))
{
}

auto rules_follower::start() -> void
{
    if (this->core->rules() == nullptr) {
        this->read_outcomes();
        return;
    }
    // A neighbour has given all that there is; the store is read when this entry's turn comes.
    this->read_in_turn();
}

/// The states of roll-outs first: an order that is read without its state would begin anew.
auto rules_follower::read_outcomes() -> void
{
    this->store.read_outcomes(
        [self = this->shared_from_this()](
            const common::result<stream_reading<routing::rollout_status>>& reading) {
            if (!reading) {
                self->core->hooks.timer(
                    self->core->hooks.clock() + pause_after_failure(*self->core, self->options),
                    [self] { self->read_outcomes(); });
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
    // Before the first reading there is nothing to read on from, and that one is under way.
    if (this->newest > 0) {
        this->read_next(at_once);
    }
}

auto rules_follower::read_next(std::chrono::milliseconds wait) -> void
{
    this->newest += 1;
    this->store.read_rules(
        this->position,
        wait,
        [self = this->shared_from_this(),
         number = this->newest](common::result<stream_reading<rules_document>> reading) {
            if (number == self->newest) {
                self->on_reading(std::move(reading));
            }
        });
}

auto rules_follower::on_reading(common::result<stream_reading<rules_document>> reading) -> void
{
    const auto now = this->core->hooks.clock();
    if (!reading) {
        if (!std::exchange(this->is_lost, true)) {
            common::log(
                log_part::config, log_level::warning, "store lost what=" + reading.error().detail);
        }
        if (reading.error().code == common::result_code::log_trimmed) {
            this->position.reset();
        }
        this->core->hooks.timer(
            now + pause_after_failure(*this->core, this->options),
            [self = this->shared_from_this(), number = this->newest] {
                if (number == self->newest) {
                    self->read_after_failure();
                }
            });
        return;
    }
    if (std::exchange(this->is_lost, false)) {
        common::log(log_part::config, log_level::info, "store regained");
    }

    this->core->note_era(reading->end, "store");
    const bool is_copy = reading->is_whole && this->era && *this->era != reading->end.era();
    this->era = reading->end.era();
    std::vector<routing::evacuation_order> evacuations;
    for (auto& document : reading->documents) {
        if (auto* rules = std::get_if<published_rules>(&document)) {
            this->core->adopt(std::move(*rules));
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
    this->take_evacuations(evacuations, reading->is_whole, reading->end);
    this->position = reading->end;
    if (this->on_read) {
        this->on_read();
    }
    this->read_in_turn();
}

auto rules_follower::take_evacuations(
    const std::vector<routing::evacuation_order>& orders, bool is_whole, stream_position end)
    -> void
{
    if (!is_whole) {
        this->core->follow_evacuations(orders, end);
        return;
    }
    routing::evacuation_report known{end, {}};
    for (const auto& order : orders) {
        known.evacuated.push_back(order.data_centre);
    }
    this->core->learn_evacuations(known, "store");
}

auto rules_follower::read_on() -> void
{
    if (this->newest == 0) {
        this->read_outcomes();
        return;
    }
    this->read_next(this->options.rules_wait);
}

auto rules_follower::read_after_failure() -> void
{
    // Who has rules and does not read for others leaves the store to those that do; without any
    // rules nothing can be served.
    const bool leaves_it = this->core->rules() != nullptr && this->reads && !this->reads();
    if (leaves_it) {
        this->read_in_turn();
        return;
    }
    // Not waiting: while the store is away, a call that waits looks like one that is lost, and the
    // next one would come seconds after the store.
    this->read_next(at_once);
}

auto rules_follower::read_in_turn() -> void
{
    if (!this->reads || this->reads()) {
        this->read_on();
        return;
    }
    this->core->hooks.timer(
        this->core->hooks.clock() + between_checks,
        [self = this->shared_from_this(), number = this->newest] {
            // Another reading may have begun meanwhile, when the store came back.
            if (number == self->newest) {
                self->read_in_turn();
            }
        });
}

} // namespace reedramp::router
