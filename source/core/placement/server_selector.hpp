#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "common/hooks.hpp"
#include "common/ids.hpp"
#include "common/units.hpp"
#include "placement/affinity.hpp"
#include "placement/probe_pool.hpp"

namespace reedramp::placement {

/// Why a server was selected; written to the decision's log line.
enum class placement_reason : std::uint8_t {
    /// One of the session's preferred servers, whose wait is within the affinity allowance.
    session_server,
    /// One of the prompt prefix's preferred servers, whose wait is within the affinity allowance.
    prefix_server,
    /// The shortest expected wait among the probed servers that are not hot.
    least_wait,
    /// No usable probe result; a random server, of this region if there is one.
    unprobed,
};

auto to_string(placement_reason reason) -> std::string_view;

struct server_selector_settings {
    /// Number of servers probed in each round. A further round is run only if all servers that have
    /// answered are busy.
    std::array<std::size_t, 3> probes_by_round{1, 2, 4};
    /// How long a request waits for probe answers before it is placed by those that have arrived.
    common::duration probe_timeout = std::chrono::milliseconds(20);
    /// A server is hot if its requests in flight exceed this quantile over the fresh probe results.
    double hot_quantile = 0.84;
    /// Added to the expected wait of a server in another region.
    common::duration inter_region_latency = std::chrono::milliseconds(15);
    /// A server of another region is probed as well if all fresh probe results of this region have
    /// a longer expected wait than this.
    common::duration spill_threshold = std::chrono::seconds(2);
    /// Additional wait accepted for a server that probably holds the cache of the session or
    /// prefix: about the prefill time that the cache saves.
    common::duration affinity_wait_allowance = std::chrono::milliseconds(50);
};

/// The properties of a request that its placement depends on.
struct placement_request {
    common::version_id version;
    /// `affinity_hash` of the session, or zero.
    std::uint64_t session_hash = 0;
    /// `affinity_hash` of the prompt's prefix, or zero.
    std::uint64_t prefix_hash = 0;
    /// Servers that have already refused this request; never selected.
    std::vector<common::server_id> excluded;
};

/// Which servers to probe before placing a request.
struct probe_plan {
    /// Indexes into the candidates.
    std::vector<std::size_t> targets;
    /// The request is placed when all targets have answered, or at this time.
    common::time_point place_by;
};

struct placement {
    common::server_id server;
    placement_reason reason = placement_reason::unprobed;
    std::optional<common::server_id> runner_up;
    /// Zero if the server was not probed.
    common::duration expected_wait{};
};

/// Selects backend servers for one entry's requests. Its only state is the settings; the probe
/// results are in the pool. Thread-safe.
class server_selector {
public:
    explicit server_selector(server_selector_settings settings);

    /// First step, called for each round from 0: which servers to probe for this request, starting
    /// with those that are likely to hold its cache. If a later round has no targets, the request
    /// is to be placed. Most requests need one round, which keeps the number of probes low.
    [[nodiscard]] auto plan(
        const placement_request& request,
        std::span<const candidate> candidates,
        probe_pool& pool,
        std::size_t round,
        common::time_point now,
        const common::random_hook& random) const -> probe_plan;

    /// Last step, once the answers are in the pool: selects a server and records the request in the
    /// pool. Empty if no candidate is left.
    [[nodiscard]] auto place(
        const placement_request& request,
        std::span<const candidate> candidates,
        probe_pool& pool,
        common::time_point now,
        const common::random_hook& random) const -> std::optional<placement>;

private:
    auto add_targets(
        std::vector<std::size_t>& targets,
        const placement_request& request,
        std::span<const candidate> candidates,
        std::span<const probe_result> fresh,
        std::size_t round,
        const common::random_hook& random) const -> void;
    [[nodiscard]] auto place_by_probes(
        const placement_request& request,
        std::span<const candidate> candidates,
        std::span<const probe_result> fresh,
        const common::random_hook& random) const -> std::optional<placement>;
    [[nodiscard]] auto select_by_affinity(
        const placement_request& request,
        std::span<const candidate> candidates,
        const std::vector<const probe_result*>& best_first) const -> placement;
    [[nodiscard]] auto place_randomly(
        const placement_request& request,
        std::span<const candidate> candidates,
        const common::random_hook& random) const -> std::optional<placement>;
    [[nodiscard]] auto nearby_servers_are_busy(std::span<const probe_result> fresh) const -> bool;
    [[nodiscard]] auto expected_wait(const probe_result& item) const -> common::duration;

    server_selector_settings settings;
};

} // namespace reedramp::placement
