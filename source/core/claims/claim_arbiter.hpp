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

/// At-most-once execution of requests with an idempotency key, whichever entry receives a retry.
/// The order of claims in the log decides which request holds a key.
namespace reedramp::claims {

struct claim_arbiter_config {
    /// Name of the partition's stream.
    std::string stream;
    /// Minimum time between the starts of two appends: at most 276 appends per second for the 16
    /// request partitions together.
    common::duration append_interval = std::chrono::milliseconds{58};
    /// How long a claim waits for others to join its batch, if `append_interval` has passed
    /// already.
    common::duration batch_wait = std::chrono::milliseconds{5};
    /// Claims per append.
    std::size_t max_batch_claims = 512;
    /// Concurrent appends. More than one, so that with a slow log a claim waits for its own append
    /// only.
    std::size_t max_appends_in_flight = 16;
    /// Claims that wait for the log; further claims are refused.
    std::size_t max_pending_claims = 4096;
    /// Keys in the table. New keys are refused at this limit; no key is evicted early.
    std::size_t max_keys = 200'000;
    /// A claim that is still undecided after this time is refused.
    common::duration answer_timeout = std::chrono::seconds{2};
    /// Timeout of a log call; its outcome is unknown then.
    common::duration log_call_timeout = std::chrono::seconds{5};
    /// Minimum time that a key is kept after its last claim. At most half of the log's retention,
    /// since an arbiter that takes over reads two windows.
    common::duration window = std::chrono::minutes{10};
    /// Delay before an unreachable log is tried again; doubles up to `max_retry_wait`.
    common::duration initial_retry_wait = std::chrono::milliseconds{250};
    common::duration max_retry_wait = std::chrono::seconds{4};
};

struct claim_arbiter_hooks {
    platform::log_hooks log;
    common::clock_hook now;
    common::timer_hook timer;
    common::random_hook random;
};

enum class arbiter_state : std::uint8_t {
    stopped,
    /// Replaying the window; refuses all claims.
    starting,
    serving,
    /// The log is unreachable; answers only from the table.
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
/// Collects claims into batches and appends them to the log. A claim is `won` only after its record
/// and all earlier records have been applied and none of them holds an earlier claim of the key. No
/// lease is needed: if two arbiters serve a partition, both see the same log and the same winner.
///
/// A refusal (`claims_unavailable`, `not_run`) says nothing about the log: the claim may still be
/// appended. That is harmless, because its request is never sent to the agent that the claim names.
/// A request that loses to it queries that agent, which records a refusal and so frees the key.
///
/// Thread-safe; hooks are called outside the lock. Timers and log calls hold weak references, so
/// the object may be destroyed at any time; claims without an answer are then never answered.
class claim_arbiter {
public:
    static auto create(claim_arbiter_config config, claim_arbiter_hooks hooks)
        -> std::shared_ptr<claim_arbiter>;

    virtual ~claim_arbiter() = default;

    /// Starts to replay the window. Further calls do nothing.
    virtual auto start() -> void = 0;

    /// Refuses all pending and future claims.
    virtual auto stop() -> void = 0;

    /// Claims a key. `done` is called exactly once, from any thread, possibly before this returns.
    ///
    /// The answer is `won`; `lost` with the claim that holds the key; or `refused` with
    /// `key_reused` (the key was used with another body) or `claims_unavailable`. For a session
    /// name, the holder's `version` is the session's version whether the claim won or lost.
    virtual auto claim(
        messages::claim_request request,
        std::function<auto(messages::claim_answer answer)->void> done) -> void = 0;

    [[nodiscard]] virtual auto counters() const -> claim_arbiter_counters = 0;
};

} // namespace reedramp::claims
