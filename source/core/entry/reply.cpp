#include "entry/reply.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/recovery.hpp"

namespace reedramp::entry {

namespace {

auto start_stream(exchange& item) -> void
{
    http::response head;
    head.headers.push_back({"Content-Type", "text/event-stream"});
    head.headers.push_back({"Cache-Control", "no-cache"});
    add_reedramp_headers(item, head);
    item.events = sse_writer(item.id, item.version, item.context->parts.wall_now());
    item.answer = answer_phase::started;
    item.out->start(std::move(head));
}

/// Usage as the caller sees it. A server that goes on with a stream reads what was sent as part of
/// its prompt; the caller has asked for one prompt and got one answer.
auto usage_of_whole(const exchange& item, const messages::usage& last) -> messages::usage
{
    const auto continued = item.attempt.first_token;
    if (continued == 0) {
        return last;
    }
    const auto prompt = last.prompt_tokens.value();
    return {
        common::token_count(prompt - std::min(prompt, continued)),
        common::token_count(item.tokens.sent())};
}

auto log_end(const exchange& item, common::result_code code, common::execution run) -> void
{
    std::string line = "request ended request=" + common::to_string(item.id);
    line += " organisation=" + item.organisation.value();
    line += " version=" + item.version.value();
    line += " server=" + item.placed.server.value();
    line += " attempts=" + std::to_string(item.attempt.number.value());
    line += " code=" + std::string(common::row_of(code).name);
    line += " execution=" + std::string(common::to_string(run));
    common::log(common::log_part::entry, common::log_level::info, line);
}

} // namespace

auto add_reedramp_headers(const exchange& item, http::response& answer) -> void
{
    answer.headers.push_back(
        {std::string(header_names::request_id), common::to_string(item.billed_as)});
    if (!item.version.value().empty()) {
        answer.headers.push_back({std::string(header_names::version), item.version.value()});
    }
    if (item.pin && item.headers.session_token) {
        answer.headers.push_back({std::string(header_names::session), *item.headers.session_token});
    }
}

auto send_error(exchange& item, const common::error& why) -> void
{
    if (item.answer == answer_phase::ended) {
        return;
    }
    item.context->counted.count_refusal(why.code);
    if (item.answer == answer_phase::started) {
        item.answer = answer_phase::ended;
        item.out->write(sse_writer::broken(why, item.billed_as));
        item.out->finish();
        return;
    }
    item.answer = answer_phase::ended;
    auto answer = problem_answer(why, item.billed_as, item.context->parts.now());
    if (!item.version.value().empty()) {
        answer.headers.push_back({std::string(header_names::version), item.version.value()});
    }
    item.out->send(std::move(answer));
}

auto send_answer(exchange& item, http::response answer) -> void
{
    if (item.answer != answer_phase::none) {
        return;
    }
    item.answer = answer_phase::ended;
    add_reedramp_headers(item, answer);
    item.out->send(std::move(answer));
}

auto send_piece(exchange& item, std::string_view text) -> void
{
    if (item.answer == answer_phase::none) {
        start_stream(item);
    }
    if (item.answer == answer_phase::started) {
        item.out->write(item.events.piece(text));
    }
}

auto send_ending(exchange& item, const messages::finished_event& finished) -> void
{
    if (item.answer == answer_phase::none) {
        start_stream(item);
    }
    if (item.answer != answer_phase::started) {
        return;
    }
    item.answer = answer_phase::ended;
    std::optional<messages::usage> used;
    if (item.chat.include_usage) {
        used = usage_of_whole(item, finished.used);
    }
    item.out->write(item.events.ending(finished.finish_reason, used));
    item.out->finish();
}

auto end_exchange(const exchange_ptr& item, common::result_code code, common::execution run) -> void
{
    if (item->ended) {
        return;
    }
    item->ended = true;
    item->result = code;
    if (item->chain != nullptr) {
        item->chain->end(*item);
    }
    log_end(*item, code, run);
    item->decisions.request = item->id;
    item->decisions.organisation = item->organisation;
    item->decisions.code = code;
    item->decisions.run = run;
    auto& context = *item->context;
    context.decisions.add(std::move(item->decisions));
    context.requests.remove(*item);
    if (context.leaving) {
        context.request_ended();
    }
}

auto refuse(const exchange_ptr& item, common::error why) -> void
{
    // A filter that is run again after a failed attempt knows only of this time.
    why.run = together(why.run, item->past);
    send_error(*item, why);
    end_exchange(item, why.code, why.run);
}

auto note_decision(exchange& item, common::log_part part, decision_step step) -> void
{
    std::string line = step.what + " chosen=" + step.chosen + " reason=" + step.reason;
    if (!step.runner_up.empty()) {
        line += " runner_up=" + step.runner_up;
    }
    line += " request=" + common::to_string(item.id);
    common::log(part, common::log_level::info, line);
    item.decisions.steps.push_back(std::move(step));
}

} // namespace reedramp::entry
