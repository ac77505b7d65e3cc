#include "agent/engine_protocol.hpp"

#include <utility>

#include <boost/json.hpp>

namespace reedramp::agent {

namespace json = boost::json;
using common::failure;
using common::result_code;

namespace {

constexpr std::string_view data_prefix = "data:";
constexpr std::string_view end_marker = "[DONE]";
constexpr auto resume_field = "resume_after_tokens";

auto parse_json_object(std::string_view text) -> std::optional<json::object>
{
    json::error_code problem;
    auto value = json::parse({text.data(), text.size()}, problem);
    if (problem || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

auto object_member(const json::object& from, std::string_view name) -> const json::object*
{
    const auto* found = from.if_contains({name.data(), name.size()});
    return found == nullptr ? nullptr : found->if_object();
}

auto text_member(const json::object& from, std::string_view name) -> std::string
{
    const auto* found = from.if_contains({name.data(), name.size()});
    const auto* text = found == nullptr ? nullptr : found->if_string();
    return text == nullptr ? std::string() : std::string(text->data(), text->size());
}

/// Returns 0 if the member is missing, negative or not an integer.
auto count_member(const json::object& from, std::string_view name) -> common::token_count
{
    const auto* found = from.if_contains({name.data(), name.size()});
    if (found == nullptr) {
        return {};
    }
    json::error_code problem;
    const auto number = found->to_number<std::uint64_t>(problem);
    return problem ? common::token_count{} : common::token_count{number};
}

auto usage_of(const json::object& answer) -> std::optional<messages::usage>
{
    const auto* used = object_member(answer, "usage");
    if (used == nullptr) {
        return std::nullopt;
    }
    return messages::usage{
        count_member(*used, "prompt_tokens"), count_member(*used, "completion_tokens")};
}

/// Returns the first element of `choices`; null if there is none or it is not an object.
auto first_choice(const json::object& answer) -> const json::object*
{
    const auto* choices = answer.if_contains("choices");
    const auto* list = choices == nullptr ? nullptr : choices->if_array();
    return list == nullptr || list->empty() ? nullptr : list->front().if_object();
}

auto trim_left(std::string_view text) -> std::string_view
{
    const auto start = text.find_first_not_of(' ');
    return start == std::string_view::npos ? std::string_view() : text.substr(start);
}

/// Requests the rest of an answer in both ways that engines support: skipping the tokens sent
/// before, or continuing a final assistant message.
auto request_continuation(json::object& body, const messages::run_request& request) -> void
{
    body[resume_field] = request.sent_tokens.value();
    auto* messages = body.contains("messages") ? body["messages"].if_array() : nullptr;
    if (messages == nullptr) {
        return;
    }
    messages->push_back(json::object{{"role", "assistant"}, {"content", request.sent_text}});
    body["continue_final_message"] = true;
    body["add_generation_prompt"] = false;
}

} // namespace

auto build_engine_body(const messages::run_request& request) -> common::result<std::string>
{
    auto body = parse_json_object(request.body);
    if (!body) {
        return failure(result_code::malformed_json, "request body is not a JSON object");
    }
    (*body)["model"] = request.version.value();
    (*body)["stream"] = request.stream;
    (*body)["priority"] = request.priority;
    if (request.stream) {
        (*body)["stream_options"] = {{"include_usage", true}};
    }
    if (request.max_tokens.value() > 0) {
        (*body)["max_tokens"] = request.max_tokens.value();
    }
    // Only the entry may set where the answer starts, never the caller.
    body->erase(resume_field);
    if (request.sent_tokens.value() > 0) {
        request_continuation(*body, request);
    }
    return json::serialize(*body);
}

auto parse_engine_answer(std::string_view body) -> common::result<engine_answer>
{
    const auto answer = parse_json_object(body);
    const auto* choice = answer ? first_choice(*answer) : nullptr;
    const auto* message = choice == nullptr ? nullptr : object_member(*choice, "message");
    if (message == nullptr) {
        return failure(result_code::server_failed, "engine's answer has no chat message");
    }
    engine_answer result;
    result.used = usage_of(*answer).value_or(messages::usage{});
    result.finish_reason = text_member(*choice, "finish_reason");
    result.text = text_member(*message, "content");
    return result;
}

auto build_engine_answer(const engine_answer& answer, std::string_view model) -> std::string
{
    const auto prompt = answer.used.prompt_tokens.value();
    const auto completion = answer.used.completion_tokens.value();
    const json::object message{{"role", "assistant"}, {"content", answer.text}};
    const json::object choice{
        {"index", 0}, {"message", message}, {"finish_reason", answer.finish_reason}};
    const json::object used{
        {"prompt_tokens", prompt},
        {"completion_tokens", completion},
        {"total_tokens", prompt + completion}};
    const json::object whole{
        {"object", "chat.completion"},
        {"model", json::string_view(model.data(), model.size())},
        {"choices", json::array{choice}},
        {"usage", used}};
    return json::serialize(whole);
}

auto stream_reader::feed(std::string_view chunk) -> common::result<stream_content>
{
    stream_content content;
    this->unparsed.append(chunk);
    std::size_t start = 0;
    auto end = this->unparsed.find('\n');
    while (!this->is_broken && end != std::string::npos) {
        const auto line = std::string_view(this->unparsed).substr(start, end - start);
        this->is_broken = !this->read_line(line, content);
        start = end + 1;
        end = this->unparsed.find('\n', start);
    }
    this->unparsed.erase(0, start);
    this->is_broken = this->is_broken || this->unparsed.size() > line_limit;
    if (this->is_broken) {
        this->unparsed.clear();
        return failure(result_code::server_failed, "malformed event stream from the engine");
    }
    return content;
}

auto stream_reader::read_line(std::string_view line, stream_content& content) -> bool
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    // Comments, empty lines and other fields of server-sent events are ignored.
    if (this->is_ended || !line.starts_with(data_prefix)) {
        return true;
    }
    const auto data = trim_left(line.substr(data_prefix.size()));
    if (data == end_marker) {
        this->is_ended = true;
        return true;
    }
    return this->read_chunk(data, content);
}

auto stream_reader::read_chunk(std::string_view text, stream_content& content) -> bool
{
    const auto chunk = parse_json_object(text);
    if (!chunk || chunk->contains("error")) {
        return false;
    }
    if (const auto used = usage_of(*chunk)) {
        this->reported = used;
    }
    const auto* choice = first_choice(*chunk);
    if (choice == nullptr) {
        return true;
    }
    if (auto why = text_member(*choice, "finish_reason"); !why.empty()) {
        this->last_finish_reason = std::move(why);
    }
    const auto* delta = object_member(*choice, "delta");
    const auto added_text = delta == nullptr ? std::string() : text_member(*delta, "content");
    if (!added_text.empty()) {
        content.text += added_text;
        content.tokens += 1;
        this->counted_tokens += 1;
    }
    return true;
}

auto stream_reader::used_tokens() const -> messages::usage
{
    if (this->reported) {
        return *this->reported;
    }
    return {{}, common::token_count{this->counted_tokens}};
}

} // namespace reedramp::agent
