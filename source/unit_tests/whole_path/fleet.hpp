#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent/core.hpp"
#include "billing/collector.hpp"
#include "claims/claim_arbiter_set.hpp"
#include "entry/claim_router.hpp"
#include "entry/core.hpp"
#include "entry/placer.hpp"
#include "entry/version_policy.hpp"
#include "inventory/follower.hpp"
#include "inventory/publisher.hpp"
#include "limits/shared_limiter.hpp"
#include "membership/host_watcher.hpp"
#include "membership/view.hpp"
#include "network.hpp"
#include "platform/fake_log.hpp"
#include "platform/fake_platform.hpp"
#include "platform/fake_time.hpp"
#include "unit_tests/agent/agent_fixture.hpp"
#include "unit_tests/entry/core_fixture.hpp"

/// Entries, agents and the platform in one process on one virtual clock, connected as the daemons
/// connect them, but by hooks alone.
namespace reedramp::whole_path {

using namespace std::chrono_literals;
using entry::test::fake_caller;

inline constexpr auto data_centre = "vienna-1";

/// One start of work on a backend server.
struct work_start {
    common::server_id server;
    common::incarnation_id incarnation;
    common::request_id request;
    /// Empty on a plain service.
    common::version_id version;
    /// The caller's mark in the prompt, or the body of a call of the service.
    std::string mark;
    common::time_point at;
};

/// The faulty behaviour that a test of the checks switches on.
enum class mutation : std::uint8_t {
    none,
    /// Agents and entries see every organisation as allowed everything.
    all_allowed,
    /// Agents keep the first configuration that they saw.
    deaf_agent,
    /// Entries take the wrong version for a session's requests.
    moved_session,
    /// Each bill comes a second time under another id.
    doubled_bill,
    /// The backend server answers with another request's text.
    foreign_answer,
    /// A replaced agent says that it is the one before, without that one's table.
    forgetful_agent,
    /// An agent says that it has refused a request that it does not know, and records nothing.
    unrecorded_refusal,
    /// A draining agent goes on taking work.
    undrained_agent,
    /// A leaving entry gives up what runs.
    hasty_shutdown,
    /// A follower that takes over an older state from time to time.
    reverting_follower,
};

struct engine;

struct entry_node {
    common::host_id host;
    messages::rpc_address address;
    life_ptr alive;
    std::shared_ptr<membership::view> members;
    std::shared_ptr<membership::host_watcher> hosts;
    std::shared_ptr<entry::placer> placer;
    std::shared_ptr<inventory::follower> follower;
    std::shared_ptr<inventory::publisher> publisher;
    std::shared_ptr<claims::claim_arbiter_set> claim_arbiters;
    std::shared_ptr<entry_program::claim_router> claiming;
    std::shared_ptr<billing::collector> bills;
    std::shared_ptr<limits::shared_limiter> shares;
    std::shared_ptr<entry::version_policy> versions;
    std::shared_ptr<entry::core> core;
    /// Calls on open connections that the process has not read yet.
    std::size_t unread = 0;
    bool leaving = false;
    /// Its listener and all connections of callers are closed.
    bool closed = false;
    bool left = false;
    std::size_t cut = 0;
};

struct agent_node {
    common::server_id server;
    common::host_id host;
    messages::rpc_address address;
    life_ptr alive;
    common::incarnation_id incarnation;
    std::shared_ptr<membership::host_watcher> hosts;
    std::shared_ptr<inventory::follower> follower;
    /// Null until the agent is registered.
    std::shared_ptr<agent::core> core;
    std::optional<common::time_point> drained_at;
};

using entry_ptr = std::shared_ptr<entry_node>;
using agent_ptr = std::shared_ptr<agent_node>;

/// Two entries e1 and e2; engines a1 and a2 and the plain service a3 ("notes"); model "m" with
/// versions v1 (dear), v2 (cheap) and v3. Organisation "one" may use all, "two" only v1. API keys
/// are the organisations' names.
class fleet {
public:
    explicit fleet(std::uint64_t seed, mutation fault = mutation::none);
    ~fleet();
    fleet(const fleet&) = delete;
    auto operator=(const fleet&) -> fleet& = delete;

