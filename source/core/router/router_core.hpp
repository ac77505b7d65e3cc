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
#include "placement/retry_budget.hpp"
#include "router/caller_request.hpp"
#include "router/header_names.hpp"
#include "router/router_metrics.hpp"
#include "router/server_directives.hpp"
#include "router/shared_store.hpp"
#include "routing/configuration.hpp"
#include "routing/crash_tracker.hpp"
#include "routing/evacuation_registry.hpp"
#include "routing/home_regions.hpp"
#include "routing/list_freshness.hpp"
#include "routing/load_tracker.hpp"
#include "routing/model_choice.hpp"
#include "routing/rollout_manager.hpp"
#include "routing/server_choice.hpp"
#include "routing/server_health.hpp"
#include "routing/server_limiter.hpp"
#include "routing/server_table.hpp"

namespace reedramp::router {

/// What varies between a daemon and a test.
struct router_hooks {
    common::clock_hook clock;
    common::timer_hook timer;
    common::random_hook random;
    /// New rules are in force. May be empty.
    std::function<auto(const routing::configuration& rules)->void> on_rules = {};
    /// The store has come back from an older copy of itself: the entries' own records may be gone.
    /// May be empty.
    std::function<auto()->void> on_new_era = {};
    /// This entry's place among all, as far as it knows of them. Empty: it is alone.
    std::function<auto()->routing::entry_rank> place = {};
    /// When another entry, or this one's next process, takes requests that this process can't
    /// finish any more. Empty: at once.
    std::function<auto(time_point now)->time_point> served_elsewhere_at = {};
    /// Milliseconds since 1970 by this host, for a look at the starts that servers name. Empty: no
    /// start is taken for one of the future.
    std::function<auto()->std::uint64_t> unix_ms = {};
};

struct router_options {
    header_names names;
    common::data_centre_id data_centre;
    /// The region of each data centre.
    routing::region_map regions;
    routing::choice_options choice;
    routing::server_limiter_options intake;
    routing::freshness_options freshness;
    routing::health_options health;
    routing::crash_options crashes;
    routing::rollout_options rollout;
    routing::model_options models;
    placement::retry_budget_settings retries;
    /// Sends of one request, refused ones included. A refusal costs a round trip, and a service
    /// whose servers all refuse is full.
    unsigned max_sends = 4;

    /// Time that a request needs to be taken by a process that ends: a start, as long as nearly all
    /// plain requests and first events take, and for a stream its tokens, at the pace of the
    /// largest model under load, or of the smallest one. All of it grows with callers' waits. More
    /// than `longest_need` is not asked for: the balancer sends requests for so long, and what is
    /// cut then can be resumed.
    std::chrono::milliseconds start_needs{1500};
    std::chrono::milliseconds token_needs{15};
    std::chrono::milliseconds small_token_needs{8};
    std::chrono::milliseconds longest_need{5200};
    /// The longest answer that is gathered before it is passed on. Longer ones come from a server
    /// that does not end; some of them at once would take all memory.
    std::size_t longest_answer = 8UL * 1024UL * 1024UL;
    /// A caller that was refused comes back after this; about the time in which a server finishes
    /// a short request.
    std::chrono::milliseconds come_back_after{250};
    /// The same from an entry that has no rules or servers yet: as a rule the store is away then,
    /// for some seconds, and who comes back sooner is refused again.
    std::chrono::milliseconds come_back_when_ready{2000};
    /// An entry that has just started holds requests for so long until it has rules and servers, or
    /// for a third of the time that the caller has: after a kill most come with their last try. The
    /// store is away then for some seconds as a rule.
    std::chrono::milliseconds start_hold{2000};
    /// More than come in that time; at some 12 KB each they take 6 MB.
    std::size_t most_held = 512;
    /// Servers of a data centre that is taken back count as cold for so long: until they have said
    /// how they are, which they do each 1.2 s, and it has been read, at the latest 2.4 s later.
    std::chrono::milliseconds warmth_unknown{3500};
    /// A request waits for so long for a turn at a cold server, where there are no others: longer
    /// than most waits for one, and shorter than what callers take for silence.
    std::chrono::milliseconds turn_patience{500};
    /// Callers that were refused since no server takes requests return within this after the first
    /// one does again, and so do entries that a server asked for rest; all at once they would fill
    /// it.
    std::chrono::milliseconds returns_spread{1000};
    /// What servers name in their answers is told to all entries at once so often at the most. A
    /// server whose answers name a limit by turns must not keep all entries talking.
    std::chrono::milliseconds limit_news_period{2000};
    /// A stream that stays silent for this many of its longest good pauses goes on elsewhere.
    double stalled_after_pauses = 1.5;
    /// So does one that waits for its first event for this many times the route's mean, and for
    /// `first_event_patience` more. Measured against the others' time, since under load all wait,
    /// and work that is begun anew elsewhere would add to it.
    double first_event_factor = 5.0;
    std::chrono::milliseconds first_event_patience{700};
    /// And one with much work before its first event for this many times what such work takes at
    /// servers of that service. The largest prompts take the largest model seconds to read; left
    /// like a short one, each was begun at three servers and finished at none.
    double first_event_work_factor = 3.0;
};

class relay;

/// What all requests of an entry share, on one thread: the rules in force, the servers, what is
/// under way, and what is known of versions.
class router_core : public std::enable_shared_from_this<router_core> {
public:
    router_core(
        router_hooks hooks, router_options options, std::shared_ptr<http::client> to_servers);

