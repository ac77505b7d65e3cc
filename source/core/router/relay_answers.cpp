#include <charconv>
#include <utility>

#include "common/log.hpp"
#include "router/relay.hpp"
#include "routing/model_choice.hpp"

/// What servers' answers mean for a request: the half of `relay` that reads.
namespace reedramp::router {

using common::execution;
using common::result_code;
using routing::attempt_end;
using routing::server_outcome;

namespace {

constexpr std::uint16_t misdirected = 421;

/// Second sends that larger models leave in the budget: about those that one server's loss asks
/// for. After all callers of a killed entry came back at once, larger models took the budget, and
/// streams that stalled then could not go on elsewhere.
constexpr double retries_for_lost = 8.0;

auto is_success(std::uint16_t status) -> bool
{
    return status >= 200 && status < 300; // NOLINT(readability-magic-numbers): the 2xx class
}

/// -1 for what is no number.
auto parse_confidence(std::string_view text) -> int
{
    int value = -1;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

auto relay::judge(const http::response& head) const -> verdict
{
    const auto& names = this->core->options.names;
    const bool not_run = http::find_header(head.headers, names.not_executed).has_value();
    if (not_run || head.status == misdirected) {
        return verdict::not_executed;
    }
    if (http::find_header(head.headers, "Content-Encoding")) {
        return verdict::untrusted; // Nobody asked for one, so these are not the server's bytes.
    }
    const bool is_signed = http::find_header(head.headers, names.signature).has_value();
    if (is_success(head.status)) {
        const bool echoed = http::find_header(head.headers, names.attempt).has_value();
        return is_signed && echoed ? verdict::success : verdict::untrusted;
    }
    return is_signed ? verdict::server_failure : verdict::untrusted;
}

auto relay::is_for_another(const http::response& head) const -> bool
{
    const auto echoed = http::find_header(head.headers, this->core->options.names.attempt);
    return echoed && *echoed != this->request.caller.attempt;
}

auto relay::on_head(const std::shared_ptr<attempt>& of, const http::response& head) -> void
{
    if (of->ended) {
        return;
    }
    const bool is_own = !this->is_for_another(head);
    of->said = is_own ? this->judge(head) : verdict::untrusted;
    if (of->said == verdict::success) {
        const auto took = milliseconds_between(of->sent, this->core->hooks.clock());
        this->core->paces[this->service].note(of->server, took, of->work_ahead);
    }
    if (is_own && head.status != misdirected) {
        of->words = read_server_words(head, this->core->options.names);
        this->hear_server(*of);
    }
    of->head = make_passed_on(head);
    of->last_progress = this->core->hooks.clock();
    if (of->said == verdict::untrusted) {
        // Reading on could take in what belongs to yet another request.
        common::log(
            common::log_part::place,
            common::log_level::warning,
            "answer not trusted request=" + this->request.caller.attempt +
                " server=" + of->server.id.value() + " status=" + std::to_string(head.status));
        this->leave(of, attempt_end::unknown, server_outcome::failed);
        this->try_again(result_code::outcome_unknown);
        return;
    }
    if (of->said == verdict::not_executed && head.status == misdirected) {
        // Another server has the address: the one that was meant has ended.
        this->core->servers.remove_replaced(of->server, this->core->hooks.clock());
    }
    if (of->said == verdict::success && this->is_stream() && !this->ask_larger_model(of)) {
        of->events.emplace(this->last_event);
    }
}

auto relay::hear_server(const attempt& of) const -> void
{
    const auto& words = of.words;
    if (words.is_leaving) {
        this->core->hear_leaving(of.server, this->request.caller.attempt);
    }
    if (words.rest) {
        this->core->give_rest(of.server, *words.rest);
    }
    if (of.said == verdict::untrusted) {
        return;
    }
    // A refusal may come from in front of the server, and takes nothing back by its silence.
    if (of.said != verdict::not_executed || words.limit || words.has_odd_limit) {
        this->core->hear_limit(of.server, words, this->request.caller.attempt);
    }
}

auto relay::ask_larger_model(const std::shared_ptr<attempt>& of) -> bool
{
    const auto& route = *this->request.route;
    const bool may_ask = !this->model.empty() && !this->is_streaming &&
                         this->ledger.may_discard_answer(route, this->core->options.max_sends);
    const auto said = http::find_header(of->head.headers, this->core->options.names.confidence);
    const auto confidence = said ? parse_confidence(*said) : -1;
    const bool must_be_quick = this->core->must_be_quick(route, this->request.caller);
    const auto asked = must_be_quick ? 0.0
                                     : routing::required_confidence(
                                           this->core->options.models,
                                           route,
                                           this->core->waits.level(),
                                           this->larger_would_be_late());
    const auto accepted = routing::is_accepted(route, this->model_at, confidence, asked);
    common::log(
        common::log_part::policy,
        common::log_level::info,
        "answer " + std::string{accepted ? "accepted" : "dropped"} +
            " request=" + this->request.caller.attempt + " model=" + this->model + " confidence=" +
            std::to_string(confidence) + " asked=" + std::to_string(static_cast<int>(asked)));
    // An answer that is there is not dropped where no server would take the request again: all may
    // be cold, or evacuated by now. A second model draws on the budget of second sends as any other
    // send does.
    const bool is_dropped = !accepted && may_ask && this->may_go_on_after(of->server) &&
                            this->retries().try_acquire_retry(retries_for_lost);
    if (!is_dropped) {
        return false;
    }
    this->leave(of, attempt_end::ran, server_outcome::good);
    this->use_model(routing::next_model(route));
    // The server has done nothing wrong, and may hold the prompt's shared parts.
    std::erase(this->tried, of->server);
    this->core->counters.larger_models.add();
    this->send_next();
    return true;
}

auto relay::on_bytes(const std::shared_ptr<attempt>& of, std::string bytes) -> void
{
    if (of->ended) {
        return;
    }
    of->last_progress = this->core->hooks.clock();
    if (of->events) {
        this->on_events(of, bytes);
        return;
    }
    of->body += bytes;
    if (of->body.size() > this->core->options.longest_answer) {
        this->leave(of, attempt_end::ran, server_outcome::failed);
        this->try_again(result_code::server_failed);
    }
}

auto relay::note_pace(attempt& of) const -> void
{
    if (of.is_timed) {
        return;
    }
    of.reading_sum += this->core->loads.total(of.server, of.last_progress).reading;
    of.load_samples += 1;
    // Enough pauses for one prompt that is read beside it to count little.
    constexpr std::int64_t enough_events = 7;
    if (of.events_seen < enough_events) {
        return;
    }
    const auto took = std::chrono::duration<double, std::milli>(of.last_progress - of.first_event);
    const auto pauses = static_cast<double>(of.events_seen - 1);
    this->note_time(
        of,
        {.part = routing::timed_part::event_pause,
         .took_ms = took.count() / pauses,
         .reading = of.reading_sum / of.load_samples});
}

auto relay::note_whole_time(attempt& of, routing::time_bound bound) const -> void
{
    const auto took =
        std::chrono::duration<double, std::milli>(this->core->hooks.clock() - of.sent);
    // A dropped small answer ends with its head, and would count as very fast.
    const bool is_dropped =
        this->is_stream() && bound == routing::time_bound::seen && !of.has_events;
    if (!of.is_timed && !is_dropped) {
        this->note_time(
            of,
            {.part = this->is_stream() ? routing::timed_part::whole_answer
                                       : routing::timed_part::plain_answer,
             .took_ms = took.count(),
             .bound = bound});
    }
}

auto relay::note_time(attempt& of, const routing::timed_answer& timed) const -> void
{
    of.is_timed = true;
    if (!of.is_cold) {
        this->core->rollouts.note_time(
            this->service, of.version, this->request.route->name, timed, this->core->hooks.clock());
    }
}

auto relay::on_events(const std::shared_ptr<attempt>& of, const std::string& bytes) -> void
{
    std::string whole;
    const bool in_order = of->events->add(bytes, whole);
    if (!whole.empty()) {
        if (!of->has_events) {
            of->has_events = true;
            of->first_event = of->last_progress;
            this->core->loads.reduce_work(of->server, of->prompt_work);
            of->work -= of->prompt_work;
            const auto took = milliseconds_between(of->sent, of->last_progress);
            const auto& route = this->request.route->name;
            this->core->note_first_event(route, took);
            if (!of->is_cold) {
                this->core->rollouts.note_first_event(
                    this->service, of->version, route, took, of->last_progress);
            }
        }
        if (!this->is_streaming) {
            this->is_streaming = true;
            const auto waited = milliseconds_between(this->received, of->last_progress);
            this->first_event_after = waited;
            this->core->waits.note(waited, this->request.route->target);
            this->core->counters.first_event_ms.record(static_cast<double>(waited.count()));
            this->out->start(of->head);
        }
        // Events of one datagram come at one moment; the time of the last one is what counts.
        of->events_seen += of->events->last_id() - this->last_event;
        this->note_pace(*of);
        this->last_event = of->events->last_id();
        this->out->write(std::move(whole));
    }
    if (!in_order) {
        this->leave(of, attempt_end::ran, server_outcome::failed);
        this->try_again(result_code::stream_broken);
    }
}

auto relay::on_done(
    const std::shared_ptr<attempt>& of, const common::result<http::response>& answer) -> void
{
    if (of->ended) {
        return;
    }
    if (!answer) {
        this->on_lost(of, answer.error());
        return;
    }
    switch (of->said) {
    case verdict::success:
        this->on_success(of);
        return;
    case verdict::not_executed:
        this->log_answer(*of, "server refused");
        this->settle(of, attempt_end::not_executed, server_outcome::refused);
        if (of->words.rest) {
            this->ledger.note_backoff_asked();
        }
        this->try_again(result_code::no_capacity);
        return;
    case verdict::server_failure:
        this->log_answer(*of, "server failed");
        this->settle(of, attempt_end::ran, server_outcome::failed);
        of->head.body = std::move(of->body);
        this->failure_to_pass = std::move(of->head);
        this->try_again(result_code::server_failed);
        return;
    case verdict::none:
    case verdict::untrusted:
        this->settle(of, attempt_end::unknown, server_outcome::failed);
        this->try_again(result_code::outcome_unknown);
        return;
    }
}

auto relay::log_answer(const attempt& of, std::string_view what) const -> void
{
    common::log(
        common::log_part::place,
        common::log_level::info,
        std::string{what} + " request=" + this->request.caller.attempt +
            " server=" + of.server.id.value() + " status=" + std::to_string(of.head.status) +
            (of.words.rest ? " rest_ms=" + std::to_string(of.words.rest->count()) : "") +
            (of.words.has_odd_rest ? " rest=unreadable" : ""));
}

auto relay::log_lost(const attempt& of, const common::error& why) -> void
{
    common::log(
        common::log_part::place,
        common::log_level::info,
        "attempt lost request=" + this->request.caller.attempt + " print=" +
            to_string(this->fingerprint()) + " server=" + of.server.id.value() + " after_ms=" +
            std::to_string(milliseconds_between(of.sent, this->core->hooks.clock()).count()) +
            " head=" + (of.said == verdict::none ? "no" : "yes") +
            " run=" + std::string{common::to_string(why.run)} + " detail=" + why.detail);
}

auto relay::on_lost(const std::shared_ptr<attempt>& of, const common::error& why) -> void
{
    const bool unsent = why.run == execution::not_run && of->said == verdict::none;
    const auto end = of->said != verdict::none ? attempt_end::ran
                     : unsent                  ? attempt_end::not_sent
                     : this->is_stream()       ? attempt_end::unknown_in_queue
                                               : attempt_end::unknown;
    of->was_lost = !unsent;
    this->settle(of, end, unsent ? server_outcome::unreachable : server_outcome::failed);
    this->log_lost(*of, why);
    if (unsent) {
        this->core->crashes.note_down(of->server, this->core->hooks.clock());
    }
    else {
        this->core->crashes.note_lost(
            this->fingerprint(), of->server, of->sent, this->core->hooks.clock());
    }
    this->try_again(result_code::outcome_unknown);
}

auto relay::on_success(const std::shared_ptr<attempt>& of) -> void
{
    if (of->events && of->events->has_partial_event()) {
        // The body ended as if whole, inside an event.
        this->settle(of, attempt_end::ran, server_outcome::failed);
        this->try_again(result_code::stream_broken);
        return;
    }
    this->settle(of, attempt_end::ran, server_outcome::good);
    if (this->core->crashes.has_suspects()) {
        this->core->crashes.note_served(this->fingerprint(), of->server, this->core->hooks.clock());
    }
    if (of->events && this->is_streaming) {
        this->out->finish();
    }
    else {
        of->head.body = std::move(of->body);
        this->out->send(std::move(of->head));
    }
    this->finish("served");
}

} // namespace reedramp::router
