#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "messages/peer.hpp"

/// Each organisation's limits a minute, shared between all entries in proportion to demand.
namespace reedramp::limits {

/// Requests, tokens and money (micro units); as a limit each is a minute's, and zero means no
/// limit.
struct amounts {
    double requests = 0.0;
    double tokens = 0.0;
    double money = 0.0;
};

/// One entry process of the system, as membership knows it.
struct entry_peer {
    common::host_id host;
    common::data_centre_id data_centre;
};

struct share_settings {
    common::host_id self;
    common::data_centre_id data_centre;
    /// How often reports are sent.
    common::duration report_period = std::chrono::seconds(1);
    /// A report is used no longer than this.
    common::duration report_lifetime = std::chrono::seconds(5);
};

/// Rows of demand for one peer; goes into a `messages::gossip`.
struct demand_report {
    common::host_id to;
    std::vector<messages::limit_demand> rows;
};

/// Admits requests of each organisation so that all entries together keep its limits.
///
/// In each data centre one entry sums an organisation's demand (rendezvous hashing); these entries
/// exchange their sums. A report's answer brings the total of the fleet. Thread-safe.
class share_keeper {
public:
    share_keeper(share_settings settings, std::uint64_t seed);
    ~share_keeper();
    share_keeper(const share_keeper&) = delete;
    auto operator=(const share_keeper&) -> share_keeper& = delete;

    /// From the inventory; an organisation without limits needs no call.
    auto set_limits(const common::organisation_id& organisation, amounts per_minute) -> void;

    /// All live entries, this one too. The share of one that is listed but silent stays reserved.
    auto set_entries(std::vector<entry_peer> entries) -> void;

    /// Counts the request and admits it, or gives `limit_requests`, `limit_tokens` or `limit_money`
    /// with `retry_at`. `expected` is the request's own cost.
    auto
    admit(const common::organisation_id& organisation, amounts expected, common::time_point now)
        -> common::result<void>;

    /// The request has ended: what it really used replaces what was expected.
    auto settle(
        const common::organisation_id& organisation,
        amounts expected,
        amounts used,
        common::time_point now) -> void;

    /// What to send now; call it every `report_period`.
    auto reports(common::time_point now) -> std::vector<demand_report>;

    /// Another entry's rows came in; the result goes back in the answer.
    auto on_report(
        const common::host_id& from,
        std::span<const messages::limit_demand> rows,
        common::time_point now) -> std::vector<messages::limit_demand>;

    /// The answer to one of our reports came in.
    auto on_answer(std::span<const messages::limit_demand> rows, common::time_point now) -> void;

private:
    struct state;

    std::mutex lock;
    std::unique_ptr<state> content;
};

} // namespace reedramp::limits
