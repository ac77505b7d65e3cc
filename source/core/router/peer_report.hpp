#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"
#include "overload/organisation_shares.hpp"
#include "routing/evacuation_registry.hpp"
#include "routing/list_freshness.hpp"
#include "routing/load_tracker.hpp"
#include "routing/rollout_manager.hpp"
#include "routing/server_health.hpp"
#include "routing/server_limits.hpp"
#include "routing/server_load_tracker.hpp"
#include "routing/server_speed_tracker.hpp"
#include "routing/server_table.hpp"

namespace reedramp::router {

/// State that an entry sends to its peers in one datagram, several times a second. Each report
/// holds the complete present state and no changes, so the next one makes up for a lost one.
struct peer_report {
    common::host_id host;
    /// Random id, different for each process of the host.
    std::uint64_t process = 0;
    /// "IP:port" where the sender receives its peers' messages and serves its rules.
    std::string address;
    /// `data_centre_hash` of the sender's data centre; 0 from earlier releases.
    std::uint32_t data_centre = 0;
    /// 0 if the sender has no rules.
    std::uint64_t rules_version = 0;
    std::vector<routing::load_report> loads;
    std::vector<routing::rollout_report> rollouts;
    /// How current the sender's server list is.
    routing::freshness_report freshness{0, std::chrono::hours{1}};
    /// The same of the operators' stream.
    routing::freshness_report rules_freshness{0, std::chrono::hours{1}};
    /// Addresses of some of the sender's live peers, so that an entry finds all others from a
    /// single known address.
    std::vector<std::string> peers;
    /// Outcomes at servers that have recently failed requests of the sender.
    std::vector<routing::outcome_report> outcomes;
    /// Hashes of the server instances that have recently announced that they leave.
    std::vector<std::uint64_t> leaving;
    /// Registrations that have recently ended, possibly without the server having announced that it
    /// leaves.
    std::vector<routing::ended_report> ended;
    routing::evacuation_report evacuations;
    /// Rate limits that servers stated in responses to the sender.
    std::vector<routing::limit_report> limits;
    /// Servers whose hosts are slower or faster than usual at present, as they stated to the
    /// sender.
    std::vector<routing::slowdown_report> slowdowns;
    /// Speeds of some servers, from the sender's own samples.
    std::vector<routing::speed_report> speeds;
    /// Organisations that ask the most work of a service through the sender, by a hash of the names
    /// of both, and totals of services.
    std::vector<overload::usage_report> usage;
    /// Time until the sender's process ends at the latest; none if it stays.
    std::optional<std::chrono::milliseconds> ends_in;
};

/// Hash by which entries identify a data centre in messages. Only equality matters.
auto data_centre_hash(const common::data_centre_id& data_centre) -> std::uint32_t;

auto encode(const peer_report& report) -> std::string;

/// Error `malformed_request` if `bytes` is not a valid report.
auto decode_peer_report(std::string_view bytes) -> common::result<peer_report>;

} // namespace reedramp::router
