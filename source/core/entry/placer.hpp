#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/hooks.hpp"
#include "common/result.hpp"
#include "entry/core_hooks.hpp"
#include "membership/subset.hpp"
#include "membership/view.hpp"
#include "messages/channel.hpp"
#include "placement/probe_pool.hpp"
#include "placement/server_selector.hpp"

namespace reedramp::entry {

struct placer_settings {
    membership::location self;
    membership::subset_config subset;
    placement::server_selector_settings chooser;
    placement::probe_pool_settings pool;
    /// A request doesn't wait for its probes if at least this many probe answers are at most
    /// `recent_probe_age` old and its preferred server is among them. Its own probes then serve
    /// later requests.
    std::size_t min_recent_probes = 2;
    common::duration recent_probe_age = std::chrono::milliseconds(50);
    /// How long a candidate list is reused while the membership doesn't change.
    common::duration candidates_lifetime = std::chrono::milliseconds(100);
    /// How long to wait for the incarnation of a server that has not answered a probe yet.
    common::duration incarnation_probe_timeout = std::chrono::milliseconds(1500);
    common::duration retry_after = std::chrono::seconds(1);
};

struct placer_hooks {
    common::clock_hook now;
    common::timer_hook timer;
    common::random_hook random;
    /// Implemented by `messages::agent_calls::probe`.
    std::function<auto(
                      const messages::rpc_address& to,
                      messages::probe_request request,
                      messages::answer_hook<messages::probe_answer> done)
                      ->void>
        probe;
};

/// Places requests on backend servers: the membership view lists the usable servers, probes tell
/// their load, and the chooser decides. Thread-safe; hooks are called without locks held.
class placer : public std::enable_shared_from_this<placer> {
public:
    using done_hook = std::function<auto(common::result<placement_decision> decision)->void>;

    static auto
    create(placer_settings settings, placer_hooks hooks, std::shared_ptr<membership::view> members)
        -> std::shared_ptr<placer>;

    /// Implements `core_hooks::place`. Errors: `no_capacity`.
    auto place(placement_query query, done_hook done) -> void;

    /// Implements `core_hooks::attempt_ended`: updates the membership from the result of an
    /// attempt.
    auto attempt_ended(const attempt_report& report) -> void;

    /// Marks the servers at this address as failed after a connection loss.
    auto connection_lost(const messages::rpc_address& address) -> void;

    /// Probes a server, so that the membership view learns of a new incarnation or a departure.
    auto probe(const common::server_id& server) -> void;

private:
    struct candidate_set {
        std::uint64_t generation = 0;
        common::time_point until;
        std::vector<placement::candidate> candidates;
        std::vector<messages::rpc_address> addresses;
    };

    struct pending;

    using candidate_ptr = std::shared_ptr<const candidate_set>;
    using pending_ptr = std::shared_ptr<pending>;

    placer(placer_settings wanted, placer_hooks given, std::shared_ptr<membership::view> known);

    auto candidates_for(const placement_query& query) -> candidate_ptr;
    [[nodiscard]] auto make_candidates(const placement_query& query) const -> candidate_ptr;
    [[nodiscard]] auto has_recent_probes(const pending& item, const placement::probe_plan& plan)
        -> bool;
    auto send_probes(const pending_ptr& item, const std::vector<std::size_t>& targets) -> void;
    auto on_all_probes_answered(const pending_ptr& item) -> void;
    auto apply_probe(
        const common::version_id& version,
        const placement::candidate& from,
        const common::result<messages::probe_answer>& answer) -> void;
    auto decide(const pending_ptr& item) -> void;
    auto resolve_incarnation(const pending_ptr& item, const placement::placement& chosen) -> void;

    placer_settings settings;
    placer_hooks hooks;
    std::shared_ptr<membership::view> members;
    placement::probe_pool pool;
    placement::server_selector chooser;
    std::mutex lock;
    std::unordered_map<std::string, candidate_ptr> sets;
};

} // namespace reedramp::entry
