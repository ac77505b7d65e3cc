#include "inventory/follower.hpp"

#include <atomic>
#include <mutex>
#include <utility>

#include "common/log.hpp"
#include "inventory/checkpoint.hpp"
#include "inventory/follower_core.hpp"

namespace reedramp::inventory {

struct follower::parts {
    parts(follower_hooks given, follower_settings settings)
        : hooks(std::move(given)), core(settings, hooks.shared_key, hooks.random())
    {
    }

    follower_hooks hooks;

    std::mutex lock;
    follower_core core;
    /// When the earliest timer that was asked for fires; `never` if none is.
    common::time_point next_timer = common::never;

    // Read without the lock above by those who decide about requests. The snapshot has a lock of
    // its own, held for one copy of a pointer: atomic<shared_ptr> of libstdc++ 12 gives its inner
    // lock back without release order after a load, which is a data race with the next store.
    std::mutex shared_lock;
    snapshot_ptr shared = std::make_shared<const state>();
    std::atomic<common::time_point> until = common::time_point::min();
    std::atomic<bool> ready = false;
    std::atomic<bool> is_stopped = false;

    // Making a checkpoint's text takes milliseconds; many new peers may ask for the same one.
    std::mutex text_lock;
    common::log_offset text_offset;
    std::string text;
};

namespace {

auto write_notes(const std::vector<log_note>& notes) -> void
{
    for (const auto& note : notes) {
        common::log(common::log_part::config, note.level, note.text);
    }
}

} // namespace

follower::follower(std::unique_ptr<parts> made) : all(std::move(made)) {}

follower::~follower() = default;

auto follower::create(follower_hooks hooks, follower_settings settings) -> std::shared_ptr<follower>
{
    auto made = std::make_unique<parts>(std::move(hooks), settings);
    return std::shared_ptr<follower>(new follower(std::move(made)));
}

auto follower::start() -> void
{
    this->wake();
}

auto follower::stop() -> void
{
    this->all->is_stopped.store(true);
}

auto follower::handle(const core_event& event) -> void
{
    const auto now = this->all->hooks.clock();
    follower_actions actions;
    {
        const std::lock_guard guard(this->all->lock);
        event(this->all->core, now, actions);
        this->share(actions);
    }
    this->run(std::move(actions));
}

auto follower::wake() -> void
{
    auto& hooks = this->all->hooks;
    follower_surroundings around;
    around.is_tailer = hooks.is_tailer();
    around.peers = hooks.peers();
    if (hooks.tailers) {
        around.tailers = hooks.tailers();
    }
    this->handle([this, &around](auto& core, auto now, auto& actions) {
        if (this->all->next_timer <= now) {
            this->all->next_timer = common::never;
        }
        actions = core.tick(now, std::move(around));
    });
}

auto follower::share(const follower_actions& actions) -> void
{
    auto& mine = *this->all;
    const auto is_ready = mine.core.is_ready();
    if (is_ready && actions.changed) {
        auto newer = std::make_shared<const state>(mine.core.current());
        const std::lock_guard guard(mine.shared_lock);
        mine.shared = std::move(newer);
    }
    mine.until.store(mine.core.current_until());
    mine.ready.store(is_ready);
}

auto follower::run(follower_actions actions) -> void
{
    write_notes(actions.notes);
    if (actions.changed && this->ready() && this->all->hooks.changed) {
        this->all->hooks.changed(this->snapshot());
    }
    if (this->all->is_stopped.load()) {
        return;
    }
    if (actions.read) {
        this->run_read(*actions.read);
    }
    for (auto& order : actions.pulls) {
        this->run_pull(std::move(order));
    }
    for (auto& order : actions.appends) {
        this->run_append(std::move(order));
    }
    this->schedule();
}

auto follower::schedule() -> void
{
    common::time_point wanted{};
    {
        const std::lock_guard guard(this->all->lock);
        wanted = this->all->core.next_wake(this->all->hooks.clock());
        if (wanted >= this->all->next_timer) {
            return;
        }
        this->all->next_timer = wanted;
    }
    this->all->hooks.timer(wanted, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->wake();
        }
    });
}

