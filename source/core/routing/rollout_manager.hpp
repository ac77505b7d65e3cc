#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "routing/configuration.hpp"
#include "routing/load_effect.hpp"
#include "routing/load_test_routes.hpp"
#include "routing/loss_tracker.hpp"
#include "routing/order_history.hpp"
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
    /// Requests that a bad version may receive in addition to its share. For a service with few
    /// requests they are the larger part; the share alone yields too few answers to detect a slow
    /// version.
    double exposure_slack = 0.0;
    /// Fraction of `exposure_slack` for the first half; the rest covers requests in flight when the
    /// version is found to be bad.
    double slack_part = 0.6;
    /// Maximum first share. The later steps grow from it, and half of a service's servers have to
    /// stay with the old version.
    double max_first_share = 0.33;
    evidence_options evidence;
    /// The share grows once the evidence over all routes, as a logarithm, has fallen to this:
    /// enough answers have been no worse. It starts at 0.
    double growth_below = -1.0;
    /// Evidence at which a roll-out is reverted if its growth has been held back for as long as
    /// there was time.
    double late_evidence_limit = 1.0;
    /// Evidence from answers at high occupancy at which the share stops growing, and at which a
    /// roll-out is reverted once doubtful versions have had their time: two failures among a few
    /// answers. One alone may have another cause.
    double high_occupancy_doubt = 1.5;
    /// Response times are compared with the old version's until an entry's request rate for the
    /// service exceeds the rate while both versions served by this factor. Beyond it, queueing
    /// would make a good version look slow.
    double same_load = 1.5;
    /// Requests of a session that are no further apart than this belong together.
    common::duration session_time = std::chrono::seconds{5};
};

/// Whether further requests may belong to a request's session.
enum class session_kind : std::uint8_t { several_requests, single_request };

/// What the choice of a request's version depends on, beside its session.
struct request_traits {
    session_kind kind = session_kind::several_requests;
    fill_level fill = fill_level::most;
};

/// One entry's report about a roll-out, sent to its peers.
struct rollout_report {
    common::service_name service;
    common::version_id target;
    /// Time that the order allows, and how much of it has passed.
    std::chrono::milliseconds allowed{0};
    std::chrono::milliseconds elapsed{0};
    /// Requests in flight on other versions, and active sessions there.
    unsigned left_on_old = 0;
    /// Of some of its routes, in turn, and the sum over all of them; no sum from earlier releases.
    std::map<route_name, evidence_report> evidence;
    std::optional<evidence_total> total_evidence;
    /// Share of sessions that this entry sends to the new version.
    double share = 0.0;
    /// The same of those that fill a server, while the load test lasts.
    double load_test_share = 0.0;
    /// Share of the first half as computed by this entry; 0 before that.
    double first_share = 0.0;
    /// Requests per second for the service at this entry.
    double rate = 0.0;
    rollout_state state = rollout_state::running;
    /// Whether the store holds this state.
    bool is_written = false;
    /// Position of the order's record, and of the newest order of the service that was judged; 0
    /// from earlier releases.
    stream_position ordered_at{};
    stream_position judged_to{};
    /// Sessions in the first share that this entry keeps on another version; only during the first
    /// half.
    std::vector<session_report> old_sessions;
};

/// Progress of one roll-out at this entry.
struct rollout_progress {
    rollout_status status;
    double share = 0.0;
    std::chrono::milliseconds elapsed{0};
    unsigned left_on_old = 0;
    /// Target of an order that is held, since it may be a late write of a past one.
    std::optional<common::version_id> held_target = std::nullopt;
};

/// Moves services' traffic between versions: decides which sessions use the new version, evaluates
/// its answers, and decides when the roll-out is over.
///
/// Every entry computes the same share from the elapsed time, which entries report to each other,
/// and adds up the evidence of all entries. It therefore does not matter which entry writes the
/// outcome, and an entry that is cut off still stops on its own evidence.
class rollout_manager {
public:
    explicit rollout_manager(rollout_options options)
        : settings(options), sessions(options.session_time)
    {
    }

    /// Carries out an order, unless it is the present one, is older than the newest known one, or
    /// may be a late write of a past one. That one is held until servers show that it was given
    /// again.
    auto apply_order(const rollout_order& wanted, time_point now, const order_origin& origin = {})
        -> void;

    /// As `apply_order`, for an order read from a store restored from an older copy: an order that
    /// another one has replaced is no longer in force.
    auto apply_restored_order(const rollout_order& wanted, time_point now) -> void;

    /// Whether an order at `first` or later was read as the newest record only, so that it may be a
    /// late write of an order that is over.
    [[nodiscard]] auto needs_history(stream_position first) const -> bool;

