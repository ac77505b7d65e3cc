#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "messages/run.hpp"

namespace reedramp::placement {

/// One request that waits in an agent's queue.
struct queued_request {
    messages::run_key key;
    common::organisation_id organisation;
    /// Relative share of the organisation among those that have something queued, over zero.
    double weight = 1.0;
    /// Orders requests of the same organisation, larger first. It gives no advantage over other
    /// organisations: else each of them would set it to the largest value.
    std::int32_t priority = 0;
    /// What the engine is expected to spend: prompt and expected completion. 1 for a service call.
    common::token_count cost;
    /// The caller's deadline on this process's clock.
    common::time_point deadline = common::never;
};

/// How much the backend server runs at once.
struct server_capacity {
    std::size_t slots = 1;
    /// Tokens of all running requests together that the KV cache holds.
    common::token_count tokens;
};

struct fair_queue_settings {
    server_capacity capacity;
    /// The queue refuses more than this.
    std::size_t max_queued = 256;
    /// Tokens a second of one running request, until the first ones have finished.
    double expected_stream_rate = 50.0;
    /// A request waits no longer than leaves it this many times its expected run, or half of the
    /// time it has, whichever is less, before its deadline, since many runs take longer than
    /// expected. One that can start at once needs just the run.
    double run_margin = 3.0;
};

/// The queue before one backend server: bounded, fair between organisations in tokens (deficit
/// round robin; a turn is worth a mean request), and never holding a request that can no longer
/// finish in time.
///
/// The surrounding agent calls `push` for each new request, then `take_infeasible` and `pop` until
/// it is empty, whenever something was pushed or finished and at `next_check()`. It is not
/// thread-safe; the agent calls it under the lock of its shard.
class fair_queue {
public:
    explicit fair_queue(fair_queue_settings settings);

    /// Queues a request. Errors, all `not_run`: `queue_full`, or `deadline_too_near` when it could
    /// not finish in time behind what runs and is queued. `retry_at` says when to come back; it is
    /// empty when the request itself takes longer than its deadline leaves.
    auto push(queued_request request, common::time_point now) -> common::result<void>;

    /// The next request to start, if the server has room for it; it counts as running from now on.
    auto pop(common::time_point now) -> std::optional<queued_request>;

    /// Takes out all requests that can no longer finish in time. The agent records a refusal for
    /// each and answers at once; holding them back would only keep the caller from going elsewhere.
    auto take_infeasible(common::time_point now) -> std::vector<queued_request>;

    /// When `take_infeasible` may next give something; `never` for an empty queue.
    [[nodiscard]] auto next_check() const -> common::time_point;

    /// A popped request has ended (whole, failed or cancelled) after `used` tokens.
    auto finish(const messages::run_key& key, common::token_count used, common::time_point now)
        -> void;

    /// Takes out a request whose caller has left. False if it is not queued.
    auto remove(const messages::run_key& key) -> bool;

    /// Takes out all, for a shutdown that hands work back.
    auto take_all() -> std::vector<queued_request>;

    /// Expected wait of a request of an organisation that has nothing queued. Goes into probe
    /// answers.
    [[nodiscard]] auto estimated_wait() const -> common::duration;

    /// Expected wait of this request if it were pushed now.
    [[nodiscard]] auto estimated_wait(const queued_request& request, common::time_point now) const
        -> common::duration;

    [[nodiscard]] auto queued() const -> std::size_t { return this->queued_count; }

    [[nodiscard]] auto running() const -> std::size_t { return this->active.size(); }

    /// The server takes another load, for example after a change of its role.
    auto set_capacity(server_capacity capacity) -> void;

private:
    struct waiting {
        queued_request request;
        /// Last moment at which a start can still meet the deadline.
        common::time_point latest_start;
    };

    struct lane {
        std::deque<waiting> requests;
        double weight = 1.0;
        double deficit = 0.0;
        std::uint64_t queued_tokens = 0;
    };

    struct running_request {
        std::uint64_t cost = 0;
        common::time_point started;
        common::time_point expected_end;
    };

    using lane_map = std::map<common::organisation_id, lane>;

    [[nodiscard]] auto fits(std::uint64_t cost) const -> bool;
    [[nodiscard]] auto run_time(std::uint64_t cost) const -> common::duration;
    [[nodiscard]] auto tokens_per_second() const -> double;
    [[nodiscard]] auto tokens_ahead(const queued_request& request) const -> double;
    [[nodiscard]] auto room_free_at(std::uint64_t cost, common::time_point now) const
        -> common::time_point;
    [[nodiscard]] auto lane_is_full(const common::organisation_id& organisation) const -> bool;
    auto insert(waiting item) -> void;
    auto lane_in_turn() -> lane_map::iterator;
    [[nodiscard]] auto turn_tokens() const -> double;
    auto end_turn() -> void;
    auto start(lane_map::iterator from, std::size_t index, common::time_point now)
        -> queued_request;
    auto extract(const messages::run_key& key) -> std::optional<queued_request>;
    auto erase_at(lane_map::iterator from, std::size_t index) -> queued_request;

    fair_queue_settings settings;
    lane_map lanes;
    /// Organisations with something queued, in order of their turns; the first has the turn.
    std::deque<common::organisation_id> turns;
    bool turn_credited = false;
    std::map<messages::run_key, running_request> active;
    std::uint64_t active_tokens = 0;
    std::size_t queued_count = 0;
    std::uint64_t queued_tokens = 0;
    /// Smoothed tokens a second of one running request.
    double stream_rate;
    /// Smoothed tokens of a finished request.
    double mean_cost = 0.0;
    /// No later than the least `latest_start` of what is queued.
    common::time_point earliest_check = common::never;
};

} // namespace reedramp::placement
