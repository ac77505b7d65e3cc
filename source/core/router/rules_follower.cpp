#include "router/rules_follower.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

using common::log_level;
using common::log_part;

namespace {

constexpr std::chrono::milliseconds at_once{0};

/// Interval of peer reports, from which it is known whether an entry's readers are alive.
constexpr std::chrono::milliseconds check_interval{100};

/// Operators' records that an entry reads back at its start: more than are written within the time
/// in which a late write may arrive.
constexpr std::uint64_t history_records = 16;

/// Longest wait for these records before the newest rules are used as they are: callers wait too.
constexpr std::chrono::milliseconds history_wait{300};

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
    this->waiting_since = this->core->hooks.clock();
    this->store.read_rules(
        this->position,
        wait,
        [self = this->shared_from_this(),
         number = this->newest_read,
         asked_at = this->waiting_since,
         wait](common::result<stream_reading<rules_document>> reading) {
            if (number != self->newest_read) {
                return;
            }
            // The store answers without news when the wait is over.
            const bool has_waited = reading && reading->documents.empty() && !reading->is_whole;
            const auto current_at =
                has_waited ? std::min(asked_at + wait, self->core->hooks.clock()) : asked_at;
            self->on_reading(std::move(reading), current_at);
        });
}

auto rules_follower::on_reading(
    common::result<stream_reading<rules_document>> reading, time_point asked_at) -> void
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
    this->apply_reading(std::move(*reading), asked_at);
    this->read_when_reader();
}

auto rules_follower::check() -> void
{
    // Before the first reading there is nothing to continue from, and that reading is in flight.
    if (!this->position) {
        return;
    }
    this->store.read_rules(
        this->position,
        at_once,
        [self = this->shared_from_this(),
         from = *this->position,
         asked_at =
             this->core->hooks.clock()](common::result<stream_reading<rules_document>> reading) {
            self->apply_check(from, std::move(reading), asked_at);
        });
}

auto rules_follower::apply_check(
    stream_position from,
    common::result<stream_reading<rules_document>> reading,
    time_point asked_at) -> void
{
    if (this->position != from) {
        return; // Another reading has gone on since.
    }
    if (!reading && reading.error().code == common::result_code::log_trimmed) {
        this->position.reset();
        this->read_next(at_once);
        return;
    }
    if (reading.has_value() == std::exchange(this->is_check_lost, !reading.has_value())) {
        this->log_check(reading ? "answered again" : reading.error().detail);
    }
    if (!reading) {
        return;
    }
    const bool has_news = reading->end > from;
    this->apply_reading(std::move(*reading), asked_at);
    if (!has_news) {
        return;
    }
    // The waiting read has not returned these, and may be lost.
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->core->hooks.clock() - this->waiting_since);
    common::log(
        log_part::config,
        log_level::info,
        "news found by a check, the waiting read is abandoned waited_ms=" +
            std::to_string(waited.count()));
    this->newest_read += 1;
    this->read_when_reader();
}

auto rules_follower::log_check(const std::string& what) const -> void
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->core->hooks.clock() - this->core->rules_freshness.known_current_at());
    common::log(
        log_part::config,
        log_level::warning,
        "check of the operators' stream what=" + what +
            " known_age_ms=" + std::to_string(age.count()));
}