    /// Applies the operators' records of the last orders, oldest first, to services whose order was
    /// read as the newest record only.
    auto apply_history(
        const std::vector<rollout_order>& orders, const server_table& servers, time_point now)
        -> void;

    /// Records which servers the versions in force have, and carries out held orders whose servers
    /// have started. Called when the server list or the orders have changed.
    auto apply_servers(const server_table& servers, time_point now) -> void;

    /// Records that the store was restored from an older copy, which may lack written states.
    auto note_new_era() -> void;

    /// Number of orders that this entry has applied; grows with each one that is new to it.
    [[nodiscard]] auto orders_applied() const -> std::uint64_t { return this->order_count; }

    auto apply_status(const rollout_status& status) -> void;
    auto apply_reports(
        const common::host_id& peer, const std::vector<rollout_report>& reports, time_point now)
        -> void;
    [[nodiscard]] auto make_reports(time_point now) const -> std::vector<rollout_report>;

    /// Chooses the roll-outs and routes of the next reports, so that each is reported in turn.
    /// Called once all peers have got the present ones.
    auto begin_report_round() -> void;

    /// Returns the newest roll-out of each service and its progress here, for the state page.
    [[nodiscard]] auto states(time_point now) const -> std::vector<rollout_progress>;

    /// Returns the version rule for a request of a session. A request without a session is a
    /// session of its own.
    auto rule_for(
        const common::service_name& service,
        std::uint64_t session,
        time_point now,
        request_traits request = {}) -> version_rule;

    /// Records that a caller resumes an interrupted stream of the session. The entry that served
    /// it, and that knew the session's version, may have failed.
    auto note_resumed(const common::service_name& service, std::uint64_t session, time_point now)
        -> void;

    /// Records that a request of the session was sent to a server of `version` with so many slots.
    auto note_sent(
        const common::service_name& service,
        std::uint64_t session,
        const common::version_id& version,
        time_point now,
        unsigned slots = 0) -> void;

    auto note_outcome(
        const common::service_name& service,
        const common::version_id& version,
        const route_name& route,
        bool is_good,
        occupancy server = occupancy::usual) -> void;

    /// Records that the connection to the server was lost during a request. Whether that counts
    /// against the version is known a second later; see `loss_tracker`.
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
        time_point now,
        const answer_load& load = {}) -> void;

    /// Records how long a part of an answer took, or was waited for.
    auto note_time(
        const common::service_name& service,
        const common::version_id& version,
        const route_name& route,
        const timed_answer& timed,
        time_point now) -> void;

    /// Records that a request was moved to another server because its server was silent: counts as
    /// the slowest possible answer.
    auto note_stall(
        const common::service_name& service,
        const common::version_id& version,
        const route_name& route,
        time_point now) -> void;

    /// Records the end of a send that was passed to `note_sent`.
    auto note_ended(
        const common::service_name& service,
        std::uint64_t session,
        const common::version_id& version,
        time_point now) -> void;

    /// Returns the states that should be written now because the store does not have them.
    [[nodiscard]] auto due_states(time_point now) const -> std::vector<rollout_status>;