    /// Takes a caller's request and sees to its answer.
    auto handle(http::request asked, std::shared_ptr<http::responder> out) -> void;

    /// Whether requests wait until it is known which of them end servers.
    auto await_barred(bool should_wait) -> void;

    /// Rules or servers have come: takes the requests that waited for them.
    auto serve_held() -> void;

    /// The process will end at `last`: requests that may take longer than is left are refused, so
    /// that their callers go elsewhere in time.
    ///
    /// Streams are taken until `streams_until` where another entry takes them: the balancer has
    /// noticed by then. A stream's end can't be known; short ones that were taken later waited at
    /// busy servers for all the time that was left, and were cut when the process ended.
    auto leave(time_point last, time_point streams_until = common::never) -> void
    {
        this->ends_at = last;
        this->streams_until = streams_until;
    }

    /// When the process ends at the latest; `never` while it stays.
    [[nodiscard]] auto leaves_at() const -> time_point { return this->ends_at; }

    /// The store has answered, to this entry or to the one that tells of it, in the era of this
    /// position. What an older one told changes nothing.
    auto note_era(stream_position seen, const std::string& told_by) -> void;

    /// 0 before any is known, and of a store that says none.
    [[nodiscard]] auto era() const -> std::uint64_t { return this->known_era.value_or(0); }

    /// Puts rules in force unless newer ones are. True when they are new.
    auto adopt(published_rules rules) -> bool;

    /// Rules and servers are known: requests can be served.
    [[nodiscard]] auto is_ready() const -> bool;

    /// A stream of the route had its first event after `took`.
    auto note_first_event(const routing::route_name& route, std::chrono::milliseconds took) -> void;

    /// How long a stream of the route may wait for its first event before it goes elsewhere, when
    /// such work takes `usual` at that service.
    [[nodiscard]] auto
    first_event_limit(const routing::route_name& route, std::chrono::milliseconds usual) const
        -> std::chrono::milliseconds;

    [[nodiscard]] auto rules() const -> const std::shared_ptr<const routing::route_table>&
    {
        return this->rules_in_force;
    }

    /// 0 without rules.
    [[nodiscard]] auto rules_version() const -> std::uint64_t
    {
        return this->rules_in_force == nullptr ? 0 : this->rules_in_force->version();
    }

    /// The text of the rules in force, for peers that lack them.
    [[nodiscard]] auto rules_text() const -> const std::string& { return this->text_in_force; }

    /// The budget of second sends to a service. Each has its own: one service's trouble must not
    /// spend what another one's requests have saved up.
    auto retries_of(const common::service_name& service) -> placement::retry_budget&;

    /// The settings have changed.
    auto change_retries(placement::retry_budget_settings settings) -> void;

    /// The data centres that are evacuated, as the store or another entry knows it.
    auto learn_evacuations(const routing::evacuation_report& known, const std::string& told_by)
        -> void;

    /// The operators' orders that a reading gave behind this entry's last one.
    auto
    follow_evacuations(const std::vector<routing::evacuation_order>& orders, stream_position end)
        -> void;

    /// Grows with each change of who is evacuated.
    [[nodiscard]] auto evacuations_changed() const -> std::uint64_t
    {
        return this->evacuation_changes;
    }

    /// Requests that have no final answer yet.
    [[nodiscard]] auto under_way() const -> std::size_t { return this->open_requests.size(); }

    /// The process ends now: gives every request that is still open its final answer. A caller
    /// whose connection closed without one learns nothing, and loses the time until it tries again.
    auto end_all() -> void;

    /// Another entry, or the store, knows that a request ends servers.
    auto apply_barred(const routing::barred_report& told, const std::string& told_by) -> void;

