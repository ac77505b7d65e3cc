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

auto say(common::log_level level, const std::string& sentence) -> void
{
    common::log(common::log_part::bills, level, sentence);
}

} // namespace

/// Bills that came together from another process, which waits for `done`.
struct collector::receipt {
    std::size_t open = 0;
    messages::answer_hook<messages::accepted> done;
};

struct collector::held_bill {
    messages::bill item;
    std::size_t bytes = 0;
    /// Null for a bill of this process.
    std::shared_ptr<receipt> from;
    /// When it is to be sent, even alone.
    time_point due;
};

struct collector::sent_batch {
    enum class stage : std::uint8_t { waiting, forwarding, appending, reading };

    std::shared_ptr<const batch> content;
    /// Of each bill of `content`; their `item` is empty.
    std::vector<held_bill> bills;
    stage at = stage::waiting;
    /// End of the wait, or when the call under way is given up.
    time_point until{};
    bool may_forward = false;
    /// Where the log said it put the batch.
    common::log_offset offset;
};

auto collector::create(collector_config config, collector_hooks hooks) -> std::shared_ptr<collector>
{
    return std::shared_ptr<collector>(new collector(config, std::move(hooks)));
}

collector::collector(collector_config settings, collector_hooks given)
    : config(settings), hooks(std::move(given)), retry_wait(settings.first_retry)
{
}

collector::~collector() = default;

template <typename Change>
auto collector::with_lock(Change change) -> void
{
    const auto now = this->hooks.now();
    actions todo;
    {
        const std::lock_guard guard(this->lock);
        change(now, todo);
    }
    for (const auto& step : todo) {
        step();
    }
}