    auto start_entry(const std::string& host) -> void;
    auto start_agent(const std::string& server) -> void;

    /// The process ends without a word.
    auto kill_entry(const std::string& host) -> void;
    auto kill_agent(const std::string& server) -> void;

    /// What the daemons do at SIGTERM.
    auto stop_entry(const std::string& host) -> void;
    auto drain_agent(const std::string& server) -> void;

    /// The entry's configuration starts again from nothing: what a follower must never do.
    auto forget_configuration(const std::string& host) -> void;

    /// Publishes at this entry; `changes` is JSON text.
    auto publish(
        const std::string& host,
        const std::string& id,
        const std::string& changes,
        std::function<auto(common::result<inventory::publication> answer)->void> done) -> void;

    auto call(const std::string& host, http::request request) -> std::shared_ptr<fake_caller>;

    auto run(common::duration span) -> void { this->time.run_for(span); }

    [[nodiscard]] auto entry_at(const std::string& host) -> entry_node&
    {
        return *this->entries.at(host);
    }

    [[nodiscard]] auto agent_at(const std::string& server) -> agent_node&
    {
        return *this->agents.at(server);
    }

    /// Text of a whole answer.
    static auto answer_text(const std::string& mark, const std::string& version) -> std::string;

    platform::fake_time time{common::time_point{1h}};
    platform::fake_log log;
    platform::fake_hosts hosts;
    platform::fake_ratings ratings;
    network net;
    std::map<std::string, entry_ptr> entries;
    std::map<std::string, agent_ptr> agents;
    /// Everything that was ever started on backend servers.
    std::vector<work_start> starts;
    /// Chance, in thousandths, that a backend server loses a call after it has begun.
    std::uint64_t broken_calls = 0;
    /// e2 passes its bills on to e1, which appends them with its own.
    bool gathers_bills = false;
    /// Called at each start, before it is recorded.
    std::function<auto(const work_start& item)->void> on_start = nullptr;
    const mutation fault;

private:
    auto make_members(entry_node& node) -> void;
    auto make_claims(entry_node& node) -> void;
    auto make_follower(const life_ptr& alive) -> inventory::follower_hooks;
    auto entry_follower(const entry_node& node) -> std::shared_ptr<inventory::follower>;
    auto make_bills(const entry_node& node) -> std::shared_ptr<billing::collector>;
    auto make_core(const entry_ptr& node) -> void;
    auto connect_rules(const entry_ptr& node, entry::core_hooks& parts) -> void;
    auto connect_accounts(const entry_ptr& node, entry::core_hooks& parts) -> void;
    auto open_entry(const entry_ptr& node) -> void;
    auto serve_agent(agent_node& node, common::incarnation_id incarnation) -> void;
    auto snapshot_for(const agent_node& node) -> inventory::snapshot_ptr;
    auto tick_agent(agent_node& node) -> void;
    auto list_agent(const agent_node& node, platform::host_state state) -> void;
    auto list_entry(const entry_node& node, platform::host_state state) -> void;
    auto wait_for_callers(entry_node& node, common::time_point limit) -> void;
    auto settle_bills(entry_node& node, common::time_point limit) -> void;
    auto leave(entry_node& node) -> void;

    auto start_work(
        const agent_node& node, const agent::backend_call& call, agent::backend_events events)
        -> std::shared_ptr<agent::backend_handle>;
    auto answer_chat(
        const agent_node& node,
        const std::shared_ptr<agent::test::fake_backend>& work,
        const work_start& item) -> void;
    auto log_for(const life_ptr& alive) -> platform::log_hooks;
    auto list_for(const life_ptr& alive) -> platform::host_hooks;
    [[nodiscard]] auto seen_by(const inventory::snapshot_ptr& state) const
        -> inventory::snapshot_ptr;

    common::random_hook random;
    std::map<std::string, common::incarnation_id> last_incarnation;
    std::map<std::string, inventory::snapshot_ptr> first_seen;
    std::uint64_t lives = 0;
    /// Processes that were replaced; what they have asked for may still name them.
    std::vector<entry_ptr> earlier_entries;
    std::vector<agent_ptr> earlier_agents;
};

} // namespace reedramp::whole_path
