#include "schedule.hpp"

#include <algorithm>
#include <utility>

#include "calls.hpp"
#include "configuration_records.hpp"

/// Calls and faults of a schedule; the checks are in schedule_checks.cpp.
namespace reedramp::whole_path {

namespace {

constexpr common::duration start_time = 2s;
constexpr int steps = 50;
constexpr std::uint64_t longest_step_ms = 300;
constexpr std::uint64_t fault_permille = 250;
/// Callers' deadlines are 5 s, and a bill whose append failed may wait 5 s for the retry.
constexpr common::duration settling_time = 14s;
constexpr std::uint64_t longest_pause_ms = 3000;
/// A withdrawal accepted while the log was down may be appended late; it must be in force
/// everywhere within this time after the append.
constexpr common::duration in_force_within = 6s;

const std::vector<std::string> entry_names{"e1", "e2"};
const std::vector<std::string> agent_names{"a1", "a2", "a3"};

auto milliseconds(std::uint64_t count) -> common::duration
{
    return std::chrono::milliseconds(count);
}

} // namespace

schedule::schedule(std::uint64_t seed, mutation fault) : test_fleet(seed, fault)
{
    this->test_fleet.on_start = [this](const work_start& item) {
        this->check_start(item);
    };
}

auto schedule::run() -> const std::vector<violation>&
{
    this->start();
    for (auto count = 0; count < steps; ++count) {
        this->step();
    }
    this->recover();
    this->check_end();
    return this->violations;
}

auto schedule::start() -> void
{
    this->test_fleet.forwards_bills = this->draw(2) == 0;
    for (const auto& name : entry_names) {
        this->test_fleet.start_entry(name);
    }
    for (const auto& name : agent_names) {
        this->test_fleet.start_agent(name);
    }
    this->test_fleet.hosts.set_lag(this->draw(2) == 0 ? 30s : 1s);
    this->test_fleet.run(start_time);
    this->test_fleet.net.faults.lost = this->draw(60);
    this->test_fleet.net.faults.duplicated = this->draw(60);
    this->test_fleet.net.faults.delayed = this->draw(60);
    this->test_fleet.backend_failure_permille = this->draw(60);
}

auto schedule::step() -> void
{
    if (this->draw(1000) < fault_permille) {
        this->inject_fault();
    }
    else {
        this->make_call();
    }
    this->test_fleet.run(milliseconds(1 + this->draw(longest_step_ms)));
    this->check_offsets();
}

/// Removes all faults, restarts ended processes, and waits until all requests have ended and the
/// configuration log no longer grows.
auto schedule::recover() -> void
{
    this->test_fleet.net.faults = {};
    this->test_fleet.backend_failure_permille = 0;
    this->test_fleet.log.set_faults({});
    this->restart_ended();
    auto head = this->test_fleet.log.head(platform::streams::configuration);
    auto end = this->test_fleet.time.now() + settling_time;
    while (this->test_fleet.time.now() < end) {
        this->test_fleet.run(1s);
        this->check_offsets();
        const auto newest = this->test_fleet.log.head(platform::streams::configuration);
        end = newest == head ? end : std::max(end, this->test_fleet.time.now() + in_force_within);
        head = newest;
    }
}

// ---- calls

auto schedule::make_call() -> void
{
    static const std::vector<void (schedule::*)()> kinds{
        &schedule::call_chat,
        &schedule::call_chat,
        &schedule::call_session,
        &schedule::call_session,
        &schedule::call_note,
        &schedule::call_note,
        &schedule::open_sessions,
        &schedule::disconnect_caller};
    (this->*kinds[this->draw(kinds.size())])();
}

auto schedule::send(const std::string& mark, http::request request) -> void
{
    const auto host = this->one_of(entry_names);
    const auto& node = this->test_fleet.entries.at(host);
    if (node->process->is_ended() || node->closed) {
        return;
    }
    const auto is_chat = request.target == "/v1/chat/completions";
    this->calls.push_back({mark, node, this->test_fleet.call(host, std::move(request)), is_chat});
}

auto schedule::call_chat() -> void
{
    const std::string organisation = this->draw(3) == 0 ? "two" : "one";
    const auto mark = organisation + "-" + std::to_string(++this->mark_count);
    const auto model = this->draw(4) == 0 ? this->one_of({"v1", "v2", "v3"}) : "m";
    this->send(mark, chat(organisation, mark, {this->draw(2) == 0, {}, model}));
}

auto schedule::call_session() -> void
{
    if (this->sessions.empty()) {
        return;
    }
    const auto& opened = *this->sessions[this->draw(this->sessions.size())];
    const auto token = opened.header("Reedramp-Session");
    if (!token.empty()) {
        const auto mark = "one-" + std::to_string(++this->mark_count);
        this->pinned_versions[mark] = opened.header("Reedramp-Version");
        this->send(mark, chat("one", mark, {this->draw(2) == 0, token}));
    }
}

/// Sends a service call, sometimes repeatedly with the same idempotency key and to either entry, as
/// a caller's client that retries does.
auto schedule::call_note() -> void
{
    const auto mark = "one-" + std::to_string(++this->mark_count);
    const std::string method = this->draw(3) == 0 ? "GET" : "POST";
    if (method == "POST") {
        this->at_most_once_marks.insert(mark);
    }
    const auto key = this->draw(2) == 0 ? "key-" + mark : std::string();
    const auto copies = key.empty() ? 1 : 1 + this->draw(3);
    for (std::uint64_t copy = 0; copy < copies; ++copy) {
        this->send(mark, note_call("one", mark, key, method));
        this->test_fleet.run(this->draw(2) == 0 ? 0s : milliseconds(this->draw(longest_step_ms)));
    }
}

/// Opens a session at each entry; half of the time both requests have the same name chosen by the
/// caller.
auto schedule::open_sessions() -> void
{
    const auto name = this->draw(2) == 0 ? "talk-" + std::to_string(this->draw(3)) : std::string();
    for (const auto& host : entry_names) {
        if (!this->test_fleet.entries.at(host)->process->is_ended()) {
            this->sessions.push_back(this->test_fleet.call(host, open_session("one", name)));
        }
    }
    this->test_fleet.run(100ms);
}

auto schedule::disconnect_caller() -> void
{
    if (this->calls.empty()) {
        return;
    }
    auto& call = this->calls[this->draw(this->calls.size())];
    if (call.caller->finished || call.has_disconnected) {
        return;
    }
    call.has_disconnected = true;
    call.at->process->post([caller = call.caller] {
        if (!caller->finished) {
            caller->disconnect();
        }
    });
}

// ---- faults

auto schedule::inject_fault() -> void
{
    static const std::vector<void (schedule::*)()> kinds{
        &schedule::inject_entry_fault,
        &schedule::inject_entry_fault,
        &schedule::inject_agent_fault,
        &schedule::inject_agent_fault,
        &schedule::inject_log_fault,
        &schedule::change_configuration,
        &schedule::restart_ended};
    (this->*kinds[this->draw(kinds.size())])();
}

/// Kills or suspends the process; false if the caller should stop it gracefully instead.
auto schedule::kill_or_suspend(simulated_process& process, const std::function<auto()->void>& kill)
    -> bool
{
    switch (this->draw(3)) {
    case 0:
        kill();
        return true;
    case 1:
        process.suspend(milliseconds(this->draw(longest_pause_ms)));
        return true;
    default:
        return false;
    }
}

auto schedule::inject_entry_fault() -> void
{
    const auto name = this->one_of(entry_names);
    const auto node = this->test_fleet.entries.at(name);
    if (node->process->is_ended()) {
        this->test_fleet.start_entry(name);
        return;
    }
    const auto is_done =
        this->kill_or_suspend(*node->process, [&] { this->test_fleet.kill_entry(name); });
    if (!is_done && !node->leaving) {
        this->test_fleet.stop_entry(name);
        this->stopped_entries.push_back(node);
    }
}

auto schedule::inject_agent_fault() -> void
{
    const auto name = this->one_of(agent_names);
    const auto node = this->test_fleet.agents.at(name);
    if (node->process->is_ended()) {
        this->test_fleet.start_agent(name);
        return;
    }
    const auto is_done =
        this->kill_or_suspend(*node->process, [&] { this->test_fleet.kill_agent(name); });
    if (!is_done && !node->drained_at && node->core) {
        this->test_fleet.drain_agent(name);
        this->drained_agents.push_back(node);
    }
}

auto schedule::inject_log_fault() -> void
{
    platform::log_faults faults;
    faults.down = this->draw(2) == 0;
    faults.slow = milliseconds(this->draw(300));
    faults.lose_answer_every = this->draw(2) == 0 ? 2 : 0;
    faults.lose_append_every = this->draw(2) == 0 ? 3 : 0;
    this->test_fleet.log.set_faults(faults);
}

/// Changes the same price at both entries at once, or withdraws a version.
auto schedule::change_configuration() -> void
{
    if (this->draw(3) == 0) {
        this->withdraw();
        return;
    }
    const auto price = 9'000'000 + static_cast<int>(this->draw(1000));
    for (const auto& host : entry_names) {
        if (this->test_fleet.entries.at(host)->process->is_ended()) {
            continue;
        }
        const auto id = "price-" + std::to_string(++this->mark_count);
        this->test_fleet.publish(host, id, put_price("v1", price), [this, id](auto answer) {
            this->published.emplace(id, std::move(answer));
        });
    }
}

/// Withdraws v2 or v3; v1 stays, because organisation "two" may use no other version. While the log
/// is down, the withdrawal spreads between the processes instead.
auto schedule::withdraw() -> void
{
    const auto host = this->one_of(entry_names);
    const auto& node = *this->test_fleet.entries.at(host);
    const auto version = this->one_of({"v2", "v3"});
    if (node.process->is_ended()) {
        return;
    }
    const auto id = "withdraw-" + std::to_string(++this->mark_count);
    if (this->test_fleet.log.faults().down) {
        node.follower->withdraw(common::version_id(version), common::record_id(id), "anna");
        return;
    }
    this->test_fleet.publish(host, id, R"({"withdraw":")" + version + "\"}", [](const auto&) {});
}

/// Restarts ended processes and replaces drained agents that are idle, as the platform does.
auto schedule::restart_ended() -> void
{
    for (const auto& name : entry_names) {
        if (this->test_fleet.entries.at(name)->process->is_ended()) {
            this->test_fleet.start_entry(name);
        }
    }
    for (const auto& name : agent_names) {
        const auto& node = *this->test_fleet.agents.at(name);
        const auto is_done = node.drained_at && node.core->is_idle();
        if (is_done && !node.process->is_ended()) {
            this->test_fleet.kill_agent(name);
        }
        if (node.process->is_ended()) {
            this->test_fleet.start_agent(name);
        }
    }
    if (this->test_fleet.fault == mutation::configuration_rollback) {
        this->test_fleet.reset_configuration("e1");
    }
}

} // namespace reedramp::whole_path
