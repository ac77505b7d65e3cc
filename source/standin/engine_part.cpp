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
/// Tokens of one write to the socket, when an engine that is not throttled has many ready.
constexpr std::uint64_t tokens_in_a_write = 512;
constexpr std::size_t highest_backlog_bytes = std::size_t{512} * 1024;
constexpr std::size_t low_backlog_bytes = highest_backlog_bytes / 4;

/// An answer that has not ended.
struct open_answer {
    responder_pointer out;
    chat_writer writer;
    bool stream = false;
    /// Index of the next token to write, and of the first that is not made yet.
    std::uint64_t written = 0;
    std::uint64_t made = 0;
    bool started = false;
    bool waits_for_socket = false;
};

struct engine_part {
    engine_part(part_server& given_server, const engine_settings& given)
        : server(given_server), wanted(given), model({
                                                   given.slots,
                                                   given.queue_limit,
                                                   given.prefill_us_per_token,
                                                   given.decode_us_per_token,
                                               }),
          cache(given.cache_entries), versions(given.versions.begin(), given.versions.end())
    {
    }

    auto serve(const http::request& asked, const responder_pointer& out) -> void
    {
        const auto path = path_of(asked.target);
        if (path == "/v1/chat/completions" && asked.method == "POST") {
            this->chat(asked, out);
            return;
        }
        if (path == "/load" && asked.method == "GET") {
            this->server.reply(out, json_response(status_ok, this->load_report()));
            return;
        }
        if (path == "/orders" && asked.method == "POST") {
            this->take_order(asked, out);
            return;
        }
        out->send(error_response(status_not_found, "no such path"));
    }

    /// A part that goes down drops what it was doing.
    auto apply(const faults& current) -> void
    {
        if (!current.down) {
            return;
        }
        auto dropped = std::exchange(this->answers, {});
        for (auto& [id, answer] : dropped) {
            this->model.cancel(id, this->now());
            answer.out->abort();
        }
    }

    auto chat(const http::request& asked, const responder_pointer& out) -> void
    {
        const auto request = parse_chat(asked.body);
        if (!request) {
            const auto body = chat_error("invalid_request", request.error().detail);
            out->send(json_response(status_bad_request, body));
            return;
        }
        if (!this->versions.contains(request->version)) {
            const auto body = chat_error("model_not_found", "not loaded: " + request->version);
            out->send(json_response(status_not_found, body));
            return;
        }
        const auto id = ++this->last_id;
        auto answer = this->plan(id, *request, out);
        const engine_job job{
            id,
            request->priority,
            this->count_uncached(*request),
            answer.writer.plan.tokens - answer.writer.first,
            request->stream,
            std::chrono::milliseconds(this->server.current_faults().slow_ms),
        };
        if (!this->model.submit(job, this->now())) {
            out->send(
                json_response(status_unavailable, chat_error("overloaded", "the queue is full")));
            return;
        }
        this->answers.emplace(id, std::move(answer));
        out->on_disconnect([this, id] { this->drop(id); });
        this->advance();
    }

    auto plan(std::uint64_t id, const chat_request& request, const responder_pointer& out)
        -> open_answer
    {
        const auto length = answer_length(request.prompt);
        const auto resumes = this->wanted.honours_resume && request.resume_after.has_value();
        open_answer answer;
        answer.out = out;
        answer.stream = request.stream;
        auto& writer = answer.writer;
        writer.id = id;
        writer.plan.version = request.version;
        writer.plan.prompt_hash = hash_prompt(request.prompt);
        writer.plan.tokens = std::min(length, request.max_tokens.value_or(length));
        writer.plan.bad = this->server.current_faults().bad;
        writer.prompt_tokens = request.prefixes.empty() ? 0 : request.prefixes.back().tokens;
        const auto start = resumes ? *request.resume_after : request.continued_tokens;
        writer.first = std::min(start, writer.plan.tokens);
        writer.cut_by_limit = writer.plan.tokens < length;
        answer.written = writer.first;
        answer.made = writer.first;
        return answer;
    }

    /// Prompt tokens behind the longest prefix that the cache holds.
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

    /// Lets the model make tokens up to now, and asks to be called when the next ones are due.
    auto advance() -> void
    {
        for (const auto& step : this->model.advance(this->now())) {
            this->take_progress(step);
        }
        const auto due = this->model.next_due();
        if (!due || (this->armed_for && *this->armed_for <= *due)) {
            return;
        }
        this->armed_for = due;
        this->server.tools().timers(*due, [this, when = *due] {
            if (this->armed_for == when) {
                this->armed_for.reset();
            }
            this->advance();
        });
    }

    auto take_progress(const engine_progress& step) -> void
    {
        const auto found = this->answers.find(step.id);
        if (found == this->answers.end()) {
            return;
        }
        auto& answer = found->second;
        answer.made = answer.writer.first + step.tokens;
        if (answer.stream) {
            this->write_tokens(step.id);
            return;
        }
        if (step.finished) {
            const auto ended = std::move(answer);
            this->answers.erase(found);
            this->send_whole(ended);
        }
    }

    auto send_whole(const open_answer& answer) -> void
    {
        const auto cut = this->server.current_faults().cut_after_tokens;
        if (cut != 0 && answer.writer.plan.tokens > cut) {
            answer.out->abort();
            return;
        }
        auto response = json_response(status_ok, answer.writer.whole());
        // The time that `slow_ms` costs has passed before the prefill.
        const auto every = this->server.current_faults().lose_answer_every;
        ++this->finished;
        if (every != 0 && this->finished % every == 0) {
            answer.out->abort();
            return;
        }
        answer.out->send(std::move(response));
    }

