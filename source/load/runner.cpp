#include "runner.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "platform/json_fields.hpp"

namespace reedramp::load {

namespace {

constexpr std::uint16_t status_created = 201;
/// How long a target that refused a connection is left out, and the pause when all have refused.
constexpr std::chrono::milliseconds refused_target_pause{1000};
constexpr std::chrono::milliseconds all_refuse_pause{100};
constexpr std::uint32_t most_refused_connects = 50;

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

auto lost(std::string why) -> answer_verdict
{
    answer_verdict verdict;
    verdict.state = answer_state::lost;
    verdict.why = std::move(why);
    return verdict;
}

} // namespace

/// One request with all its tries.
struct runner::exchange {
    arrival origin;
    const mix_settings* kind = nullptr;
    const organisation_settings* organisation = nullptr;
    http::request asked;
    /// Set for a chat.
    std::optional<expected_chat> expected;
    std::string once_body;
    /// Opens a session; not a request of the report unless it fails.
    bool opens_session = false;
    common::time_point due{};
    common::wall_time_ms wall;
    common::time_point first_token{};
    /// Body of a stream so far.
    std::string received;
    std::uint32_t tries = 0;
    std::uint32_t refused_connects = 0;
    std::size_t target = 0;
    end_hook ended;
};

/// One session with the messages so far.
struct runner::conversation {
    arrival origin;
    const mix_settings* kind = nullptr;
    std::string token;
    std::string version;
    std::uint32_t turn = 0;
    chat_prompt prompt;
};

runner::runner(const load_settings& given, runner_tools given_tools, report& into)
    : settings(given), tools(std::move(given_tools)), results(into), source(given),
      run_id(std::to_string(given.seed) + "-" + std::to_string(this->tools.wall_clock().value())),
      refused_until(given.targets.size())
{
}

auto runner::start(std::function<auto()->void> when_done) -> void
{
    this->done = std::move(when_done);
    this->started = this->tools.clock();
    this->schedule_next();
}

auto runner::schedule_next() -> void
{
    const auto next = this->source.next();
    const std::chrono::milliseconds longest(this->settings.duration_ms);
    const auto is_enough = this->settings.requests != 0 && next.number >= this->settings.requests;
    const auto is_over = this->settings.duration_ms != 0 && next.at > longest;
    if (is_enough || is_over) {
        this->end_one();
        return;
    }
    this->tools.timers(this->started + next.at, [this, next] {
        this->begin(next);
        this->schedule_next();
    });
}

auto runner::begin(const arrival& what) -> void
{
    ++this->open;
    switch (this->settings.mix[what.mix].kind) {
    case work_kind::chat:
        this->begin_chat(what);
        return;
    case work_kind::session:
        this->begin_session(what);
        return;
    case work_kind::service:
        this->begin_service(what);
        return;
    }
}

auto runner::begin_chat(const arrival& what) -> void
{
    const auto& kind = this->settings.mix[what.mix];
    chat_prompt prompt;
    prompt.system = make_system_message(kind);
    prompt.callers.push_back(make_message(kind, this->settings.seed, {what.number, 0}));
    const auto item =
        this->make_exchange(what, "/v1/chat/completions", make_chat_body(kind, prompt));
    this->expect_chat(item, prompt);
    item->ended = [this](const auto&, const auto&) {
        this->end_one();
    };
    this->send(item);
}

auto runner::begin_service(const arrival& what) -> void
{
    const auto& kind = this->settings.mix[what.mix];
    const auto note = this->run_id + "-" + std::to_string(what.number);
    const auto body = boost::json::serialize(boost::json::object{{"note", note}});
    const auto item = this->make_exchange(what, "/services/" + kind.service + kind.path, body);
    item->asked.method = kind.method;
    item->once_body = kind.at_most_once ? body : "";
    item->ended = [this](const auto&, const auto&) {
        this->end_one();
    };
    this->send(item);
}

auto runner::begin_session(const arrival& what) -> void
{
    const auto talk = std::make_shared<conversation>();
    talk->origin = what;
    talk->kind = &this->settings.mix[what.mix];
    talk->prompt.system = make_system_message(*talk->kind);
    this->open_session(talk);
}

auto runner::open_session(const conversation_pointer& talk) -> void
{
    const auto body = boost::json::serialize(boost::json::object{{"model", talk->kind->model}});
    const auto item = this->make_exchange(talk->origin, "/v1/sessions", body);
    item->opens_session = true;
    item->ended = [this, talk](const answer_verdict& verdict, const http::response& answer) {
        const auto fields = platform::parse_object(answer.body);
        if (verdict.state != answer_state::answered || !fields) {
            this->end_one();
            return;
        }
        talk->token = platform::string_field(*fields, "token").value_or("");
        talk->version = platform::string_field(*fields, "version").value_or("");
        this->next_turn(talk);
    };
    this->send(item);
}

auto runner::next_turn(const conversation_pointer& talk) -> void
{
    const auto& kind = *talk->kind;
    const message_number number{talk->origin.number, talk->turn};
    talk->prompt.callers.push_back(make_message(kind, this->settings.seed, number));
    const auto item = this->make_exchange(
        talk->origin, "/v1/chat/completions", make_chat_body(kind, talk->prompt));
    item->due = this->tools.clock();
    item->asked.headers.push_back({"Reedramp-Session", talk->token});
    this->expect_chat(item, talk->prompt);
    item->ended = [this, talk](const answer_verdict& verdict, const http::response& answer) {
        ++talk->turn;
        if (verdict.state != answer_state::answered || talk->turn >= talk->kind->turns) {
            this->end_one();
            return;
        }
        const auto renewed = http::find_header(answer.headers, "Reedramp-Session");
        talk->token = renewed ? std::string(*renewed) : talk->token;
        talk->prompt.assistants.push_back(verdict.text);
        const auto when = this->tools.clock() + std::chrono::milliseconds(talk->kind->think_ms);
        this->tools.timers(when, [this, talk] { this->next_turn(talk); });
    };
    item->expected->session_version = talk->version;
    this->send(item);
}

auto runner::make_exchange(const arrival& what, std::string path, std::string body)
    -> exchange_pointer
{
    auto item = std::make_shared<exchange>();
    item->origin = what;
    item->kind = &this->settings.mix[what.mix];
    item->organisation = &this->settings.organisations[what.organisation];
    item->due = this->started + what.at;
    item->wall = this->tools.wall_clock();
    item->asked.method = "POST";
    item->asked.target = std::move(path);
    item->asked.body = std::move(body);
    auto& headers = item->asked.headers;
    headers.push_back({"Authorization", "Bearer " + item->organisation->api_key});
    headers.push_back({"Content-Type", "application/json"});
    headers.push_back({"Reedramp-Task", item->kind->task});
    headers.push_back({"Reedramp-Deadline-Ms", std::to_string(this->settings.deadline_ms)});
    if (item->kind->keyed && item->kind->kind != work_kind::session) {
        headers.push_back({"Idempotency-Key", this->run_id + "-" + std::to_string(what.number)});
    }
    return item;
}

auto runner::expect_chat(const exchange_pointer& item, const chat_prompt& prompt) -> void
{
    expected_chat expected;
    expected.prompt = prompt.hashed_text();
    expected.tokens = item->kind->tokens;
    expected.stream = item->kind->stream;
    item->expected = std::move(expected);
}

auto runner::send(const exchange_pointer& item) -> void
{
    ++item->tries;
    item->received.clear();
    item->first_token = {};
    item->target = this->pick_target();
    http::call_events events;
    if (item->expected && item->expected->stream) {
        events.on_chunk = [this, item](const std::string& chunk) {
            if (item->received.empty()) {
                item->first_token = this->tools.clock();
            }
            item->received += chunk;
        };
    }
    events.on_done = [this, item](common::result<http::response> answer) {
        if (!answer) {
            this->take_error(item, answer.error());
            return;
        }
        this->take_answer(item, std::move(*answer));
    };
    const auto& where = this->settings.targets[item->target];
    this->tools.client->send(where, item->asked, std::move(events));
}

auto runner::pick_target() -> std::size_t
{
    const auto now = this->tools.clock();
    const auto count = this->settings.targets.size();
    for (std::size_t skipped = 0; skipped < count; ++skipped) {
        const auto target = this->next_target++ % count;
        if (this->refused_until[target] <= now) {
            return target;
        }
    }
    return this->next_target++ % count;
}

auto runner::all_refuse() const -> bool
{
    const auto now = this->tools.clock();
    return std::ranges::all_of(this->refused_until, [now](auto until) { return until > now; });
}

/// An entry that is gone: nothing was sent, and another one may take the request.
auto runner::take_refused_connect(const exchange_pointer& item) -> void
{
    this->results.count_retry("refused connect");
    ++item->refused_connects;
    --item->tries;
    this->refused_until[item->target] = this->tools.clock() + refused_target_pause;
    this->retry_later(
        item, this->all_refuse() ? all_refuse_pause : std::chrono::milliseconds::zero());
}

auto runner::take_error(const exchange_pointer& item, const common::error& why) -> void
{
    const auto is_refused_connect = why.run == common::execution::not_run;
    if (is_refused_connect && item->refused_connects < most_refused_connects) {
        this->take_refused_connect(item);
        return;
    }
    if (!item->received.empty()) {
        http::response partial;
        partial.body = std::move(item->received);
        this->end(item, check_chat(partial, *item->expected), partial);
        return;
    }
    const auto may_repeat = item->kind->kind != work_kind::service || item->kind->keyed;
    if (may_repeat && item->tries < this->settings.tries) {
        this->results.count_retry("lost connection");
        this->retry_later(item, common::duration::zero());
        return;
    }
    this->end(item, lost(std::string(common::row_of(why.code).name)), {});
}

auto runner::take_answer(const exchange_pointer& item, http::response answer) -> void
{
    if (!item->received.empty()) {
        answer.body = std::move(item->received);
    }
    const auto wait = retry_after(answer);
    const auto refusal = check_refusal(answer);
    const auto follows = this->settings.follow_retry_after && item->tries < this->settings.tries;
    if (refusal && wait && follows) {
        this->results.count_retry("refusal " + refusal->why);
        this->retry_later(item, *wait);
        return;
    }
    if (item->expected) {
        this->end(item, check_chat(answer, *item->expected), answer);
        return;
    }
    if (item->opens_session) {
        answer_verdict verdict = check_refusal(answer).value_or(answer_verdict{});
        verdict.state =
            answer.status == status_created ? answer_state::answered : answer_state::refused;
        this->end(item, verdict, answer);
        return;
    }
    this->end(item, check_service(answer, item->asked.body), answer);
}

auto runner::retry_later(const exchange_pointer& item, common::duration wait) -> void
{
    this->tools.timers(this->tools.clock() + wait, [this, item] { this->send(item); });
}

auto runner::end(const exchange_pointer& item, answer_verdict verdict, const http::response& answer)
    -> void
{
    const auto now = this->tools.clock();
    request_outcome outcome;
    outcome.kind = item->kind->name;
    outcome.organisation = item->organisation->id;
    outcome.verdict = verdict;
    outcome.request_id = http::find_header(answer.headers, "Reedramp-Request-Id").value_or("");
    outcome.total = now - item->due;
    if (item->first_token != common::time_point{}) {
        outcome.first_token = item->first_token - item->due;
    }
    outcome.started = item->wall;
    outcome.tries = item->tries;
    outcome.once_body = item->once_body;
    if (!item->opens_session || verdict.state != answer_state::answered) {
        this->results.add(outcome);
    }
    item->ended(verdict, answer);
    item->ended = nullptr;
}

auto runner::end_one() -> void
{
    --this->open;
    if (this->open == 0) {
        this->done();
    }
}

} // namespace reedramp::load
