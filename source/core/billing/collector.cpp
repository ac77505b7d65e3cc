#include "billing/collector.hpp"

#include <algorithm>
#include <string>
#include <unordered_set>
#include <utility>

#include "common/log.hpp"

namespace reedramp::billing {

namespace {

using common::result_code;
using common::time_point;

auto log(common::log_level level, const std::string& text) -> void
{
    common::log(common::log_part::bills, level, text);
}

} // namespace

/// Bills received together from another process, which waits for `done`.
struct collector::handover_receipt {
    std::size_t unconfirmed = 0;
    messages::answer_hook<messages::accepted> done;
};

struct collector::pending_bill {
    messages::bill item;
    std::size_t bytes = 0;
    /// The handover that the bill belongs to; null for a bill of this process.
    std::shared_ptr<handover_receipt> from;
    /// When the wait for other bills ends.
    time_point due;
};

struct collector::in_flight_batch {
    enum class stage : std::uint8_t { waiting, forwarding, appending, reading };

    std::shared_ptr<const batch> content;
    /// One for each bill of `content`, with an empty `item`.
    std::vector<pending_bill> bills;
    stage current = stage::waiting;
    /// End of the retry delay, or the timeout of the current call.
    time_point deadline{};
    bool may_forward = false;
    /// Offset of the batch according to the log; 0 if unknown.
    common::log_offset offset;
};

auto collector::create(collector_config config, collector_hooks hooks) -> std::shared_ptr<collector>
{
    return std::shared_ptr<collector>(new collector(config, std::move(hooks)));
}

collector::collector(collector_config settings, collector_hooks given)
    : config(settings), hooks(std::move(given)), retry_wait(settings.initial_retry_wait)
{
}

collector::~collector() = default;

template <typename Change>
auto collector::with_lock(Change change) -> void
{
    const auto now = this->hooks.now();
    actions deferred;
    {
        const std::lock_guard guard(this->lock);
        change(now, deferred);
    }
    for (const auto& step : deferred) {
        step();
    }
}

auto collector::add(messages::bill item) -> void
{
    this->with_lock([&](time_point now, actions& deferred) {
        this->add_pending(std::move(item), nullptr, now);
        this->schedule(now, deferred);
    });
}

auto collector::receive(
    messages::bill_handover bills, messages::answer_hook<messages::accepted> done) -> void
{
    if (bills.bills.empty()) {
        done(messages::accepted{});
        return;
    }
    std::size_t bytes = 0;
    for (const auto& item : bills.bills) {
        bytes += size_of(item);
    }
    auto is_full = false;
    this->with_lock([&](time_point now, actions& deferred) {
        is_full = this->pending_bytes + bytes > this->config.max_pending_bytes / 2;
        if (is_full) {
            return;
        }
        auto from = std::make_shared<handover_receipt>(
            handover_receipt{bills.bills.size(), std::move(done)});
        for (auto& item : bills.bills) {
            this->add_pending(std::move(item), from, now);
        }
        this->schedule(now, deferred);
    });
    if (is_full) {
        done(common::failure(result_code::queue_full, "too many bills wait for the log"));
    }
}

auto collector::accepts_work() const -> bool
{
    const std::lock_guard guard(this->lock);
    return this->pending_bytes < this->config.max_pending_bytes;
}

auto collector::flush() -> void
{
    this->with_lock([this](time_point now, actions& deferred) {
        this->flushing = true;
        this->schedule(now, deferred);
    });
}

auto collector::make_handover() const -> messages::bill_handover
{
    const std::lock_guard guard(this->lock);
    messages::bill_handover all;
    if (this->in_flight) {
        all.bills = this->in_flight->content->bills;
    }
    for (const auto& pending : this->waiting) {
        all.bills.push_back(pending.item);
    }
    return all;
}

auto collector::release(const messages::bill_handover& confirmed) -> void
{
    std::unordered_set<common::request_id> ids;
    for (const auto& item : confirmed.bills) {
        ids.insert(item.request);
    }
    const auto is_confirmed = [&ids](const messages::bill& item) {
        return ids.contains(item.request);
    };
    this->with_lock([&](time_point now, actions& deferred) {
        // A batch that is confirmed only in part stays whole; readers ignore the duplicates.
        if (this->in_flight && std::ranges::all_of(this->in_flight->content->bills, is_confirmed)) {
            this->confirm(deferred);
        }
        for (auto& pending : this->waiting) {
            if (is_confirmed(pending.item)) {
                this->remove_pending(pending, deferred);
            }
        }
        std::erase_if(
            this->waiting, [&](const pending_bill& pending) { return is_confirmed(pending.item); });
        this->schedule(now, deferred);
    });
}

auto collector::empty() const -> bool
{
    const std::lock_guard guard(this->lock);
    return this->waiting.empty() && !this->in_flight;
}

auto collector::counters() const -> collector_counters
{
    const std::lock_guard guard(this->lock);
    auto counters = this->counted;
    counters.pending_bills =
        this->waiting.size() + (this->in_flight ? this->in_flight->bills.size() : 0);
    counters.pending_bytes = this->pending_bytes;
    return counters;
}

auto collector::add_pending(
    messages::bill item, std::shared_ptr<handover_receipt> from, time_point now) -> void
{
    const auto bytes = size_of(item);
    this->pending_bytes += bytes;
    const auto due = now + this->config.batch_wait;
    this->waiting.push_back({std::move(item), bytes, std::move(from), due});
}

auto collector::schedule(time_point now, actions& deferred) -> void
{
    if (this->in_flight) {
        if (now < this->in_flight->deadline) {
            this->call_at(this->in_flight->deadline, deferred);
            return;
        }
        if (this->in_flight->current == in_flight_batch::stage::waiting) {
            this->send(now, deferred);
            return;
        }
        log(common::log_level::warning, "call timed out; retrying the batch");
        this->schedule_retry(now);
        this->call_at(this->in_flight->deadline, deferred);
        return;
    }
    if (this->waiting.empty()) {
        return;
    }
    const auto is_full = this->waiting.size() >= this->config.max_batch_bills;
    auto due = is_full ? now : this->waiting.front().due;
    due = this->flushing ? now : std::max(due, this->next_send);
    if (now < due) {
        this->call_at(due, deferred);
        return;
    }
    this->start_batch();
    this->send(now, deferred);
}

auto collector::call_at(time_point when, actions& deferred) -> void
{
    if (this->timer_at <= when) {
        return;
    }
    this->timer_at = when;
    deferred.push_back([this, when, weak = this->weak_from_this()] {
        this->hooks.timer(when, [weak, when] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            self->on_timer(when);
        });
    });
}

