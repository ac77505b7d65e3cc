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

/// Each organisation's limits a minute, shared between all entries in proportion to demand.
namespace reedramp::limits {

/// One entry process of the system, as membership knows it.
struct entry_peer {
    common::host_id host;
    common::data_centre_id data_centre;
};

struct shared_limiter_settings {
    common::host_id self;
    common::data_centre_id data_centre;
    /// A row of another process is used no longer than this, from its arrival. A total received in
    /// an answer is used one second less: a process that nobody hears any more has then fallen back
    /// to its fixed part before the others stop counting it.
    common::duration row_lifetime = std::chrono::seconds(5);
};

/// Rows of demand for one peer; go into a `messages::gossip`.
struct demand_report {
    common::host_id to;
    std::vector<messages::limit_demand> rows;
};

/// Admits requests of each organisation so that all entries together keep its limits.
///
/// In each data centre one entry sums an organisation's demand (by rendezvous hashing); these
/// entries exchange their sums, and a report's answer brings the total of the fleet. So an entry
/// sends one small row for each organisation a second, however many entries there are. Thread-safe.
class shared_limiter {
public:
    /// `seed` differs between processes.
    shared_limiter(shared_limiter_settings settings, std::uint64_t seed);

    /// From the inventory, at each change; what is not named has no limits.
    auto set_limits(const std::map<common::organisation_id, amounts>& per_minute) -> void;

    /// All listed entries, this one too. The part of one that is listed but silent stays reserved.
    auto set_entries(std::vector<entry_peer> entries) -> void;

    /// Counts the request and admits it, or gives `limit_requests`, `limit_tokens` or `limit_money`
    /// with `retry_at`. `expected` is the request's own cost.
    auto
    admit(const common::organisation_id& organisation, amounts expected, common::time_point now)
        -> common::result<void>;

    /// The request has ended: what it really used replaces what was expected.
    auto reconcile(const common::organisation_id& organisation, amounts expected, amounts used)
        -> void;

    /// What to send now; call it every second.
    auto make_reports(common::time_point now) -> std::vector<demand_report>;

    /// Another entry's report came in; the result goes back in the answer.
    auto on_report(
        const common::host_id& from,
        std::span<const messages::limit_demand> rows,
        common::time_point now) -> std::vector<messages::limit_demand>;

    /// The answer to a report of ours came in.
    auto on_answer(
        const common::host_id& from,
        std::span<const messages::limit_demand> rows,
        common::time_point now) -> void;

private:
    /// The listed entries by data centre; replaced as a whole.
    struct directory {
        std::map<common::data_centre_id, std::vector<common::host_id>> by_data_centre;
        std::map<common::host_id, common::data_centre_id> data_centres;
    };

    [[nodiscard]] auto listed() -> std::shared_ptr<const directory>;
    auto report_on(
        organisation_limiter& item,
        const common::organisation_id& organisation,
        const directory& peers,
        common::time_point now) -> std::vector<demand_report>;
    auto take_row(
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
