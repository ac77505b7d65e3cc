#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/sharded_map.hpp"
#include "common/units.hpp"
#include "limits/amounts.hpp"
#include "limits/organisation_limiter.hpp"
#include "messages/peer.hpp"

/// Enforcement of each organisation's limits per minute, shared by all entries in proportion to
/// demand.
namespace reedramp::limits {

/// An entry process that membership lists.
struct entry_peer {
    common::host_id host;
    common::data_centre_id data_centre;
};

struct shared_limiter_settings {
    common::host_id self;
    common::data_centre_id data_centre;
    /// When the process started.
    common::time_point started{};
    /// How long a row of another process is used after its arrival. A total received in an answer
    /// is used one second less: an entry whose reports are lost then falls back to its equal share
    /// before the others stop counting it.
    common::duration row_lifetime = std::chrono::seconds(5);
};

/// The demand rows to send to one peer in a `messages::gossip`.
struct demand_report {
    common::host_id to;
    std::vector<messages::limit_demand> rows;
};

/// Admits each organisation's requests so that all entries together stay within its limits.
///
/// In each data centre, one entry, selected by rendezvous hashing, sums an organisation's demand.
/// These entries exchange their sums, and the answer to a report contains the fleet's total. Each
/// entry therefore sends one small row per organisation and second, however many entries there are.
/// Thread-safe.
class shared_limiter {
public:
    /// `seed` has to differ between processes.
    shared_limiter(shared_limiter_settings settings, std::uint64_t seed);

    /// Sets the limits of all organisations, at each change of the inventory. Organisations that
    /// are not in `per_minute` are unlimited.
    auto set_limits(const std::map<common::organisation_id, amounts>& per_minute) -> void;

    /// Sets the listed entries; this one is always added. The share of an entry that is listed but
    /// silent stays reserved.
    auto set_entries(std::vector<entry_peer> entries) -> void;

    /// Counts the request and decides whether to admit it. `expected` is its expected cost. Errors:
    /// `limit_requests`, `limit_tokens` or `limit_money`, with `retry_at`.
    auto
    admit(const common::organisation_id& organisation, amounts expected, common::time_point now)
        -> common::result<void>;

    /// Replaces the expected cost of an ended request by what it used.
    auto reconcile(const common::organisation_id& organisation, amounts expected, amounts used)
        -> void;

    /// The reports to send to other entries; to be called every second.
    auto make_reports(common::time_point now) -> std::vector<demand_report>;

    /// Handles another entry's report; returns the rows of the answer.
    auto on_report(
        const common::host_id& from,
        std::span<const messages::limit_demand> rows,
        common::time_point now) -> std::vector<messages::limit_demand>;

    /// Handles the answer to a report of this entry.
    auto on_answer(
        const common::host_id& from,
        std::span<const messages::limit_demand> rows,
        common::time_point now) -> void;

private:
    /// The listed entries; immutable, replaced as a whole.
    struct directory {
        std::map<common::data_centre_id, std::vector<common::host_id>> by_data_centre;
        std::map<common::host_id, common::data_centre_id> data_centres;
    };

    [[nodiscard]] auto listed() -> std::shared_ptr<const directory>;
    auto make_reports_of(
        organisation_limiter& item,
        const common::organisation_id& organisation,
        const directory& peers,
        common::time_point now) -> std::vector<demand_report>;
    auto apply_row(
        const common::host_id& from,
        const messages::limit_demand& row,
        const directory& peers,
        common::time_point now) -> std::vector<messages::limit_demand>;

    shared_limiter_settings settings;
    std::uint64_t seed;
    std::mutex directory_lock;
    std::shared_ptr<const directory> peers;
    common::sharded_map<common::organisation_id, organisation_limiter> limiters;
};

} // namespace reedramp::limits
