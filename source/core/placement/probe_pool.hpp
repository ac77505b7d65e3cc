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

/// What one server said of itself, as far as placement needs it.
struct probe_result {
    common::server_id server;
    /// `affinity_hash(server)`.
    std::uint64_t hash = 0;
    server_distance distance = server_distance::same_data_centre;
    /// Requests running and queued there, plus those this entry has sent since the answer.
    std::uint32_t in_flight = 0;
    /// Wait of a new request there, plus the share of those sent since.
    common::duration estimated_wait{};
    /// How much one more request adds to the wait; zero while nothing is queued there.
    common::duration wait_per_request{};
    /// The answer is not used after this.
    common::time_point expires;
    /// How many more requests this entry may place by this answer.
    std::uint32_t uses_left = 0;
};

struct probe_pool_settings {
    /// Most answers kept for one version.
    std::size_t capacity = 16;
    /// How long an answer is used, from its arrival. At a full fleet's rate a server's slots fill
    /// and empty within a few of these.
    common::duration lifetime = std::chrono::milliseconds(100);
    /// How many requests may be placed by one answer. More would herd all of an entry's requests on
    /// the server that was free a moment ago.
    std::uint32_t uses = 2;
};

/// Fresh probe answers of each version's servers, in shards by version. Thread-safe.
class probe_pool {
public:
    explicit probe_pool(probe_pool_settings settings);

    /// Takes an answer in; it replaces an older one of the same server. An answer of a server that
    /// is leaving, or does not serve the version, only removes what was known of it.
    auto
    add(const common::version_id& version,
        const messages::probe_answer& answer,
        server_distance distance,
        common::time_point now) -> void;

    /// All answers that can still be used; expired and used-up ones are dropped.
    [[nodiscard]] auto fresh(const common::version_id& version, common::time_point now)
        -> std::vector<probe_result>;

    /// Gives the same answers to `action(std::span<const probe>)` without copying them, and returns
    /// what it returns. It runs under the version's lock and must not call the pool.
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

    /// A request of this entry goes to the server: its answer counts one more in flight, a longer
    /// wait, and one use less.
    auto record_send(const common::version_id& version, const common::server_id& server) -> void;

    /// The server's connection was closed, or it announced that it leaves.
    auto remove_server(const common::server_id& server) -> void;

private:
    static auto drop_unusable(std::vector<probe_result>& probes, common::time_point now) -> void;

    probe_pool_settings settings;
    common::sharded_map<common::version_id, std::vector<probe_result>> pools;
};

} // namespace reedramp::placement