auto collector::start_batch() -> void
{
    const auto count = std::min(this->waiting.size(), this->config.max_batch_bills);
    auto content = std::make_shared<batch>();
    content->id = {this->hooks.random(), this->hooks.random()};
    content->bills.reserve(count);
    this->in_flight = std::make_unique<in_flight_batch>();
    this->in_flight->may_forward = this->hooks.forward != nullptr;
    for (std::size_t index = 0; index < count; ++index) {
        auto pending = std::move(this->waiting.front());
        this->waiting.pop_front();
        content->bills.push_back(std::move(pending.item));
        // Bills received from other processes are appended here: two processes that each choose the
        // other as their gatherer would otherwise forward them back and forth forever.
        this->in_flight->may_forward = this->in_flight->may_forward && pending.from == nullptr;
        this->in_flight->bills.push_back(std::move(pending));
    }
    this->in_flight->content = std::move(content);
}

auto collector::send(time_point now, actions& deferred) -> void
{
    this->next_send = now + this->config.append_interval;
    this->in_flight->deadline = now + this->config.call_timeout;
    ++this->call_number;
    if (this->in_flight->may_forward) {
        this->forward(deferred);
    }
    else if (this->in_flight->offset.value() != 0) {
        this->read_back(deferred);
    }
    else {
        this->append(deferred);
    }
    this->call_at(this->in_flight->deadline, deferred);
}

auto collector::forward(actions& deferred) -> void
{
    this->in_flight->current = in_flight_batch::stage::forwarding;
    this->in_flight->may_forward = false;
    deferred.push_back([this,
                        call = this->call_number,
                        content = this->in_flight->content,
                        weak = this->weak_from_this()] {
        this->hooks.forward({content->bills}, [weak, call](const auto& answer) {
            if (const auto self = weak.lock()) {
                self->on_forwarded(call, answer.has_value());
            }
        });
    });
}

