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

/// How an attempt at a server ended, for the judgement of the server.
enum class server_outcome : std::uint8_t {
    good,
    /// It said that it has no room.
    refused,
    /// It was silent for so long that the request was taken elsewhere.
    stalled,
    /// Its answer was a failure, broken, late or missing.
    failed,
    /// No connection, or silence: nothing is to be had there.
    unreachable,
};

struct health_options {
    /// Weight of the newest outcome in a server's share of failures.
    double memory = 0.2;
    /// A server with a larger share of failures than the service's mean by this much rests. Plain
    /// services fail up to one request in seven by themselves.
    double excess = 0.35;
    /// The service's mean is taken to be at most this. When a third of the servers fail at once
    /// they answer fast, draw most of the requests, and the mean becomes theirs: measured against
    /// it, none of them was bad, and half of all requests went on failing.
    double most_usual_failures = 0.2;
    /// First rest; each further one without a success between is twice as long.
    common::duration first_rest = std::chrono::milliseconds{700};
    common::duration longest_rest = std::chrono::milliseconds{5000};
    /// Failures over all entries from which on a server rests at all of them, if they are a larger
    /// share than the mean by `excess`. Two may be a server that ends, or two callers' bad luck.
    double least_failures = 3.0;
};

/// What one entry has seen lately of a server that failed there, for its peers. Servers are named
/// by a hash of their id; counts forget within some seconds.
struct outcome_report {
    std::uint64_t server = 0;
    double good = 0.0;
    double bad = 0.0;
};

/// Which servers rest, judged by the outcomes of requests. Status checks of a server may be good
/// while its requests fail; only requests show that.
///
/// Entries tell each other of servers that failed. With 26 of them each meets a given server once
/// in some seconds, so that each on its own has to fail there twice before it leaves the server
/// alone: some fifty callers' requests for one server, where three show it.
class server_health {
public:
    explicit server_health(health_options options) : settings(options) {}

    auto note(const server_instance& server, server_outcome outcome, time_point now) -> void;

    [[nodiscard]] auto is_resting(const server_instance& server, time_point now) const -> bool;

    /// Share of failures, 0 to 1, newest weighted most.
    [[nodiscard]] auto failures(const server_instance& server) const -> double;

    /// Forgets those that `is_gone`.
    auto forget_if(const std::function<auto(const server_instance& server)->bool>& is_gone) -> void;

    /// For the peers.
    [[nodiscard]] auto tell(time_point now) const -> std::vector<outcome_report>;

    /// A peer's words replace its older ones, and count until `trusted_until`.
    auto hear(
        const common::host_id& peer,
        const std::vector<outcome_report>& words,
        time_point trusted_until,
        time_point now) -> void;

private:
    /// How often and for how long a server has been left alone.
    struct rests {
        unsigned count = 0;
        time_point until{};
    };

    /// Outcomes of the last seconds.
    struct recent_outcomes {
        double good = 0.0;
        double bad = 0.0;
        time_point counted_at{};
    };

    struct record {
        double failures = 0.0;
        rests own;
        recent_outcomes recent;
    };

    struct peer_report {
        time_point trusted_until;
        std::unordered_map<std::uint64_t, outcome_report> servers;
    };

    auto rest(rests& of, time_point now) const -> void;
    /// Whether this share of failures is more than the service's usual one.
    [[nodiscard]] auto is_excessive(double share) const -> bool;
    [[nodiscard]] static auto faded(const recent_outcomes& of, time_point now) -> recent_outcomes;
    /// Own and peers' outcomes of a server together.
    [[nodiscard]] auto pooled(std::uint64_t server, time_point now) const -> recent_outcomes;
    /// Mean number of own outcomes of one server.
    [[nodiscard]] auto usual_outcomes(time_point now) const -> double;
    auto judge_pooled(std::uint64_t server, time_point now) -> void;

    health_options settings;
    std::unordered_map<server_instance, record> servers;
    /// By the hash of the server's id.
    std::unordered_map<std::uint64_t, rests> pooled_rests;
    std::map<common::host_id, peer_report> peers;
    double mean_failures = 0.0;
};

} // namespace reedramp::routing
