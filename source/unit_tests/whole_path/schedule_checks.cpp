#include <algorithm>
#include <utility>

#include "billing/codec.hpp"
#include "calls.hpp"
#include "inventory/record.hpp"
#include "schedule.hpp"

namespace reedramp::whole_path {

namespace {

constexpr common::duration leaving_limit = 2s;

/// Whether the process ended abruptly, so that its callers may have no answer.
auto was_killed(const entry_node& node) -> bool
{
    return node.process->is_ended() && !node.has_exited;
}

/// Whether the bill has completion tokens. A request that may have been sent is billed too, with no
/// tokens if none were received.
auto has_usage(const messages::bill& item) -> bool
{
    return std::any_of(item.lines.begin(), item.lines.end(), [](const auto& line) {
        return line.used.completion_tokens.value() > 0;
    });
}

} // namespace

auto schedule::report(promise which, std::string what) -> void
{
    this->violations.push_back({which, std::move(what)});
}

auto schedule::answered() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->calls.begin(), this->calls.end(), [](const auto& call) {
            return is_answered(*call.caller);
        }));
}

/// Checks a request at its start on a backend server: whether its version is allowed there, and
/// whether it may run.
auto schedule::check_start(const work_start& item) -> void
{
    const auto where = item.mark + " on " + item.version.value() + " at " + item.server.value();
    const auto& node = *this->test_fleet.agents.at(item.server.value());
    if (item.mark.starts_with("two-") && item.version.value() != "v1") {
        this->report(promise::allowed_only, where);
    }
    if (node.follower->snapshot()->is_withdrawn(item.version)) {
        this->report(promise::nothing_new_on_withdrawn, where);
    }
    const auto pinned = this->pinned_versions.find(item.mark);
    if (pinned != this->pinned_versions.end() && pinned->second != item.version.value()) {
        this->report(promise::session_keeps_version, where + " pinned to " + pinned->second);
    }
    const auto is_repeated = !this->started_marks.insert(item.mark).second;
    if (is_repeated && this->at_most_once_marks.contains(item.mark)) {
        this->report(promise::at_most_once, where);
    }
    if (node.drained_at && this->test_fleet.time.now() > *node.drained_at + leaving_limit) {
        this->report(promise::nothing_new_on_leaving, where);
    }
}

auto schedule::check_offsets() -> void
{
    this->for_each_process([this](const std::string& name, const auto& node) {
        const auto now = node.follower->snapshot()->offset.value();
        auto& before = this->offsets[node.process.get()];
        if (now < before) {
            this->report(
                promise::configuration_only_forward, name + " went back to an older configuration");
        }
        before = now;
    });
}

auto schedule::check_end() -> void
{
    for (const auto& call : this->calls) {
        this->check_call(call);
    }
    this->check_bills();
    this->check_shutdowns();
    this->check_configuration();
}

auto schedule::check_call(const made_call& call) -> void
{
    const auto& caller = *call.caller;
    if (caller.answers > 1) {
        this->report(promise::whole_own_answer, call.mark + " was answered twice");
    }
    if (!caller.finished && !caller.aborted && !call.has_disconnected && !was_killed(*call.at)) {
        this->report(promise::whole_own_answer, call.mark + " was never answered");
    }
    this->check_answer(call);
    this->check_refusal(call);
}

auto schedule::check_answer(const made_call& call) -> void
{
    const auto& caller = *call.caller;
    if (caller.head.status != 200 || caller.answers == 0) {
        return;
    }
    const auto version = caller.header("Reedramp-Version");
    const auto wanted = call.is_chat ? fleet::answer_text(call.mark, version) : "done " + call.mark;
    if (is_stream(caller)) {
        this->check_stream(call, wanted);
        return;
    }
    const auto text = call.is_chat ? chat_answer_text(caller) : caller.body;
    if (caller.finished && text != wanted) {
        this->report(promise::whole_own_answer, call.mark + " got " + caller.body);
    }
}

