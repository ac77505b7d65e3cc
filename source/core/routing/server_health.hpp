#pragma once

#include <unordered_map>

#include "common/ids.hpp"
#include "common/units.hpp"

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
    /// First rest; each further one without a success between is twice as long.
    common::duration first_rest = std::chrono::milliseconds{700};
    common::duration longest_rest = std::chrono::milliseconds{5000};
};

/// Which servers rest, judged by the outcomes of requests. Status checks of a server may be good
/// while its requests fail; only requests show that.
class server_health {
public:
    explicit server_health(health_options options) : settings(options) {}

    auto note(const common::server_id& server, server_outcome outcome, time_point now) -> void;

    [[nodiscard]] auto is_resting(const common::server_id& server, time_point now) const -> bool;

    /// Share of failures, 0 to 1, newest weighted most.
    [[nodiscard]] auto failures(const common::server_id& server) const -> double;

    auto forget(const common::server_id& server) -> void { this->servers.erase(server); }

private:
    struct record {
        double failures = 0.0;
        unsigned rests = 0;
        time_point rests_until{};
    };

    auto rest(record& of, time_point now) const -> void;

    health_options settings;
    std::unordered_map<common::server_id, record> servers;
    double mean_failures = 0.0;
};

} // namespace reedramp::routing