auto collector::append(actions& deferred) -> void
{
    this->in_flight->current = in_flight_batch::stage::appending;
    ++this->counted.appends;
    deferred.push_back([this,
                        call = this->call_number,
                        content = this->in_flight->content,
                        weak = this->weak_from_this()] {
        auto done = [weak, call](common::result<common::log_offset> answer) {
            if (const auto self = weak.lock()) {
                self->on_appended(call, std::move(answer));
            }
        };
        this->hooks.log.append(platform::streams::bills, serialise(*content), std::move(done));
    });
}

auto collector::read_back(actions& deferred) -> void
{
    this->in_flight->current = in_flight_batch::stage::reading;
    deferred.push_back([this,
                        call = this->call_number,
                        at = this->in_flight->offset,
                        weak = this->weak_from_this()] {
        this->hooks.log.read(
            platform::streams::bills,
            common::log_offset{at.value() - 1},
            std::chrono::milliseconds::zero(),
            [weak, call](const common::result<platform::read_answer>& answer) {
                if (const auto self = weak.lock()) {
                    self->on_read(call, answer);
                }
            });
    });
}

auto collector::on_timer(time_point when) -> void
{
    this->with_lock([this, when](time_point now, actions& deferred) {
        if (this->timer_at == when) {
            this->timer_at = common::never;
        }
        this->schedule(now, deferred);
    });
}

auto collector::on_forwarded(std::uint64_t call, bool accepted) -> void
{
    this->with_lock([&](time_point now, actions& deferred) {
        if (call != this->call_number || !this->in_flight) {
            return;
        }
        if (accepted) {
            this->confirm(deferred);
            this->schedule(now, deferred);
            return;
        }
        // It is unknown whether the gatherer has the bills: append them here.
        this->send(now, deferred);
    });
}

auto collector::on_appended(std::uint64_t call, common::result<common::log_offset> answer) -> void
{
    this->with_lock([&](time_point now, actions& deferred) {
        if (call != this->call_number || !this->in_flight) {
            return;
        }
        if (answer) {
            this->in_flight->offset = *answer;
            this->in_flight->deadline = now + this->config.call_timeout;
            this->read_back(deferred);
            return;
        }
        // If the response was lost, the batch may be in the log already. Sending it again is
        // harmless, since readers count a bill once by its id; not sending it could lose it.
        if (answer.error().code == result_code::append_unknown) {
            ++this->counted.resent;
        }
        this->schedule_retry(now);
        this->schedule(now, deferred);
    });
}

auto collector::on_read(std::uint64_t call, const common::result<platform::read_answer>& answer)
    -> void
{
    this->with_lock([&](time_point now, actions& deferred) {
        if (call != this->call_number || !this->in_flight) {
            return;
        }
        const auto is_ours = [this](const messages::log_record& record) {
            if (record.offset != this->in_flight->offset) {
                return false;
            }
            const auto read = parse(record.data);
            return read && read->id == this->in_flight->content->id;
        };
        if (answer && std::ranges::any_of(answer->records, is_ours)) {
            this->confirm(deferred);
            this->schedule(now, deferred);
            return;
        }
        const auto is_unread = !answer && answer.error().code == result_code::log_unavailable;
        if (!is_unread) {
            // The log does not have the record at this offset, or trimmed it before every reader
            // was certain to have read it.
            this->in_flight->offset = {};
            ++this->counted.resent;
        }
        this->schedule_retry(now);
        this->schedule(now, deferred);
    });
}

auto collector::schedule_retry(time_point now) -> void
{
    ++this->call_number;
    this->in_flight->current = in_flight_batch::stage::waiting;
    this->in_flight->deadline = now + this->retry_wait;
    this->retry_wait = std::min(this->retry_wait * 2, this->config.max_retry_wait);
    log(common::log_level::warning,
        "batch not confirmed bills=" + std::to_string(this->in_flight->bills.size()));
}

auto collector::confirm(actions& deferred) -> void
{
    for (auto& pending : this->in_flight->bills) {
        this->remove_pending(pending, deferred);
    }
    this->in_flight.reset();
    ++this->call_number;
    this->retry_wait = this->config.initial_retry_wait;
}

auto collector::remove_pending(pending_bill& pending, actions& deferred) -> void
{
    this->pending_bytes -= pending.bytes;
    ++this->counted.confirmed_bills;
    if (!pending.from) {
        return;
    }
    --pending.from->unconfirmed;
    if (pending.from->unconfirmed == 0) {
        deferred.push_back([from = pending.from] { from->done(messages::accepted{}); });
    }
}

} // namespace reedramp::billing
