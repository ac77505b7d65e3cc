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
    /// Attempts of one request, the first included.
    std::uint32_t attempt_limit = 4;
    placement::retry_budget_settings retries;
    /// How long an idempotent request waits for word of a lost attempt before it runs elsewhere,
    /// and how long the usage of a cancelled one is asked for.
    common::duration outcome_query_timeout = std::chrono::milliseconds(300);
    /// Between two questions about a lost attempt.
    common::duration outcome_query_interval = std::chrono::milliseconds(100);
    /// How long a session waits for a server of its version, within its deadline.
    common::duration session_wait = std::chrono::seconds(5);
    /// When a caller is told to come back if nothing better is known.
    common::duration retry_after = std::chrono::seconds(1);
    /// How often deadlines are looked at.
    common::duration tick = std::chrono::milliseconds(20);
    /// How long a session's pin is valid.
    common::duration session_lifetime = std::chrono::hours(24);
    /// Backlog of a caller's connection above which the source is paused, and below which it is
    /// resumed.
    std::size_t backlog_high_bytes = std::size_t{256} * 1024;
    std::size_t backlog_low_bytes = std::size_t{64} * 1024;
    /// Pieces under way still come after a pause; a backlog above this ends the answer.
    std::size_t backlog_limit_bytes = std::size_t{8} * 1024 * 1024;
    /// Text of a stream kept to go on elsewhere; a longer answer can not be continued.
    std::size_t sent_text_limit_bytes = std::size_t{1} * 1024 * 1024;
    /// Requests under way at once.
    std::size_t request_limit = 20'000;
    std::size_t decision_limit = 4096;
    /// Every n-th answered chat is handed to the rating service; 0 for none.
    std::uint32_t rate_every = 1;
};

/// Counters for metrics and status; each only grows, but for `in_flight`.
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

/// All decisions of an entry on callers' requests. Members may be called from any thread.
class core {
public:
    static auto create(core_options options, core_hooks hooks, admin_api admin)
        -> std::shared_ptr<core>;

    virtual ~core() = default;

    /// One request of the callers' or the administration API.
    virtual auto handle(http::request request, std::shared_ptr<http::responder> responder)
        -> void = 0;

    /// Starts the graceful shutdown: readiness turns false, requests under way go on, and those
    /// that still come on open connections are served too, as refusing them would be an error that
    /// the caller has not caused. `done` runs once, when none is left or at `deadline`, with the
    /// number of requests that were cut by it; from the deadline on new ones are refused.
    virtual auto
    shut_down(common::time_point deadline, std::function<auto(std::size_t cut)->void> done)
        -> void = 0;

    /// Ready for callers: has a configuration, may take bills, is not shutting down.
    [[nodiscard]] virtual auto ready() const -> bool = 0;

    [[nodiscard]] virtual auto counters() const -> core_counters = 0;
};

} // namespace reedramp::entry
