#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"
#include "routing/evacuation_book.hpp"
#include "routing/list_freshness.hpp"
#include "routing/load_book.hpp"
#include "routing/rollout_guide.hpp"
#include "routing/server_health.hpp"
#include "routing/server_limits.hpp"
#include "routing/server_table.hpp"

namespace reedramp::router {

/// What an entry tells its peers some times a second, in one datagram. A lost one is made good by
/// the next: each holds the present state, no change.
struct peer_words {
    common::host_id host;
    /// Random, another one for each process of the host.
    std::uint64_t process = 0;
    /// "IP:port" on which the sender hears its peers and gives its rules out.
    std::string address;
    /// `place_of` the sender's data centre; 0 from earlier releases.
    std::uint32_t place = 0;
    /// 0 without rules.
    std::uint64_t rules_version = 0;
    std::vector<routing::told_load> loads;
    std::vector<routing::told_rollout> rollouts;
    /// Of the servers' list.
    routing::told_freshness freshness{0, std::chrono::hours{1}};
    /// Addresses of the peers that the sender hears, so that one known address is enough to find
    /// all.
    std::vector<std::string> peers;
    /// Of servers that have failed lately at the sender.
    std::vector<routing::told_outcomes> outcomes;
    /// Hashes of the starts of servers that have lately said that they leave.
    std::vector<std::uint64_t> leaving;
    /// Registrations that have lately ended, perhaps without a word that the server leaves.
    std::vector<routing::told_end> ended;
    routing::told_evacuations evacuations;
    /// What servers have named in answers that the sender got.
    std::vector<routing::told_limit> limits;
    /// Until the sender's process ends at the latest; none while it stays.
    std::optional<std::chrono::milliseconds> ends_in;
};

/// A data centre as entries name it to each other: a hash, as only equality counts.
auto place_of(const common::data_centre_id& data_centre) -> std::uint32_t;

auto encode(const peer_words& words) -> std::string;

/// Error `malformed_request` for bytes that are no such message.
auto decode_peer_words(std::string_view bytes) -> common::result<peer_words>;

} // namespace reedramp::router
