#include <algorithm>
#include <utility>

#include "billing/codec.hpp"
#include "calls.hpp"
#include "inventory/record.hpp"
#include "schedule.hpp"

namespace reedramp::whole_path {

namespace {

constexpr common::duration leaving_limit = 2s;

/// It ended without a word, so that nothing more came from it.
auto was_killed(const entry_node& node) -> bool
{
    return node.alive->is_ended() && !node.left;
}

/// A request that may have been sent is billed, with no tokens if none were seen.
auto has_usage(const messages::bill& item) -> bool
{
    return std::any_of(item.lines.begin(), item.lines.end(), [](const auto& line) {
        return line.used.completion_tokens.value() > 0;
    });
}

} // namespace

auto schedule::report(promise which, std::string what) -> void
{
    this->found.push_back({which, std::move(what)});
}

auto schedule::answered() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->calls.begin(), this->calls.end(), [](const auto& call) {
            return is_answered(*call.caller);
        }));
}

/// What a backend server must never be given, looked at when it is.
auto schedule::check_start(const work_start& item) -> void
{
    const auto where = item.mark + " on " + item.version.value() + " at " + item.server.value();
    const auto& node = *this->all.agents.at(item.server.value());
    if (item.mark.starts_with("two-") && item.version.value() != "v1") {
        this->report(promise::allowed_only, where);
    }
    if (node.follower->snapshot()->is_withdrawn(item.version)) {
        this->report(promise::nothing_new_on_withdrawn, where);
    }
    const auto pinned = this->pinned_marks.find(item.mark);
    if (pinned != this->pinned_marks.end() && pinned->second != item.version.value()) {
        this->report(promise::session_keeps_version, where + " pinned to " + pinned->second);
    }
    const auto is_repeated = !this->started_marks.insert(item.mark).second;
    if (is_repeated && this->at_most_once_marks.contains(item.mark)) {
        this->report(promise::at_most_once, where);
    }
    if (node.drained_at && this->all.time.now() > *node.drained_at + leaving_limit) {
        this->report(promise::nothing_new_on_leaving, where);
    }
}

auto schedule::check_offsets() -> void
{
    this->for_processes([this](const std::string& name, const auto& node) {
        const auto now = node.follower->snapshot()->offset.value();
        auto& before = this->offsets[node.alive.get()];
        if (now < before) {
            this->report(promise::configuration_only_forward, name + " went back");
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
    this->check_departures();
    this->check_configuration();
}

auto schedule::check_call(const made_call& call) -> void
{
    const auto& caller = *call.caller;
    if (caller.answers > 1) {
        this->report(promise::whole_own_answer, call.mark + " was answered twice");
    }
    if (!caller.finished && !caller.aborted && !call.has_left && !was_killed(*call.at)) {
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
    const auto text = call.is_chat ? answer_of(caller) : caller.body;
    if (caller.finished && text != wanted) {
        this->report(promise::whole_own_answer, call.mark + " got " + caller.body);
    }
}

/// A stream that is not whole says so, and what came of it is the answer's start.
auto schedule::check_stream(const made_call& call, const std::string& wanted) -> void
{
    const auto& caller = *call.caller;
    const auto text = caller.streamed_text();
    const auto is_whole = caller.is_complete_stream();
    const auto is_right = is_whole ? text == wanted : wanted.starts_with(text);
    const auto says_so = is_whole || !caller.finished || !caller.problem_name().empty();
    if (!is_right || !says_so) {
        this->report(promise::whole_own_answer, call.mark + " got the stream " + text);
    }
}

auto schedule::check_refusal(const made_call& call) -> void
{
    const auto id = request_of(*call.caller);
    if (!id || call.caller->execution() != "not_run") {
        return;
    }
    const auto& starts = this->all.starts;
    const auto ran = std::any_of(
        starts.begin(), starts.end(), [&id](const auto& item) { return item.request == *id; });
    if (ran) {
        const auto why = call.caller->problem_name();
        this->report(promise::not_run_is_true, call.mark + " ran, refused as " + why);
    }
}

/// Bills of the log by request, as its readers count them. An entry that was killed may have lost
/// the bills of its last second; see docs/PROMISES.md.
auto schedule::check_bills() -> void
{
    std::set<common::request_id> known;
    for (const auto& item : this->all.starts) {
        known.insert(item.request);
    }
    for (const auto& call : this->calls) {
        known.insert(request_of(*call.caller).value_or(common::request_id{}));
    }
    std::set<common::request_id> billed;
    for (const auto& record : this->all.log.records(platform::streams::bills)) {
        const auto batch = billing::parse(record.data);
        for (const auto& item : batch.value().bills) {
            billed.insert(item.request);
            if (!known.contains(item.request) && has_usage(item)) {
                this->report(
                    promise::billed_once, to_string(item.request) + " is billed in addition");
            }
        }
    }
    for (const auto& call : this->calls) {
        const auto id = request_of(*call.caller);
        if (is_answered(*call.caller) && !was_killed(*call.at) && id && !billed.contains(*id)) {
            this->report(promise::billed_once, call.mark + " is not billed");
        }
    }
}

auto schedule::check_departures() -> void
{
    for (const auto& node : this->stopped_entries) {
        if (node->cut > 0 || (!node->left && !node->alive->is_ended())) {
            const auto what = node->host.value() + " cut " + std::to_string(node->cut);
            this->report(promise::shutdown_cuts_nothing, what);
        }
    }
    for (const auto& node : this->drained_agents) {
        if (!node->alive->is_ended() && !node->core->is_idle()) {
            this->report(promise::shutdown_cuts_nothing, node->server.value() + " is not idle");
        }
    }
}

/// Every process has the whole log in force, and all agree on what each record did.
auto schedule::check_configuration() -> void
{
    const auto head = this->all.log.head(platform::streams::configuration);
    this->for_processes([this, head](const std::string& name, const auto& node) {
        if (node.alive->is_ended()) {
            return;
        }
        const auto state = node.follower->snapshot();
        if (state->offset != head) {
            const auto what = name + " is at " + std::to_string(state->offset.value());
            this->report(promise::configuration_only_forward, what);
        }
        for (const auto& [id, answer] : this->published) {
            const auto* outcome = state->find_outcome(common::record_id(id));
            const auto is_in_force = outcome != nullptr && outcome->code == common::result_code::ok;
            const auto said_no = !answer && answer.error().code == common::result_code::conflict;
            if ((answer && !is_in_force) || (said_no && is_in_force)) {
                auto what = name;
                what += " disagrees on " + id;
                this->report(promise::configuration_only_forward, std::move(what));
            }
        }
    });
}

} // namespace reedramp::whole_path
