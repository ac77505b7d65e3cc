#include "agent/answer_reader.hpp"

#include <utility>

namespace reedramp::agent {

using common::result_code;

namespace {

constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_request_timeout = 408;
constexpr std::uint16_t http_too_many = 429;
constexpr std::uint16_t http_first_client_error = 400;
constexpr std::uint16_t http_first_server_error = 500;
constexpr auto json_type = "application/json";

/// The engine says that the caller's request is at fault: the caller gets that answer.
auto is_callers_fault(std::uint16_t status) -> bool
{
    return status >= http_first_client_error && status < http_first_server_error &&
           status != http_request_timeout && status != http_too_many;
}

auto failed(result_code code, std::string detail, messages::usage used) -> messages::failed_event
{
    return {common::make_error(code, std::move(detail)), used};
}

} // namespace

answer_reader::answer_reader(const messages::run_request& request, std::size_t limit)
    : kind(request.kind), asked_for_stream(request.stream), version(request.version.value()),
      keep_limit(limit), next_index(request.sent_tokens.value())
{
}

auto answer_reader::head(backend_head head) -> void
{
    this->answer_head = std::move(head);
}

auto answer_reader::streams() const -> bool
{
    return this->kind == messages::work_kind::chat && this->asked_for_stream &&
           this->answer_head.http_status == http_ok;
}

auto answer_reader::chunk(std::string piece)
    -> common::result<std::optional<messages::tokens_event>>
{
    if (!this->streams()) {
        this->body += piece;
        return std::nullopt;
    }
    auto step = this->reader.feed(piece);
    if (!step) {
        return tl::unexpected(step.error());
    }
    if (step->tokens == 0) {
        return std::nullopt;
    }
    if (this->held_text.size() + step->text.size() <= this->keep_limit) {
        this->held_text += step->text;
    }
    else {
        this->held_whole = false;
    }
    messages::tokens_event event{this->next_index, step->tokens, std::move(step->text)};
    this->next_index += event.count;
    return event;
}

auto answer_reader::done(const common::result<void>& outcome) -> messages::run_event
{
    if (!outcome) {
        const auto& why = outcome.error();
        if (why.run == common::execution::not_run) {
            return messages::refused_event{
                common::make_error(result_code::no_capacity, "backend server unreachable"), {}};
        }
        return failed(result_code::server_lost, why.detail, this->used());
    }
    if (this->kind == messages::work_kind::service) {
        return messages::finished_event{
            this->answer_head.http_status,
            this->answer_head.content_type,
            std::move(this->body),
            {},
            {}};
    }
    return this->streams() ? this->whole_stream() : this->whole_chat();
}

auto answer_reader::whole_stream() const -> messages::run_event
{
    if (!this->reader.whole()) {
        return failed(result_code::server_lost, "stream ended early", this->used());
    }
    messages::finished_event event;
    event.content_type = this->answer_head.content_type;
    event.used = this->used();
    event.finish_reason = this->reader.finish_reason();
    return event;
}

auto answer_reader::whole_chat() -> messages::run_event
{
    const auto status = this->answer_head.http_status;
    messages::finished_event event;
    event.http_status = status;
    event.content_type = this->answer_head.content_type;
    if (is_callers_fault(status)) {
        event.body = std::move(this->body);
        return event;
    }
    if (status != http_ok) {
        return failed(result_code::server_failed, "status=" + std::to_string(status), {});
    }
    auto answer = parse_engine_answer(this->body);
    if (!answer) {
        return failed(result_code::server_failed, answer.error().detail, {});
    }
    this->unary_usage = answer->used;
    event.body = std::move(this->body);
    event.used = answer->used;
    event.finish_reason = std::move(answer->finish_reason);
    return event;
}

auto answer_reader::kept_form(const messages::finished_event& finished) const
    -> std::optional<messages::finished_event>
{
    auto kept = finished;
    if (!this->streams()) {
        return kept;
    }
    if (!this->held_whole) {
        return std::nullopt;
    }
    kept.content_type = json_type;
    kept.body = build_engine_answer(
        {finished.used, finished.finish_reason, this->held_text}, this->version);
    return kept;
}

auto answer_reader::used() const -> messages::usage
{
    return this->streams() ? this->reader.used() : this->unary_usage;
}

} // namespace reedramp::agent
