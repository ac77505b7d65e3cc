#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/hooks.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "overload/organisation_shares.hpp"
#include "placement/retry_budget.hpp"
#include "router/caller_request.hpp"
#include "router/held_stream.hpp"
#include "router/overload_state.hpp"
#include "router/router_metrics.hpp"
#include "router/router_options.hpp"
#include "router/server_directives.hpp"
#include "router/shared_store.hpp"
#include "routing/configuration.hpp"
#include "routing/crash_tracker.hpp"
#include "routing/evacuation_registry.hpp"
#include "routing/first_event_estimator.hpp"
#include "routing/home_regions.hpp"
#include "routing/list_freshness.hpp"
#include "routing/load_test_routes.hpp"
#include "routing/load_tracker.hpp"
#include "routing/model_choice.hpp"
#include "routing/peer_speed_table.hpp"
#include "routing/recent_attempts.hpp"
#include "routing/rollout_manager.hpp"
#include "routing/server_choice.hpp"
#include "routing/server_health.hpp"
#include "routing/server_limiter.hpp"
#include "routing/server_load_tracker.hpp"
#include "routing/server_table.hpp"

namespace reedramp::router {

/// Hooks that differ between the program and tests.
struct router_hooks {
    common::clock_hook clock;
    common::timer_hook timer;
    common::random_hook random;
    /// Called when new rules are in force. May be empty.
    std::function<auto(const routing::configuration& rules)->void> on_rules = {};
    /// Called when the store was restored from an older copy of itself: the entries' records may be
    /// gone. May be empty.
    std::function<auto()->void> on_new_era = {};
    /// Returns this entry's rank among all entries that it knows. Empty if it is the only one.
    std::function<auto()->routing::entry_rank> rank = {};
    /// Returns when another entry, or this host's next process, accepts requests that this process
    /// can't finish any more. Empty means at once.
    std::function<auto(time_point now)->time_point> accepted_elsewhere_at = {};
    /// Returns milliseconds since 1970 by this host's clock, to detect server start times in the
    /// future. If empty, no start time counts as one of the future.
    std::function<auto()->std::uint64_t> unix_ms = {};
};

/// The server instance that sent a response, its service, and the work of the request.
struct answering_server {
    const common::service_name& service;
    const routing::server_instance& server;
    double work = 0.0;
};

/// What the run of a request says about crashes.
struct run_evidence {
    routing::request_fingerprint fingerprint;
    routing::prompt_traits prompt;
    routing::server_instance server;
    time_point sent;
    /// The server got so far with the answer that the prompt is not what crashed it.
    bool is_harmless = false;
};

class relay;

/// State that all requests of an entry share: the rules in force, the servers, the requests in
/// flight, and what is known of versions. Used from one thread.
class router_core : public std::enable_shared_from_this<router_core> {
public:
    router_core(
        router_hooks hooks, router_options options, std::shared_ptr<http::client> to_servers);

    /// Handles a caller's request. `out` gets exactly one response.
    auto handle(http::request request, std::shared_ptr<http::responder> out) -> void;

    /// Sets whether requests wait until the barred requests are known.
    auto set_awaiting_barred(bool should_wait) -> void;

    /// Handles the held requests if the entry is ready now. Called when rules or servers have
    /// arrived.
    auto handle_held() -> void;

    /// Announces that the process ends at `last`. Requests that may take longer are refused, so
    /// that their callers go to another entry in time.
    ///
    /// Where another entry accepts them, streams are accepted only until `streams_until`, when the
    /// balancer has noticed. The end of a stream can't be predicted: short ones accepted later
    /// waited at busy servers for all the remaining time and were cut when the process ended.
    auto announce_end(time_point last, time_point streams_until = common::never) -> void
    {
        this->ends_at = last;
        this->streams_until = streams_until;
    }

    /// Latest end of the process; `never` while it stays.
    [[nodiscard]] auto process_ends_at() const -> time_point { return this->ends_at; }

    /// Notes the era of a position seen in the store by this entry, or by the entry that reported
    /// it. Older eras change nothing.
    auto note_era(stream_position seen, const std::string& source) -> void;

    /// Era of the store; 0 before one is known, and for a store without eras.
    [[nodiscard]] auto era() const -> std::uint64_t { return this->store_era.value_or(0); }

    /// Puts rules in force unless their version is in force already, or an older one. Returns
    /// whether they were new.
    auto apply_rules(published_rules rules) -> bool;

    /// Applies a peer's report how current it is in the operators' stream. Called when the rest of
    /// the report, which holds all that the stream says but the rules themselves, was applied.
    auto apply_rules_freshness(const routing::freshness_report& report, std::uint64_t peers_version)
        -> void;

    /// Whether requests can be served: rules, servers and barred requests are known.
    [[nodiscard]] auto is_ready() const -> bool;

    /// Records the time that a stream of the route took until its first event.
    auto note_first_event(const routing::route_name& route, std::chrono::milliseconds took) -> void;

