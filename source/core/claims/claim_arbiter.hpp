#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/hooks.hpp"
#include "common/ids.hpp"
#include "common/units.hpp"
#include "messages/channel.hpp"
#include "messages/peer.hpp"
#include "platform/hooks.hpp"

/// At most once for a caller's key, whichever entry gets the retry: the log's order decides who
/// holds a key.
namespace reedramp::claims {

struct claim_arbiter_config {
    /// The partition's stream.
    std::string stream;
    /// Least time between the starts of two appends. 16 keepers append at most 276 times a second.
    common::duration append_interval = std::chrono::milliseconds{58};
    /// How long a claim waits for others when the last append is longer ago than that.
    common::duration batch_wait = std::chrono::milliseconds{5};
    /// Claims of one append.
    std::size_t batch_claims = 512;
    /// Appends under way at once, so that a slow log does not add its time twice.
    std::size_t appends_in_flight = 16;
    /// Claims that wait for the log; further ones are refused.
    std::size_t pending_claims = 4096;
    /// Keys in the table; at this number new keys are refused and none is forgotten early.
    std::size_t max_keys = 200'000;
    /// A claim that the log has not decided by then is refused.
    common::duration answer_within = std::chrono::seconds{2};
    /// A call of the log that has not answered by then counts as one whose answer is lost.
    common::duration log_call_within = std::chrono::seconds{5};
    /// A key is honoured for at least this long after its last claim. Half of the log's retention
    /// at most: a keeper that takes over reads two windows.
    common::duration window = std::chrono::minutes{10};
    /// Wait before the log is tried again after it could not be reached; doubles up to the longest.
    common::duration first_retry = std::chrono::milliseconds{250};
    common::duration longest_retry = std::chrono::seconds{4};
};

struct claim_arbiter_hooks {
    platform::log_hooks log;
    common::clock_hook now;
    common::timer_hook timer;
    common::random_hook random;
};

enum class arbiter_state : std::uint8_t {
    stopped,
    /// Reads the window; refuses all claims.
    starting,
    serving,
    /// The log cannot be reached; answers only what the table knows.
    log_down
};

auto to_string(arbiter_state value) -> std::string_view;

struct claim_arbiter_counters {
    arbiter_state state = arbiter_state::stopped;
    std::size_t keys = 0;
    std::size_t pending = 0;
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;
    std::uint64_t won = 0;
    std::uint64_t lost = 0;
    std::uint64_t refused = 0;
    std::uint64_t malformed_records = 0;
    std::uint64_t takeovers = 0;
};

/// Decides the claims of one partition.
///
/// It gathers claims into batches and appends them; a claim is answered `won` only when its record
/// and all records before it were taken, with no earlier claim of the key. It needs no lease: two
/// keepers that both serve a partition see the same log and so the same winner.
///
/// A refusal (`claims_unavailable`, `not_run`) is no statement about the log: the claim may still
/// appear there. That is harmless, since its request is never sent to the agent it names; whoever
/// loses to it asks that agent, which records a refusal and so frees the key.
///
/// Thread-safe; hooks are called outside the lock. Timers and log calls hold weak references, so
/// that the object may go at any time; claims not yet answered are then never answered.
class claim_arbiter {
public:
    static auto create(claim_arbiter_config config, claim_arbiter_hooks hooks)
        -> std::shared_ptr<claim_arbiter>;

    virtual ~claim_arbiter() = default;

    /// Begins to read the window. Repeats do nothing.
    virtual auto start() -> void = 0;

    /// Refuses what waits and all that comes.
    virtual auto stop() -> void = 0;

    /// Claims a key; `done` is called exactly once, at once or later, from any thread.
    ///
    /// The answer is `won`; `lost` with the claim that holds; or `refused` with `key_reused`
    /// (another body) or `claims_unavailable`. For a session name, the holder's `version` is the
    /// session's version whether the claim won or lost.
    virtual auto claim(
        messages::claim_request request,
        std::function<auto(messages::claim_answer answer)->void> done) -> void = 0;

    [[nodiscard]] virtual auto counters() const -> claim_arbiter_counters = 0;
};

} // namespace reedramp::claims
