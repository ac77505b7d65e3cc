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

/// Interval between searches for claims whose deadline has passed.
constexpr auto expiry_check_interval = std::chrono::milliseconds{100};

auto log_line(
    common::log_level level, const claim_arbiter_config& config, const std::string& sentence)
    -> void
{
    common::log(common::log_part::claims, level, "partition=" + config.stream + " " + sentence);
}

} // namespace

auto claim_arbiter_core::schedule(time_point now, actions& deferred) -> void
{
    if (this->state == arbiter_state::stopped) {
        return;
    }
    if (now >= this->next_expiry_check) {
        this->refuse_all_expired(now, deferred);
        this->next_expiry_check = now + expiry_check_interval;
    }
    this->expire_log_calls(now, deferred);
    if (now >= this->retry_at) {
        this->retry_at = common::never;
        this->start_read(now, deferred);
    }
    if (now >= this->next_send_time()) {
        this->send_batch(now, deferred);
    }
    this->set_timer(this->next_timer_time(), deferred);
}

auto claim_arbiter_core::expire_log_calls(time_point now, actions& deferred) -> void
{
    for (auto& [number, item] : this->submitted) {
        if (item.stage == batch_stage::sending && now >= item.call_deadline) {
            this->mark_unknown(item, now, deferred);
        }
    }
    if (this->current_read != 0 && now >= this->read_deadline) {
        this->current_read = 0;
        this->on_read_failed(
            common::make_error(result_code::log_unavailable, "log read timed out"), now, deferred);
    }
}

auto claim_arbiter_core::next_send_time() const -> time_point
{
    const auto has_something = !this->next_batch.empty() || this->is_expiry_batch_due;
    const auto may_send = this->state == arbiter_state::serving &&
                          this->submitted.size() < this->config.max_appends_in_flight;
    if (!has_something || !may_send) {
        return common::never;
    }
    const auto is_batch_full = this->next_batch.size() >= this->config.max_batch_claims;
    const auto send_by =
        is_batch_full || this->next_batch.empty() ? time_point{} : this->next_batch.front().send_by;
    return std::max(send_by, this->next_send);
}

auto claim_arbiter_core::next_timer_time() const -> time_point
{
    auto next = std::min(this->retry_at, this->next_send_time());
    if (this->pending != 0) {
        next = std::min(next, this->next_expiry_check);
    }
    if (this->current_read != 0) {
        next = std::min(next, this->read_deadline);
    }
    for (const auto& [number, item] : this->submitted) {
        if (item.stage == batch_stage::sending) {
            next = std::min(next, item.call_deadline);
        }
    }
    return next;
}

auto claim_arbiter_core::set_timer(time_point when, actions& deferred) -> void
{
    if (when >= this->timer_due) {
        return;
    }
    this->timer_due = when;
    deferred.push_back([this, when, weak = this->weak_from_this()] {
        this->hooks.timer(when, [weak, when] {
            if (const auto self = weak.lock()) {
                self->on_timer(when);
            }
        });
    });
}

auto claim_arbiter_core::on_timer(time_point when) -> void
{
    this->with_lock([this, when](time_point now, actions& deferred) {
        if (this->timer_due == when) {
            this->timer_due = common::never;
        }
        this->schedule(now, deferred);
    });
}

auto claim_arbiter_core::send_batch(time_point now, actions& deferred) -> void
{
    submitted_batch item;
    item.content.id = {this->hooks.random(), this->hooks.random()};
    item.content.horizon = std::max(
        this->table.horizon(), this->offset_ages.first_younger_than(this->config.window, now));
    const auto count = std::min(this->next_batch.size(), this->config.max_batch_claims);
    for (std::size_t index = 0; index < count; ++index) {
        item.content.claims.push_back(this->next_batch[index].record);
        item.claims.push_back(std::move(this->next_batch[index]));
    }
    this->next_batch.erase(
        this->next_batch.begin(), this->next_batch.begin() + static_cast<std::ptrdiff_t>(count));
    item.number = ++this->batch_count;
    item.call_deadline = now + this->config.log_call_timeout;
    this->next_send = now + this->config.append_interval;
    this->is_expiry_batch_due = false;
    this->append(item, deferred);
    this->submitted.emplace(item.number, std::move(item));
}

