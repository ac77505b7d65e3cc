#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "routing/server_instance.hpp"

namespace reedramp::routing {

using common::time_point;

/// Outcome of an attempt, for judging the server.
enum class server_outcome : std::uint8_t {
    good,
    /// The server reported that it is full.
    refused,
    /// The server was silent for so long that the request was moved to another one.
    stalled,
    /// The response was an error, broken, late or missing.
    failed,
    /// No connection, or no response at all.
    unreachable,
};

struct health_options {
    /// Weight of the newest outcome in a server's failure rate.
    double memory = 0.2;
    /// A server is ejected if its failure rate exceeds the service's mean by more than this. Plain
    /// services fail up to one request in seven by themselves.
    double excess = 0.35;
    /// Upper bound for the service's mean failure rate. When a third of the servers fail at the
    /// same time, they answer fast, attract most of the requests and dominate the mean; compared
    /// with that mean, none of them was ejected and half of all requests kept failing.
    double max_usual_failures = 0.2;
    /// Duration of the first ejection; it doubles with each further one without a success in
    /// between.
    common::duration first_ejection = std::chrono::milliseconds{700};
    common::duration max_ejection = std::chrono::milliseconds{5000};
    /// Minimum number of failures over all entries for which a server is ejected at all of them, if
    /// its failure rate also exceeds the mean by `excess`. Two failures may be a server that stops,
    /// or a coincidence.
    double min_failures = 3.0;
};

/// Recent outcomes at a server with failures, as sent to peers. `server` is a hash of the server
/// instance; the counts decay within some seconds.
struct outcome_report {
    std::uint64_t server = 0;
    double good = 0.0;
    double bad = 0.0;
};

/// Ejects servers by the outcomes of requests (passive health checking). A server's status check
/// may succeed while its requests fail, so only requests show this.
///
/// Entries report servers with failures to each other. With 26 entries each of them uses a given
/// server only once in some seconds, and on its own each would need two failures before it ejects
/// the server: some fifty failed requests, where three are enough.
class server_health {
public:
    explicit server_health(health_options options) : settings(options) {}

    auto note(const server_instance& server, server_outcome outcome, time_point now) -> void;

    [[nodiscard]] auto is_ejected(const server_instance& server, time_point now) const -> bool;

    /// Failure rate, 0 to 1, as a moving average.
    [[nodiscard]] auto failures(const server_instance& server) const -> double;

    /// Removes the servers for which `is_gone` returns true.
    auto forget_if(const std::function<auto(const server_instance& server)->bool>& is_gone) -> void;

    /// Report to send to peers.
    [[nodiscard]] auto make_reports(time_point now) const -> std::vector<outcome_report>;

    /// Replaces a peer's earlier report. The report counts until `trusted_until`.
    auto apply_reports(
        const common::host_id& peer,
        const std::vector<outcome_report>& reports,
        time_point trusted_until,
        time_point now) -> void;

private:
    /// Number and end of a server's ejections.
    struct ejection {
        unsigned count = 0;
        time_point until{};
    };

    /// Outcomes of the last seconds, decayed to `counted_at`.
    struct recent_outcomes {
        double good = 0.0;
        double bad = 0.0;
        time_point counted_at{};
    };

    struct record {
        double failures = 0.0;
        ejection own;
        recent_outcomes recent;
    };

    struct peer_report {
        time_point trusted_until;
        std::unordered_map<std::uint64_t, outcome_report> servers;
    };

    auto eject(ejection& of, time_point now) const -> void;
    /// Whether this failure rate exceeds the service's usual one by too much.
    [[nodiscard]] auto is_excessive(double share) const -> bool;
    [[nodiscard]] static auto decayed(const recent_outcomes& of, time_point now) -> recent_outcomes;
    /// Outcomes at a server from this entry and its peers.
    [[nodiscard]] auto pooled(std::uint64_t server, time_point now) const -> recent_outcomes;
    /// Mean number of this entry's recent outcomes per server.
    [[nodiscard]] auto mean_outcomes(time_point now) const -> double;
    auto judge_pooled(std::uint64_t server, time_point now) -> void;

    health_options settings;
    std::unordered_map<server_instance, record> servers;
    /// By `hash_of` the server instance.
    std::unordered_map<std::uint64_t, ejection> pooled_ejections;
    std::map<common::host_id, peer_report> peers;
    double mean_failures = 0.0;
};

} // namespace reedramp::routing
