#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet.hpp"

/// Random schedules of calls and faults, and the checks of the promises.
namespace reedramp::whole_path {

/// Guarantees to users, numbered as in docs/PROMISES.md.
enum class promise : std::uint8_t {
    allowed_only = 1,
    nothing_new_on_withdrawn,
    session_keeps_version,
    billed_once,
    whole_own_answer,
    not_run_is_true,
    at_most_once,
    nothing_new_on_leaving,
    shutdown_cuts_nothing,
    configuration_only_forward,
};

struct violation {
    promise which = promise::allowed_only;
    std::string what;
};

/// A request that a schedule sent.
struct made_call {
    std::string mark;
    std::shared_ptr<entry_node> at;
    std::shared_ptr<fake_caller> caller;
    bool is_chat = true;
    bool has_disconnected = false;
};

/// About eight seconds of random calls and faults, followed by a period without faults in which all
/// requests must end and the configuration must converge. The same seed gives the same schedule.
class schedule {
public:
    explicit schedule(std::uint64_t seed, mutation fault = mutation::none);

    /// Runs the schedule and returns the violations; valid as long as this object.
    auto run() -> const std::vector<violation>&;

    [[nodiscard]] auto answered() const -> std::size_t;

private:
    auto draw(std::uint64_t below) -> std::uint64_t
    {
        return this->test_fleet.net.random() % below;
    }

    auto one_of(const std::vector<std::string>& names) -> std::string
    {
        return names[this->draw(names.size())];
    }

    auto start() -> void;
    auto step() -> void;
    auto recover() -> void;

    auto make_call() -> void;
    auto send(const std::string& mark, http::request request) -> void;
    auto call_chat() -> void;
    auto call_session() -> void;
    auto call_note() -> void;
    auto open_sessions() -> void;
    auto disconnect_caller() -> void;

    auto inject_fault() -> void;
    auto kill_or_suspend(simulated_process& process, const std::function<auto()->void>& kill)
        -> bool;
    auto inject_entry_fault() -> void;
    auto inject_agent_fault() -> void;
    auto inject_log_fault() -> void;
    auto change_configuration() -> void;
    auto withdraw() -> void;
    auto restart_ended() -> void;

    auto check_start(const work_start& item) -> void;
    auto check_offsets() -> void;
    auto check_end() -> void;
    auto check_call(const made_call& call) -> void;
    auto check_refusal(const made_call& call) -> void;
    auto check_answer(const made_call& call) -> void;
    auto check_stream(const made_call& call, const std::string& wanted) -> void;
    auto check_bills() -> void;
    auto check_shutdowns() -> void;
    auto check_configuration() -> void;

    /// Calls `visit(name, node)` for the newest process of each name.
    template <typename Visit>
    auto for_each_process(Visit visit) -> void
    {
        for (const auto& [name, node] : this->test_fleet.entries) {
            visit(name, *node);
        }
        for (const auto& [name, node] : this->test_fleet.agents) {
            visit(name, *node);
        }
    }

    auto report(promise which, std::string what) -> void;

    std::vector<made_call> calls;
    std::vector<std::shared_ptr<fake_caller>> sessions;
    std::map<std::string, std::string> pinned_versions;
    std::set<std::string> at_most_once_marks;
    std::set<std::string> started_marks;
    std::map<const simulated_process*, std::uint64_t> offsets;
    std::map<std::string, common::result<inventory::publication>> published;
    std::vector<std::shared_ptr<entry_node>> stopped_entries;
    std::vector<std::shared_ptr<agent_node>> drained_agents;
    std::uint64_t mark_count = 0;
    std::vector<violation> violations;
    /// Declared last, thus destroyed first: its shutdown may still call back into the members
    /// above.
    fleet test_fleet;
};

} // namespace reedramp::whole_path