auto follower::run_read(const read_order& order) -> void
{
    auto done = [weak = this->weak_from_this(),
                 ticket = order.ticket](const common::result<platform::read_answer>& answer) {
        if (const auto self = weak.lock()) {
            self->handle([&](auto& core, auto now, auto& actions) {
                actions = core.on_read(ticket, answer, now);
            });
        }
    };
    this->all->hooks.log.read(
        platform::streams::configuration, order.after, order.wait, std::move(done));
}

auto follower::run_pull(pull_order order) -> void
{
    auto done = [weak = this->weak_from_this(), ticket = order.ticket](
                    const common::result<messages::configuration_push>& answer) {
        if (const auto self = weak.lock()) {
            self->handle([&](auto& core, auto now, auto& actions) {
                actions = core.on_push(ticket, answer, now);
            });
        }
    };
    this->all->hooks.pull(order.to, std::move(order.pull), std::move(done));
}

auto follower::run_append(append_order order) -> void
{
    auto done = [weak = this->weak_from_this(),
                 version = order.version](const common::result<common::log_offset>& answer) {
        if (const auto self = weak.lock()) {
            self->handle([&](auto& core, auto now, auto& actions) {
                actions = core.on_append(version, answer, now);
            });
        }
    };
    order.item.at = this->all->hooks.wall_clock();
    this->all->hooks.log.append(
        platform::streams::configuration, format_record(order.item), std::move(done));
}

auto follower::ready() const -> bool
{
    return this->all->ready.load();
}

auto follower::snapshot() const -> snapshot_ptr
{
    const std::lock_guard guard(this->all->shared_lock);
    return this->all->shared;
}

auto follower::current_until() const -> common::time_point
{
    return this->all->until.load();
}

auto follower::freshness() const -> rules::freshness
{
    return {this->current_until(), this->all->hooks.clock()};
}

auto follower::evidence_time() const -> std::optional<common::time_point>
{
    const std::lock_guard guard(this->all->lock);
    return this->all->core.evidence_time();
}

auto follower::checkpoint_due() const -> bool
{
    const auto now = this->all->hooks.clock();
    const std::lock_guard guard(this->all->lock);
    return this->all->core.checkpoint_due(now);
}

auto follower::counters() const -> follower_counters
{
    const std::lock_guard guard(this->all->lock);
    return this->all->core.counters();
}

auto follower::answer(const messages::configuration_pull& pull) -> messages::configuration_push
{
    pull_reply reply;
    this->handle(
        [&](auto& core, auto now, auto& actions) { reply = core.on_pull(pull, now, actions); });
    if (reply.needs_checkpoint) {
        // It may be newer than `push.offset` by now, which is as good.
        reply.push.checkpoint = this->checkpoint_text(this->snapshot());
    }
    return std::move(reply.push);
}

auto follower::checkpoint_text(const snapshot_ptr& of) -> std::string
{
    const std::lock_guard guard(this->all->text_lock);
    if (this->all->text.empty() || this->all->text_offset != of->offset) {
        this->all->text = format_checkpoint(*of);
        this->all->text_offset = of->offset;
    }
    return this->all->text;
}

auto follower::withdraw(
    const common::version_id& version, const common::record_id& record, const std::string& author)
    -> common::result<void>
{
    common::result<void> taken;
    this->handle([&](auto& core, auto now, auto& actions) {
        taken = core.withdraw(version, record, author, now, actions);
    });
    return taken;
}

auto follower::expect(common::log_offset offset) -> void
{
    this->handle(
        [offset](auto& core, auto now, auto& actions) { actions = core.expect(offset, now); });
}

auto follower::refresh() -> void
{
    this->handle([](auto& core, auto now, auto& actions) { actions = core.refresh(now); });
}

} // namespace reedramp::inventory