private:
    struct peer_report {
        time_point last_heard;
        unsigned left_on_old = 0;
        double rate = 0.0;
    };

    struct rollout {
        rollout_order order;
        time_point began;
        rollout_state state = rollout_state::running;
        /// The state in the store; empty until it has one for this target.
        std::optional<rollout_state> written;
        version_evidence evidence;
        std::map<common::host_id, peer_report> peers;
        /// The largest share so far at any entry; a session that has moved does not move back.
        double reached_share = 0.0;
        /// The same for sessions that fill a server, during the load test and after it.
        double reached_load_test_share = 0.0;
        /// The share of the first half: the maximum over all entries once the roll-out has started.
        /// It decides whether the share has grown, so all entries must have the same value.
        double first_share = 0.0;
        /// Requests per second at this entry while both versions served.
        double baseline_rate = 0.0;
        /// This entry has not known the orders for long enough to tell a late write; it takes the
        /// judgement of any entry that has judged the same record.
        bool is_guess = false;
        /// The order was carried out before, and ended. A final state belongs to that time until
        /// the state of this one has been written.
        bool is_given_again = false;
        bool awaits_own_state = false;
        /// The store has been restored since from a copy that may lack the order, so that operators
        /// write again what is in force.
        bool is_of_earlier_era = false;
        /// The last route whose evidence was chosen in turn for reports.
        route_name reported_to{};
        /// Whether the target has usable servers; empty while the list is not known.
        std::optional<bool> has_servers = std::nullopt;
    };

    /// Outcome of a service's earlier roll-outs. Servers of a version that was replaced or reverted
    /// stay listed for a second or more, and would receive requests again as soon as the next order
    /// replaces the one that excluded them.
    struct service_history {
        /// The target of the newest completed roll-out.
        std::optional<common::version_id> current;
        /// Versions that were reverted, or whose order was replaced before they were proven.
        std::set<common::version_id> excluded;
        order_history orders;
        /// Whether the server list has servers of the service, of any version.
        bool has_servers = false;
    };

    /// How load lengthens one kind of time of the old version's answers.
    struct load_effect_pair {
        load_effect by_reading;
        /// Of what the prompts to read leave.
        load_effect by_requests;

        auto note(const route_name& route, const answer_load& load, double log_ms) -> void;
    };

    struct service_load_effects {
        load_effect_pair pause{load_effect{}, load_effect{requests_effect}};
        load_effect_pair wait{load_effect{reading_effect}, load_effect{requests_effect}};

        /// Returns the logarithm of a time of the new version as it would be under the old
        /// version's usual load, if the answer comes from a load test. Learns from the old
        /// version's; the new one's are left out, since its slowness would be attributed to load.
        auto adjust_wait(
            version_side side, const route_name& route, const answer_load& load, double log_ms)
            -> double;
        /// The same for pauses, from which the effect of reading is removed in any case.
        auto adjust_pause(
            version_side side, const route_name& route, const answer_load& load, double log_ms)
            -> double;

    private:
        /// Prompts are read one after the other.
        static constexpr load_effect_options reading_effect{.min_slope_beyond = 1.0};
        /// An engine's steps take longer with more requests in its batch.
        static constexpr load_effect_options requests_effect{
            .unit = 4.0, .prior_slope = 0.3, .min_slope_beyond = 0.6};
    };

    /// Requests in flight at this entry on one version of a service, and on its others.
    struct version_in_flight {
        unsigned on_version = 0;
        unsigned on_others = 0;
    };

    /// What the load test of a new version depends on.
    struct service_usage {
        /// Requests in flight at this entry when a further one is sent.
        policy::exponential_mean in_flight;
        /// Of each server; 0 while unknown, when nothing tells a high occupancy.
        unsigned slots = 0;
        /// Whether its requests belong to sessions, which keep their version in the first half.
        bool has_sessions = false;
    };

    /// Starts the roll-out of an order.
    auto begin(const rollout_order& wanted, time_point now, bool is_guess) -> void;
    auto hold(const rollout_order& wanted, time_point now, hold_reason why) -> void;
    /// Whether an order that follows on one under way has to wait until its version has servers:
    /// the store may perform it for the first time after the next one was given.
    [[nodiscard]] auto must_show_servers(const rollout_order& wanted, const rollout& present) const
        -> bool;
    /// Whether servers show that the held order was given.
    [[nodiscard]] auto
    is_confirmed(const held_order& held, const rollout& in_force, const server_table& servers) const
        -> bool;
    [[nodiscard]] auto held_target(const common::service_name& service) const
        -> std::optional<common::version_id>;
    /// Ends the roll-out of an order that another one replaces.
    auto replace(const rollout& one, time_point now) -> void;
    /// Whether the peer has judged the record of a guessed order to be a late write.
    [[nodiscard]] static auto is_corrected_by(const rollout& ours, const rollout_report& report)
        -> bool;
    auto settle_losses(const common::service_name& service, time_point now) -> void;
    auto apply_other_order(const rollout& ours, const rollout_report& report, time_point now)
        -> void;
    auto note_end(
        const common::service_name& service, const common::version_id& target, rollout_state state)
        -> void;
    /// Share according to the schedule and the evidence.
    [[nodiscard]] auto share_of(const rollout& one, time_point now) const -> double;
    /// Share of the sessions with such requests that are on the new version at present.
    [[nodiscard]] static auto share_for(const rollout& one, fill_level fill) -> double;
    [[nodiscard]] auto usage_of(const rollout& one) const -> service_usage;
    /// Share of the sessions that fill a server with which one server of the new version reaches a
    /// high occupancy; 0 before the second half, if it is not known, or not needed any more.
    [[nodiscard]] auto load_test_share(const rollout& one, time_point now) const -> double;
    /// Share of the first half, from what the operators allow and the service's request rate.
    [[nodiscard]] auto planned_first_share(const rollout& one, time_point now) const -> double;
    /// Upper bound of the first share while it is not known yet.
    [[nodiscard]] auto first_share_at_most(const rollout& one) const -> double;
    /// The schedule, adapted to the roll-out's own first share.
    [[nodiscard]] auto schedule_of(const rollout& one) const -> rollout_schedule;
    /// Requests per second for the service over all entries.
    [[nodiscard]] auto total_rate(const rollout& one, time_point now) const -> double;
    /// Whether the evidence holds back the growth of the share.
    [[nodiscard]] auto is_growth_held(const rollout& one, time_point now) const -> bool;
    /// Whether the new version has to be reverted: certainly worse, or doubtful when the time is
    /// up.
    [[nodiscard]] auto must_revert(const rollout& one, time_point now) const -> bool;
    /// Whether enough is known of the new version to stop the old one.
    [[nodiscard]] auto has_grounds_to_complete(const rollout& one, time_point now) const -> bool;
    auto refresh(rollout& one, time_point now) -> void;
    /// Fraction of the new version's servers over which its requests are spread.
    [[nodiscard]] auto spread_of(const rollout& one, session_kind kind, time_point now) const
        -> double;
    /// Whether too little is known of the new version's answers at high occupancy.
    [[nodiscard]] static auto needs_load_test(const rollout& one) -> bool;
    /// Whether a server may be filled now to learn it.
    [[nodiscard]] auto may_load_test(const rollout& one) const -> bool;
    [[nodiscard]] auto describe(const rollout& one, time_point now) const -> std::string;
    /// Whether a response time of `version` may be compared.
    auto is_comparable(rollout& one, const common::version_id& version, time_point now) -> bool;
    [[nodiscard]] auto
    in_flight_of(const common::service_name& service, const common::version_id& version) const
        -> version_in_flight;
    /// What remains on other versions, from this entry and over all entries: requests in flight and
    /// active sessions. Once a roll-out is complete its old servers stop, so a session that is
    /// still active there would change its version when it returns, possibly during the first half
    /// of the next roll-out.
    [[nodiscard]] auto own_left_on_old(const rollout& one, time_point now) const -> unsigned;
    [[nodiscard]] auto left_on_old(const rollout& one, time_point now) const -> unsigned;
    [[nodiscard]] auto elapsed(const rollout& one, time_point now) const
        -> std::chrono::milliseconds;
    auto running(const common::service_name& service) -> rollout*;
    /// The evidence to which an answer of `version` is added while no roll-out of the service runs;
    /// null if to none.
    auto baseline_evidence(const common::service_name& service, const common::version_id& version)
        -> version_evidence*;
    /// Whether a session uses the new version while the roll-out runs.
    [[nodiscard]] auto uses_new_version(
        const rollout& one,
        std::uint64_t session,
        const request_traits& request,
        time_point now) const -> bool;
    /// Whether the roll-out's share has grown beyond the first one: from then on sessions may
    /// change their version.
    [[nodiscard]] auto may_move(const rollout& one, time_point now) const -> bool;
    [[nodiscard]] auto
    sessions_to_report(const rollout& one, std::size_t max_count, time_point now) const
        -> std::vector<session_report>;
    [[nodiscard]] auto make_report(const rollout& one, std::size_t running, time_point now) const
        -> rollout_report;
    /// Number of roll-outs that are not over.
    [[nodiscard]] auto running_count() const -> std::size_t;
    /// The services of the roll-outs to report: those under way before those that are over.
    [[nodiscard]] auto services_to_report() const -> std::vector<common::service_name>;

    [[nodiscard]] static auto is_over(const rollout& one) -> bool
    {
        return one.state != rollout_state::running && one.written == one.state;
    }

    /// Whether this entry knows peers and hears none of them: what they know of a version is then
    /// not known here.
    [[nodiscard]] auto is_isolated(time_point now) const -> bool;

    rollout_options settings;
    std::uint64_t order_count = 0;
    /// When this entry first learned of an order, a state or a peer's roll-outs.
    std::optional<time_point> known_since;
    std::map<common::service_name, rollout> rollouts;
    std::map<common::service_name, service_history> histories;
    /// Usual results of the current version, collected while no roll-out runs. A roll-out starts
    /// with them: counted only from the order on, a service with few requests has too few answers
    /// of the old version to compare with before the first half of a short roll-out is over.
    std::map<common::service_name, version_evidence> baselines;
    /// States that were read before their order.
    std::map<common::service_name, rollout_status> early_states;
    session_table sessions;
    std::map<std::pair<common::service_name, common::version_id>, unsigned> in_flight;
    std::map<common::service_name, loss_tracker> losses;
    std::map<common::service_name, service_load_effects> load_effects;
    std::map<common::service_name, service_usage> usages;
    std::map<common::service_name, request_rate> rates;
    std::map<std::pair<common::service_name, common::version_id>, request_rate> version_rates;
    /// The service whose roll-out was chosen last for reports.
    common::service_name last_reported;
    /// When each peer last reported, with or without a roll-out.
    std::map<common::host_id, time_point> peers_last_heard;
};

} // namespace reedramp::routing
