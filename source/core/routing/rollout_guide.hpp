#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "routing/configuration.hpp"
#include "routing/load_effect.hpp"
#include "routing/loss_tracker.hpp"
#include "routing/request_rate.hpp"
#include "routing/rollout.hpp"
#include "routing/server_table.hpp"
#include "routing/session_table.hpp"
#include "routing/version_evidence.hpp"
#include "routing/version_rule.hpp"

namespace reedramp::routing {

using common::time_point;

struct rollout_options {
    rollout_schedule schedule;
    /// Requests that a bad version may get beside its share of all. For a service with few they
    /// are the larger part; the share alone gives too few answers to find a slow version by.
    double exposure_slack = 0.0;
    /// What the first half may use of that; the rest is for requests that are under way when the
    /// version is found.
    double slack_part = 0.6;
    /// The largest first share. Its steps grow from there, and half a service's servers have to
    /// stay with the old version.
    double largest_first_share = 0.33;
    evidence_options evidence;
    /// The share grows once the evidence over all routes, as a logarithm, is down to this: answers
    /// that are no worse have earned it. Before, it starts at 0.
    double growth_from = -1.0;
    /// Evidence that ends a roll-out whose growth has been held up for as long as there was time.
    double late_doubt = 1.0;
    /// Times of answers count against the old version's until an entry's requests for the service
    /// come this many times as often as while both served: then they wait for each other, and
    /// would make a good version look slow.
    double same_load = 1.5;
    /// Requests of a session that follow each other within this belong together.
    common::duration session_time = std::chrono::seconds{5};
};

/// One entry's words about a roll-out, for its peers.
struct rollout_report {
    common::service_name service;
    common::version_id target;
    /// Time that the order allows, and how much of it has passed.
    std::chrono::milliseconds allowed{0};
    std::chrono::milliseconds elapsed{0};
    /// Requests under way at other versions, and sessions that last there.
    unsigned left_on_old = 0;
    std::map<route_name, evidence_report> evidence;
    /// Share of sessions that this entry sends to the new version.
    double share = 0.0;
    /// The share of the first half, as this entry has worked it out; 0 before.
    double first_share = 0.0;
    /// Requests a second for the service at this entry.
    double rate = 0.0;
    rollout_state state = rollout_state::running;
    /// The store has this state.
    bool is_written = false;
    /// Sessions of the first share that this entry keeps on another version; in the first half.
    std::vector<session_report> old_sessions;
};

/// How far one roll-out is at this entry.
struct rollout_progress {
    rollout_status status;
    double share = 0.0;
    std::chrono::milliseconds elapsed{0};
    unsigned left_on_old = 0;
};

/// Moves services' traffic between versions: who goes to the new version, what its answers say of
/// it, and when the roll-out is over.
///
/// Every entry works the share out alike from the time that has passed, which peers tell each
/// other, and adds up the evidence of all entries. So it does not matter which entry writes the
/// outcome, and one that is cut off still stops within its own evidence.
class rollout_guide {
public:
    explicit rollout_guide(rollout_options options)
        : settings(options), sessions(options.session_time)
    {
    }

    auto order(const rollout_order& wanted, time_point now) -> void;

    /// The same from an older copy of the store: an order that another one has replaced is not the
    /// operator's word of now.
    auto order_in_copy(const rollout_order& wanted, time_point now) -> void;

    /// The store may have lost the states that it held: they are due again.
    auto forget_written() -> void;

    /// How many orders this entry has taken; grows with each one that is new to it.
    [[nodiscard]] auto orders_taken() const -> std::uint64_t { return this->orders; }

    auto learn(const rollout_status& status) -> void;
    auto hear(const common::host_id& peer, const std::vector<rollout_report>& words, time_point now)
        -> void;
    [[nodiscard]] auto tell(time_point now) const -> std::vector<rollout_report>;

    /// The newest roll-out of each service and how far it is here, for the state page.
    [[nodiscard]] auto states(time_point now) const -> std::vector<rollout_progress>;

    /// The rule for a request of a session.
    auto rule_for(const common::service_name& service, std::uint64_t session, time_point now)
        -> version_rule;

    /// A caller goes on with a stream of the session that was cut. Its entry may have died, and
    /// what it knew of the session with it.
    auto note_resumed(const common::service_name& service, std::uint64_t session, time_point now)
        -> void;

    /// A request of the session was sent to a server of `version`.
    auto note_sent(
        const common::service_name& service,
        std::uint64_t session,
        const common::version_id& version,
        time_point now) -> void;

    auto note_outcome(
        const common::service_name& service,
        const common::version_id& version,
        const route_name& route,
        bool is_good) -> void;

    /// The connection to the server ended in the midst of a request. Whether that speaks against
    /// the version shows a second later, see `loss_tracker`.
    auto note_lost(
        const common::service_name& service,
        const common::version_id& version,
        const route_name& route,
        time_point now) -> void;

    auto note_first_event(
        const common::service_name& service,
        const common::version_id& version,
        const route_name& route,
        std::chrono::milliseconds took,
        time_point now) -> void;

    /// How long a part of an answer took, or was waited for.
    auto note_time(
        const common::service_name& service,
        const common::version_id& version,
        const route_name& route,
        const timed_answer& timed,
        time_point now) -> void;

    /// A request was taken elsewhere because its server was silent: as slow as can be.
    auto note_stall(
        const common::service_name& service,
        const common::version_id& version,
        const route_name& route,
        time_point now) -> void;

