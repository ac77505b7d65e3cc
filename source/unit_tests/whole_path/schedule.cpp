#include "schedule.hpp"

#include <algorithm>
#include <utility>

#include "calls.hpp"
#include "inventory.hpp"

/// The calls and faults of a schedule; schedule_checks.cpp has the checks.
namespace reedramp::whole_path {

namespace {

constexpr common::duration start_time = 2s;
constexpr int steps = 50;
constexpr std::uint64_t longest_step_ms = 300;
constexpr std::uint64_t fault_permille = 250;
/// Callers' deadlines are 5 s; a bill that met a fault may wait 5 s for its next append.
constexpr common::duration settling_time = 14s;
constexpr std::uint64_t longest_pause_ms = 3000;
/// A withdrawal that was taken while the log was down may be appended late; from then on it has to
/// be in force everywhere within this time.
constexpr common::duration in_force_within = 6s;

const std::vector<std::string> entry_names{"e1", "e2"};
const std::vector<std::string> agent_names{"a1", "a2", "a3"};

auto milliseconds(std::uint64_t count) -> common::duration
{
    return std::chrono::milliseconds(count);
}

} // namespace

schedule::schedule(std::uint64_t seed, mutation fault) : all(seed, fault)
{
    this->all.on_start = [this](const work_start& item) {
        this->check_start(item);
    };
}

auto schedule::run() -> const std::vector<violation>&
{
    this->start();
    for (auto count = 0; count < steps; ++count) {
        this->step();
    }
    this->heal();
    this->check_end();
    return this->found;
}

auto schedule::start() -> void
{
    this->all.gathers_bills = this->draw(2) == 0;
    for (const auto& name : entry_names) {
        this->all.start_entry(name);
    }
    for (const auto& name : agent_names) {
        this->all.start_agent(name);
    }
    this->all.hosts.set_lag(this->draw(2) == 0 ? 30s : 1s);
    this->all.run(start_time);
    this->all.net.faults.lost = this->draw(60);
    this->all.net.faults.doubled = this->draw(60);
    this->all.net.faults.late = this->draw(60);
    this->all.broken_calls = this->draw(60);
}

auto schedule::step() -> void
{
    if (this->draw(1000) < fault_permille) {
        this->make_fault();
    }
    else {
        this->make_call();
    }
    this->all.run(milliseconds(1 + this->draw(longest_step_ms)));
    this->check_offsets();
}

/// Ends all faults, starts what has ended, and lets everything come to its end.
auto schedule::heal() -> void
{
    this->all.net.faults = {};
    this->all.broken_calls = 0;
    this->all.log.set_faults({});
    this->revive();
    auto head = this->all.log.head(platform::streams::configuration);
    auto end = this->all.time.now() + settling_time;
    while (this->all.time.now() < end) {
        this->all.run(1s);
        this->check_offsets();
        const auto newest = this->all.log.head(platform::streams::configuration);
        end = newest == head ? end : std::max(end, this->all.time.now() + in_force_within);
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
        &schedule::leave_one};
    (this->*kinds[this->draw(kinds.size())])();
}

auto schedule::send(const std::string& mark, http::request request) -> void
{
    const auto host = this->one_of(entry_names);
    const auto& node = this->all.entries.at(host);
    if (node->alive->is_ended() || node->closed) {
        return;
    }
    const auto is_chat = request.target == "/v1/chat/completions";
    this->calls.push_back({mark, node, this->all.call(host, std::move(request)), is_chat});
}

auto schedule::call_chat() -> void
{
    const std::string organisation = this->draw(3) == 0 ? "two" : "one";
    const auto mark = organisation + "-" + std::to_string(++this->marks);
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
        const auto mark = "one-" + std::to_string(++this->marks);
        this->pinned_marks[mark] = opened.header("Reedramp-Version");
        this->send(mark, chat("one", mark, {this->draw(2) == 0, token}));
    }
}

/// A caller's tool may send the same call to both entries, at once or after a while.
auto schedule::call_note() -> void
{
    const auto mark = "one-" + std::to_string(++this->marks);
    const std::string method = this->draw(3) == 0 ? "GET" : "POST";
    if (method == "POST") {
        this->at_most_once_marks.insert(mark);
    }
    const auto key = this->draw(2) == 0 ? "key-" + mark : std::string();
    const auto copies = key.empty() ? 1 : 1 + this->draw(3);
    for (std::uint64_t copy = 0; copy < copies; ++copy) {
        this->send(mark, note_call("one", mark, key, method));
        this->all.run(this->draw(2) == 0 ? 0s : milliseconds(this->draw(longest_step_ms)));
    }
}

