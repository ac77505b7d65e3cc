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
    /// How long an ended request is remembered.
    common::duration window{};
    /// Records that new work may use.
    std::size_t records = 0;
    /// Further records, for refusals only.
    std::size_t reserve = 0;
    std::size_t kept_bytes = 0;
    /// A larger answer is not kept.
    std::size_t kept_answer_bytes = 0;
};

/// The key is new and is now recorded as queued: it may run.
struct admitted {};

/// It never runs; the refusal is recorded.
struct rejected {
    common::error why;
};

/// It does not run because of this copy, but another copy ran, runs, or may have run.
struct duplicate {
    messages::outcome_answer outcome;
};

using admission = std::variant<admitted, rejected, duplicate>;

/// Remembers each request id and attempt before it runs, and how it ended.
///
/// Without it, a copy that arrives after an entry was told "not run" would run: the caller sees its
/// request done twice. Records live for the window after their end. At the bound new work is
/// refused, never an old record dropped.
///
/// Thread-safe; shards by request id. Never calls out.
class request_table {
public:
    explicit request_table(request_table_limits limits);

    /// Records a key before anything else is done for it. An at-most-once request is admitted only
    /// if all its earlier attempts were refused here. An attempt lower than a recorded one is a
    /// late copy and is refused.
    auto admit(const messages::run_key& key, messages::repeat_rule repeat, common::time_point now)
        -> admission;

    /// Moves a queued key to running. False if it is not queued (any more): then it must not start.
    auto start(const messages::run_key& key) -> bool;

    /// Ends a key as refused, from queued, or from running when the backend server got no byte.
    auto refuse(const messages::run_key& key, common::error why, common::time_point now) -> void;

    /// Ends a running key. `stored_answer`: the answer of an at-most-once request, for retries in
    /// the window.
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

    /// What became of the key. With `refuse_if_unknown` an unknown key is recorded as refused.
    auto query(const messages::outcome_query& query, common::time_point now)
        -> messages::outcome_answer;

    /// Forgets records whose window has passed.
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

    /// Null if there is none. `Attempts` is `attempts`, const or not.
    template <typename Attempts>
    static auto find(Attempts& all, common::attempt_number attempt) -> decltype(all.data());
    static auto make_refusal(common::attempt_number attempt, common::result_code code) -> record;
    static auto describe(const record& found_record) -> messages::outcome_answer;
    static auto find_unrefused(const attempts& all) -> const record*;

    /// The answer to a key of which enough is recorded already.
    static auto
    find_decision(const attempts& all, const messages::run_key& key, messages::repeat_rule repeat)
        -> std::optional<admission>;

    /// Records a key that is new, as queued or as refused.
    auto add_attempt(
        attempts& all,
        const messages::run_key& key,
        messages::repeat_rule repeat,
        common::time_point now) -> admission;

    /// Changes the record of `key`, if `change` says so, and lets it expire.
    template <typename Change>
    auto end(const messages::run_key& key, common::time_point now, Change change) -> void;
    auto reserve_record(bool for_refusal) -> bool;
    auto store_answer(messages::finished_event answer)
        -> std::shared_ptr<const messages::finished_event>;
    auto expire_later(const messages::run_key& key, common::time_point now) -> void;
    auto remove(const expiry& due) -> void;

    request_table_limits limits;
    common::sharded_map<common::request_id, attempts> by_request;
    std::atomic<std::size_t> used_records = 0;
    std::atomic<std::size_t> used_bytes = 0;

    std::mutex expiry_lock;
    /// In the order of their time, since the window is the same for all.
    std::deque<expiry> expiries;
};

} // namespace reedramp::agent