    /// A send that `note_sent` told of has ended.
    auto note_ended(
        const common::service_name& service,
        std::uint64_t session,
        const common::version_id& version,
        time_point now) -> void;

    /// States that should be written now, because the store does not have them.
    [[nodiscard]] auto due(time_point now) const -> std::vector<rollout_status>;

private:
    struct peer_report {
        time_point heard;
        unsigned left_on_old = 0;
        double rate = 0.0;
    };

    struct rollout {
        rollout_order order;
        time_point began;
        rollout_state state = rollout_state::running;
        /// The store's state; none before it has one for this target.
        std::optional<rollout_state> written;
        version_evidence evidence;
        std::map<common::host_id, peer_report> peers;
        /// The largest share so far, at any entry: a session that has moved does not move back.
        double reached_share = 0.0;
        /// The share of the first half, the largest of all entries' once it has begun. It tells
        /// whether the share has grown, so that all must have the same.
        double first_share = 0.0;
        /// Requests a second at this entry while both versions served.
        double usual_rate = 0.0;
    };

    /// What ended roll-outs have left of a service. Servers of a version that has been replaced or
    /// reverted are listed for a second or more after that, and would get work again as soon as
    /// the next order takes the place of the one that kept them out.
    struct service_history {
        /// The version that the newest complete roll-out brought in.
        std::optional<common::version_id> current;
        std::set<common::version_id> reverted;
        /// Orders that another one took the place of, the newest last.
        std::deque<rollout_order> replaced;

        auto note_replaced(const rollout_order& one) -> void;
    };

    auto settle_losses(const common::service_name& service, time_point now) -> void;
    auto hear_other_order(const rollout& ours, const rollout_report& told, time_point now) -> void;
    auto infer_end(const rollout& one, time_point now) -> void;
    auto note_end(
        const common::service_name& service, const common::version_id& target, rollout_state state)
        -> void;
    /// The share by schedule and evidence.
    [[nodiscard]] auto share_of(const rollout& one, time_point now) const -> double;
    /// The share of the first half by what the operators allow and what the service gets.
    [[nodiscard]] auto planned_first_share(const rollout& one, time_point now) const -> double;
    /// The same while it is not known yet: the largest that it can be.
    [[nodiscard]] auto first_share_at_most(const rollout& one) const -> double;
    /// The schedule with the roll-out's own first share.
    [[nodiscard]] auto schedule_of(const rollout& one) const -> rollout_schedule;
    /// Requests a second for the service over all entries.
    [[nodiscard]] auto total_rate(const rollout& one, time_point now) const -> double;
    /// Whether the evidence holds the share's growth up.
    [[nodiscard]] auto is_held_up(const rollout& one, time_point now) const -> bool;
    /// Whether the new version has to go: worse for certain, or doubtful when time is up.
    [[nodiscard]] auto must_revert(const rollout& one, time_point now) const -> bool;
    auto refresh(rollout& one, time_point now) -> void;
    /// The part of the new version's servers that its work is spread over.
    [[nodiscard]] auto spread_of(const rollout& one, time_point now) const -> double;
    [[nodiscard]] auto describe(const rollout& one, time_point now) const -> std::string;
    /// Whether a time of `version` may be compared.
    auto is_comparable(rollout& one, const common::version_id& version, time_point now) -> bool;
    /// What is left on other versions, from this entry, and over all entries: requests under way,
    /// and sessions that last. Once a roll-out is complete its old servers stop, so that a session
    /// that still lasts there would change its version when it comes back, maybe in the first half
    /// of the next roll-out.
    [[nodiscard]] auto own_left_on_old(const rollout& one, time_point now) const -> unsigned;
    [[nodiscard]] auto left_on_old(const rollout& one, time_point now) const -> unsigned;
    [[nodiscard]] auto elapsed(const rollout& one, time_point now) const
        -> std::chrono::milliseconds;
    auto running(const common::service_name& service) -> rollout*;
    /// Where an answer of `version` counts while no roll-out of the service runs; null if nowhere.
    auto calm_evidence(const common::service_name& service, const common::version_id& version)
        -> version_evidence*;
    /// Whether a session goes to the new version while the roll-out runs.
    [[nodiscard]] auto goes_new(const rollout& one, std::uint64_t session, time_point now) const
        -> bool;
    /// Whether the roll-out's share has grown: from then on sessions may change their version.
    [[nodiscard]] auto may_move(const rollout& one, time_point now) const -> bool;
    [[nodiscard]] auto sessions_to_tell(const rollout& one, time_point now) const
        -> std::vector<session_report>;

    rollout_options settings;
    std::uint64_t orders = 0;
    std::map<common::service_name, rollout> rollouts;
    std::map<common::service_name, service_history> histories;
    /// What is usual of the version in use, gathered while no roll-out runs. A roll-out starts from
    /// it: since the order alone, a service with few requests has too few answers of the old
    /// version to compare with before the first half of a short one is over.
    std::map<common::service_name, version_evidence> calm;
    /// States that were read before their order.
    std::map<common::service_name, rollout_status> early;
    session_table sessions;
    std::map<std::pair<common::service_name, common::version_id>, unsigned> under_way;
    std::map<common::service_name, loss_tracker> losses;
    std::map<common::service_name, load_effect> load_effects;
    std::map<common::service_name, request_rate> rates;
    std::map<std::pair<common::service_name, common::version_id>, request_rate> version_rates;
    /// When each peer was heard last, with or without a roll-out.
    std::map<common::host_id, time_point> peers_heard;
};

} // namespace reedramp::routing
