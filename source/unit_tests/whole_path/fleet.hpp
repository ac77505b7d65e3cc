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

/// Simulates entries, agents and the platform in one process on one virtual clock. The components
/// are connected as in the daemons, but through hooks instead of sockets.
namespace reedramp::whole_path {

using namespace std::chrono_literals;
using entry::test::fake_caller;

inline constexpr auto data_centre = "vienna-1";

/// A request that was started on a backend server.
struct work_start {
    common::server_id server;
    common::incarnation_id incarnation;
    common::request_id request;
    /// Empty for a service call.
    common::version_id version;
    /// Unique text from the prompt, or the body of a service call.
    std::string mark;
    common::time_point at;
};

/// Deliberate bug that is switched on to test that a check detects it.
enum class mutation : std::uint8_t {
    none,
    /// Agents and entries ignore the version restrictions of all organisations.
    unrestricted_versions,
    /// Agents keep using the first configuration that they received.
    stale_configuration,
    /// Entries send a session's requests to the wrong version.
    wrong_session_version,
    /// Each bill is added a second time under another request id.
    duplicated_bill,
    /// The backend server answers with the text of another request.
    swapped_answer,
    /// A restarted agent reuses the previous incarnation's id without its table of requests.
    reused_incarnation,
    /// An agent reports an unknown request as refused without recording the refusal.
    unrecorded_refusal,
    /// A draining agent still accepts work.
    ignored_drain,
    /// A stopping entry cancels the requests in flight at once.
    immediate_shutdown,
    /// A follower returns to an older state from time to time.
    configuration_rollback,
};

struct engine;

struct entry_node {
    common::host_id host;
    messages::rpc_address address;
    process_ptr process;
    std::shared_ptr<membership::view> members;
    std::shared_ptr<membership::host_watcher> hosts;
    std::shared_ptr<entry::placer> placer;
    std::shared_ptr<inventory::follower> follower;
    std::shared_ptr<inventory::publisher> publisher;
    std::shared_ptr<claims::claim_arbiter_set> claim_arbiters;
    std::shared_ptr<entry_program::claim_router> claim_router;
    std::shared_ptr<billing::collector> bill_collector;
    std::shared_ptr<limits::shared_limiter> limiter;
    std::shared_ptr<entry::version_policy> versions;
    std::shared_ptr<entry::core> core;
    /// Number of calls on open connections that the process has not read yet.
    std::size_t unread_calls = 0;
    bool leaving = false;
    /// The listener and all connections to callers are closed.
    bool closed = false;
    bool has_exited = false;
    std::size_t cut_requests = 0;
};

struct agent_node {
    common::server_id server;
    common::host_id host;
    messages::rpc_address address;
    process_ptr process;
    common::incarnation_id incarnation;
    std::shared_ptr<membership::host_watcher> hosts;
    std::shared_ptr<inventory::follower> follower;
    /// Null until the agent is registered.
    std::shared_ptr<agent::core> core;
    std::optional<common::time_point> drained_at;
};

using entry_ptr = std::shared_ptr<entry_node>;
using agent_ptr = std::shared_ptr<agent_node>;

/// Two entries, e1 and e2; the engines a1 and a2, and a3 with the service "notes"; the model "m"
/// with the versions v1 (highest price), v2 (lowest price) and v3. Organisation "one" may use all
/// versions, "two" only v1. Each organisation's API key is its name.
class fleet {
public:
    explicit fleet(std::uint64_t seed, mutation fault = mutation::none);
    ~fleet();
    fleet(const fleet&) = delete;
    auto operator=(const fleet&) -> fleet& = delete;

    auto start_entry(const std::string& host) -> void;
    auto start_agent(const std::string& server) -> void;

    /// Ends the process abruptly; its connections break.
    auto kill_entry(const std::string& host) -> void;
    auto kill_agent(const std::string& server) -> void;

    /// Starts the graceful shutdown that the daemons run at SIGTERM.
    auto stop_entry(const std::string& host) -> void;
    auto drain_agent(const std::string& server) -> void;

    /// Replaces the entry's follower by one with no configuration, so that the offset goes back,
    /// which a correct follower never does.
    auto reset_configuration(const std::string& host) -> void;

    /// Publishes a configuration record at the entry `host`; `changes` is JSON text.
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

    /// Text of a complete answer of the simulated engine.
    static auto answer_text(const std::string& mark, const std::string& version) -> std::string;

    platform::fake_time time{common::time_point{1h}};
    platform::fake_log log;
    platform::fake_hosts hosts;
    platform::fake_ratings ratings;
    network net;
    std::map<std::string, entry_ptr> entries;
    std::map<std::string, agent_ptr> agents;
    /// All requests started on backend servers, oldest first.
    std::vector<work_start> work_starts;
    /// Probability, in thousandths, that a backend server fails a call after it started.
    std::uint64_t backend_failure_permille = 0;
    /// Whether e2 forwards its bills to e1, which appends them with its own.
    bool forwards_bills = false;
    /// Called for each started request before it is recorded in `work_starts`.
    std::function<auto(const work_start& item)->void> on_start = nullptr;
    const mutation fault;

private:
    auto make_membership(entry_node& node) -> void;
    auto make_claim_components(entry_node& node) -> void;
    auto make_follower_hooks(const process_ptr& process) -> inventory::follower_hooks;
    auto make_entry_follower(const entry_node& node) -> std::shared_ptr<inventory::follower>;
    auto make_bill_collector(const entry_node& node) -> std::shared_ptr<billing::collector>;
    auto make_core(const entry_ptr& node) -> void;
    auto connect_policy_hooks(const entry_ptr& node, entry::core_hooks& parts) -> void;
    auto connect_claim_and_bill_hooks(const entry_ptr& node, entry::core_hooks& parts) -> void;
    auto serve_entry(const entry_ptr& node) -> void;
    auto serve_agent(agent_node& node, common::incarnation_id incarnation) -> void;
    auto snapshot_for(const agent_node& node) -> inventory::snapshot_ptr;
    auto tick_agent(agent_node& node) -> void;
    auto list_agent_host(const agent_node& node, platform::host_state state) -> void;
    auto list_entry_host(const entry_node& node, platform::host_state state) -> void;
    auto wait_for_callers(entry_node& node, common::time_point limit) -> void;
    auto drain_bills(entry_node& node, common::time_point limit) -> void;
    auto exit_entry(entry_node& node) -> void;

    auto start_work(
        const agent_node& node, const agent::backend_call& call, agent::backend_events events)
        -> std::shared_ptr<agent::backend_handle>;
    auto answer_chat(
        const agent_node& node,
        const std::shared_ptr<agent::test::fake_backend>& work,
        const work_start& item) -> void;
    auto make_log_hooks(const process_ptr& process) -> platform::log_hooks;
    auto make_host_hooks(const process_ptr& process) -> platform::host_hooks;
    [[nodiscard]] auto apply_mutation(const inventory::snapshot_ptr& state) const
        -> inventory::snapshot_ptr;

    common::random_hook random;
    std::map<std::string, common::incarnation_id> last_incarnation;
    std::map<std::string, inventory::snapshot_ptr> first_snapshots;
    std::uint64_t started_processes = 0;
    /// Replaced processes, kept alive because pending callbacks may still refer to them.
    std::vector<entry_ptr> replaced_entries;
    std::vector<agent_ptr> replaced_agents;
};

} // namespace reedramp::whole_path
