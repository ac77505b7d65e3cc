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

/// A session name is answered from the table until 1/16 of the window has passed since its last
/// record was read; after that it is renewed first. A name is therefore kept for at least 15/16 of
/// the window after its last use.
constexpr int renewals_per_window = 16;

auto verdict_for(const messages::claim_request& claim, const held_claim& held) -> claim_state
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
    : config(std::move(settings)), hooks(std::move(given)), offset_ages(this->config.window),
      retry_wait(this->config.initial_retry_wait)
{
}

auto claim_arbiter_core::start() -> void
{
    this->with_lock([this](time_point now, actions& deferred) {
        if (this->state == arbiter_state::stopped) {
            this->take_over(now, deferred);
        }
    });
}

auto claim_arbiter_core::stop() -> void
{
    this->with_lock([this](time_point now, actions& deferred) {
        this->state = arbiter_state::stopped;
        this->refuse_pending(now, deferred);
        this->current_read = 0;
    });
}

auto claim_arbiter_core::claim(messages::claim_request request, claim_callback done) -> void
{
    this->with_lock([&](time_point now, actions& deferred) {
        ++this->pending;
        pending_claim item{
            request,
            request,
            std::move(done),
            now + this->config.batch_wait,
            now + this->config.answer_timeout};
        this->decide(std::move(item), now, deferred);
        this->schedule(now, deferred);
    });
}

auto claim_arbiter_core::counters() const -> claim_arbiter_counters
{
    const std::lock_guard guard(this->lock);
    auto counters = this->totals;
    counters.state = this->state;
    counters.keys = this->table.size();
    counters.pending = this->pending;
    counters.reads = this->reads;
    return counters;
}

auto claim_arbiter_core::decide(pending_claim item, time_point now, actions& deferred) -> void
{
    if (this->state == arbiter_state::stopped || this->state == arbiter_state::starting) {
        this->refuse(item, result_code::claims_unavailable, now, deferred);
        return;
    }
    if (const auto found = this->unresolved_keys.find(item.claim.key);
        found != this->unresolved_keys.end()) {
        if (this->pending > this->config.max_pending_claims) {
            this->refuse(item, result_code::claims_unavailable, now, deferred);
            return;
        }
        found->second.push_back(std::move(item));
        return;
    }
    if (this->answer_from_table(item, now, deferred)) {
        return;
    }
    const auto has_room =
        this->pending <= this->config.max_pending_claims && !this->is_table_full(now);
    if (this->state == arbiter_state::log_down || !has_room) {
        this->refuse(item, result_code::claims_unavailable, now, deferred);
        return;
    }
    this->unresolved_keys.try_emplace(item.claim.key);
    this->next_batch.push_back(std::move(item));
}

auto claim_arbiter_core::answer_from_table(pending_claim& item, time_point now, actions& deferred)
    -> bool
{
    const auto held = this->find_unexpired(item.claim.key, now);
    if (!held) {
        return false;
    }
    if (held->claim.body != item.claim.body) {
        this->refuse(item, result_code::key_reused, now, deferred);
        return true;
    }
    if (is_session_name(held->claim)) {
        return this->answer_session(item, *held, now, deferred);
    }
    if (same_claim(held->claim, item.claim)) {
        this->answer(item, claim_state::won, *held, deferred);
        return true;
    }
    if (item.claim.replaces != held->offset) {
        this->answer(item, claim_state::lost, *held, deferred);
        return true;
    }
    if (!held->is_certain) {
        this->refuse(item, result_code::claims_unavailable, now, deferred);
        return true;
    }
    return false;
}

auto claim_arbiter_core::answer_session(
    pending_claim& item, const held_claim& held, time_point now, actions& deferred) -> bool
{
    if (!held.is_certain) {
        this->refuse(item, result_code::claims_unavailable, now, deferred);
        return true;
    }
    // Another arbiter may have let the name expire and granted it with a new version, which this
    // one learns only from the log. A name without a recent record is therefore renewed, and
    // answered after the renewal was applied. This also keeps names in use from expiring.
    const auto first_recent =
        this->offset_ages.first_younger_than(this->config.window / renewals_per_window, now);
    if (held.last_claimed >= first_recent && held.last_claimed > this->takeover_offset) {
        this->answer(item, verdict_for(item.claim, held), held, deferred);
        return true;
    }
    item.record = held.claim;
    item.record.replaces = held.offset;
    return false;
}

auto claim_arbiter_core::find_unexpired(const common::request_id& key, time_point now) const
    -> std::optional<held_claim>
{
    auto held = this->table.find(key);
    // A key that the horizon of the next record will expire is free already.
    if (held &&
        held->last_claimed < this->offset_ages.first_younger_than(this->config.window, now)) {
        return std::nullopt;
    }
    return held;
}

