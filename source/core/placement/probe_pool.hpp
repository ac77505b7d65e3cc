#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "common/ids.hpp"
#include "common/sharded_map.hpp"
#include "common/units.hpp"
#include "messages/run.hpp"
#include "placement/affinity.hpp"

namespace reedramp::placement {

/// A server's answer to a probe, reduced to what placement needs, and updated for the requests that
/// this entry has sent to the server since.
struct probe_result {
    common::server_id server;
    /// `affinity_hash(server)`.
    std::uint64_t hash = 0;
    server_distance distance = server_distance::same_data_centre;
    /// Requests running and queued at the server, plus those this entry has sent since the answer.
    std::uint32_t in_flight = 0;
    /// Expected wait of a new request, including the effect of requests sent since the answer.
    common::duration estimated_wait{};
    /// How much each further request adds to the wait; zero if nothing was queued at the server.
    common::duration wait_per_request{};
    /// The answer is not used after this time.
    common::time_point expires;
    /// Number of further requests that this entry may place by this answer.
    std::uint32_t uses_left = 0;
};

struct probe_pool_settings {
    /// Maximum number of answers kept per version.
    std::size_t capacity = 16;
    /// How long an answer is used after its arrival. In a fully loaded fleet, a server's slots fill
    /// and empty within a few times this.
    common::duration lifetime = std::chrono::milliseconds(100);
    /// Number of requests that may be placed by one answer. A larger number would send all of an
    /// entry's requests to the server that was idle when it answered.
    std::uint32_t uses = 2;
};

/// The unexpired probe answers of each version's servers, sharded by version. Thread-safe.
class probe_pool {
public:
    explicit probe_pool(probe_pool_settings settings);

    /// Stores an answer, replacing an older one of the same server. If the server is leaving or
    /// does not serve the version, its stored answer is only removed.
    auto
    add(const common::version_id& version,
        const messages::probe_answer& answer,
        server_distance distance,
        common::time_point now) -> void;

    /// All answers that can still be used. Removes those that have expired or have no uses left.
    [[nodiscard]] auto fresh(const common::version_id& version, common::time_point now)
        -> std::vector<probe_result>;

    /// Calls `action(std::span<const probe_result>)` with the same answers, without copying them,
    /// and returns its result. `action` runs under the lock of the version's shard and must not
    /// call the pool.
    template <typename Action>
    auto with_fresh(const common::version_id& version, common::time_point now, Action&& action)
        -> decltype(auto)
    {
        return this->pools.with_shard(version, [&](auto& shard) -> decltype(auto) {
            const auto found = shard.find(version);
            if (found == shard.end()) {
                return action(std::span<const probe_result>());
            }
            drop_unusable(found->second, now);
            return action(std::span<const probe_result>(found->second));
        });
    }

    /// Records that this entry sends a request to the server: one more request in flight, a longer
    /// wait and one use less of the server's answer.
    auto record_send(const common::version_id& version, const common::server_id& server) -> void;

    /// Removes the server's answers for all versions, after its connection has closed or it has
    /// announced that it is leaving.
    auto remove_server(const common::server_id& server) -> void;

private:
    static auto drop_unusable(std::vector<probe_result>& probes, common::time_point now) -> void;

    probe_pool_settings settings;
    common::sharded_map<common::version_id, std::vector<probe_result>> pools;
};

} // namespace reedramp::placement
