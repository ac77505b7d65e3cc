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

/// Answer if a refusal cannot be recorded and therefore cannot be guaranteed.
auto record_table_full_answer() -> messages::outcome_answer
{
    messages::outcome_answer answer;
    answer.why = common::make_error(result_code::no_capacity, "request table is full");
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

auto request_table::describe(const record& found_record) -> messages::outcome_answer
{
    messages::outcome_answer answer;
    answer.state = found_record.state;
    answer.used = found_record.used;
    if (found_record.stored_answer) {
        answer.finished = *found_record.stored_answer;
    }
    if (found_record.state == outcome_state::refused ||
        found_record.state == outcome_state::failed) {
        answer.why = common::make_error(found_record.code);
        answer.why->run = found_record.run;
    }
    return answer;
}

auto request_table::find_unrefused(const attempts& all) -> const record*
{
    const auto found = std::find_if(
        all.begin(), all.end(), [](const record& one) { return !is_refused(one.state); });
    return found == all.end() ? nullptr : &*found;
}

auto request_table::reserve_record(bool for_refusal) -> bool
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

auto request_table::make_refusal(common::attempt_number attempt, result_code code) -> record
{
    record made;
    made.attempt = attempt;
    made.state = outcome_state::refused;
    made.code = code;
    made.run = common::execution::not_run;
    return made;
}

auto request_table::find_decision(
    const attempts& all, const messages::run_key& key, repeat_rule repeat)
    -> std::optional<admission>
{
    if (const auto* found_record = find(all, key.attempt)) {
        if (is_refused(found_record->state)) {
            return rejected{common::make_error(result_code::already_refused)};
        }
        return duplicate{describe(*found_record)};
    }
    const auto* earlier = repeat == repeat_rule::at_most_once ? find_unrefused(all) : nullptr;
    if (earlier != nullptr) {
        return duplicate{describe(*earlier)};
    }
    return std::nullopt;
}

auto request_table::add_attempt(
    attempts& all, const messages::run_key& key, repeat_rule repeat, common::time_point now)
    -> admission
{
    const auto is_late_copy = std::any_of(
        all.begin(), all.end(), [&key](const record& one) { return one.attempt > key.attempt; });
    const auto is_answer_store_full =
        repeat == repeat_rule::at_most_once && this->used_bytes >= this->limits.kept_bytes;
    if (!is_late_copy && !is_answer_store_full && this->reserve_record(false)) {
        record made;
        made.attempt = key.attempt;
        all.push_back(std::move(made));
        return admitted{};
    }
    if (this->reserve_record(true)) {
        const auto code = is_late_copy ? result_code::already_refused : result_code::no_capacity;
        all.push_back(make_refusal(key.attempt, code));
        this->schedule_expiry(key, now);
        return rejected{
            common::make_error(code, is_late_copy ? "late copy" : "request table is full")};
    }
    // An unrecorded refusal would not stop a later copy, so the outcome is reported as `unknown`.
    return duplicate{record_table_full_answer()};
}

auto request_table::admit(const messages::run_key& key, repeat_rule repeat, common::time_point now)
    -> admission
{
    return this->by_request.with_shard(key.request, [&](auto& entries) {
        auto& all = entries[key.request];
        if (auto decision = find_decision(all, key, repeat)) {
            return std::move(*decision);
        }
        auto decision = this->add_attempt(all, key, repeat, now);
        if (all.empty()) {
            entries.erase(key.request);
        }
        return decision;
    });
}

auto request_table::start(const messages::run_key& key) -> bool
{
    return this->by_request.with_shard(key.request, [&key](auto& entries) {
        const auto found = entries.find(key.request);
        auto* found_record = found == entries.end() ? nullptr : find(found->second, key.attempt);
        if (found_record == nullptr || found_record->state != outcome_state::queued) {
            return false;
        }
        found_record->state = outcome_state::running;
        return true;
    });
}

template <typename Change>
auto request_table::end(const messages::run_key& key, common::time_point now, Change change) -> void
{
    this->by_request.with_shard(key.request, [&](auto& entries) {
        const auto found = entries.find(key.request);
        auto* found_record = found == entries.end() ? nullptr : find(found->second, key.attempt);
        const auto is_open =
            found_record != nullptr && (found_record->state == outcome_state::queued ||
                                        found_record->state == outcome_state::running);
        if (!is_open) {
            return;
        }
        change(*found_record);
        this->schedule_expiry(key, now);
    });
}

auto request_table::refuse(const messages::run_key& key, common::error why, common::time_point now)
    -> void
{
    this->end(key, now, [&why](record& found_record) {
        found_record.state = outcome_state::refused;
        found_record.code = why.code;
        found_record.run = common::execution::not_run;
    });
}

auto request_table::finish(
    const messages::run_key& key,
    messages::usage used,
    std::optional<messages::finished_event> stored_answer,
    common::time_point now) -> void
{
    this->end(key, now, [&](record& found_record) {
        found_record.state = outcome_state::finished;
        found_record.run = common::execution::ran;
        found_record.used = used;
        if (stored_answer) {
            found_record.stored_answer = this->store_answer(std::move(*stored_answer));
        }
    });
}

auto request_table::fail(
    const messages::run_key& key, common::error why, messages::usage used, common::time_point now)
    -> void
{
    this->end(key, now, [&](record& found_record) {
        found_record.state = outcome_state::failed;
        found_record.code = why.code;
        found_record.run = why.run;
        found_record.used = used;
    });
}

auto request_table::store_answer(messages::finished_event answer)
    -> std::shared_ptr<const messages::finished_event>
{
    const auto size = size_of(answer);
    if (size > this->limits.kept_answer_bytes) {
        return nullptr;
    }
    this->used_bytes += size;
    return std::make_shared<const messages::finished_event>(std::move(answer));
}

auto request_table::query(const messages::outcome_query& query, common::time_point now)
    -> messages::outcome_answer
{
    const auto& key = query.key;
    return this->by_request.with_shard(key.request, [&](auto& entries) {
        const auto found = entries.find(key.request);
        auto* found_record = found == entries.end() ? nullptr : find(found->second, key.attempt);
        if (found_record != nullptr) {
            return describe(*found_record);
        }
        if (!query.refuse_if_unknown) {
            return messages::outcome_answer{};
        }
        if (!this->reserve_record(true)) {
            return record_table_full_answer();
        }
        auto made = make_refusal(key.attempt, result_code::already_refused);
        entries[key.request].push_back(made);
        this->schedule_expiry(key, now);
        return describe(made);
    });
}

auto request_table::schedule_expiry(const messages::run_key& key, common::time_point now) -> void
{
    const std::lock_guard guard(this->expiry_lock);
    this->expiries.push_back({now + this->limits.window, key.request, key.attempt});
}

auto request_table::remove(const expiry& due) -> void
{
    this->by_request.with_shard(due.request, [&](auto& entries) {
        const auto found = entries.find(due.request);
        if (found == entries.end()) {
            return;
        }
        auto& all = found->second;
        const auto* found_record = find(all, due.attempt);
        if (found_record == nullptr) {
            return;
        }
        if (found_record->stored_answer) {
            this->used_bytes -= size_of(*found_record->stored_answer);
        }
        all.erase(all.begin() + (found_record - all.data()));
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
        this->remove(one);
    }
}

} // namespace reedramp::agent
