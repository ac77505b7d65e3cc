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

/// True if the engine rejects the request itself. The caller then gets the engine's answer.
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
      text_limit(limit), next_token_index(request.sent_tokens.value())
{
}

auto answer_reader::on_head(backend_head head) -> void
{
    this->answer_head = std::move(head);
}

auto answer_reader::is_streaming() const -> bool
{
    return this->kind == messages::work_kind::chat && this->asked_for_stream &&
           this->answer_head.http_status == http_ok;
}

auto answer_reader::on_chunk(std::string piece)
    -> common::result<std::optional<messages::tokens_event>>
{
    if (!this->is_streaming()) {
        this->body += piece;
        return std::nullopt;
    }
    auto parsed = this->reader.feed(piece);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    if (parsed->tokens == 0) {
        return std::nullopt;
    }
    if (this->streamed_text.size() + parsed->text.size() <= this->text_limit) {
        this->streamed_text += parsed->text;
    }
    else {
        this->is_text_complete = false;
    }
    messages::tokens_event event{this->next_token_index, parsed->tokens, std::move(parsed->text)};
    this->next_token_index += event.count;
    return event;
}

auto answer_reader::finish(const common::result<void>& outcome) -> messages::run_event
{
    if (!outcome) {
        const auto& why = outcome.error();
        if (why.run == common::execution::not_run) {
            return messages::refused_event{
                common::make_error(result_code::no_capacity, "backend server unreachable"), {}};
        }
        return failed(result_code::server_lost, why.detail, this->used_tokens());
    }
    if (this->kind == messages::work_kind::service) {
        return messages::finished_event{
            this->answer_head.http_status,
            this->answer_head.content_type,
            std::move(this->body),
            {},
            {}};
    }
    return this->is_streaming() ? this->finish_stream() : this->finish_chat();
}

auto answer_reader::finish_stream() const -> messages::run_event
{
    if (!this->reader.is_complete()) {
        return failed(result_code::server_lost, "stream ended early", this->used_tokens());
    }
    messages::finished_event event;
    event.content_type = this->answer_head.content_type;
    event.used = this->used_tokens();
    event.finish_reason = this->reader.finish_reason();
    return event;
}

auto answer_reader::finish_chat() -> messages::run_event
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

auto answer_reader::answer_for_retry(const messages::finished_event& finished) const
    -> std::optional<messages::finished_event>
{
    auto kept = finished;
    if (!this->is_streaming()) {
        return kept;
    }
    if (!this->is_text_complete) {
        return std::nullopt;
    }
    kept.content_type = json_type;
    kept.body = build_engine_answer(
        {finished.used, finished.finish_reason, this->streamed_text}, this->version);
    return kept;
}

auto answer_reader::used_tokens() const -> messages::usage
{
    return this->is_streaming() ? this->reader.used_tokens() : this->unary_usage;
}

} // namespace reedramp::agent
