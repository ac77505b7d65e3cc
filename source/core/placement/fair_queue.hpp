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

/// A request waiting in an agent's queue.
struct queued_request {
    messages::run_key key;
    common::organisation_id organisation;
    /// Relative share of the organisation among those with queued requests; greater than zero.
    double weight = 1.0;
    /// Orders requests of the same organisation, larger first. It gives no advantage over other
    /// organisations; otherwise each organisation would always set the largest value.
    std::int32_t priority = 0;
    /// Expected tokens: the prompt and the expected completion. 1 for a service call.
    common::token_count cost;
    /// The caller's deadline on this process's clock.
    common::time_point deadline = common::never;
};

/// How much work the backend server can run in parallel.
struct server_capacity {
    std::size_t slots = 1;
    /// Total tokens of all running requests that the KV cache can hold; 0 for no limit.
    common::token_count tokens;
};

struct fair_queue_settings {
    server_capacity capacity;
    /// Maximum number of queued requests.
    std::size_t max_queued = 256;
    /// Initial estimate of the tokens per second of one running request, until requests finish.
    double expected_stream_rate = 50.0;
    /// Time reserved before the deadline of a request that has to wait, as a multiple of its
    /// expected run time, because many runs take longer than expected. At most half of the time
    /// left until the deadline is reserved. A request that can start immediately needs only its
    /// expected run time.
    double run_margin = 3.0;
};

/// The bounded request queue of one backend server. It is fair between organisations in tokens
/// (deficit round robin with one flow per organisation; the quantum is the mean cost of a request)
/// and does not keep requests that can no longer finish in time.
///
/// The agent calls `push` for each new request. After each push or finish, and at `next_check()`,
/// it calls `take_infeasible`, and then `pop` until that returns nothing. Not thread-safe: the
/// agent calls it under the lock of its shard.
class fair_queue {
public:
    explicit fair_queue(fair_queue_settings settings);

    /// Queues a request. Errors, all `not_run`: `queue_full`, or `deadline_too_near` if the request
    /// could not finish in time after the running and queued ones. The error's `retry_at` is the
    /// time from which a retry may be accepted; it is empty if the request's own run is longer than
    /// the time left until its deadline.
    auto push(queued_request request, common::time_point now) -> common::result<void>;

    /// The next request to start, if the server has capacity for it. It then counts as running
    /// until `finish`.
    auto pop(common::time_point now) -> std::optional<queued_request>;

    /// Removes and returns all requests that can no longer finish in time. The agent refuses each
    /// of them immediately, so that its caller can try elsewhere.
    auto take_infeasible(common::time_point now) -> std::vector<queued_request>;

    /// The earliest time at which `take_infeasible` may return a request; `never` for an empty
    /// queue.
    [[nodiscard]] auto next_check() const -> common::time_point;

    /// Records that a popped request has ended (completed, failed or cancelled) after `used`
    /// tokens.
    auto finish(const messages::run_key& key, common::token_count used, common::time_point now)
        -> void;

    /// Removes a request whose caller has disconnected. False if it is not queued.
    auto remove(const messages::run_key& key) -> bool;

    /// Removes and returns all queued requests, for a shutdown.
    auto take_all() -> std::vector<queued_request>;

    /// Expected wait of a request of an organisation without queued requests, as reported in probe
    /// answers.
    [[nodiscard]] auto estimated_wait() const -> common::duration;

    /// Expected wait of this request if it were pushed now.
    [[nodiscard]] auto estimated_wait(const queued_request& request, common::time_point now) const
        -> common::duration;

    [[nodiscard]] auto queued() const -> std::size_t { return this->queued_count; }

    [[nodiscard]] auto running() const -> std::size_t { return this->running_requests.size(); }

    /// Changes the server's capacity, for example after a change of its role.
    auto set_capacity(server_capacity capacity) -> void;

private:
    struct queued_item {
        queued_request request;
        /// The latest start time that still meets the deadline.
        common::time_point latest_start;
    };

    struct flow {
        std::deque<queued_item> requests;
        double weight = 1.0;
        double deficit = 0.0;
        std::uint64_t queued_tokens = 0;
    };

    struct running_request {
        std::uint64_t cost = 0;
        common::time_point started;
        common::time_point expected_end;
    };

    using flow_map = std::map<common::organisation_id, flow>;

    [[nodiscard]] auto fits(std::uint64_t cost) const -> bool;
    [[nodiscard]] auto run_time(std::uint64_t cost) const -> common::duration;
    [[nodiscard]] auto tokens_per_second() const -> double;
    [[nodiscard]] auto tokens_ahead(const queued_request& request) const -> double;
    [[nodiscard]] auto capacity_available_at(std::uint64_t cost, common::time_point now) const
        -> common::time_point;
    [[nodiscard]] auto is_flow_full(const common::organisation_id& organisation) const -> bool;
    auto insert(queued_item item) -> void;
    auto next_flow() -> flow_map::iterator;
    [[nodiscard]] auto quantum() const -> double;
    auto advance_flow() -> void;
    auto start(flow_map::iterator from, std::size_t index, common::time_point now)
        -> queued_request;
    auto extract(const messages::run_key& key) -> std::optional<queued_request>;
    auto remove_at(flow_map::iterator from, std::size_t index) -> queued_request;

    fair_queue_settings settings;
    flow_map flows;
    /// Organisations with queued requests in round-robin order; the first one is served next.
    std::deque<common::organisation_id> flow_order;
    /// Whether the first flow has received its quantum of this round.
    bool quantum_credited = false;
    std::map<messages::run_key, running_request> running_requests;
    std::uint64_t running_tokens = 0;
    std::size_t queued_count = 0;
    std::uint64_t queued_tokens = 0;
    /// Smoothed tokens per second of one running request.
    double stream_rate;
    /// Smoothed token count of finished requests.
    double mean_cost = 0.0;
    /// Lower bound of the `latest_start` of all queued requests.
    common::time_point earliest_check = common::never;
};

} // namespace reedramp::placement
