#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/sharded_map.hpp"
#include "common/units.hpp"
#include "messages/run.hpp"

namespace reedramp::agent {

struct request_table_limits {
    /// How long the record of an ended request is kept.
    common::duration window{};
    /// Records available to new requests.
    std::size_t records = 0;
    /// Additional records for refusals only.
    std::size_t reserve = 0;
    std::size_t kept_bytes = 0;
    /// A larger answer is not stored.
    std::size_t kept_answer_bytes = 0;
};

/// The request is new and is now recorded as queued; it may run.
struct admitted {};

/// The request never runs; the refusal is recorded.
struct rejected {
    common::error why;
};

/// This copy of the request does not run, but another copy ran, runs, or may have run.
struct duplicate {
    messages::outcome_answer outcome;
};

using admission = std::variant<admitted, rejected, duplicate>;

/// Records each request id and attempt before it runs, and its outcome.
///
/// Without these records a delayed copy could run after an entry was answered "not run", and the
/// request would run twice. A record is kept for the window after its end. If the table is full,
/// new requests are refused; no record is dropped early.
///
/// Thread-safe; sharded by request id. Calls no hooks.
class request_table {
public:
    explicit request_table(request_table_limits limits);

    /// Records a key before any other step. An at-most-once request is admitted only if all its
    /// earlier attempts were refused here. An attempt with a lower number than a recorded one is a
    /// late copy and is refused.
    auto admit(const messages::run_key& key, messages::repeat_rule repeat, common::time_point now)
        -> admission;

    /// Moves a queued key to running. False if it is not queued any more; it must not start then.
    auto start(const messages::run_key& key) -> bool;

    /// Ends a key as refused: a queued one, or a running one if no byte was sent to the backend
    /// server.
    auto refuse(const messages::run_key& key, common::error why, common::time_point now) -> void;

    /// Ends a running key as finished. `stored_answer` is the answer of an at-most-once request,
    /// kept for retries within the window.
    auto finish(
        const messages::run_key& key,
        messages::usage used,
        std::optional<messages::finished_event> stored_answer,
        common::time_point now) -> void;

    auto fail(
        const messages::run_key& key,
        common::error why,
        messages::usage used,
        common::time_point now) -> void;

    /// Returns the outcome of the key. With `refuse_if_unknown` an unknown key is recorded as
    /// refused.
    auto query(const messages::outcome_query& query, common::time_point now)
        -> messages::outcome_answer;

    /// Removes records whose window has passed.
    auto expire(common::time_point now) -> void;

    [[nodiscard]] auto records() const -> std::size_t { return this->used_records; }

    [[nodiscard]] auto kept_bytes() const -> std::size_t { return this->used_bytes; }

private:
    struct record {
        common::attempt_number attempt;
        messages::outcome_state state = messages::outcome_state::queued;
        common::result_code code = common::result_code::ok;
        common::execution run = common::execution::unknown;
        messages::usage used;
        std::shared_ptr<const messages::finished_event> stored_answer;
    };

    struct expiry {
        common::time_point at;
        common::request_id request;
        common::attempt_number attempt;
    };

    using attempts = std::vector<record>;

    /// Returns null if there is none. `Attempts` is `attempts` or `const attempts`.
    template <typename Attempts>
    static auto find(Attempts& all, common::attempt_number attempt) -> decltype(all.data());
    static auto make_refusal(common::attempt_number attempt, common::result_code code) -> record;
    static auto describe(const record& found_record) -> messages::outcome_answer;
    static auto find_unrefused(const attempts& all) -> const record*;

    /// Decides from the existing records; empty if they do not decide.
    static auto
    find_decision(const attempts& all, const messages::run_key& key, messages::repeat_rule repeat)
        -> std::optional<admission>;

    /// Records a new key as queued or refused.
    auto add_attempt(
        attempts& all,
        const messages::run_key& key,
        messages::repeat_rule repeat,
        common::time_point now) -> admission;

    /// Applies `change` to the record of `key` if it has not ended, and schedules its expiry.
    template <typename Change>
    auto end(const messages::run_key& key, common::time_point now, Change change) -> void;
    auto reserve_record(bool for_refusal) -> bool;
    auto store_answer(messages::finished_event answer)
        -> std::shared_ptr<const messages::finished_event>;
    auto schedule_expiry(const messages::run_key& key, common::time_point now) -> void;
    auto remove(const expiry& due) -> void;

    request_table_limits limits;
    common::sharded_map<common::request_id, attempts> by_request;
    std::atomic<std::size_t> used_records = 0;
    std::atomic<std::size_t> used_bytes = 0;

    std::mutex expiry_lock;
    /// Ordered by time, since all records have the same window.
    std::deque<expiry> expiries;
};

} // namespace reedramp::agent