auto claim_arbiter_core::append(const submitted_batch& item, actions& deferred) -> void
{
    ++this->totals.appends;
    deferred.push_back(
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
    this->with_lock([&](time_point now, actions& deferred) {
        const auto found = this->submitted.find(number);
        if (found == this->submitted.end()) {
            return;
        }
        if (result) {
            found->second.stage = batch_stage::appended;
            found->second.offset = *result;
            this->apply_appended(now, deferred);
        }
        else if (result.error().code == result_code::append_unknown) {
            this->mark_unknown(found->second, now, deferred);
        }
        else {
            this->on_log_unavailable(now, deferred);
        }
        this->schedule(now, deferred);
    });
}

auto claim_arbiter_core::mark_unknown(submitted_batch& item, time_point now, actions& deferred)
    -> void
{
    // The batch may be in the log; only a read started from now on can show whether it is.
    item.stage = batch_stage::unknown;
    item.last_read_before_unknown = this->reads;
    this->start_read(now, deferred);
}

auto claim_arbiter_core::apply_appended(time_point now, actions& deferred) -> void
{
    // As long as only this arbiter appends, its batches have consecutive offsets and need not be
    // read back: all records before them have been applied.
    const auto is_next = [this](const submitted_batches::value_type& item) {
        return item.second.stage == batch_stage::appended &&
               item.second.offset.value() == this->table.applied().value() + 1;
    };
    auto found = std::ranges::find_if(this->submitted, is_next);
    while (found != this->submitted.end()) {
        auto item = std::move(found->second);
        this->submitted.erase(found);
        this->apply_batch(item.offset, item.content, now);
        this->finish_batch(std::move(item), now, deferred);
        found = std::ranges::find_if(this->submitted, is_next);
    }
    // A gap may be an earlier batch that is still in flight. Otherwise it is another arbiter's
    // record and has to be read.
    const auto first_known = std::ranges::find_if(this->submitted, [](const auto& item) {
        return item.second.stage != batch_stage::sending;
    });
    const auto is_gap =
        first_known != this->submitted.end() && first_known == this->submitted.begin();
    if (is_gap && first_known->second.stage == batch_stage::appended) {
        this->start_read(now, deferred);
    }
}

auto claim_arbiter_core::start_read(time_point now, actions& deferred) -> void
{
    if (this->current_read != 0) {
        this->read_again = true;
        return;
    }
    this->read_again = false;
    this->current_read = ++this->reads;
    this->read_deadline = now + this->config.log_call_timeout;
    const auto after =
        this->start_search ? this->start_search->read_after() : this->table.applied();
    deferred.push_back(
        [this, after, read_number = this->current_read, weak = this->weak_from_this()] {
            auto done = [weak, read_number](common::result<platform::read_answer> result) {
                if (const auto self = weak.lock()) {
                    self->on_read(read_number, std::move(result));
                }
            };
            this->hooks.log.read(
                this->config.stream, after, std::chrono::milliseconds::zero(), std::move(done));
        });
}

auto claim_arbiter_core::on_read(
    std::uint64_t read_number, common::result<platform::read_answer> result) -> void
{
    this->with_lock([&](time_point now, actions& deferred) {
        if (read_number != this->current_read) {
            return;
        }
        this->current_read = 0;
        if (!result) {
            this->on_read_failed(result.error(), now, deferred);
        }
        else if (this->start_search) {
            this->on_search_answer(*result, now, deferred);
        }
        else {
            this->apply_records(read_number, *result, now, deferred);
        }
        this->schedule(now, deferred);
    });
}

auto claim_arbiter_core::on_search_answer(
    const platform::read_answer& found, time_point now, actions& deferred) -> void
{
    if (const auto first = this->start_search->on_answer(found)) {
        this->start_search.reset();
        this->table.reset(*first);
        log_line(
            common::log_level::info,
            this->config,
            "replaying the stream from=" + std::to_string(first->value()) +
                " head=" + std::to_string(found.head.value()));
    }
    this->start_read(now, deferred);
}

auto claim_arbiter_core::apply_records(
    std::uint64_t read_number, const platform::read_answer& read, time_point now, actions& deferred)
    -> void
{
    for (const auto& record : read.records) {
        if (record.offset > this->table.applied()) {
            this->apply_record(record, now, deferred);
        }
    }
    if (read.records.empty() || this->table.applied() >= read.head) {
        this->on_head_reached(read_number, now, deferred);
        return;
    }
    this->start_read(now, deferred);
}

auto claim_arbiter_core::apply_record(
    const messages::log_record& record, time_point now, actions& deferred) -> void
{
    const auto batch = parse(record.data);
    if (!batch) {
        ++this->totals.malformed_records;
        this->table.skip(record.offset);
        log_line(
            common::log_level::warning,
            this->config,
            "malformed record skipped offset=" + std::to_string(record.offset.value()));
        return;
    }
    this->apply_batch(record.offset, *batch, now);
    const auto own = std::ranges::find_if(this->submitted, [&batch](const auto& item) {
        return item.second.content.id == batch->id;
    });
    if (own != this->submitted.end()) {
        auto item = std::move(own->second);
        this->submitted.erase(own);
        this->finish_batch(std::move(item), now, deferred);
    }
}

auto claim_arbiter_core::apply_batch(log_offset offset, const claim_batch& batch, time_point now)
    -> void
{
    this->table.apply(offset, batch);
    this->offset_ages.on_record(offset, now);
}

auto claim_arbiter_core::on_head_reached(
    std::uint64_t read_number, time_point now, actions& deferred) -> void
{
    this->retry_wait = this->config.initial_retry_wait;
    if (this->state == arbiter_state::starting) {
        this->takeover_offset = this->table.applied();
        this->offset_ages.reset(this->takeover_offset, now);
    }
    if (this->state != arbiter_state::serving) {
        this->state = arbiter_state::serving;
        log_line(
            common::log_level::info,
            this->config,
            "serving claims keys=" + std::to_string(this->table.size()));
    }
    this->resolve_missing(read_number, now, deferred);
    this->apply_appended(now, deferred);
    if (this->read_again) {
        this->start_read(now, deferred);
    }
}

auto claim_arbiter_core::resolve_missing(
    std::uint64_t read_number, time_point now, actions& deferred) -> void
{
    for (auto found = this->submitted.begin(); found != this->submitted.end();) {
        auto& item = found->second;
        const auto is_lost =
            item.stage == batch_stage::unknown && item.last_read_before_unknown < read_number;
        const auto is_absent =
            item.stage == batch_stage::appended && item.offset <= this->table.applied();
        if (!is_lost && !is_absent) {
            ++found;
            continue;
        }
        const auto is_wanted = std::ranges::any_of(
            item.claims, [](const pending_claim& claim) { return claim.done != nullptr; });
        if (is_wanted) {
            // The log was read to its head without finding the batch. If the first copy is still
            // appended later, it repeats the same claims and changes nothing.
            item.stage = batch_stage::sending;
            item.call_deadline = now + this->config.log_call_timeout;
            this->append(item, deferred);
            ++found;
            continue;
        }
        auto dropped = std::move(item);
        found = this->submitted.erase(found);
        this->finish_batch(std::move(dropped), now, deferred);
    }
}

auto claim_arbiter_core::on_read_failed(const common::error& why, time_point now, actions& deferred)
    -> void
{
    if (why.code == result_code::log_trimmed) {
        log_line(
            common::log_level::warning,
            this->config,
            "log trimmed beyond the last record read; replaying");
        this->refuse_pending(now, deferred);
        this->state = arbiter_state::starting;
        this->start_search.emplace();
        this->schedule_retry(now);
        return;
    }
    if (this->state == arbiter_state::serving) {
        this->on_log_unavailable(now, deferred);
        return;
    }
    this->schedule_retry(now);
}

auto claim_arbiter_core::on_log_unavailable(time_point now, actions& deferred) -> void
{
    log_line(common::log_level::warning, this->config, "log unavailable");
    this->refuse_pending(now, deferred);
    if (this->state == arbiter_state::serving) {
        this->state = arbiter_state::log_down;
    }
    this->schedule_retry(now);
}

auto claim_arbiter_core::schedule_retry(time_point now) -> void
{
    this->retry_at = now + this->retry_wait;
    this->retry_wait = std::min(this->retry_wait * 2, this->config.max_retry_wait);
}

auto claim_arbiter_core::take_over(time_point now, actions& deferred) -> void
{
    ++this->totals.takeovers;
    this->state = arbiter_state::starting;
    this->start_search.emplace();
    this->start_read(now, deferred);
}

} // namespace reedramp::claims