auto collector::add(messages::bill item) -> void
{
    this->with_lock([&](time_point now, actions& todo) {
        this->hold(std::move(item), nullptr, now);
        this->schedule(now, todo);
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
    this->with_lock([&](time_point now, actions& todo) {
        is_full = this->held_bytes + bytes > this->config.full_bytes / 2;
        if (is_full) {
            return;
        }
        auto from = std::make_shared<receipt>(receipt{bills.bills.size(), std::move(done)});
        for (auto& item : bills.bills) {
            this->hold(std::move(item), from, now);
        }
        this->schedule(now, todo);
    });
    if (is_full) {
        done(common::failure(result_code::queue_full, "too many bills wait for the log"));
    }
}

auto collector::accepts_work() const -> bool
{
    const std::lock_guard guard(this->lock);
    return this->held_bytes < this->config.full_bytes;
}

auto collector::flush() -> void
{
    this->with_lock([this](time_point now, actions& todo) {
        this->flushing = true;
        this->schedule(now, todo);
    });
}

auto collector::hand_over() const -> messages::bill_handover
{
    const std::lock_guard guard(this->lock);
    messages::bill_handover all;
    if (this->sent) {
        all.bills = this->sent->content->bills;
    }
    for (const auto& held : this->waiting) {
        all.bills.push_back(held.item);
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
    this->with_lock([&](time_point now, actions& todo) {
        // A batch that was confirmed only in part stays whole: its repeat is dropped by readers.
        if (this->sent && std::ranges::all_of(this->sent->content->bills, is_confirmed)) {
            this->confirm(todo);
        }
        for (auto& held : this->waiting) {
            if (is_confirmed(held.item)) {
                this->let_go(held, todo);
            }
        }
        std::erase_if(
            this->waiting, [&](const held_bill& held) { return is_confirmed(held.item); });
        this->schedule(now, todo);
    });
}

auto collector::empty() const -> bool
{
    const std::lock_guard guard(this->lock);
    return this->waiting.empty() && !this->sent;
}

auto collector::counters() const -> collector_counters
{
    const std::lock_guard guard(this->lock);
    auto counters = this->counted;
    counters.pending_bills = this->waiting.size() + (this->sent ? this->sent->bills.size() : 0);
    counters.pending_bytes = this->held_bytes;
    return counters;
}

auto collector::hold(messages::bill item, std::shared_ptr<receipt> from, time_point now) -> void
{
    const auto bytes = size_of(item);
    this->held_bytes += bytes;
    const auto due = now + this->config.batch_wait;
    this->waiting.push_back({std::move(item), bytes, std::move(from), due});
}

auto collector::schedule(time_point now, actions& todo) -> void
{
    if (this->sent) {
        if (now < this->sent->until) {
            this->call_at(this->sent->until, todo);
            return;
        }
        if (this->sent->at == sent_batch::stage::waiting) {
            this->send(now, todo);
            return;
        }
        say(common::log_level::warning, "a call was given up after its time");
        this->try_again(now);
        this->call_at(this->sent->until, todo);
        return;
    }
    if (this->waiting.empty()) {
        return;
    }
    const auto is_full = this->waiting.size() >= this->config.batch_bills;
    auto due = is_full ? now : this->waiting.front().due;
    due = this->flushing ? now : std::max(due, this->next_send);
    if (now < due) {
        this->call_at(due, todo);
        return;
    }
    this->form_batch();
    this->send(now, todo);
}

auto collector::call_at(time_point when, actions& todo) -> void
{
    if (this->timer_at <= when) {
        return;
    }
    this->timer_at = when;
    todo.push_back([this, when, weak = this->weak_from_this()] {
        this->hooks.timer(when, [weak, when] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            self->on_timer(when);
        });
    });
}

auto collector::form_batch() -> void
{
    const auto count = std::min(this->waiting.size(), this->config.batch_bills);
    auto content = std::make_shared<batch>();
    content->id = {this->hooks.random(), this->hooks.random()};
    content->bills.reserve(count);
    this->sent = std::make_unique<sent_batch>();
    this->sent->may_forward = this->hooks.forward != nullptr;
    for (std::size_t index = 0; index < count; ++index) {
        auto held = std::move(this->waiting.front());
        this->waiting.pop_front();
        content->bills.push_back(std::move(held.item));
        // Bills that came from others go to the log from here; two processes that each took the
        // other for the gatherer would else pass them to and fro for ever.
        this->sent->may_forward = this->sent->may_forward && held.from == nullptr;
        this->sent->bills.push_back(std::move(held));
    }
    this->sent->content = std::move(content);
}

auto collector::send(time_point now, actions& todo) -> void
{
    this->next_send = now + this->config.append_interval;
    this->sent->until = now + this->config.call_within;
    ++this->turns;
    if (this->sent->may_forward) {
        this->forward(todo);
    }
    else if (this->sent->offset.value() != 0) {
        this->read_back(todo);
    }
    else {
        this->append(todo);
    }
    this->call_at(this->sent->until, todo);
}

auto collector::forward(actions& todo) -> void
{
    this->sent->at = sent_batch::stage::forwarding;
    this->sent->may_forward = false;
    todo.push_back(
        [this, turn = this->turns, content = this->sent->content, weak = this->weak_from_this()] {
            this->hooks.forward({content->bills}, [weak, turn](const auto& answer) {
                if (const auto self = weak.lock()) {
                    self->on_forwarded(turn, answer.has_value());
                }
            });
        });
}

auto collector::append(actions& todo) -> void
{
    this->sent->at = sent_batch::stage::appending;
    ++this->counted.appends;
    todo.push_back(
        [this, turn = this->turns, content = this->sent->content, weak = this->weak_from_this()] {
            auto done = [weak, turn](common::result<common::log_offset> answer) {
                if (const auto self = weak.lock()) {
                    self->on_appended(turn, std::move(answer));
                }
            };
            this->hooks.log.append(platform::streams::bills, serialise(*content), std::move(done));
        });
}

auto collector::read_back(actions& todo) -> void
{
    this->sent->at = sent_batch::stage::reading;
    todo.push_back(
        [this, turn = this->turns, at = this->sent->offset, weak = this->weak_from_this()] {
            this->hooks.log.read(
                platform::streams::bills,
                common::log_offset{at.value() - 1},
                std::chrono::milliseconds::zero(),
                [weak, turn](const common::result<platform::read_answer>& answer) {
                    if (const auto self = weak.lock()) {
                        self->on_read(turn, answer);
                    }
                });
        });
}

auto collector::on_timer(time_point when) -> void
{
    this->with_lock([this, when](time_point now, actions& todo) {
        if (this->timer_at == when) {
            this->timer_at = common::never;
        }
        this->schedule(now, todo);
    });
}

auto collector::on_forwarded(std::uint64_t turn, bool accepted) -> void
{
    this->with_lock([&](time_point now, actions& todo) {
        if (turn != this->turns || !this->sent) {
            return;
        }
        if (accepted) {
            this->confirm(todo);
            this->schedule(now, todo);
            return;
        }
        // The gatherer may be lost with the bills or without them: append them here.
        this->send(now, todo);
    });
}

auto collector::on_appended(std::uint64_t turn, common::result<common::log_offset> answer) -> void
{
    this->with_lock([&](time_point now, actions& todo) {
        if (turn != this->turns || !this->sent) {
            return;
        }
        if (answer) {
            this->sent->offset = *answer;
            this->sent->until = now + this->config.call_within;
            this->read_back(todo);
            return;
        }
        // After a lost answer the batch may be in the log already. To send it again is harmless,
        // since readers count a bill once by its id; not to send it could lose it.
        if (answer.error().code == result_code::append_unknown) {
            ++this->counted.resent;
        }
        this->try_again(now);
        this->schedule(now, todo);
    });
}

auto collector::on_read(std::uint64_t turn, const common::result<platform::read_answer>& answer)
    -> void
{
    this->with_lock([&](time_point now, actions& todo) {
        if (turn != this->turns || !this->sent) {
            return;
        }
        const auto is_ours = [this](const messages::log_record& record) {
            if (record.offset != this->sent->offset) {
                return false;
            }
            const auto read = parse(record.data);
            return read && read->id == this->sent->content->id;
        };
        if (answer && std::ranges::any_of(answer->records, is_ours)) {
            this->confirm(todo);
            this->schedule(now, todo);
            return;
        }
        const auto is_unread = !answer && answer.error().code == result_code::log_unavailable;
        if (!is_unread) {
            // The log answers without our record, or has trimmed it before any reader was sure to
            // have it.
            this->sent->offset = {};
            ++this->counted.resent;
        }
        this->try_again(now);
        this->schedule(now, todo);
    });
}

auto collector::try_again(time_point now) -> void
{
    ++this->turns;
    this->sent->at = sent_batch::stage::waiting;
    this->sent->until = now + this->retry_wait;
    this->retry_wait = std::min(this->retry_wait * 2, this->config.longest_retry);
    say(common::log_level::warning,
        "batch not confirmed bills=" + std::to_string(this->sent->bills.size()));
}

auto collector::confirm(actions& todo) -> void
{
    for (auto& held : this->sent->bills) {
        this->let_go(held, todo);
    }
    this->sent.reset();
    ++this->turns;
    this->retry_wait = this->config.first_retry;
}

auto collector::let_go(held_bill& held, actions& todo) -> void
{
    this->held_bytes -= held.bytes;
    ++this->counted.confirmed_bills;
    if (!held.from) {
        return;
    }
    --held.from->open;
    if (held.from->open == 0) {
        todo.push_back([from = held.from] { from->done(messages::accepted{}); });
    }
}

} // namespace reedramp::billing