auto rules_follower::apply_reading(stream_reading<rules_document> reading, time_point asked_at)
    -> void
{
    const auto now = this->core->hooks.clock();
    this->core->note_era(reading.end, "store");
    this->core->rules_freshness.note_read(
        reading.end.value(), !reading.documents.empty(), now, asked_at);
    const bool is_copy = reading.is_whole && this->era && *this->era != reading.end.era();
    this->era = reading.end.era();
    const bool starts_alone = reading.is_whole && this->core->rules() == nullptr;
    std::vector<routing::evacuation_order> evacuations;
    order_list orders;
    for (auto& document : reading.documents) {
        if (auto* rules = std::get_if<published_rules>(&document)) {
            if (starts_alone && rules->at.offset() > 0) {
                this->hold_rules(std::move(*rules), now);
            }
            else {
                this->core->apply_rules(std::move(*rules));
            }
        }
        else if (const auto* evacuation = std::get_if<routing::evacuation_order>(&document)) {
            evacuations.push_back(*evacuation);
        }
        else {
            orders.push_back(std::get<routing::rollout_order>(document));
        }
    }
    const bool is_start = !this->position && this->core->rollouts.orders_applied() == 0;
    this->apply_rollout_orders(orders, reading.is_whole, is_copy);
    this->apply_evacuations(evacuations, reading.is_whole, reading.end);
    this->position = reading.end;
    this->read_at = asked_at;
    const auto offset = reading.end.offset();
    const auto first =
        stream_position::at(reading.end.era(), offset - std::min(offset, history_records));
    const bool has_doubtful_order = is_start && this->core->rollouts.needs_history(first);
    if (has_doubtful_order || this->held_rules) {
        this->read_history(first, reading.end, {});
    }
    if (this->on_read) {
        this->on_read();
    }
}

auto rules_follower::apply_rollout_orders(const order_list& orders, bool is_whole, bool is_copy)
    -> void
{
    const auto now = this->core->hooks.clock();
    routing::order_origin origin;
    origin.written_after = this->read_at;
    origin.is_newest_only = is_whole;
    for (const auto& order : orders) {
        if (is_copy) {
            this->core->rollouts.apply_restored_order(order, now);
        }
        else {
            this->core->rollouts.apply_order(order, now, origin);
        }
    }
    if (!orders.empty()) {
        this->core->rollouts.apply_servers(this->core->servers, now);
    }
}

auto rules_follower::hold_rules(published_rules rules, time_point now) -> void
{
    this->held_rules = std::move(rules);
    this->core->hooks.timer(
        now + history_wait, [self = this->shared_from_this()] { self->apply_held(std::nullopt); });
}

auto rules_follower::apply_held(std::optional<published_rules> newest) -> void
{
    auto held = std::exchange(this->held_rules, std::nullopt);
    if (held && newest && newest->rules.version > held->rules.version) {
        common::log(
            log_part::config,
            log_level::warning,
            "newest record of the rules is a late write version=" +
                std::to_string(held->rules.version) +
                " in_force=" + std::to_string(newest->rules.version));
    }
    // Of these, the highest version stays in force.
    for (auto* rules : {&newest, &held}) {
        if (*rules) {
            this->core->apply_rules(std::move(**rules));
        }
    }
}

auto rules_follower::rules_history::add(rules_document document) -> void
{
    if (const auto* order = std::get_if<routing::rollout_order>(&document)) {
        this->orders.push_back(*order);
        return;
    }
    auto* rules = std::get_if<published_rules>(&document);
    const bool is_newer =
        rules != nullptr && (!this->newest || rules->rules.version > this->newest->rules.version);
    if (is_newer) {
        this->newest = std::move(*rules);
    }
}

auto rules_follower::read_history(stream_position from, stream_position end, rules_history earlier)
    -> void
{
    this->store.read_rules(
        from,
        at_once,
        [self = this->shared_from_this(), from, end, earlier = std::move(earlier)](
            common::result<stream_reading<rules_document>> reading) mutable {
            if (!reading || reading->end <= from) {
                common::log(
                    log_part::config,
                    log_level::warning,
                    "operators' earlier records not read what=" +
                        (reading ? std::string{"no records"} : reading.error().detail));
                self->apply_held(std::move(earlier.newest));
                return;
            }
            for (auto& document : reading->documents) {
                earlier.add(std::move(document));
            }
            if (reading->end < end) {
                self->read_history(reading->end, end, std::move(earlier));
                return;
            }
            self->apply_held(std::move(earlier.newest));
            self->core->rollouts.apply_history(
                earlier.orders, self->core->servers, self->core->hooks.clock());
        });
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
