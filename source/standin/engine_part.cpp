#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

#include "chat.hpp"
#include "engine_model.hpp"
#include "parts.hpp"
#include "platform/json_fields.hpp"

namespace reedramp::standin {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_conflict = 409;
constexpr std::uint16_t status_unavailable = 503;
/// Maximum number of tokens per socket write, for an engine without decode delay, which has many
/// tokens ready at once.
constexpr std::uint64_t max_tokens_per_write = 512;
/// Writing pauses above this many unsent bytes and resumes at `resume_backlog_bytes`.
constexpr std::size_t max_backlog_bytes = std::size_t{512} * 1024;
constexpr std::size_t resume_backlog_bytes = max_backlog_bytes / 4;

/// An answer in progress.
struct active_answer {
    responder_pointer responder;
    chat_writer writer;
    bool stream = false;
    /// Index of the next token to write, and of the first token that is not generated yet.
    std::uint64_t next_write = 0;
    std::uint64_t generated = 0;
    bool started = false;
    bool is_waiting_for_socket = false;
};

struct engine_part {
    engine_part(part_server& given_server, const engine_settings& given_config)
        : server(given_server), config(given_config), model({
                                                          given_config.slots,
                                                          given_config.queue_limit,
                                                          given_config.prefill_us_per_token,
                                                          given_config.decode_us_per_token,
                                                      }),
          cache(given_config.cache_entries),
          versions(given_config.versions.begin(), given_config.versions.end())
    {
    }

    auto serve(const http::request& request, const responder_pointer& responder) -> void
    {
        const auto path = strip_query(request.target);
        if (path == "/v1/chat/completions" && request.method == "POST") {
            this->handle_chat(request, responder);
            return;
        }
        if (path == "/load" && request.method == "GET") {
            this->server.reply(responder, json_response(status_ok, this->load_report()));
            return;
        }
        if (path == "/orders" && request.method == "POST") {
            this->handle_order(request, responder);
            return;
        }
        responder->send(error_response(status_not_found, "no such path"));
    }

    /// When the `down` fault is set, cancels all answers in progress and closes their connections.
    auto apply(const faults& current) -> void
    {
        if (!current.down) {
            return;
        }
        auto cancelled = std::exchange(this->answers, {});
        for (auto& [id, answer] : cancelled) {
            this->model.cancel(id, this->now());
            answer.responder->abort();
        }
    }

    auto handle_chat(const http::request& request, const responder_pointer& responder) -> void
    {
        const auto parsed = parse_chat(request.body);
        if (!parsed) {
            const auto body = chat_error("invalid_request", parsed.error().detail);
            responder->send(json_response(status_bad_request, body));
            return;
        }
        if (!this->versions.contains(parsed->version)) {
            const auto body = chat_error("model_not_found", "not loaded: " + parsed->version);
            responder->send(json_response(status_not_found, body));
            return;
        }
        const auto id = ++this->last_id;
        auto answer = this->plan_answer(id, *parsed, responder);
        const engine_job job{
            id,
            parsed->priority,
            this->count_uncached(*parsed),
            answer.writer.plan.tokens - answer.writer.first_token,
            parsed->stream,
            std::chrono::milliseconds(this->server.current_faults().slow_ms),
        };
        if (!this->model.submit(job, this->now())) {
            responder->send(
                json_response(status_unavailable, chat_error("overloaded", "the queue is full")));
            return;
        }
        this->answers.emplace(id, std::move(answer));
        responder->on_disconnect([this, id] { this->release(id); });
        this->advance();
    }

    auto
    plan_answer(std::uint64_t id, const chat_request& request, const responder_pointer& responder)
        -> active_answer
    {
        const auto length = answer_length(request.prompt);
        const auto resumes = this->config.honours_resume && request.resume_after.has_value();
        active_answer answer;
        answer.responder = responder;
        answer.stream = request.stream;
        auto& writer = answer.writer;
        writer.id = id;
        writer.plan.version = request.version;
        writer.plan.prompt_hash = hash_prompt(request.prompt);
        writer.plan.tokens = std::min(length, request.max_tokens.value_or(length));
        writer.plan.bad = this->server.current_faults().bad;
        writer.prompt_tokens = request.prefixes.empty() ? 0 : request.prefixes.back().tokens;
        const auto start = resumes ? *request.resume_after : request.continued_tokens;
        writer.first_token = std::min(start, writer.plan.tokens);
        writer.cut_by_limit = writer.plan.tokens < length;
        answer.next_write = writer.first_token;
        answer.generated = writer.first_token;
        return answer;
    }

