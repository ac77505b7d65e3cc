#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"
#include "routing/evacuation_registry.hpp"
#include "routing/list_freshness.hpp"
#include "routing/load_tracker.hpp"
#include "routing/rollout_manager.hpp"
#include "routing/server_health.hpp"
#include "routing/server_limits.hpp"
#include "routing/server_table.hpp"

namespace reedramp::router {

/// What an entry tells its peers some times a second, in one datagram. A lost one is made good by
/// the next: each holds the present state, no change.
struct peer_report {
    common::host_id host;
    /// Random, another one for each process of the host.
    std::uint64_t process = 0;
    /// "IP:port" on which the sender hears its peers and gives its rules out.
    std::string address;
    /// `data_centre_hash` the sender's data centre; 0 from earlier releases.
    std::uint32_t place = 0;
    /// 0 without rules.
    std::uint64_t rules_version = 0;
    std::vector<routing::load_report> loads;
    std::vector<routing::rollout_report> rollouts;
    /// Of the servers' list.
    routing::freshness_report freshness{0, std::chrono::hours{1}};
    /// Addresses of the peers that the sender hears, so that one known address is enough to find
    /// all.
    std::vector<std::string> peers;
    /// Of servers that have failed lately at the sender.
    std::vector<routing::outcome_report> outcomes;
    /// Hashes of the starts of servers that have lately said that they leave.
    std::vector<std::uint64_t> leaving;
    /// Registrations that have lately ended, perhaps without a word that the server leaves.
    std::vector<routing::ended_report> ended;
    routing::evacuation_report evacuations;
    /// What servers have named in answers that the sender got.
    std::vector<routing::limit_report> limits;
    /// Until the sender's process ends at the latest; none while it stays.
    std::optional<std::chrono::milliseconds> ends_in;
};

/// A data centre as entries name it to each other: a hash, as only equality counts.
auto data_centre_hash(const common::data_centre_id& data_centre) -> std::uint32_t;

auto encode(const peer_report& words) -> std::string;

/// Error `malformed_request` for bytes that are no such message.
auto decode_peer_words(std::string_view bytes) -> common::result<peer_report>;

} // namespace reedramp::router