    /// A server names its limit in its answer to the attempt, or names none any more.
    auto hear_limit(
        const routing::server_instance& server,
        const server_directives& said,
        const std::string& attempt) -> void;

    /// A server has said in its answer to the attempt that it leaves.
    auto hear_leaving(const routing::server_instance& server, const std::string& attempt) -> void;

    /// A server wants nothing from this entry for so long.
    auto give_rest(const routing::server_instance& server, std::chrono::milliseconds rest) -> void;

    /// A peer has read this in servers' answers.
    auto hear_limits(const std::vector<routing::limit_report>& told, const std::string& told_by)
        -> void;

    /// Grows when a server says in an answer to this entry what all have to know at once: that it
    /// leaves, or names a limit or takes it back, of these at most once in `limit_news_period`.
    [[nodiscard]] auto words_of_servers() const -> std::uint64_t { return this->server_news; }

    /// What tells the request from others, whatever its attempt id.
    [[nodiscard]] auto
    fingerprint_of(const http::request& asked, const caller_request& caller) const
        -> routing::request_fingerprint;

    /// The process will end before a larger model's answer would; the smallest one's has to do.
    [[nodiscard]] auto must_be_quick(const routing::route& on, const caller_request& caller) const
        -> bool
    {
        return !this->may_finish(on, caller, this->options.token_needs);
    }

    // Shared with the requests; on the same thread.
    router_hooks hooks;
    router_options options;
    std::shared_ptr<http::client> client;
    routing::server_table servers;
    routing::list_freshness freshness;
    routing::load_tracker loads;
    /// By service: what a unit of work takes differs between services by far more than within one.
    std::map<common::service_name, routing::server_speed_tracker> paces;
    routing::server_health health;
    routing::server_limiter intake;
    routing::evacuation_registry evacuations;
    routing::crash_tracker crashes;
    routing::rollout_manager rollouts;
    metrics::registry series;
    routing::wait_gauge waits;
    router_metrics counters;
    /// Requests that have no final answer yet; each enters and leaves by itself.
    std::set<relay*> open_requests;

private:
    /// A request that came before there were rules and servers.
    struct held_request {
        http::request asked;
        std::shared_ptr<http::responder> out;
        time_point received;
        bool has_left = false;
    };

    auto handle_at(http::request asked, std::shared_ptr<http::responder> out, time_point received)
        -> void;
    auto hold(http::request asked, std::shared_ptr<http::responder> out, time_point received)
        -> void;
    auto give_back(const std::shared_ptr<held_request>& one) -> void;
    /// `logged` follows in the log's line.
    auto refuse(
        const common::error& why,
        const std::string& attempt,
        http::responder& out,
        const std::string& logged = {}) -> void;
    /// Whether a request can end before the process does, if each of its tokens takes `token`.
    [[nodiscard]] auto may_finish(
        const routing::route& on,
        const caller_request& caller,
        std::chrono::milliseconds token) const -> bool;
    /// Whether a request of the route should go to another entry, since this one leaves.
    [[nodiscard]] auto should_go_elsewhere(const routing::route& on) const -> bool;
    /// When a caller that is refused for `why` should come back.
    [[nodiscard]] auto come_back_after(common::result_code why) const -> std::chrono::milliseconds;
    /// The request's print if it ends the servers that run it.
    auto find_barred(const http::request& asked, const caller_request& caller)
        -> std::optional<routing::request_fingerprint>;
    auto check(const http::request& asked, const caller_request& caller) const
        -> common::result<const routing::route*>;

    auto log_limit(
        routing::limit_change change,
        const std::string& server,
        std::optional<double> per_second,
        const std::string& source) const -> void;
    auto on_evacuations(const routing::evacuation_change& changed, const std::string& told_by)
        -> void;

    std::vector<std::shared_ptr<held_request>> held;
    std::uint64_t evacuation_changes = 0;
    std::uint64_t server_news = 0;
    time_point limit_news_at{};
    std::shared_ptr<const routing::route_table> rules_in_force;
    std::string text_in_force;
    std::optional<std::uint64_t> known_era;
    bool awaits_barred = false;
    time_point ends_at = common::never;
    time_point streams_until = common::never;
    std::map<common::service_name, placement::retry_budget> retries;
    /// Mean time to the first event in ms, newest weighted most.
    std::map<routing::route_name, double> first_event_ms;
};

/// An answer of our own for a request that is refused or failed. One that has not run says when to
/// come back.
auto own_answer(const common::error& why, std::chrono::milliseconds come_back_after)
    -> http::response;

} // namespace reedramp::router
