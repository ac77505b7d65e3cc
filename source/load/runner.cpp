#include "runner.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "platform/json_fields.hpp"

namespace reedramp::load {

namespace {

constexpr std::uint16_t status_created = 201;
/// Time for which a target that refused a connection is skipped, and the delay of a retry when all
/// targets have refused.
constexpr std::chrono::milliseconds refused_target_pause{1000};
constexpr std::chrono::milliseconds all_targets_refuse_pause{100};
constexpr std::uint32_t max_refused_connections = 50;

auto retry_after(const http::response& answer) -> std::optional<std::chrono::seconds>
{
    const auto text = http::find_header(answer.headers, "Retry-After");
    if (!text) {
        return std::nullopt;
    }
    std::int64_t seconds = 0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), seconds);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

auto make_lost_verdict(std::string reason) -> answer_verdict
{
    answer_verdict verdict;
    verdict.state = answer_state::lost;
    verdict.reason = std::move(reason);
    return verdict;
}

} // namespace

/// A request and the state of its attempts.
struct runner::tracked_request {
    arrival origin;
    const mix_settings* kind = nullptr;
    const organisation_settings* organisation = nullptr;
    http::request request;
    /// Set for a chat.
    std::optional<expected_chat> expected;
    std::string at_most_once_body;
    /// The request opens a session. It appears in the report only if it fails.
    bool opens_session = false;
    common::time_point scheduled_at{};
    common::wall_time_ms started_wall;
    common::time_point first_token{};
    /// Part of a stream's body received so far.
    std::string received;
    std::uint32_t tries = 0;
    std::uint32_t refused_connections = 0;
    std::size_t target = 0;
    end_hook on_end;
};

/// A session and its messages so far.
struct runner::session_state {
    arrival origin;
    const mix_settings* kind = nullptr;
    std::string token;
    std::string version;
    std::uint32_t turn = 0;
    chat_prompt prompt;
};

runner::runner(
    const load_settings& run_settings, runner_dependencies given_dependencies, report& into)
    : settings(run_settings), dependencies(std::move(given_dependencies)), results(into),
      arrivals(run_settings), run_id(
                                  std::to_string(run_settings.seed) + "-" +
                                  std::to_string(this->dependencies.wall_clock().value())),
      refused_until(run_settings.targets.size())
{
}

auto runner::start(std::function<auto()->void> when_done) -> void
{
    this->done = std::move(when_done);
    this->started = this->dependencies.clock();
    this->schedule_next();
}

auto runner::schedule_next() -> void
{
    const auto next = this->arrivals.next();
    const std::chrono::milliseconds longest(this->settings.duration_ms);
    const auto has_all_requests =
        this->settings.requests != 0 && next.number >= this->settings.requests;
    const auto has_expired = this->settings.duration_ms != 0 && next.at > longest;
    if (has_all_requests || has_expired) {
        this->release_one();
        return;
    }
    this->dependencies.timers(this->started + next.at, [this, next] {
        this->begin_request(next);
        this->schedule_next();
    });
}

auto runner::begin_request(const arrival& origin) -> void
{
    ++this->open_count;
    switch (this->settings.mix[origin.mix].kind) {
    case work_kind::chat:
        this->begin_chat(origin);
        return;
    case work_kind::session:
        this->begin_session(origin);
        return;
    case work_kind::service:
        this->begin_service(origin);
        return;
    }
}

auto runner::begin_chat(const arrival& origin) -> void
{
    const auto& kind = this->settings.mix[origin.mix];
    chat_prompt prompt;
    prompt.system_message = make_system_message(kind);
    prompt.user_messages.push_back(make_message(kind, this->settings.seed, {origin.number, 0}));
    const auto item =
        this->make_tracked_request(origin, "/v1/chat/completions", make_chat_body(kind, prompt));
    this->expect_chat(item, prompt);
    item->on_end = [this](const auto&, const auto&) {
        this->release_one();
    };
    this->send(item);
}

auto runner::begin_service(const arrival& origin) -> void
{
    const auto& kind = this->settings.mix[origin.mix];
    const auto unique_note = this->run_id + "-" + std::to_string(origin.number);
    const auto body = boost::json::serialize(boost::json::object{{"note", unique_note}});
    const auto item =
        this->make_tracked_request(origin, "/services/" + kind.service + kind.path, body);
    item->request.method = kind.method;
    item->at_most_once_body = kind.at_most_once ? body : "";
    item->on_end = [this](const auto&, const auto&) {
        this->release_one();
    };
    this->send(item);
}