/// An incomplete stream must report an error, and its text must be a prefix of the answer.
auto schedule::check_stream(const made_call& call, const std::string& wanted) -> void
{
    const auto& caller = *call.caller;
    const auto text = caller.streamed_text();
    const auto is_whole = caller.is_complete_stream();
    const auto is_expected_text = is_whole ? text == wanted : wanted.starts_with(text);
    const auto reports_failure = is_whole || !caller.finished || !caller.problem_name().empty();
    if (!is_expected_text || !reports_failure) {
        this->report(promise::whole_own_answer, call.mark + " got the stream " + text);
    }
}

auto schedule::check_refusal(const made_call& call) -> void
{
    const auto id = request_id_of(*call.caller);
    if (!id || call.caller->execution() != "not_run") {
        return;
    }
    const auto& work_starts = this->test_fleet.work_starts;
    const auto ran = std::any_of(work_starts.begin(), work_starts.end(), [&id](const auto& item) {
        return item.request == *id;
    });
    if (ran) {
        const auto why = call.caller->problem_name();
        this->report(promise::not_run_is_true, call.mark + " ran, refused as " + why);
    }
}

/// Checks the bills in the log by request, as the log's readers count them. An entry that was
/// killed may have lost the bills of its last second; see docs/PROMISES.md.
auto schedule::check_bills() -> void
{
    std::set<common::request_id> known;
    for (const auto& item : this->test_fleet.work_starts) {
        known.insert(item.request);
    }
    for (const auto& call : this->calls) {
        known.insert(request_id_of(*call.caller).value_or(common::request_id{}));
    }
    std::set<common::request_id> billed;
    for (const auto& record : this->test_fleet.log.records(platform::streams::bills)) {
        const auto batch = billing::parse(record.data);
        for (const auto& item : batch.value().bills) {
            billed.insert(item.request);
            if (!known.contains(item.request) && has_usage(item)) {
                this->report(
                    promise::billed_once,
                    to_string(item.request) + " is billed but was not requested");
            }
        }
    }
    for (const auto& call : this->calls) {
        const auto id = request_id_of(*call.caller);
        if (is_answered(*call.caller) && !was_killed(*call.at) && id && !billed.contains(*id)) {
            this->report(promise::billed_once, call.mark + " is not billed");
        }
    }
}

auto schedule::check_shutdowns() -> void
{
    for (const auto& node : this->stopped_entries) {
        if (node->cut_requests > 0 || (!node->has_exited && !node->process->is_ended())) {
            const auto what = node->host.value() + " cut " + std::to_string(node->cut_requests);
            this->report(promise::shutdown_cuts_nothing, what);
        }
    }
    for (const auto& node : this->drained_agents) {
        if (!node->process->is_ended() && !node->core->is_idle()) {
            this->report(promise::shutdown_cuts_nothing, node->server.value() + " is not idle");
        }
    }
}

/// Every process has applied the whole configuration log, and all agree on each record's outcome.
auto schedule::check_configuration() -> void
{
    const auto head = this->test_fleet.log.head(platform::streams::configuration);
    this->for_each_process([this, head](const std::string& name, const auto& node) {
        if (node.process->is_ended()) {
            return;
        }
        const auto state = node.follower->snapshot();
        if (state->offset != head) {
            const auto what = name + " has the configuration only up to offset " +
                              std::to_string(state->offset.value());
            this->report(promise::configuration_only_forward, what);
        }
        for (const auto& [id, answer] : this->published) {
            const auto* outcome = state->find_outcome(common::record_id(id));
            const auto is_in_force = outcome != nullptr && outcome->code == common::result_code::ok;
            const auto is_rejected =
                !answer && answer.error().code == common::result_code::conflict;
            if ((answer && !is_in_force) || (is_rejected && is_in_force)) {
                auto what = name;
                what += " has another outcome of record " + id;
                this->report(promise::configuration_only_forward, std::move(what));
            }
        }
    });
}

} // namespace reedramp::whole_path
