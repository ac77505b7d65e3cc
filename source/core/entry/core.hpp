#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "entry/admin_api.hpp"
#include "entry/callers_api.hpp"
#include "entry/core_hooks.hpp"
#include "entry/decisions.hpp"
#include "http/message.hpp"
#include "http/server.hpp"
#include "placement/retry_budget.hpp"

namespace reedramp::entry {

struct core_options {
    header_rules headers;
    /// Maximum attempts per request, including the first.
    std::uint32_t attempt_limit = 4;
    /// The extra retries are those that the loss of a backend server needs.
    placement::retry_budget_settings retries{.ratio = 0.1, .extra = 20.0};
    /// How long the outcome of a lost attempt of an idempotent request is queried before the
    /// request is retried elsewhere, and how long the usage of a cancelled request is queried.
    common::duration outcome_query_timeout = std::chrono::milliseconds(300);
    /// Pause between two outcome queries.
    common::duration outcome_query_interval = std::chrono::milliseconds(100);
    /// How long a session's request waits for a server of its version, within its deadline.
    common::duration session_wait = std::chrono::seconds(5);
    /// Retry delay that a caller is given if nothing more precise is known.
    common::duration retry_after = std::chrono::seconds(1);
    /// Interval at which deadlines are checked.
    common::duration deadline_check_interval = std::chrono::milliseconds(20);
    /// Lifetime of a session token.
    common::duration session_lifetime = std::chrono::hours(24);
    /// Unsent bytes on a caller's connection above which the source is paused, and below which it
    /// is resumed.
    std::size_t backlog_high_bytes = std::size_t{256} * 1024;
    std::size_t backlog_low_bytes = std::size_t{64} * 1024;
    /// Unsent bytes above which the response is aborted; chunks already in flight still arrive
    /// after a pause.
    std::size_t backlog_limit_bytes = std::size_t{8} * 1024 * 1024;
    /// Maximum text of a stream that is kept for another server to continue it; a longer stream
    /// can't be continued.
    std::size_t sent_text_limit_bytes = std::size_t{1} * 1024 * 1024;
    /// Maximum requests in flight.
    std::size_t request_limit = 20'000;
    std::size_t decision_limit = 4096;
    /// One in this many chats, selected at random, is submitted for rating; 0 for none.
    std::uint32_t rate_every = 1;
};

/// Snapshot of the counters for metrics and status. All but `in_flight` only increase.
struct core_counters {
    std::uint64_t in_flight = 0;
    std::uint64_t answered = 0;
    std::uint64_t retries = 0;
    std::uint64_t continued_streams = 0;
    std::uint64_t late_events = 0;
    std::uint64_t aborted_by_shutdown = 0;
    std::map<common::result_code, std::uint64_t> refusals;
    std::map<common::version_id, std::uint64_t> versions;
};

/// Serves the callers' and administration APIs of an entry. Members may be called from any thread.
class core {
public:
    static auto create(core_options options, core_hooks hooks, admin_api admin)
        -> std::shared_ptr<core>;

    virtual ~core() = default;

    /// Handles one request of the callers' or the administration API.
    virtual auto handle(http::request request, std::shared_ptr<http::responder> responder)
        -> void = 0;

    /// Starts a graceful shutdown: `ready` turns false, and requests in flight continue. Requests
    /// that still arrive on open connections are served as well, because refusing them would be an
    /// error the caller has not caused. Requests still in flight at `deadline` are aborted, and
    /// later ones are refused. `done` is called once, when no request is left, with the number of
    /// aborted requests.
    virtual auto shut_down(
        common::time_point deadline, std::function<auto(std::size_t aborted_count)->void> done)
        -> void = 0;

    /// Whether the entry is ready for callers: it has a configuration and knows its servers,
    /// accepts bills, and is not shutting down.
    [[nodiscard]] virtual auto ready() const -> bool = 0;

    [[nodiscard]] virtual auto counters() const -> core_counters = 0;
};

} // namespace reedramp::entry