auto runner::begin_session(const arrival& origin) -> void
{
    const auto session = std::make_shared<session_state>();
    session->origin = origin;
    session->kind = &this->settings.mix[origin.mix];
    session->prompt.system_message = make_system_message(*session->kind);
    this->open_session(session);
}

auto runner::open_session(const session_state_pointer& session) -> void
{
    const auto body = boost::json::serialize(boost::json::object{{"model", session->kind->model}});
    const auto item = this->make_tracked_request(session->origin, "/v1/sessions", body);
    item->opens_session = true;
    item->on_end = [this, session](const answer_verdict& verdict, const http::response& answer) {
        const auto fields = platform::parse_object(answer.body);
        if (verdict.state != answer_state::answered || !fields) {
            this->release_one();
            return;
        }
        session->token = platform::string_field(*fields, "token").value_or("");
        session->version = platform::string_field(*fields, "version").value_or("");
        this->send_next_turn(session);
    };
    this->send(item);
}

auto runner::send_next_turn(const session_state_pointer& session) -> void
{
    const auto& kind = *session->kind;
    const message_number number{session->origin.number, session->turn};
    session->prompt.user_messages.push_back(make_message(kind, this->settings.seed, number));
    const auto item = this->make_tracked_request(
        session->origin, "/v1/chat/completions", make_chat_body(kind, session->prompt));
    item->scheduled_at = this->dependencies.clock();
    item->request.headers.push_back({"Reedramp-Session", session->token});
    this->expect_chat(item, session->prompt);
    item->on_end = [this, session](const answer_verdict& verdict, const http::response& answer) {
        ++session->turn;
        if (verdict.state != answer_state::answered || session->turn >= session->kind->turns) {
            this->release_one();
            return;
        }
        const auto renewed = http::find_header(answer.headers, "Reedramp-Session");
        session->token = renewed ? std::string(*renewed) : session->token;
        session->prompt.assistant_messages.push_back(verdict.text);
        const auto when =
            this->dependencies.clock() + std::chrono::milliseconds(session->kind->think_ms);
        this->dependencies.timers(when, [this, session] { this->send_next_turn(session); });
    };
    item->expected->session_version = session->version;
    this->send(item);
}

auto runner::make_tracked_request(const arrival& origin, std::string path, std::string body)
    -> tracked_request_pointer
{
    auto item = std::make_shared<tracked_request>();
    item->origin = origin;
    item->kind = &this->settings.mix[origin.mix];
    item->organisation = &this->settings.organisations[origin.organisation];
    item->scheduled_at = this->started + origin.at;
    item->started_wall = this->dependencies.wall_clock();
    item->request.method = "POST";
    item->request.target = std::move(path);
    item->request.body = std::move(body);
    auto& headers = item->request.headers;
    headers.push_back({"Authorization", "Bearer " + item->organisation->api_key});
    headers.push_back({"Content-Type", "application/json"});
    headers.push_back({"Reedramp-Task", item->kind->task});
    headers.push_back({"Reedramp-Deadline-Ms", std::to_string(this->settings.deadline_ms)});
    if (item->kind->keyed && item->kind->kind != work_kind::session) {
        headers.push_back({"Idempotency-Key", this->run_id + "-" + std::to_string(origin.number)});
    }
    return item;
}

auto runner::expect_chat(const tracked_request_pointer& item, const chat_prompt& prompt) -> void
{
    expected_chat expected;
    expected.prompt = prompt.text_to_hash();
    expected.tokens = item->kind->tokens;
    expected.stream = item->kind->stream;
    item->expected = std::move(expected);
}

auto runner::send(const tracked_request_pointer& item) -> void
{
    ++item->tries;
    item->received.clear();
    item->first_token = {};
    item->target = this->pick_target();
    http::call_events events;
    if (item->expected && item->expected->stream) {
        events.on_chunk = [this, item](const std::string& chunk) {
            if (item->received.empty()) {
                item->first_token = this->dependencies.clock();
            }
            item->received += chunk;
        };
    }
    events.on_done = [this, item](common::result<http::response> answer) {
        if (!answer) {
            this->handle_error(item, answer.error());
            return;
        }
        this->handle_answer(item, std::move(*answer));
    };
    const auto& endpoint = this->settings.targets[item->target];
    this->dependencies.client->send(endpoint, item->request, std::move(events));
}

