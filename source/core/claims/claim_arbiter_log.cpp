#include <algorithm>
#include <string>
#include <utility>

#include "claims/claim_arbiter_core.hpp"
#include "common/log.hpp"

namespace reedramp::claims {

using common::log_offset;
using common::result_code;
using common::time_point;

namespace {

/// How often claims that have waited too long are looked for.
constexpr auto sweep_interval = std::chrono::milliseconds{100};

auto say(common::log_level level, const claim_arbiter_config& config, const std::string& sentence)
    -> void
{
    common::log(common::log_part::claims, level, "partition=" + config.stream + " " + sentence);
}

} // namespace

auto claim_arbiter_core::schedule(time_point now, actions& todo) -> void
{
    if (this->state == arbiter_state::stopped) {
        return;
    }
    if (now >= this->next_sweep) {
        this->sweep(now, todo);
        this->next_sweep = now + sweep_interval;
    }
    this->give_up_calls(now, todo);
    if (now >= this->retry_at) {
        this->retry_at = common::never;
        this->start_read(now, todo);
    }
    if (now >= this->send_time()) {
        this->send_batch(now, todo);
    }
    this->call_at(this->next_time(), todo);
}

auto claim_arbiter_core::give_up_calls(time_point now, actions& todo) -> void
{
    for (auto& [number, item] : this->sent) {
        if (item.stage == flight_stage::sending && now >= item.until) {
            this->mark_unknown(item, now, todo);
        }
    }
    if (this->reading != 0 && now >= this->read_until) {
        this->reading = 0;
        this->on_read_failed(
            common::make_error(result_code::log_unavailable, "a read took too long"), now, todo);
    }
}

auto claim_arbiter_core::send_time() const -> time_point
{
    const auto has_something = !this->open.empty() || this->prune_wanted;
    const auto may_send =
        this->state == arbiter_state::serving && this->sent.size() < this->config.appends_in_flight;
    if (!has_something || !may_send) {
        return common::never;
    }
    const auto is_full = this->open.size() >= this->config.batch_claims;
    const auto due = is_full || this->open.empty() ? time_point{} : this->open.front().due;
    return std::max(due, this->next_send);
}

auto claim_arbiter_core::next_time() const -> time_point
{
    auto next = std::min(this->retry_at, this->send_time());
    if (this->pending != 0) {
        next = std::min(next, this->next_sweep);
    }
    if (this->reading != 0) {
        next = std::min(next, this->read_until);
    }
    for (const auto& [number, item] : this->sent) {
        if (item.stage == flight_stage::sending) {
            next = std::min(next, item.until);
        }
    }
    return next;
}

auto claim_arbiter_core::call_at(time_point when, actions& todo) -> void
{
    if (when >= this->timer_at) {
        return;
    }
    this->timer_at = when;
    todo.push_back([this, when, weak = this->weak_from_this()] {
        this->hooks.timer(when, [weak, when] {
            if (const auto self = weak.lock()) {
                self->on_timer(when);
            }
        });
    });
}

auto claim_arbiter_core::on_timer(time_point when) -> void
{
    this->with_lock([this, when](time_point now, actions& todo) {
        if (this->timer_at == when) {
            this->timer_at = common::never;
        }
        this->schedule(now, todo);
    });
}

auto claim_arbiter_core::send_batch(time_point now, actions& todo) -> void
{
    flight item;
    item.content.id = {this->hooks.random(), this->hooks.random()};
    item.content.horizon =
        std::max(this->table.horizon(), this->age.first_younger_than(this->config.window, now));
    const auto count = std::min(this->open.size(), this->config.batch_claims);
    for (std::size_t index = 0; index < count; ++index) {
        item.content.claims.push_back(this->open[index].record);
        item.claims.push_back(std::move(this->open[index]));
    }
    this->open.erase(this->open.begin(), this->open.begin() + static_cast<std::ptrdiff_t>(count));
    item.number = ++this->batches;
    item.until = now + this->config.log_call_within;
    this->next_send = now + this->config.append_interval;
    this->prune_wanted = false;
    this->append(item, todo);
    this->sent.emplace(item.number, std::move(item));
}

auto claim_arbiter_core::append(const flight& item, actions& todo) -> void
{
    ++this->counted.appends;
    todo.push_back(
        [this, number = item.number, content = item.content, weak = this->weak_from_this()] {
            auto done = [weak, number](common::result<log_offset> result) {
                if (const auto self = weak.lock()) {
                    self->on_appended(number, std::move(result));
                }
            };
            this->hooks.log.append(this->config.stream, serialise(content), std::move(done));
        });
}

auto claim_arbiter_core::on_appended(std::uint64_t number, common::result<log_offset> result)
    -> void
{
    this->with_lock([&](time_point now, actions& todo) {
        const auto found = this->sent.find(number);
        if (found == this->sent.end()) {
            return;
        }
        if (result) {
            found->second.stage = flight_stage::kept;
            found->second.offset = *result;
            this->take_kept(now, todo);
        }
        else if (result.error().code == result_code::append_unknown) {
            this->mark_unknown(found->second, now, todo);
        }
        else {
            this->go_down(now, todo);
        }
        this->schedule(now, todo);
    });
}

auto claim_arbiter_core::mark_unknown(flight& item, time_point now, actions& todo) -> void
{
    // The batch may be in the log. A read that starts from now on tells.
    item.stage = flight_stage::unknown;
    item.unknown_since = this->reads;
    this->start_read(now, todo);
}

auto claim_arbiter_core::take_kept(time_point now, actions& todo) -> void
{
    // While this keeper alone appends, its batches follow each other without a gap, and none has to
    // be read back: what lies before them was taken.
    const auto is_next = [this](const flights::value_type& item) {
        return item.second.stage == flight_stage::kept &&
               item.second.offset.value() == this->table.applied().value() + 1;
    };
    auto found = std::ranges::find_if(this->sent, is_next);
    while (found != this->sent.end()) {
        auto item = std::move(found->second);
        this->sent.erase(found);
        this->take(item.offset, item.content, now);
        this->settle(std::move(item), now, todo);
        found = std::ranges::find_if(this->sent, is_next);
    }
    // An earlier batch that is still under way may fill the gap; else another keeper's record does.
    const auto first_known = std::ranges::find_if(
        this->sent, [](const auto& item) { return item.second.stage != flight_stage::sending; });
    const auto is_gap = first_known != this->sent.end() && first_known == this->sent.begin();
    if (is_gap && first_known->second.stage == flight_stage::kept) {
        this->start_read(now, todo);
    }
}

auto claim_arbiter_core::start_read(time_point now, actions& todo) -> void
{
    if (this->reading != 0) {
        this->read_again = true;
        return;
    }
    this->read_again = false;
    this->reading = ++this->reads;
    this->read_until = now + this->config.log_call_within;
    const auto after = this->search ? this->search->read_after() : this->table.applied();
    todo.push_back([this, after, turn = this->reading, weak = this->weak_from_this()] {
        auto done = [weak, turn](common::result<platform::read_answer> result) {
            if (const auto self = weak.lock()) {
                self->on_read(turn, std::move(result));
            }
        };
        this->hooks.log.read(
            this->config.stream, after, std::chrono::milliseconds::zero(), std::move(done));
    });
}

auto claim_arbiter_core::on_read(std::uint64_t turn, common::result<platform::read_answer> result)
    -> void
{
    this->with_lock([&](time_point now, actions& todo) {
        if (turn != this->reading) {
            return;
        }
        this->reading = 0;
        if (!result) {
            this->on_read_failed(result.error(), now, todo);
        }
        else if (this->search) {
            this->on_search(*result, now, todo);
        }
        else {
            this->take_records(turn, *result, now, todo);
        }
        this->schedule(now, todo);
    });
}

auto claim_arbiter_core::on_search(
    const platform::read_answer& found, time_point now, actions& todo) -> void
{
    if (const auto first = this->search->on_answer(found)) {
        this->search.reset();
        this->table.reset(*first);
        say(common::log_level::info,
            this->config,
            "reads its window from=" + std::to_string(first->value()) +
                " head=" + std::to_string(found.head.value()));
    }
    this->start_read(now, todo);
}

auto claim_arbiter_core::take_records(
    std::uint64_t turn, const platform::read_answer& read, time_point now, actions& todo) -> void
{
    for (const auto& record : read.records) {
        if (record.offset > this->table.applied()) {
            this->take_record(record, now, todo);
        }
    }
    if (read.records.empty() || this->table.applied() >= read.head) {
        this->reached_head(turn, now, todo);
        return;
    }
    this->start_read(now, todo);
}

auto claim_arbiter_core::take_record(
    const messages::log_record& record, time_point now, actions& todo) -> void
{
    const auto batch = parse(record.data);
    if (!batch) {
        ++this->counted.malformed_records;
        this->table.skip(record.offset);
        say(common::log_level::warning,
            this->config,
            "record skipped offset=" + std::to_string(record.offset.value()));
        return;
    }
    this->take(record.offset, *batch, now);
    const auto ours = std::ranges::find_if(
        this->sent, [&batch](const auto& item) { return item.second.content.id == batch->id; });
    if (ours != this->sent.end()) {
        auto item = std::move(ours->second);
        this->sent.erase(ours);
        this->settle(std::move(item), now, todo);
    }
}

auto claim_arbiter_core::take(log_offset offset, const claim_batch& batch, time_point now) -> void
{
    this->table.apply(offset, batch);
    this->age.on_record(offset, now);
}

auto claim_arbiter_core::reached_head(std::uint64_t turn, time_point now, actions& todo) -> void
{
    this->retry_wait = this->config.first_retry;
    if (this->state == arbiter_state::starting) {
        this->taken_over_at = this->table.applied();
        this->age.reset(this->taken_over_at, now);
    }
    if (this->state != arbiter_state::serving) {
        this->state = arbiter_state::serving;
        say(common::log_level::info,
            this->config,
            "serves keys=" + std::to_string(this->table.size()));
    }
    this->resolve_unknown(turn, now, todo);
    this->take_kept(now, todo);
    if (this->read_again) {
        this->start_read(now, todo);
    }
}

auto claim_arbiter_core::resolve_unknown(std::uint64_t turn, time_point now, actions& todo) -> void
{
    for (auto found = this->sent.begin(); found != this->sent.end();) {
        auto& item = found->second;
        const auto is_lost = item.stage == flight_stage::unknown && item.unknown_since < turn;
        const auto is_absent =
            item.stage == flight_stage::kept && item.offset <= this->table.applied();
        if (!is_lost && !is_absent) {
            ++found;
            continue;
        }
        const auto is_wanted = std::ranges::any_of(
            item.claims, [](const waiting_claim& claim) { return claim.done != nullptr; });
        if (is_wanted) {
            // The log was read to its head without it. Should the first copy come later all the
            // same, it is a second mention of the claims that hold, and changes nothing.
            item.stage = flight_stage::sending;
            item.until = now + this->config.log_call_within;
            this->append(item, todo);
            ++found;
            continue;
        }
        auto dropped = std::move(item);
        found = this->sent.erase(found);
        this->settle(std::move(dropped), now, todo);
    }
}

auto claim_arbiter_core::on_read_failed(const common::error& why, time_point now, actions& todo)
    -> void
{
    if (why.code == result_code::log_trimmed) {
        say(common::log_level::warning, this->config, "the log was trimmed past this keeper");
        this->refuse_waiting(now, todo);
        this->state = arbiter_state::starting;
        this->search.emplace();
        this->back_off(now);
        return;
    }
    if (this->state == arbiter_state::serving) {
        this->go_down(now, todo);
        return;
    }
    this->back_off(now);
}

auto claim_arbiter_core::go_down(time_point now, actions& todo) -> void
{
    say(common::log_level::warning, this->config, "the log cannot be reached");
    this->refuse_waiting(now, todo);
    if (this->state == arbiter_state::serving) {
        this->state = arbiter_state::log_down;
    }
    this->back_off(now);
}

auto claim_arbiter_core::back_off(time_point now) -> void
{
    this->retry_at = now + this->retry_wait;
    this->retry_wait = std::min(this->retry_wait * 2, this->config.longest_retry);
}

auto claim_arbiter_core::take_over(time_point now, actions& todo) -> void
{
    ++this->counted.takeovers;
    this->state = arbiter_state::starting;
    this->search.emplace();
    this->start_read(now, todo);
}

} // namespace reedramp::claims
