#include "inventory/follower.hpp"

#include <atomic>
#include <mutex>
#include <utility>

#include "common/log.hpp"
#include "inventory/checkpoint.hpp"
#include "inventory/follower_core.hpp"

namespace reedramp::inventory {

struct follower::implementation {
    implementation(follower_hooks given, follower_settings settings)
        : hooks(std::move(given)), core(settings, hooks.shared_key, hooks.random())
    {
    }

    follower_hooks hooks;

    std::mutex lock;
    follower_core core;
    /// Time of the earliest pending timer; `never` if there is none.
    common::time_point next_timer = common::never;

    // Read on the request path without the lock above. The snapshot has its own lock, held only to
    // copy a pointer: atomic<shared_ptr> of libstdc++ 12 releases its internal lock after a load
    // without release order, which is a data race with the next store.
    std::mutex snapshot_lock;
    snapshot_ptr current_snapshot = std::make_shared<const state>();
    std::atomic<common::time_point> current_until = common::time_point::min();
    std::atomic<bool> ready = false;
    std::atomic<bool> is_stopped = false;

    // Cached, since formatting a checkpoint takes milliseconds and many new peers may need the same
    // one.
    std::mutex checkpoint_lock;
    common::log_offset checkpoint_offset;
    std::string text;
};

namespace {

auto write_log_messages(const std::vector<log_message>& log_messages) -> void
{
    for (const auto& message : log_messages) {
        common::log(common::log_part::config, message.level, message.text);
    }
}

} // namespace

follower::follower(std::unique_ptr<implementation> made) : impl(std::move(made)) {}

follower::~follower() = default;

auto follower::create(follower_hooks hooks, follower_settings settings) -> std::shared_ptr<follower>
{
    auto made = std::make_unique<implementation>(std::move(hooks), settings);
    return std::shared_ptr<follower>(new follower(std::move(made)));
}

auto follower::start() -> void
{
    this->tick();
}

auto follower::stop() -> void
{
    this->impl->is_stopped.store(true);
}

auto follower::handle_event(const core_event& event) -> void
{
    const auto now = this->impl->hooks.clock();
    follower_actions actions;
    {
        const std::lock_guard guard(this->impl->lock);
        event(this->impl->core, now, actions);
        this->publish_state(actions);
    }
    this->execute(std::move(actions));
}

auto follower::tick() -> void
{
    auto& hooks = this->impl->hooks;
    follower_environment environment;
    environment.is_tailer = hooks.is_tailer();
    environment.peers = hooks.peers();
    if (hooks.tailers) {
        environment.tailers = hooks.tailers();
    }
    this->handle_event([this, &environment](auto& core, auto now, auto& actions) {
        if (this->impl->next_timer <= now) {
            this->impl->next_timer = common::never;
        }
        actions = core.tick(now, std::move(environment));
    });
}

auto follower::publish_state(const follower_actions& actions) -> void
{
    auto& target = *this->impl;
    const auto is_ready = target.core.is_ready();
    if (is_ready && actions.changed) {
        auto newer = std::make_shared<const state>(target.core.current());
        const std::lock_guard guard(target.snapshot_lock);
        target.current_snapshot = std::move(newer);
    }
    target.current_until.store(target.core.current_until());
    target.ready.store(is_ready);
}

auto follower::execute(follower_actions actions) -> void
{
    write_log_messages(actions.log_messages);
    if (actions.changed && this->ready() && this->impl->hooks.changed) {
        this->impl->hooks.changed(this->snapshot());
    }
    if (this->impl->is_stopped.load()) {
        return;
    }
    if (actions.read) {
        this->send_read(*actions.read);
    }
    for (auto& request : actions.pulls) {
        this->send_pull(std::move(request));
    }
    for (auto& request : actions.appends) {
        this->send_append(std::move(request));
    }
    this->schedule_tick();
}

auto follower::schedule_tick() -> void
{
    common::time_point wanted{};
    {
        const std::lock_guard guard(this->impl->lock);
        wanted = this->impl->core.next_wake(this->impl->hooks.clock());
        if (wanted >= this->impl->next_timer) {
            return;
        }
        this->impl->next_timer = wanted;
    }
    this->impl->hooks.timer(wanted, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
    });
}