    /// Returns the number of prompt tokens after the longest cached prefix, and adds all prefixes
    /// to the cache.
    auto count_uncached(const chat_request& request) -> std::uint64_t
    {
        std::uint64_t cached = 0;
        for (const auto& prefix : request.prefixes) {
            if (this->cache.use(prefix.hash)) {
                cached = prefix.tokens;
            }
        }
        if (cached != 0) {
            this->cache.count_hit();
        }
        return request.prefixes.back().tokens - cached;
    }

    /// Advances the model to the current time, sends the resulting tokens, and sets a timer for the
    /// next ones.
    auto advance() -> void
    {
        for (const auto& step : this->model.advance(this->now())) {
            this->apply_progress(step);
        }
        const auto due = this->model.next_due();
        if (!due || (this->timer_due && *this->timer_due <= *due)) {
            return;
        }
        this->timer_due = due;
        this->server.environment().timers(*due, [this, when = *due] {
            if (this->timer_due == when) {
                this->timer_due.reset();
            }
            this->advance();
        });
    }

    auto apply_progress(const engine_progress& step) -> void
    {
        const auto found = this->answers.find(step.id);
        if (found == this->answers.end()) {
            return;
        }
        auto& answer = found->second;
        answer.generated = answer.writer.first_token + step.tokens;
        if (answer.stream) {
            this->write_tokens(step.id);
            return;
        }
        if (step.finished) {
            const auto ended = std::move(answer);
            this->answers.erase(found);
            this->send_response(ended);
        }
    }

    auto send_response(const active_answer& answer) -> void
    {
        const auto cut = this->server.current_faults().cut_after_tokens;
        if (cut != 0 && answer.writer.plan.tokens > cut) {
            answer.responder->abort();
            return;
        }
        auto response = json_response(status_ok, answer.writer.format_response());
        // `part_server::reply` isn't used here, because it would add `slow_ms` again: the model has
        // already applied it before the prefill.
        const auto every = this->server.current_faults().lose_answer_every;
        ++this->finished_count;
        if (every != 0 && this->finished_count % every == 0) {
            answer.responder->abort();
            return;
        }
        answer.responder->send(std::move(response));
    }

    /// Writes the generated tokens until the socket's backlog reaches its limit, and ends the
    /// response after the last token.
    auto write_tokens(std::uint64_t id) -> void
    {
        const auto found = this->answers.find(id);
        if (found == this->answers.end() || found->second.is_waiting_for_socket) {
            return;
        }
        auto& answer = found->second;
        if (!std::exchange(answer.started, true)) {
            answer.responder->start({status_ok, {{"Content-Type", "text/event-stream"}}, {}});
        }
        while (answer.next_write < answer.generated) {
            if (answer.responder->backlog() > max_backlog_bytes) {
                this->wait_for_socket(id, answer);
                return;
            }
            if (!this->write_batch(answer)) {
                this->release(id);
                return;
            }
        }
        if (answer.next_write == answer.writer.plan.tokens) {
            answer.responder->write(answer.writer.format_final_events());
            answer.responder->finish();
            this->answers.erase(id);
        }
    }

    auto wait_for_socket(std::uint64_t id, active_answer& answer) -> void
    {
        answer.is_waiting_for_socket = true;
        answer.responder->when_drained(resume_backlog_bytes, [this, id] {
            const auto found = this->answers.find(id);
            if (found != this->answers.end()) {
                found->second.is_waiting_for_socket = false;
                this->write_tokens(id);
            }
        });
    }

    /// Writes the next batch of tokens. Returns false if `cut_after_tokens` ends the connection.
    auto write_batch(active_answer& answer) const -> bool
    {
        const std::uint64_t cut = this->server.current_faults().cut_after_tokens;
        auto end = std::min(answer.generated, answer.next_write + max_tokens_per_write);
        const auto cut_at = answer.writer.first_token + cut;
        const auto is_cut = cut != 0 && end > cut_at;
        end = is_cut ? cut_at : end;
        std::string events;
        answer.writer.append_events(events, answer.next_write, end);
        answer.next_write = end;
        answer.responder->write(std::move(events));
        if (is_cut) {
            // Close only after the tokens before the cut are sent, so that they reach the client.
            answer.responder->when_drained(
                1, [responder = answer.responder] { responder->abort(); });
        }
        return !is_cut;
    }