auto runner::pick_target() -> std::size_t
{
    const auto now = this->dependencies.clock();
    const auto count = this->settings.targets.size();
    for (std::size_t skipped = 0; skipped < count; ++skipped) {
        const auto target = this->next_target++ % count;
        if (this->refused_until[target] <= now) {
            return target;
        }
    }
    return this->next_target++ % count;
}

auto runner::all_targets_refuse() const -> bool
{
    const auto now = this->dependencies.clock();
    return std::ranges::all_of(this->refused_until, [now](auto until) { return until > now; });
}

/// Retries with another target: nothing was sent, because the target refused the connection.
auto runner::handle_refused_connection(const tracked_request_pointer& item) -> void
{
    this->results.count_retry("refused connect");
    ++item->refused_connections;
    --item->tries;
    this->refused_until[item->target] = this->dependencies.clock() + refused_target_pause;
    this->retry_later(
        item,
        this->all_targets_refuse() ? all_targets_refuse_pause : std::chrono::milliseconds::zero());
}

auto runner::handle_error(const tracked_request_pointer& item, const common::error& error) -> void
{
    const auto is_refused_connection = error.run == common::execution::not_run;
    if (is_refused_connection && item->refused_connections < max_refused_connections) {
        this->handle_refused_connection(item);
        return;
    }
    if (!item->received.empty()) {
        http::response partial;
        partial.body = std::move(item->received);
        this->finish(item, check_chat(partial, *item->expected), partial);
        return;
    }
    const auto is_repeatable = item->kind->kind != work_kind::service || item->kind->keyed;
    if (is_repeatable && item->tries < this->settings.tries) {
        this->results.count_retry("lost connection");
        this->retry_later(item, common::duration::zero());
        return;
    }
    this->finish(item, make_lost_verdict(std::string(common::row_of(error.code).name)), {});
}

auto runner::handle_answer(const tracked_request_pointer& item, http::response answer) -> void
{
    if (!item->received.empty()) {
        answer.body = std::move(item->received);
    }
    const auto wait = retry_after(answer);
    const auto refusal = check_refusal(answer);
    const auto may_retry = this->settings.follow_retry_after && item->tries < this->settings.tries;
    if (refusal && wait && may_retry) {
        this->results.count_retry("refusal " + refusal->reason);
        this->retry_later(item, *wait);
        return;
    }
    if (item->expected) {
        this->finish(item, check_chat(answer, *item->expected), answer);
        return;
    }
    if (item->opens_session) {
        answer_verdict verdict = check_refusal(answer).value_or(answer_verdict{});
        verdict.state =
            answer.status == status_created ? answer_state::answered : answer_state::refused;
        this->finish(item, verdict, answer);
        return;
    }
    this->finish(item, check_service(answer, item->request.body), answer);
}

auto runner::retry_later(const tracked_request_pointer& item, common::duration wait) -> void
{
    this->dependencies.timers(
        this->dependencies.clock() + wait, [this, item] { this->send(item); });
}

auto runner::finish(
    const tracked_request_pointer& item, answer_verdict verdict, const http::response& answer)
    -> void
{
    const auto now = this->dependencies.clock();
    request_outcome outcome;
    outcome.kind = item->kind->name;
    outcome.organisation = item->organisation->id;
    outcome.verdict = verdict;
    outcome.request_id = http::find_header(answer.headers, "Reedramp-Request-Id").value_or("");
    outcome.total = now - item->scheduled_at;
    if (item->first_token != common::time_point{}) {
        outcome.first_token = item->first_token - item->scheduled_at;
    }
    outcome.started = item->started_wall;
    outcome.tries = item->tries;
    outcome.at_most_once_body = item->at_most_once_body;
    if (!item->opens_session || verdict.state != answer_state::answered) {
        this->results.add(outcome);
    }
    item->on_end(verdict, answer);
    item->on_end = nullptr;
}

auto runner::release_one() -> void
{
    --this->open_count;
    if (this->open_count == 0) {
        this->done();
    }
}

} // namespace reedramp::load
