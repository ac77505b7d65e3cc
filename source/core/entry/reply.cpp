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
    item.events = sse_writer(item.id, item.version, item.context->hooks.wall_now());
    item.response = response_phase::started;
    item.responder->start(std::move(head));
}

/// Usage for the caller. A server that continues a stream counts the text already sent as part of
/// its prompt, but the caller sent one prompt and received one response.
auto usage_for_caller(const exchange& item, const messages::usage& last) -> messages::usage
{
    const auto continued = item.attempt.first_token_index;
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
    line += " server=" + item.placement.server.value();
    line += " attempts=" + std::to_string(item.attempt.number.value());
    line += " code=" + std::string(common::row_of(code).name);
    line += " execution=" + std::string(common::to_string(run));
    common::log(common::log_part::entry, common::log_level::info, line);
}

} // namespace

auto add_reedramp_headers(const exchange& item, http::response& response) -> void
{
    response.headers.push_back(
        {std::string(header_names::request_id), common::to_string(item.billing_id)});
    if (!item.version.value().empty()) {
        response.headers.push_back({std::string(header_names::version), item.version.value()});
    }
    if (item.pin && item.headers.session_token) {
        response.headers.push_back(
            {std::string(header_names::session), *item.headers.session_token});
    }
}

auto send_error(exchange& item, const common::error& why) -> void
{
    if (item.response == response_phase::ended) {
        return;
    }
    item.context->counters.count_refusal(why.code);
    if (item.response == response_phase::started) {
        item.response = response_phase::ended;
        item.responder->write(sse_writer::error_event(why, item.billing_id));
        item.responder->finish();
        return;
    }
    item.response = response_phase::ended;
    auto response = problem_response(why, item.billing_id, item.context->hooks.now());
    if (!item.version.value().empty()) {
        response.headers.push_back({std::string(header_names::version), item.version.value()});
    }
    item.responder->send(std::move(response));
}

auto send_response(exchange& item, http::response response) -> void
{
    if (item.response != response_phase::none) {
        return;
    }
    item.response = response_phase::ended;
    add_reedramp_headers(item, response);
    item.responder->send(std::move(response));
}

auto send_chunk(exchange& item, std::string_view text) -> void
{
    if (item.response == response_phase::none) {
        start_stream(item);
    }
    if (item.response == response_phase::started) {
        item.responder->write(item.events.chunk(text));
    }
}

auto send_final_events(exchange& item, const messages::finished_event& finished) -> void
{
    if (item.response == response_phase::none) {
        start_stream(item);
    }
    if (item.response != response_phase::started) {
        return;
    }
    item.response = response_phase::ended;
    std::optional<messages::usage> used;
    if (item.chat.include_usage) {
        used = usage_for_caller(item, finished.used);
    }
    item.responder->write(item.events.final_events(finished.finish_reason, used));
    item.responder->finish();
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
    if (context.is_draining) {
        context.on_request_ended();
    }
}

auto refuse(const exchange_ptr& item, common::error why) -> void
{
    // A filter that runs again after a failed attempt doesn't know about that attempt.
    why.run = combine_execution(why.run, item->past_execution);
    send_error(*item, why);
    end_exchange(item, why.code, why.run);
}

auto record_decision(exchange& item, common::log_part part, decision_step step) -> void
{
    std::string line = step.kind + " chosen=" + step.chosen + " reason=" + step.reason;
    if (!step.runner_up.empty()) {
        line += " runner_up=" + step.runner_up;
    }
    line += " request=" + common::to_string(item.id);
    common::log(part, common::log_level::info, line);
    item.decisions.steps.push_back(std::move(step));
}

} // namespace reedramp::entry
