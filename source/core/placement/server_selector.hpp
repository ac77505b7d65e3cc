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

/// Why a server was chosen; goes into the decision's log line.
enum class placement_reason : std::uint8_t {
    /// The session's server, within the bound.
    session_server,
    /// The prefix's server, within the bound.
    prefix_server,
    /// The least wait among the probed servers that are not hot.
    least_wait,
    /// No fresh probe: a random near server.
    unprobed,
};

auto to_string(placement_reason reason) -> std::string_view;

struct server_selector_settings {
    /// Servers probed in each round. The next round is asked only while all that answered are busy.
    std::array<std::size_t, 3> probes_by_round{1, 2, 4};
    /// How long a request waits for its probes' answers; then it is placed by what is there.
    common::duration probe_timeout = std::chrono::milliseconds(20);
    /// A server is hot when its requests in flight are above this quantile of the fresh probes.
    double hot_quantile = 0.84;
    /// Trip to another region, added to the wait of a server there.
    common::duration inter_region_latency = std::chrono::milliseconds(15);
    /// One server of another region is probed too when all fresh near probes wait longer than this.
    common::duration spill_threshold = std::chrono::seconds(2);
    /// Wait that a session's or prefix's kept cache is worth: about the prefill time that it saves.
    common::duration affinity_wait_allowance = std::chrono::milliseconds(50);
};

/// What placement has to know of a request.
struct placement_request {
    common::version_id version;
    /// `affinity_hash` of the session, or zero.
    std::uint64_t session_hash = 0;
    /// `affinity_hash` of the prompt's prefix, or zero.
    std::uint64_t prefix_hash = 0;
    /// Servers that have refused this request already; never chosen.
    std::vector<common::server_id> excluded;
};

/// Which servers to ask before placing.
struct probe_plan {
    /// Indexes into the candidates.
    std::vector<std::size_t> targets;
    /// Place when all have answered, at this time at the latest.
    common::time_point place_by;
};

struct placement {
    common::server_id server;
    placement_reason reason = placement_reason::unprobed;
    std::optional<common::server_id> runner_up;
    /// Zero if the server was not probed.
    common::duration expected_wait{};
};

/// Chooses backend servers for requests of one entry. Stateless but for the settings; the state is
/// in the pool. Thread-safe.
class server_selector {
public:
    explicit server_selector(server_selector_settings settings);

    /// First step, for each round from 0 on: which servers to probe for this request, those that
    /// are likely to hold its cache first. Nothing to ask in a later round means: place. Most
    /// requests need one round, so that few probes find what many would.
    [[nodiscard]] auto plan(
        const placement_request& request,
        std::span<const candidate> candidates,
        probe_pool& pool,
        std::size_t round,
        common::time_point now,
        const common::random_hook& random) const -> probe_plan;

    /// Last step, when the answers are in the pool: the server. Empty if no candidate is left.
    /// The pool then counts the request on that server.
    [[nodiscard]] auto place(
        const placement_request& request,
        std::span<const candidate> candidates,
        probe_pool& pool,
        common::time_point now,
        const common::random_hook& random) const -> std::optional<placement>;

private:
    auto fill(
        std::vector<std::size_t>& targets,
        const placement_request& request,
        std::span<const candidate> candidates,
        std::span<const probe_result> fresh,
        std::size_t round,
        const common::random_hook& random) const -> void;
    [[nodiscard]] auto place_probed(
        const placement_request& request,
        std::span<const candidate> candidates,
        std::span<const probe_result> fresh,
        const common::random_hook& random) const -> std::optional<placement>;
    [[nodiscard]] auto take(
        const placement_request& request,
        std::span<const candidate> candidates,
        const std::vector<const probe_result*>& best_first) const -> placement;
    [[nodiscard]] auto place_unprobed(
        const placement_request& request,
        std::span<const candidate> candidates,
        const common::random_hook& random) const -> std::optional<placement>;
    [[nodiscard]] auto nearby_servers_are_busy(std::span<const probe_result> fresh) const -> bool;
    [[nodiscard]] auto expected_wait(const probe_result& item) const -> common::duration;

    server_selector_settings settings;
};

} // namespace reedramp::placement
