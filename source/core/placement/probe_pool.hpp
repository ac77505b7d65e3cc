#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/hooks.hpp"
#include "common/ids.hpp"
#include "common/sharded_map.hpp"
#include "common/units.hpp"
#include "messages/run.hpp"

namespace reedramp::placement {

/// How far a backend server is from this entry.
enum class distance : std::uint8_t { same_data_centre, same_region, other_region };

/// What one server said of itself, as far as placement needs it.
struct probe {
    common::server_id server;
    distance away = distance::same_data_centre;
    /// Requests running and queued there, plus those this entry has sent since the answer.
    std::uint32_t in_flight = 0;
    /// Wait of a new request there, plus the share of those sent since.
    common::duration estimated_wait{};
    bool holds_prefix = false;
    /// The answer is not used after this.
    common::time_point expires;
    /// How many more requests this entry may place by this answer.
    std::uint32_t uses_left = 0;
};

struct probe_pool_settings {
    /// Most answers kept for one version.
    std::size_t capacity = 16;
    /// How long an answer is used, from its arrival.
    common::duration lifetime = std::chrono::seconds(1);
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
        distance away,
        common::time_point now) -> void;

    /// All answers that can still be used; expired and used-up ones are dropped.
    [[nodiscard]] auto fresh(const common::version_id& version, common::time_point now)
        -> std::vector<probe>;

    /// A request of this entry goes to the server: its answer counts one more in flight, waits
    /// longer by `added_wait`, and has one use less.
    auto note_sent(
        const common::version_id& version,
        const common::server_id& server,
        common::duration added_wait) -> void;

    /// The server's connection was closed, or it announced that it leaves.
    auto forget(const common::server_id& server) -> void;

private:
    struct version_pool {
        std::vector<probe> probes;
    };

    probe_pool_settings settings;
    common::sharded_map<common::version_id, version_pool> pools;
};

} // namespace reedramp::placement
