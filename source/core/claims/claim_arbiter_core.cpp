#include "claims/claim_arbiter_core.hpp"

#include <algorithm>
#include <utility>

#include "claims/fingerprint.hpp"

namespace reedramp::claims {

using common::log_offset;
using common::result_code;
using common::time_point;
using messages::claim_state;

namespace {

/// A session name is answered from the table for this part of its window since it was last read
/// back; later it is renewed first. It is so remembered for the rest of the window, 15/16, after
/// its last use.
constexpr int renewals_per_window = 16;

auto verdict_on(const messages::claim_request& claim, const held_claim& held) -> claim_state
{
    return same_claim(held.claim, claim) ? claim_state::won : claim_state::lost;
}

} // namespace

auto to_string(arbiter_state value) -> std::string_view
{
    switch (value) {
    case arbiter_state::stopped:
        return "stopped";
    case arbiter_state::starting:
        return "starting";
    case arbiter_state::serving:
        return "serving";
    case arbiter_state::log_down:
        return "log_down";
    }
    return "stopped";
}

auto claim_arbiter::create(claim_arbiter_config config, claim_arbiter_hooks hooks)
    -> std::shared_ptr<claim_arbiter>
{
    return std::make_shared<claim_arbiter_core>(std::move(config), std::move(hooks));
}

claim_arbiter_core::claim_arbiter_core(claim_arbiter_config settings, claim_arbiter_hooks given)
    : config(std::move(settings)), hooks(std::move(given)), age(this->config.window),
      retry_wait(this->config.first_retry)
{
}

auto claim_arbiter_core::start() -> void
{
    this->with_lock([this](time_point now, actions& todo) {
        if (this->state == arbiter_state::stopped) {
            this->take_over(now, todo);
        }
    });
}

auto claim_arbiter_core::stop() -> void
{
    this->with_lock([this](time_point now, actions& todo) {
        this->state = arbiter_state::stopped;
        this->refuse_waiting(now, todo);
        this->reading = 0;
    });
}

auto claim_arbiter_core::claim(messages::claim_request request, claim_hook done) -> void
{
    this->with_lock([&](time_point now, actions& todo) {
        ++this->pending;
        waiting_claim item{
            request,
            request,
            std::move(done),
            now + this->config.batch_wait,
            now + this->config.answer_within};
        this->decide(std::move(item), now, todo);
        this->schedule(now, todo);
    });
}

auto claim_arbiter_core::counters() const -> claim_arbiter_counters
{
    const std::lock_guard guard(this->lock);
    auto counters = this->counted;
    counters.state = this->state;
    counters.keys = this->table.size();
    counters.pending = this->pending;
    counters.reads = this->reads;
    return counters;
}

auto claim_arbiter_core::decide(waiting_claim item, time_point now, actions& todo) -> void
{
    if (this->state == arbiter_state::stopped || this->state == arbiter_state::starting) {
        this->refuse(item, result_code::claims_unavailable, now, todo);
        return;
    }
    if (const auto found = this->busy.find(item.claim.key); found != this->busy.end()) {
        if (this->pending > this->config.pending_claims) {
            this->refuse(item, result_code::claims_unavailable, now, todo);
            return;
        }
        found->second.push_back(std::move(item));
        return;
    }
    if (this->answer_from_table(item, now, todo)) {
        return;
    }
    const auto has_room = this->pending <= this->config.pending_claims && !this->is_full(now);
    if (this->state == arbiter_state::log_down || !has_room) {
        this->refuse(item, result_code::claims_unavailable, now, todo);
        return;
    }
    this->busy.try_emplace(item.claim.key);
    this->open.push_back(std::move(item));
}

auto claim_arbiter_core::answer_from_table(waiting_claim& item, time_point now, actions& todo)
    -> bool
{
    const auto held = this->find_live(item.claim.key, now);
    if (!held) {
        return false;
    }
    if (held->claim.body != item.claim.body) {
        this->refuse(item, result_code::key_reused, now, todo);
        return true;
    }
    if (is_session_name(held->claim)) {
        return this->answer_session(item, *held, now, todo);
    }
    if (same_claim(held->claim, item.claim)) {
        this->answer(item, claim_state::won, *held, todo);
        return true;
    }
    if (item.claim.replaces != held->offset) {
        this->answer(item, claim_state::lost, *held, todo);
        return true;
    }
    if (!held->certain) {
        this->refuse(item, result_code::claims_unavailable, now, todo);
        return true;
    }
    return false;
}

auto claim_arbiter_core::answer_session(
    waiting_claim& item, const held_claim& held, time_point now, actions& todo) -> bool
{
    if (!held.certain) {
        this->refuse(item, result_code::claims_unavailable, now, todo);
        return true;
    }
    // Another keeper may have let the name run out and given it a new version, which this one would
    // learn only from the log. So a name that is not known to be young is answered from the table
    // only after its renewal was read back; that also keeps a name that is in use alive.
    const auto young = this->age.first_younger_than(this->config.window / renewals_per_window, now);
    if (held.last >= young && held.last > this->taken_over_at) {
        this->answer(item, verdict_on(item.claim, held), held, todo);
        return true;
    }
    item.record = held.claim;
    item.record.replaces = held.offset;
    return false;
}

auto claim_arbiter_core::find_live(const common::request_id& key, time_point now) const
    -> std::optional<held_claim>
{
    auto held = this->table.find(key);
    // The horizon moves with the next record; a key that it will forget is free already.
    if (held && held->last < this->age.first_younger_than(this->config.window, now)) {
        return std::nullopt;
    }
    return held;
}

auto claim_arbiter_core::is_full(time_point now) -> bool
{
    if (this->table.size() + this->busy.size() < this->config.max_keys) {
        return false;
    }
    // Keys go only when a record carries a later horizon, and a full table makes no records.
    const auto horizon = this->age.first_younger_than(this->config.window, now);
    this->prune_wanted = horizon > this->table.horizon();
    return true;
}

auto claim_arbiter_core::settle(flight decided, time_point now, actions& todo) -> void
{
    for (auto& item : decided.claims) {
        this->settle_one(item, now, todo);
    }
    for (const auto& record : decided.content.claims) {
        this->release(record.key, now, todo);
    }
}

auto claim_arbiter_core::settle_one(waiting_claim& item, time_point now, actions& todo) -> void
{
    if (!item.done) {
        return;
    }
    const auto held = this->table.find(item.claim.key);
    if (!held) {
        this->refuse(item, result_code::claims_unavailable, now, todo);
        return;
    }
    if (held->claim.body != item.claim.body) {
        this->refuse(item, result_code::key_reused, now, todo);
        return;
    }
    this->answer(item, verdict_on(item.claim, *held), *held, todo);
}

auto claim_arbiter_core::answer(
    waiting_claim& item, claim_state verdict, const held_claim& held, actions& todo) -> void
{
    ++(verdict == claim_state::won ? this->counted.won : this->counted.lost);
    --this->pending;
    messages::claim_answer made;
    made.state = verdict;
    made.holder = held.claim;
    made.holder.organisation = item.claim.organisation;
    made.offset = held.offset;
    todo.push_back([done = std::exchange(item.done, nullptr), made] { done(made); });
}

auto claim_arbiter_core::refuse(
    waiting_claim& item, result_code code, time_point now, actions& todo) -> void
{
    if (!item.done) {
        return;
    }
    ++this->counted.refused;
    --this->pending;
    messages::claim_answer made;
    made.state = claim_state::refused;
    made.why = common::make_error(code, "partition=" + this->config.stream);
    if (code == result_code::claims_unavailable) {
        made.why->retry_at = now + this->config.first_retry;
    }
    todo.push_back([done = std::exchange(item.done, nullptr), made] { done(made); });
}

auto claim_arbiter_core::refuse_late(
    std::vector<waiting_claim>& list, time_point now, actions& todo) -> void
{
    for (auto& item : list) {
        if (now >= item.deadline) {
            this->refuse(item, result_code::claims_unavailable, now, todo);
        }
    }
}

auto claim_arbiter_core::sweep(time_point now, actions& todo) -> void
{
    const auto is_answered = [](const waiting_claim& item) {
        return !item.done;
    };
    for (auto& [number, item] : this->sent) {
        this->refuse_late(item.claims, now, todo);
    }
    for (auto& [key, list] : this->busy) {
        this->refuse_late(list, now, todo);
        std::erase_if(list, is_answered);
    }
    this->refuse_late(this->open, now, todo);
    std::vector<common::request_id> unsent;
    for (const auto& item : this->open) {
        if (is_answered(item)) {
            unsent.push_back(item.claim.key);
        }
    }
    std::erase_if(this->open, is_answered);
    for (const auto& key : unsent) {
        this->release(key, now, todo);
    }
}

auto claim_arbiter_core::refuse_waiting(time_point now, actions& todo) -> void
{
    const auto refuse_all = [&](std::vector<waiting_claim>& list) {
        for (auto& item : list) {
            this->refuse(item, result_code::claims_unavailable, now, todo);
        }
    };
    refuse_all(this->open);
    for (auto& [number, item] : this->sent) {
        refuse_all(item.claims);
    }
    for (auto& [key, list] : this->busy) {
        refuse_all(list);
    }
    this->open.clear();
    this->sent.clear();
    this->busy.clear();
}

auto claim_arbiter_core::release(const common::request_id& key, time_point now, actions& todo)
    -> void
{
    auto released = this->busy.extract(key);
    if (released.empty()) {
        return;
    }
    for (auto& item : released.mapped()) {
        this->decide(std::move(item), now, todo);
    }
}

} // namespace reedramp::claims