auto follower::send_read(const read_request& request) -> void
{
    auto done = [weak = this->weak_from_this(),
                 ticket = request.ticket](const common::result<platform::read_answer>& answer) {
        if (const auto self = weak.lock()) {
            self->handle_event([&](auto& core, auto now, auto& actions) {
                actions = core.on_read(ticket, answer, now);
            });
        }
    };
    this->impl->hooks.log.read(
        platform::streams::configuration, request.after, request.wait, std::move(done));
}

auto follower::send_pull(pull_request request) -> void
{
    auto done = [weak = this->weak_from_this(), ticket = request.ticket](
                    const common::result<messages::configuration_push>& answer) {
        if (const auto self = weak.lock()) {
            self->handle_event([&](auto& core, auto now, auto& actions) {
                actions = core.on_push(ticket, answer, now);
            });
        }
    };
    this->impl->hooks.pull(request.to, std::move(request.pull), std::move(done));
}

auto follower::send_append(append_request request) -> void
{
    auto done = [weak = this->weak_from_this(),
                 version = request.version](const common::result<common::log_offset>& answer) {
        if (const auto self = weak.lock()) {
            self->handle_event([&](auto& core, auto now, auto& actions) {
                actions = core.on_append(version, answer, now);
            });
        }
    };
    request.item.at = this->impl->hooks.wall_clock();
    this->impl->hooks.log.append(
        platform::streams::configuration, format_record(request.item), std::move(done));
}

auto follower::ready() const -> bool
{
    return this->impl->ready.load();
}

auto follower::snapshot() const -> snapshot_ptr
{
    const std::lock_guard guard(this->impl->snapshot_lock);
    return this->impl->current_snapshot;
}

auto follower::current_until() const -> common::time_point
{
    return this->impl->current_until.load();
}

auto follower::freshness() const -> rules::freshness
{
    return {this->current_until(), this->impl->hooks.clock()};
}

auto follower::evidence_time() const -> std::optional<common::time_point>
{
    const std::lock_guard guard(this->impl->lock);
    return this->impl->core.evidence_time();
}

auto follower::checkpoint_due() const -> bool
{
    const auto now = this->impl->hooks.clock();
    const std::lock_guard guard(this->impl->lock);
    return this->impl->core.checkpoint_due(now);
}

auto follower::counters() const -> follower_counters
{
    const std::lock_guard guard(this->impl->lock);
    return this->impl->core.counters();
}

auto follower::answer(const messages::configuration_pull& pull) -> messages::configuration_push
{
    pull_reply reply;
    this->handle_event(
        [&](auto& core, auto now, auto& actions) { reply = core.on_pull(pull, now, actions); });
    if (reply.needs_checkpoint) {
        // The checkpoint may be newer than `push.offset` by now, which is fine.
        reply.push.checkpoint = this->checkpoint_text(this->snapshot());
    }
    return std::move(reply.push);
}

auto follower::checkpoint_text(const snapshot_ptr& of) -> std::string
{
    const std::lock_guard guard(this->impl->checkpoint_lock);
    if (this->impl->text.empty() || this->impl->checkpoint_offset != of->offset) {
        this->impl->text = format_checkpoint(*of);
        this->impl->checkpoint_offset = of->offset;
    }
    return this->impl->text;
}

auto follower::withdraw(
    const common::version_id& version, const common::record_id& record, const std::string& author)
    -> common::result<void>
{
    common::result<void> taken;
    this->handle_event([&](auto& core, auto now, auto& actions) {
        taken = core.withdraw(version, record, author, now, actions);
    });
    return taken;
}

auto follower::expect(common::log_offset offset) -> void
{
    this->handle_event(
        [offset](auto& core, auto now, auto& actions) { actions = core.expect(offset, now); });
}

auto follower::refresh() -> void
{
    this->handle_event([](auto& core, auto now, auto& actions) { actions = core.refresh(now); });
}

} // namespace reedramp::inventory