/// Half of the sessions have a name that the caller chose, and are opened at both entries.
auto schedule::open_sessions() -> void
{
    const auto name = this->draw(2) == 0 ? "talk-" + std::to_string(this->draw(3)) : std::string();
    for (const auto& host : entry_names) {
        if (!this->all.entries.at(host)->alive->is_ended()) {
            this->sessions.push_back(this->all.call(host, open_session("one", name)));
        }
    }
    this->all.run(100ms);
}

auto schedule::leave_one() -> void
{
    if (this->calls.empty()) {
        return;
    }
    auto& call = this->calls[this->draw(this->calls.size())];
    if (call.caller->finished || call.has_left) {
        return;
    }
    call.has_left = true;
    call.at->alive->post([caller = call.caller] {
        if (!caller->finished) {
            caller->disconnect();
        }
    });
}

// ---- faults

auto schedule::make_fault() -> void
{
    static const std::vector<void (schedule::*)()> kinds{
        &schedule::disturb_entry,
        &schedule::disturb_entry,
        &schedule::disturb_agent,
        &schedule::disturb_agent,
        &schedule::disturb_log,
        &schedule::change_configuration,
        &schedule::revive};
    (this->*kinds[this->draw(kinds.size())])();
}

/// Kills or suspends the process; false if it is to leave gracefully instead.
auto schedule::disturb(life& alive, const std::function<auto()->void>& kill) -> bool
{
    switch (this->draw(3)) {
    case 0:
        kill();
        return true;
    case 1:
        alive.suspend(milliseconds(this->draw(longest_pause_ms)));
        return true;
    default:
        return false;
    }
}

auto schedule::disturb_entry() -> void
{
    const auto name = this->one_of(entry_names);
    const auto node = this->all.entries.at(name);
    if (node->alive->is_ended()) {
        this->all.start_entry(name);
        return;
    }
    const auto is_done = this->disturb(*node->alive, [&] { this->all.kill_entry(name); });
    if (!is_done && !node->leaving) {
        this->all.stop_entry(name);
        this->stopped_entries.push_back(node);
    }
}

auto schedule::disturb_agent() -> void
{
    const auto name = this->one_of(agent_names);
    const auto node = this->all.agents.at(name);
    if (node->alive->is_ended()) {
        this->all.start_agent(name);
        return;
    }
    const auto is_done = this->disturb(*node->alive, [&] { this->all.kill_agent(name); });
    if (!is_done && !node->drained_at && node->core) {
        this->all.drain_agent(name);
        this->drained_agents.push_back(node);
    }
}

auto schedule::disturb_log() -> void
{
    platform::log_faults faults;
    faults.down = this->draw(2) == 0;
    faults.slow = milliseconds(this->draw(300));
    faults.lose_answer_every = this->draw(2) == 0 ? 2 : 0;
    faults.lose_append_every = this->draw(2) == 0 ? 3 : 0;
    this->all.log.set_faults(faults);
}

/// Operators at both entries change the same price, or one withdraws a version.
auto schedule::change_configuration() -> void
{
    if (this->draw(3) == 0) {
        this->withdraw();
        return;
    }
    const auto price = 9'000'000 + static_cast<int>(this->draw(1000));
    for (const auto& host : entry_names) {
        if (this->all.entries.at(host)->alive->is_ended()) {
            continue;
        }
        const auto id = "price-" + std::to_string(++this->marks);
        this->all.publish(host, id, put_price("v1", price), [this, id](auto answer) {
            this->published.emplace(id, std::move(answer));
        });
    }
}

/// v1 is the only version of organisation "two" and stays. Where the log is down the withdrawal
/// goes from process to process.
auto schedule::withdraw() -> void
{
    const auto host = this->one_of(entry_names);
    const auto& node = *this->all.entries.at(host);
    const auto version = this->one_of({"v2", "v3"});
    if (node.alive->is_ended()) {
        return;
    }
    const auto id = "withdraw-" + std::to_string(++this->marks);
    if (this->all.log.faults().down) {
        node.follower->withdraw(common::version_id(version), common::record_id(id), "anna");
        return;
    }
    this->all.publish(host, id, R"({"withdraw":")" + version + "\"}", [](const auto&) {});
}

/// Starts what has ended; the platform replaces what is leaving.
auto schedule::revive() -> void
{
    for (const auto& name : entry_names) {
        if (this->all.entries.at(name)->alive->is_ended()) {
            this->all.start_entry(name);
        }
    }
    for (const auto& name : agent_names) {
        const auto& node = *this->all.agents.at(name);
        const auto is_done = node.drained_at && node.core->is_idle();
        if (is_done && !node.alive->is_ended()) {
            this->all.kill_agent(name);
        }
        if (node.alive->is_ended()) {
            this->all.start_agent(name);
        }
    }
    if (this->all.fault == mutation::reverting_follower) {
        this->all.forget_configuration("e1");
    }
}

} // namespace reedramp::whole_path