auto claim_arbiter_core::is_table_full(time_point now) -> bool
{
    if (this->table.size() + this->unresolved_keys.size() < this->config.max_keys) {
        return false;
    }
    // Keys expire only through a record with a later horizon, and a full table appends no claims.
    const auto horizon = this->offset_ages.first_younger_than(this->config.window, now);
    this->is_expiry_batch_due = horizon > this->table.horizon();
    return true;
}

auto claim_arbiter_core::finish_batch(submitted_batch decided, time_point now, actions& deferred)
    -> void
{
    for (auto& item : decided.claims) {
        this->answer_decided(item, now, deferred);
    }
    for (const auto& record : decided.content.claims) {
        this->release_key(record.key, now, deferred);
    }
}

auto claim_arbiter_core::answer_decided(pending_claim& item, time_point now, actions& deferred)
    -> void
{
    if (!item.done) {
        return;
    }
    const auto held = this->table.find(item.claim.key);
    if (!held) {
        this->refuse(item, result_code::claims_unavailable, now, deferred);
        return;
    }
    if (held->claim.body != item.claim.body) {
        this->refuse(item, result_code::key_reused, now, deferred);
        return;
    }
    this->answer(item, verdict_for(item.claim, *held), *held, deferred);
}

auto claim_arbiter_core::answer(
    pending_claim& item, claim_state verdict, const held_claim& held, actions& deferred) -> void
{
    ++(verdict == claim_state::won ? this->totals.won : this->totals.lost);
    --this->pending;
    messages::claim_answer result;
    result.state = verdict;
    result.holder = held.claim;
    result.holder.organisation = item.claim.organisation;
    result.offset = held.offset;
    deferred.push_back([done = std::exchange(item.done, nullptr), result] { done(result); });
}

auto claim_arbiter_core::refuse(
    pending_claim& item, result_code code, time_point now, actions& deferred) -> void
{
    if (!item.done) {
        return;
    }
    ++this->totals.refused;
    --this->pending;
    messages::claim_answer result;
    result.state = claim_state::refused;
    result.why = common::make_error(code, "partition=" + this->config.stream);
    if (code == result_code::claims_unavailable) {
        result.why->retry_at = now + this->config.initial_retry_wait;
    }
    deferred.push_back([done = std::exchange(item.done, nullptr), result] { done(result); });
}

auto claim_arbiter_core::refuse_expired(
    std::vector<pending_claim>& list, time_point now, actions& deferred) -> void
{
    for (auto& item : list) {
        if (now >= item.deadline) {
            this->refuse(item, result_code::claims_unavailable, now, deferred);
        }
    }
}

auto claim_arbiter_core::refuse_all_expired(time_point now, actions& deferred) -> void
{
    const auto is_answered = [](const pending_claim& item) {
        return !item.done;
    };
    for (auto& [number, item] : this->submitted) {
        this->refuse_expired(item.claims, now, deferred);
    }
    for (auto& [key, list] : this->unresolved_keys) {
        this->refuse_expired(list, now, deferred);
        std::erase_if(list, is_answered);
    }
    this->refuse_expired(this->next_batch, now, deferred);
    std::vector<common::request_id> refused_keys;
    for (const auto& item : this->next_batch) {
        if (is_answered(item)) {
            refused_keys.push_back(item.claim.key);
        }
    }
    std::erase_if(this->next_batch, is_answered);
    for (const auto& key : refused_keys) {
        this->release_key(key, now, deferred);
    }
}

auto claim_arbiter_core::refuse_pending(time_point now, actions& deferred) -> void
{
    const auto refuse_all = [&](std::vector<pending_claim>& list) {
        for (auto& item : list) {
            this->refuse(item, result_code::claims_unavailable, now, deferred);
        }
    };
    refuse_all(this->next_batch);
    for (auto& [number, item] : this->submitted) {
        refuse_all(item.claims);
    }
    for (auto& [key, list] : this->unresolved_keys) {
        refuse_all(list);
    }
    this->next_batch.clear();
    this->submitted.clear();
    this->unresolved_keys.clear();
}

auto claim_arbiter_core::release_key(
    const common::request_id& key, time_point now, actions& deferred) -> void
{
    auto released = this->unresolved_keys.extract(key);
    if (released.empty()) {
        return;
    }
    for (auto& item : released.mapped()) {
        this->decide(std::move(item), now, deferred);
    }
}

} // namespace reedramp::claims
