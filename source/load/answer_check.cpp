#include "answer_check.hpp"

#include <algorithm>
#include <utility>

#include "answer.hpp"
#include "platform/json_fields.hpp"

namespace reedramp::load {

namespace {

constexpr std::string_view data_prefix = "data: ";
constexpr std::string_view done_marker = "[DONE]";
constexpr std::uint16_t first_success_status = 200;
constexpr std::uint16_t first_redirect_status = 300;

/// Content of an answer's body, streamed or not.
struct chat_body {
    std::string text;
    bool is_ended = false;
    /// Name of the error; empty if there was none.
    std::string error;
    std::string execution;
    std::optional<std::uint64_t> completion_tokens;
};

auto parse_usage(const boost::json::object& fields, chat_body& into) -> void
{
    const auto* usage = platform::object_field(fields, "usage");
    if (usage != nullptr) {
        into.completion_tokens = platform::count_field(*usage, "completion_tokens");
    }
}

/// The member `name` ("delta" or "message") of the first choice; null if it is missing.
auto find_choice_member(const boost::json::object& fields, std::string_view name)
    -> const boost::json::object*
{
    const auto* choices = platform::array_field(fields, "choices");
    if (choices == nullptr || choices->empty()) {
        return nullptr;
    }
    const auto* choice = choices->front().if_object();
    return choice == nullptr ? nullptr : platform::object_field(*choice, name);
}

auto parse_event(std::string_view data, chat_body& into) -> void
{
    if (data == done_marker) {
        into.is_ended = true;
        return;
    }
    const auto fields = platform::parse_object(data);
    if (!fields) {
        into.error = "malformed_event";
        return;
    }
    if (const auto name = platform::string_field(*fields, "name")) {
        into.error = *name;
        into.execution = platform::string_field(*fields, "execution").value_or("");
        return;
    }
    parse_usage(*fields, into);
    if (const auto* delta = find_choice_member(*fields, "delta")) {
        into.text += platform::string_field(*delta, "content").value_or("");
    }
}

auto parse_stream(std::string_view events) -> chat_body
{
    chat_body body;
    while (!events.empty()) {
        const auto line = events.substr(0, events.find('\n'));
        events.remove_prefix(std::min(events.size(), line.size() + 1));
        if (line.starts_with(data_prefix)) {
            parse_event(line.substr(data_prefix.size()), body);
        }
    }
    return body;
}

auto parse_whole(std::string_view json) -> chat_body
{
    chat_body body;
    const auto fields = platform::parse_object(json);
    const auto* message = fields ? find_choice_member(*fields, "message") : nullptr;
    if (message == nullptr) {
        body.error = "malformed_answer";
        return body;
    }
    parse_usage(*fields, body);
    body.text = platform::string_field(*message, "content").value_or("");
    body.is_ended = true;
    return body;
}

/// Name of the fault in a complete answer; empty if it has none.
auto find_fault(
    const chat_body& body,
    const std::optional<standin::answer_reading>& reading,
    const http::response& answer,
    const expected_chat& expected) -> std::string
{
    if (!reading) {
        return "unreadable";
    }
    if (!reading->in_order) {
        return "gap_or_double";
    }
    if (reading->prompt_hash != standin::hash_prompt(expected.prompt)) {
        return "foreign_answer";
    }
    if (reading->tokens != expected.tokens) {
        return "wrong_length";
    }
    const auto named = http::find_header(answer.headers, "Reedramp-Version");
    if (named && *named != reading->version) {
        return "version_mismatch";
    }
    if (!expected.session_version.empty() && expected.session_version != reading->version) {
        return "session_moved";
    }
    if (body.completion_tokens && *body.completion_tokens != reading->tokens) {
        return "usage_mismatch";
    }
    return {};
}

} // namespace

auto check_chat(const http::response& answer, const expected_chat& expected) -> answer_verdict
{
    if (auto refusal = check_refusal(answer)) {
        return *refusal;
    }
    auto body = expected.stream ? parse_stream(answer.body) : parse_whole(answer.body);
    const auto reading = standin::read_answer(body.text);
    answer_verdict verdict;
    verdict.completion_tokens = body.completion_tokens;
    verdict.version = reading ? reading->version : "";
    verdict.is_from_faulty_engine = reading && reading->bad;
    if (!body.error.empty() || !body.is_ended) {
        verdict.state = answer_state::broken;
        verdict.reason = body.error.empty() ? "no_end" : body.error;
        verdict.execution = body.execution;
        return verdict;
    }
    verdict.reason = find_fault(body, reading, answer, expected);
    verdict.state = verdict.reason.empty() ? answer_state::answered : answer_state::wrong;
    verdict.text = std::move(body.text);
    return verdict;
}

auto check_service(const http::response& answer, std::string_view body) -> answer_verdict
{
    if (auto refusal = check_refusal(answer)) {
        return *refusal;
    }
    answer_verdict verdict;
    const auto fields = platform::parse_object(answer.body);
    const auto size = fields ? platform::count_field(*fields, "body_bytes") : std::nullopt;
    const auto is_own_answer = size == body.size();
    verdict.state = is_own_answer ? answer_state::answered : answer_state::wrong;
    verdict.reason = is_own_answer ? "" : "foreign_answer";
    return verdict;
}

auto check_refusal(const http::response& answer) -> std::optional<answer_verdict>
{
    if (answer.status >= first_success_status && answer.status < first_redirect_status) {
        return std::nullopt;
    }
    answer_verdict verdict;
    verdict.state = answer_state::refused;
    const auto fields = platform::parse_object(answer.body);
    const auto name = fields ? platform::string_field(*fields, "name") : std::nullopt;
    verdict.reason = name.value_or("status_" + std::to_string(answer.status));
    if (fields) {
        verdict.execution = platform::string_field(*fields, "execution").value_or("");
    }
    return verdict;
}

} // namespace reedramp::load
