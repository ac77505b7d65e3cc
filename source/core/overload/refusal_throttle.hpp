#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "common/units.hpp"
#include "routing/server_instance.hpp"

namespace reedramp::overload {

using common::time_point;

struct refusal_throttle_options {
    /// Sends per accepted one. 1.1 tolerates that one send in eleven is refused; a larger value
    /// finds recovery sooner, for more refusals.
    double sends_per_accepted = 1.1;
    /// One request is sent at least this often, so that recovery is noticed. The probes of a
    /// hundred entries must be few for the servers.
    std::chrono::milliseconds probe_interval{2000};
};

/// Limits what an entry sends to a plain service whose servers refuse for lack of room: client-side
/// throttling as in Google's SRE book, chapter "Handling Overload".
///
/// Over two seconds, the entry refuses a share max(0, (n - k x accepted) / (n + 1)) of its sends
/// itself, where n includes the sends that it refused. Refusals by a single server do not count
/// while others are usable: the service has room then.
class refusal_throttle {
public:
    explicit refusal_throttle(refusal_throttle_options options = {});

    /// Whether the next send should be refused locally. `draw` is uniform in [0, 1); `usable` is
    /// the number of the service's usable servers. Counts the send either way.
    auto should_refuse(std::size_t usable, double draw, time_point now) -> bool;

    /// Records that a server has refused a send for lack of room.
    auto note_refused(const routing::server_instance& server, time_point now) -> void;

    /// Probability with which `should_refuse` refuses, apart from probes.
    auto refusal_probability(std::size_t usable, time_point now) -> double;

    /// Number of server instances whose refusals are remembered.
    [[nodiscard]] auto remembered_servers() const -> std::size_t { return this->refused_at.size(); }

private:
    static constexpr std::chrono::milliseconds bucket_length{250};
    static constexpr std::size_t buckets = 8;

    struct counts {
        std::int64_t period = 0;
        unsigned sent = 0;
        unsigned refused_here = 0;
        unsigned refused_by_servers = 0;
    };

    auto bucket_at(time_point now) -> counts&;
    [[nodiscard]] auto sum_at(time_point now) const -> counts;
    auto refusing_servers(time_point now) -> std::size_t;

    refusal_throttle_options options;
    std::array<counts, buckets> window{};
    std::unordered_map<routing::server_instance, time_point> refused_at;
    time_point last_sent{};
};

} // namespace reedramp::overload
