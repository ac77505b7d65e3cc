#include "agent/request_table.hpp"

#include <algorithm>
#include <utility>

namespace reedramp::agent {

using common::result_code;
using messages::outcome_state;
using messages::repeat_rule;

namespace {

auto is_refused(outcome_state state) -> bool
{
    return state == outcome_state::refused;
}

auto size_of(const messages::finished_event& answer) -> std::size_t
{
    return answer.body.size() + answer.content_type.size() + answer.finish_reason.size();
}

/// There is no room to record a refusal, so that none can be promised.
auto records_full() -> messages::outcome_answer
{
    messages::outcome_answer answer;
    answer.why = common::make_error(result_code::no_capacity, "records are full");
    answer.why->run = common::execution::unknown;
    return answer;
}

} // namespace

request_table::request_table(request_table_limits initial) : limits(initial) {}

template <typename Attempts>
auto request_table::find(Attempts& all, common::attempt_number attempt) -> decltype(all.data())
{
    const auto found = std::find_if(
        all.begin(), all.end(), [attempt](const record& one) { return one.attempt == attempt; });
    return found == all.end() ? nullptr : &*found;
}

auto request_table::describe(const record& known) -> messages::outcome_answer
{
    messages::outcome_answer answer;
    answer.state = known.state;
    answer.used = known.used;
    if (known.kept) {
        answer.finished = *known.kept;
    }
    if (known.state == outcome_state::refused || known.state == outcome_state::failed) {
        answer.why = common::make_error(known.code);
        answer.why->run = known.run;
    }
    return answer;
}

auto request_table::blocker(const attempts& all) -> const record*
{
    const auto found = std::find_if(
        all.begin(), all.end(), [](const record& one) { return !is_refused(one.state); });
    return found == all.end() ? nullptr : &*found;
}

auto request_table::take_room(bool for_refusal) -> bool
{
    const auto bound = this->limits.records + (for_refusal ? this->limits.reserve : 0);
    auto seen = this->used_records.load();
    while (seen < bound) {
        if (this->used_records.compare_exchange_weak(seen, seen + 1)) {
            return true;
        }
    }
    return false;
}

auto request_table::refusal(common::attempt_number attempt, result_code code) -> record
{
    record made;
    made.attempt = attempt;
    made.state = outcome_state::refused;
    made.code = code;
    made.run = common::execution::not_run;
    return made;
}

auto request_table::existing(const attempts& all, const messages::run_key& key, repeat_rule repeat)
    -> std::optional<admission>
{
    if (const auto* known = find(all, key.attempt)) {
        if (is_refused(known->state)) {
            return turned_away{common::make_error(result_code::already_refused)};
        }
        return already_taken{describe(*known)};
    }
    const auto* earlier = repeat == repeat_rule::at_most_once ? blocker(all) : nullptr;
    if (earlier != nullptr) {
        return already_taken{describe(*earlier)};
    }
    return std::nullopt;
}

auto request_table::add(
    attempts& all, const messages::run_key& key, repeat_rule repeat, common::time_point now)
    -> admission
{
    const auto late = std::any_of(
        all.begin(), all.end(), [&key](const record& one) { return one.attempt > key.attempt; });
    const auto no_room_for_answer =
        repeat == repeat_rule::at_most_once && this->used_bytes >= this->limits.kept_bytes;
    if (!late && !no_room_for_answer && this->take_room(false)) {
        record made;
        made.attempt = key.attempt;
        all.push_back(std::move(made));
        return admitted{};
    }
    if (this->take_room(true)) {
        const auto code = late ? result_code::already_refused : result_code::no_capacity;
        all.push_back(refusal(key.attempt, code));
        this->expire_later(key, now);
        return turned_away{common::make_error(code, late ? "late copy" : "records are full")};
    }
    // A refusal that is not recorded would not hold against a second copy, so it is not promised:
    // the answer is "unknown".
    return already_taken{records_full()};
}

auto request_table::admit(const messages::run_key& key, repeat_rule repeat, common::time_point now)
    -> admission
{
    return this->by_request.with_shard(key.request, [&](auto& entries) {
        auto& all = entries[key.request];
        if (auto known = existing(all, key, repeat)) {
            return std::move(*known);
        }
        auto decided = this->add(all, key, repeat, now);
        if (all.empty()) {
            entries.erase(key.request);
        }
        return decided;
    });
}

auto request_table::start(const messages::run_key& key) -> bool
{
    return this->by_request.with_shard(key.request, [&key](auto& entries) {
        const auto found = entries.find(key.request);
        auto* known = found == entries.end() ? nullptr : find(found->second, key.attempt);
        if (known == nullptr || known->state != outcome_state::queued) {
            return false;
        }
        known->state = outcome_state::running;
        return true;
    });
}

template <typename Change>
auto request_table::end(const messages::run_key& key, common::time_point now, Change change) -> void
{
    this->by_request.with_shard(key.request, [&](auto& entries) {
        const auto found = entries.find(key.request);
        auto* known = found == entries.end() ? nullptr : find(found->second, key.attempt);
        const auto open = known != nullptr && (known->state == outcome_state::queued ||
                                               known->state == outcome_state::running);
        if (!open) {
            return;
        }
        change(*known);
        this->expire_later(key, now);
    });
}

auto request_table::refuse(const messages::run_key& key, common::error why, common::time_point now)
    -> void
{
    this->end(key, now, [&why](record& known) {
        known.state = outcome_state::refused;
        known.code = why.code;
        known.run = common::execution::not_run;
    });
}

auto request_table::finish(
    const messages::run_key& key,
    messages::usage used,
    std::optional<messages::finished_event> kept,
    common::time_point now) -> void
{
    this->end(key, now, [&](record& known) {
        known.state = outcome_state::finished;
        known.run = common::execution::ran;
        known.used = used;
        if (kept) {
            known.kept = this->keep(std::move(*kept));
        }
    });
}

auto request_table::fail(
    const messages::run_key& key, common::error why, messages::usage used, common::time_point now)
    -> void
{
    this->end(key, now, [&](record& known) {
        known.state = outcome_state::failed;
        known.code = why.code;
        known.run = why.run;
        known.used = used;
    });
}

auto request_table::keep(messages::finished_event answer)
    -> std::shared_ptr<const messages::finished_event>
{
    const auto size = size_of(answer);
    if (size > this->limits.kept_answer_bytes) {
        return nullptr;
    }
    this->used_bytes += size;
    return std::make_shared<const messages::finished_event>(std::move(answer));
}

auto request_table::ask(const messages::outcome_query& query, common::time_point now)
    -> messages::outcome_answer
{
    const auto& key = query.key;
    return this->by_request.with_shard(key.request, [&](auto& entries) {
        const auto found = entries.find(key.request);
        auto* known = found == entries.end() ? nullptr : find(found->second, key.attempt);
        if (known != nullptr) {
            return describe(*known);
        }
        if (!query.refuse_if_unknown) {
            return messages::outcome_answer{};
        }
        if (!this->take_room(true)) {
            return records_full();
        }
        auto made = refusal(key.attempt, result_code::already_refused);
        entries[key.request].push_back(made);
        this->expire_later(key, now);
        return describe(made);
    });
}

auto request_table::expire_later(const messages::run_key& key, common::time_point now) -> void
{
    const std::lock_guard guard(this->expiry_lock);
    this->expiries.push_back({now + this->limits.window, key.request, key.attempt});
}

auto request_table::forget(const expiry& due) -> void
{
    this->by_request.with_shard(due.request, [&](auto& entries) {
        const auto found = entries.find(due.request);
        if (found == entries.end()) {
            return;
        }
        auto& all = found->second;
        const auto* known = find(all, due.attempt);
        if (known == nullptr) {
            return;
        }
        if (known->kept) {
            this->used_bytes -= size_of(*known->kept);
        }
        all.erase(all.begin() + (known - all.data()));
        this->used_records -= 1;
        if (all.empty()) {
            entries.erase(found);
        }
    });
}

auto request_table::expire(common::time_point now) -> void
{
    std::vector<expiry> due;
    {
        const std::lock_guard guard(this->expiry_lock);
        while (!this->expiries.empty() && this->expiries.front().at <= now) {
            due.push_back(this->expiries.front());
            this->expiries.pop_front();
        }
    }
    for (const auto& one : due) {
        this->forget(one);
    }
}

} // namespace reedramp::agent