    /// Removes an answer whose client has disconnected or whose connection is cut, and frees its
    /// slot.
    auto release(std::uint64_t id) -> void
    {
        if (this->answers.erase(id) == 0) {
            return;
        }
        this->model.cancel(id, this->now());
        this->advance();
    }

    /// Returns the load report, which may be up to `load_lag_ms` old.
    auto load_report() -> std::string
    {
        const std::chrono::milliseconds lag(this->config.load_lag_ms);
        const auto now = this->now();
        if (!this->report.empty() && now < this->reported_at + lag) {
            return this->report;
        }
        const auto wait =
            std::chrono::duration_cast<std::chrono::milliseconds>(this->model.estimated_wait(now));
        const boost::json::object body{
            {"running", this->model.running_count()},
            {"queued", this->model.queued_count()},
            {"estimated_wait_ms", wait.count()},
            {"versions", boost::json::value_from(this->versions)},
            {"cache_hits", this->cache.hits()},
            {"role", this->role},
            {"fencing", this->highest_fencing},
        };
        this->report = boost::json::serialize(body);
        this->reported_at = now;
        return this->report;
    }

    auto handle_order(const http::request& request, const responder_pointer& responder) -> void
    {
        const auto fields = platform::parse_object(request.body);
        const auto action = fields ? platform::string_field(*fields, "action") : std::nullopt;
        const auto fencing = fields ? platform::count_field(*fields, "fencing") : std::nullopt;
        if (!action || !fencing) {
            responder->send(error_response(status_bad_request, "needs action and fencing"));
            return;
        }
        if (this->config.checks_fencing && *fencing < this->highest_fencing) {
            const boost::json::object body{{"highest", this->highest_fencing}};
            this->server.reply(
                responder, json_response(status_conflict, boost::json::serialize(body)));
            return;
        }
        this->highest_fencing = std::max(this->highest_fencing, *fencing);
        const auto version = platform::string_field(*fields, "version").value_or("");
        if (*action == "role") {
            this->role = platform::string_field(*fields, "role").value_or(this->role);
            this->server.reply(responder, json_response(status_ok, "{}"));
            return;
        }
        this->load_or_unload(*action, version, responder);
    }

    auto load_or_unload(
        const std::string& action, const std::string& version, const responder_pointer& responder)
        -> void
    {
        const auto is_valid = version.find_first_of("\"\\") == std::string::npos;
        const auto is_known = action == "load" || action == "unload";
        if (version.empty() || !is_valid || !is_known) {
            responder->send(
                error_response(status_bad_request, "needs load or unload, and a version"));
            return;
        }
        if (action == "unload") {
            this->versions.erase(version);
            this->server.reply(responder, json_response(status_ok, "{}"));
            return;
        }
        const auto load_duration =
            std::chrono::milliseconds(this->versions.contains(version) ? 0 : this->config.load_ms);
        this->server.environment().timers(this->now() + load_duration, [this, version, responder] {
            this->versions.insert(version);
            this->server.reply(responder, json_response(status_ok, "{}"));
        });
    }

    [[nodiscard]] auto now() const -> common::time_point
    {
        return this->server.environment().clock();
    }

    part_server& server;
    engine_settings config;
    engine_model model;
    prefix_cache cache;
    std::set<std::string> versions;
    std::string role = "both";
    std::uint64_t highest_fencing = 0;
    std::uint64_t last_id = 0;
    std::uint64_t finished_count = 0;
    std::unordered_map<std::uint64_t, active_answer> answers;
    std::optional<common::time_point> timer_due;
    std::string report;
    common::time_point reported_at{};
};

} // namespace

auto open_engine(
    const part_environment& environment, const std::string& address, const engine_settings& config)
    -> part_result
{
    part_description description{
        "engine", config.name, {address, config.port}, down_behaviour::closed_connection};
    auto server = std::make_unique<part_server>(std::move(description), environment);
    const auto part = std::make_shared<engine_part>(*server, config);
    part_server::hooks hooks;
    hooks.serve = [part](const http::request& request, const responder_pointer& responder) {
        part->serve(request, responder);
    };
    hooks.faults_changed = [part](const faults& current) {
        part->apply(current);
    };
    const auto opened = server->open(std::move(hooks));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    return server;
}

} // namespace reedramp::standin