    /// How long a stream of the route may wait for its first event before it is sent to another
    /// server, if such work takes `usual` at that service.
    [[nodiscard]] auto
    first_event_limit(const routing::route_name& route, std::chrono::milliseconds usual) const
        -> std::chrono::milliseconds;

    [[nodiscard]] auto rules() const -> const std::shared_ptr<const routing::route_table>&
    {
        return this->rules_in_force;
    }

    /// Version of the rules in force; 0 without rules.
    [[nodiscard]] auto rules_version() const -> std::uint64_t
    {
        return this->rules_in_force == nullptr ? 0 : this->rules_in_force->version();
    }

    /// Source text of the rules in force, for peers that lack them.
    [[nodiscard]] auto rules_text() const -> const std::string& { return this->text_in_force; }

    /// Retry budget of a service. Each service has its own, so that failures of one do not use up
    /// the retries of another.
    auto retries_of(const common::service_name& service) -> placement::retry_budget&;

    /// Applies changed settings to all retry budgets.
    auto change_retries(placement::retry_budget_settings settings) -> void;

    /// Applies the complete set of evacuated data centres, from the store or another entry.
    auto replace_evacuations(const routing::evacuation_report& known, const std::string& source)
        -> void;

    /// Applies the operators' orders that a reading returned after this entry's last one.
    auto apply_evacuation_orders(
        const std::vector<routing::evacuation_order>& orders, stream_position end) -> void;

    /// Counter that grows with each change of the evacuated data centres.
    [[nodiscard]] auto evacuation_revision() const -> std::uint64_t
    {
        return this->evacuation_change_count;
    }

    /// Whether decisions for times of overload are in force.
    [[nodiscard]] auto is_overload_controlled() const -> bool
    {
        return this->overload_control.is_in_force();
    }

    /// Rank that counts in decisions on a request of the route and the organisation, which may be
    /// null; 0 is the highest.
    [[nodiscard]] auto
    rank_of(const routing::route& route, const routing::organisation* owner) const -> unsigned
    {
        return this->is_overload_controlled() ? routing::effective_priority(route, owner)
                                              : route.priority;
    }

    /// How scarce the service's capacity is, as `overload::pressure_of`; 0 while overload control
    /// is not in force.
    auto pressure(const common::service_name& service) -> double;

    /// Organisations' usage to report to peers; empty unless the pressure of a service calls for
    /// it.
    auto make_usage_reports() -> std::vector<overload::usage_report>;
    /// State of the decisions which requests to the service are admitted.
    auto admission_of(const common::service_name& service) -> service_admission&;

    /// Number of requests without a final response.
    [[nodiscard]] auto in_flight() const -> std::size_t { return this->open_requests.size(); }

    /// Gives every open request its final response, as the process ends now. A caller whose
    /// connection closes without a response learns nothing, and loses time until it retries.
    auto end_all_requests() -> void;

    /// Records that a request was lost with its server, or was answered completely.
    auto note_lost(const run_evidence& run) -> void;
    auto note_served(const run_evidence& run) -> void;

    /// Gives up all requests that are barred now and that no server has begun to answer.
    auto withdraw_barred() -> void;

    /// Applies a barred request reported by another entry or read from the store.
    auto apply_barred_report(const routing::barred_report& report, const std::string& source)
        -> void;

    /// Applies the limit that a server stated in its response to the attempt, or that it states
    /// none any more.
    auto apply_limit(
        const routing::server_instance& server,
        const server_directives& directives,
        const std::string& attempt) -> void;

    /// Applies a server's statement in its response to the attempt that it leaves.
    auto apply_leaving(const routing::server_instance& server, const std::string& attempt) -> void;

    /// Applies a server's request that this entry send nothing for `backoff`.
    auto apply_backoff(const routing::server_instance& server, std::chrono::milliseconds backoff)
        -> void;

    /// Applies and returns the load that a server stated in the head of its response to the
    /// attempt, if any. A refusal means that the server has not run the request.
    auto apply_load(
        const answering_server& from,
        const http::response& head,
        bool is_refusal,
        const std::string& attempt) -> std::optional<routing::stated_load>;

    /// Records that a server sent bytes that no request on their connection had asked for.
    auto note_unrequested_bytes(const http::endpoint& from) const -> void;

    /// Applies limits that a peer has read in servers' responses.
    auto apply_limit_reports(
        const std::vector<routing::limit_report>& reports, const std::string& source) -> void;

    /// Counter that grows when a server states in a response to this entry what all entries must
    /// learn at once: that it leaves, or a limit that is new or lifted. Changes of limits count at
    /// most once per `limit_report_interval`.
    [[nodiscard]] auto server_directive_revision() const -> std::uint64_t
    {
        return this->server_directive_changes;
    }

    /// Fingerprint of the request's contents, which does not depend on the attempt id.
    [[nodiscard]] auto
    fingerprint_of(const http::request& request, const caller_request& caller) const
        -> routing::request_fingerprint;