    /// Writes the tokens that are made, as far as the socket takes them.
    auto write_tokens(std::uint64_t id) -> void
    {
        const auto found = this->answers.find(id);
        if (found == this->answers.end() || found->second.waits_for_socket) {
            return;
        }
        auto& answer = found->second;
        if (!std::exchange(answer.started, true)) {
            answer.out->start({status_ok, {{"Content-Type", "text/event-stream"}}, {}});
        }
        while (answer.written < answer.made) {
            if (answer.out->backlog() > highest_backlog_bytes) {
                this->wait_for_socket(id, answer);
                return;
            }
            if (!this->write_some(answer)) {
                this->drop(id);
                return;
            }
        }
        if (answer.written == answer.writer.plan.tokens) {
            answer.out->write(answer.writer.ending());
            answer.out->finish();
            this->answers.erase(id);
        }
    }

    auto wait_for_socket(std::uint64_t id, open_answer& answer) -> void
    {
        answer.waits_for_socket = true;
        answer.out->when_drained(low_backlog_bytes, [this, id] {
            const auto found = this->answers.find(id);
            if (found != this->answers.end()) {
                found->second.waits_for_socket = false;
                this->write_tokens(id);
            }
        });
    }

    /// False if the cut fault has closed the connection.
    auto write_some(open_answer& answer) const -> bool
    {
        const std::uint64_t cut = this->server.current_faults().cut_after_tokens;
        auto end = std::min(answer.made, answer.written + tokens_in_a_write);
        const auto cut_at = answer.writer.first + cut;
        const auto is_cut = cut != 0 && end > cut_at;
        end = is_cut ? cut_at : end;
        std::string events;
        answer.writer.append_events(events, answer.written, end);
        answer.written = end;
        answer.out->write(std::move(events));
        if (is_cut) {
            // The tokens before the cut still reach the caller.
            answer.out->when_drained(1, [out = answer.out] { out->abort(); });
        }
        return !is_cut;
    }

    /// The caller has left, or the answer is cut: its slot is free.
    auto drop(std::uint64_t id) -> void
    {
        if (this->answers.erase(id) == 0) {
            return;
        }
        this->model.cancel(id, this->now());
        this->advance();
    }

    /// The report of some time ago, up to `load_lag_ms` old.
    auto load_report() -> std::string
    {
        const std::chrono::milliseconds lag(this->wanted.load_lag_ms);
        const auto now = this->now();
        if (!this->report.empty() && now < this->report_taken + lag) {
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
        this->report_taken = now;
        return this->report;
    }

    auto take_order(const http::request& asked, const responder_pointer& out) -> void
    {
        const auto fields = platform::parse_object(asked.body);
        const auto action = fields ? platform::string_field(*fields, "action") : std::nullopt;
        const auto fencing = fields ? platform::count_field(*fields, "fencing") : std::nullopt;
        if (!action || !fencing) {
            out->send(error_response(status_bad_request, "needs action and fencing"));
            return;
        }
        if (this->wanted.checks_fencing && *fencing < this->highest_fencing) {
            const boost::json::object body{{"highest", this->highest_fencing}};
            this->server.reply(out, json_response(status_conflict, boost::json::serialize(body)));
            return;
        }
        this->highest_fencing = std::max(this->highest_fencing, *fencing);
        const auto version = platform::string_field(*fields, "version").value_or("");
        if (*action == "role") {
            this->role = platform::string_field(*fields, "role").value_or(this->role);
            this->server.reply(out, json_response(status_ok, "{}"));
            return;
        }
        this->load_or_unload(*action, version, out);
    }

    auto load_or_unload(
        const std::string& action, const std::string& version, const responder_pointer& out) -> void
    {
        const auto is_plain = version.find_first_of("\"\\") == std::string::npos;
        const auto is_known = action == "load" || action == "unload";
        if (version.empty() || !is_plain || !is_known) {
            out->send(error_response(status_bad_request, "needs load or unload, and a version"));
            return;
        }
        if (action == "unload") {
            this->versions.erase(version);
            this->server.reply(out, json_response(status_ok, "{}"));
            return;
        }
        const auto takes =
            std::chrono::milliseconds(this->versions.contains(version) ? 0 : this->wanted.load_ms);
        this->server.tools().timers(this->now() + takes, [this, version, out] {
            this->versions.insert(version);
            this->server.reply(out, json_response(status_ok, "{}"));
        });
    }

    [[nodiscard]] auto now() const -> common::time_point { return this->server.tools().clock(); }

    part_server& server;
    engine_settings wanted;
    engine_model model;
    prefix_cache cache;
    std::set<std::string> versions;
    std::string role = "both";
    std::uint64_t highest_fencing = 0;
    std::uint64_t last_id = 0;
    std::uint64_t finished = 0;
    std::unordered_map<std::uint64_t, open_answer> answers;
    std::optional<common::time_point> armed_for;
    std::string report;
    common::time_point report_taken{};
};

} // namespace

auto open_engine(const part_tools& tools, const std::string& address, const engine_settings& wanted)
    -> opened_part
{
    part_description about{
        "engine", wanted.name, {address, wanted.port}, down_answer::closed_connection};
    auto server = std::make_unique<part_server>(std::move(about), tools);
    const auto part = std::make_shared<engine_part>(*server, wanted);
    part_server::hooks hooks;
    hooks.serve = [part](const http::request& asked, const responder_pointer& out) {
        part->serve(asked, out);
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
