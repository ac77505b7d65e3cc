#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "messages/run.hpp"

namespace reedramp::messages {

/// One record of a stream of the platform's log.
struct log_record {
    common::log_offset offset;
    std::string data;

    auto operator==(const log_record&) const -> bool = default;
};

/// A withdrawal passed from process to process while the log is down.
struct withdrawal {
    common::version_id version;
    common::record_id record;
    /// HMAC with the processes' shared key, made by the entry that took the operator's order.
    std::string proof;

    auto operator==(const withdrawal&) const -> bool = default;
};

/// Any process to any other, each second: what I have, what I lack.
struct configuration_pull {
    /// The puller's offset; it asks for records after it.
    common::log_offset have;
    std::vector<withdrawal> withdrawals;

    auto operator==(const configuration_pull&) const -> bool = default;
};

struct configuration_push {
    /// Offset that the answering process has in force.
    common::log_offset offset;
    /// How old the evidence is that this offset is the newest of the log.
    common::duration evidence_age{};
    /// Records after the puller's offset, if the answerer still holds them all.
    std::vector<log_record> records;
    /// Else a checkpoint (serialised state as of `offset`, with its digest).
    std::string checkpoint;
    std::vector<withdrawal> withdrawals;

    auto operator==(const configuration_push&) const -> bool = default;
};

/// Entry to keeper: claim this key of a caller.
struct claim_request {
    common::organisation_id organisation;
    /// 128-bit fingerprint of organisation and key.
    common::request_id key;
    /// Fingerprint of method, path and body.
    std::uint64_t body = 0;
    common::request_id request;
    /// Where it is going to run.
    common::server_id server;
    common::incarnation_id incarnation;
    common::attempt_number attempt;
    /// Set for a second claim after the first one's agent recorded a refusal: the first claim's
    /// offset.
    common::log_offset replaces;
    /// The version that it is going to run on. For a session name that a caller chose, `server` is
    /// empty and this is the version that the first claim of the name gives to the session.
    common::version_id version;

    auto operator==(const claim_request&) const -> bool = default;
};

enum class claim_state : std::uint8_t { won, lost, refused };

struct claim_answer {
    claim_state state = claim_state::refused;
    /// The claim that holds (ours if `won`).
    claim_request holder;
    common::log_offset offset;
    std::optional<common::error> why;

    auto operator==(const claim_answer&) const -> bool = default;
};

/// A usage record; one for each request, by its id.
struct bill_line {
    common::version_id version;
    common::server_id server;
    usage used;
    common::micro_money cost;

    auto operator==(const bill_line&) const -> bool = default;
};

struct bill {
    common::request_id request;
    common::organisation_id organisation;
    common::task_name task;
    std::vector<bill_line> lines;
    common::wall_time_ms at;

    auto operator==(const bill&) const -> bool = default;
};

/// A leaving process hands bills that the log has not confirmed to a peer.
struct bill_handover {
    std::vector<bill> bills;

    auto operator==(const bill_handover&) const -> bool = default;
};

/// Entry to entry: evidence on versions and demand on limits, summed by each process about itself.
struct version_evidence {
    common::version_id version;
    std::uint64_t requests = 0;
    std::uint64_t errors = 0;
    std::uint64_t ratings = 0;
    double rating_sum = 0.0;
    std::uint64_t slow = 0;
    /// Logarithms of the wealth of the process's own bets against the version, a fixed number for
    /// each signal (see policy/regression_detector.hpp). The sums over processes are evidence
    /// again.
    std::vector<double> log_wealth;

    auto operator==(const version_evidence&) const -> bool = default;
};

/// Whose demand a `limit_demand` sums.
enum class demand_scope : std::uint8_t { entry, data_centre, fleet };

struct limit_demand {
    common::organisation_id organisation;
    demand_scope scope = demand_scope::entry;
    /// How many entries are summed.
    std::uint32_t entries = 1;
    /// Offered, whether admitted or not.
    double requests_per_minute = 0.0;
    double tokens_per_minute = 0.0;
    double money_per_minute = 0.0;
    /// Admitted.
    double admitted_requests_per_minute = 0.0;
    double admitted_tokens_per_minute = 0.0;
    double admitted_money_per_minute = 0.0;

    auto operator==(const limit_demand&) const -> bool = default;
};

struct gossip {
    common::host_id from;
    /// Grows with each message of one process; an older one is dropped.
    std::uint64_t sequence = 0;
    common::log_offset configuration;
    std::vector<version_evidence> evidence;
    std::vector<limit_demand> demand;

    auto operator==(const gossip&) const -> bool = default;
};

} // namespace reedramp::messages