    /// Whether the process ends before a larger model's answer could finish, so that the smallest
    /// model's answer must be accepted.
    [[nodiscard]] auto must_be_quick(const routing::route& on, const caller_request& caller) const
        -> bool
    {
        return !this->may_finish(on, caller, this->options.token_time);
    }

    // Shared with the requests, on the same thread.
    router_hooks hooks;
    router_options options;
    std::shared_ptr<http::client> client;
    routing::server_table servers;
    routing::list_freshness freshness;
    /// The same of the operators' stream: rules, orders of roll-outs and evacuations.
    routing::list_freshness rules_freshness;
    routing::load_tracker loads;
    /// By service, since the time per unit of work differs far more between services than within
    /// one.
    std::map<common::service_name, routing::server_speed_tracker> speeds;
    /// By service.
    std::map<common::service_name, routing::first_event_estimator> first_events;
    /// Speeds of all services' servers, from peers. Applied and used under overload control.
    routing::peer_speed_table peer_speeds;
    routing::server_health health;
    routing::server_load_tracker stated_loads;
    overload_state overload_control;
    overload::organisation_shares shares;
    routing::server_limiter limiter;
    routing::evacuation_registry evacuations;
    routing::crash_tracker crashes;
    routing::recent_attempts attempts;
    routing::rollout_manager rollouts;
    routing::load_test_routes load_test_routes;
    metrics::registry series;
    routing::wait_gauge waits;
    router_metrics counters;
    std::shared_ptr<held_streams> streams;
    /// Requests without a final response. Each adds and removes itself.
    std::set<relay*> open_requests;

private:
    /// A request that arrived before the entry was ready.
    struct held_request {
        http::request request;
        std::shared_ptr<http::responder> out;
        time_point received;
        bool has_left = false;
    };

    auto handle_at(http::request request, std::shared_ptr<http::responder> out, time_point received)
        -> void;
    auto hold(http::request request, std::shared_ptr<http::responder> out, time_point received)
        -> void;
    auto refuse_held(const std::shared_ptr<held_request>& one) -> void;
    /// Records that the attempt came. Refuses it if it is a copy of one that may not run again, and
    /// returns whether it was.
    auto
    refuse_copy(const http::request& request, const caller_request& caller, http::responder& out)
        -> bool;
    /// Records that the attempt's caller is given the result `what`.
    auto note_refused(const std::string& attempt, const common::result_row& what) -> void;
    /// A request that ends removes itself from `open_requests`.
    [[nodiscard]] auto copy_open_requests() const -> std::vector<std::shared_ptr<relay>>;
    /// Refuses the request. `logged` is appended to the log line. With a `deadline` the response
    /// asks the caller to return within a third of the time until then.
    auto refuse(
        const common::error& why,
        const std::string& attempt,
        http::responder& out,
        const std::string& logged = {},
        time_point deadline = common::never) -> void;
    /// Whether a request can finish before the process ends if each of its tokens takes `token`.
    [[nodiscard]] auto may_finish(
        const routing::route& on,
        const caller_request& caller,
        std::chrono::milliseconds token) const -> bool;
    /// Whether a request of the route should go to another entry because this one leaves.
    [[nodiscard]] auto should_go_elsewhere(const routing::route& on) const -> bool;
    /// Time after which a caller that is refused for `why` should return.
    [[nodiscard]] auto retry_after(common::result_code why) const -> std::chrono::milliseconds;
    /// The request's fingerprint, which is costly, while any request is barred.
    [[nodiscard]] auto
    fingerprint_if_needed(const http::request& request, const caller_request& caller) const
        -> std::optional<routing::request_fingerprint>;
    auto check(const http::request& request, const caller_request& caller) const
        -> common::result<const routing::route*>;

    auto log_limit(
        routing::limit_change change,
        const std::string& server,
        std::optional<double> per_second,
        const std::string& source) const -> void;
    auto on_evacuation_change(const routing::evacuation_change& changed, const std::string& source)
        -> void;

    std::vector<std::shared_ptr<held_request>> held;
    std::uint64_t evacuation_change_count = 0;
    std::uint64_t server_directive_changes = 0;
    time_point last_limit_report{};
    std::shared_ptr<const routing::route_table> rules_in_force;
    std::string text_in_force;
    std::optional<std::uint64_t> store_era;
    bool is_awaiting_barred = false;
    time_point ends_at = common::never;
    time_point streams_until = common::never;
    std::map<common::service_name, placement::retry_budget> retries;
    std::map<common::service_name, service_admission> admissions;
    /// Exponentially weighted mean time to the first event, in milliseconds.
    std::map<routing::route_name, double> first_event_ms;
};

/// Builds the response of this entry to a request that was refused or has failed. If the request
/// has not run, the response states when to return.
auto make_own_response(const common::error& why, std::chrono::milliseconds retry_after)
    -> http::response;

} // namespace reedramp::router
