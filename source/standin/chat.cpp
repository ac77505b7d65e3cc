#include "chat.hpp"

#include <algorithm>

#include <xxhash.h>

#include "platform/json_fields.hpp"

namespace reedramp::standin {

namespace {

auto count_words(std::string_view text) -> std::uint64_t
{
    std::uint64_t words = 0;
    bool inside = false;
    for (const auto character : text) {
        const auto is_space = character == ' ' || character == '\n';
        words += !is_space && !inside ? 1 : 0;
        inside = !is_space;
    }
    return words;
}

/// Returns the text of a message, whose content is a string or a list of parts with texts.
auto message_text(const boost::json::object& message) -> std::string
{
    if (const auto content = platform::string_field(message, "content")) {
        return *content;
    }
    std::string joined;
    const auto* parts = platform::array_field(message, "content");
    if (parts == nullptr) {
        return joined;
    }
    for (const auto& part : *parts) {
        if (const auto* fields = part.if_object()) {
            joined += platform::string_field(*fields, "text").value_or("");
        }
    }
    return joined;
}

auto read_messages(const boost::json::array& messages, chat_request& request) -> void
{
    prompt_prefix prefix;
    for (const auto& item : messages) {
        const auto* message = item.if_object();
        if (message == nullptr) {
            continue;
        }
        const auto text = message_text(*message);
        const auto is_assistant = platform::string_field(*message, "role") == "assistant";
        const auto words = count_words(text);
        request.continued_tokens = is_assistant ? words : 0;
        if (!is_assistant) {
            request.prompt += text;
            request.prompt += '\n';
        }
        prefix.hash = XXH64(text.data(), text.size(), prefix.hash);
        prefix.tokens += words;
        request.prefixes.push_back(prefix);
    }
}

auto finish_reason(const chat_writer& answer) -> std::string_view
{
    return answer.cut_by_limit ? "length" : "stop";
}

auto make_usage(const chat_writer& answer) -> boost::json::object
{
    const auto completion = answer.plan.tokens - answer.first_token;
    return {
        {"prompt_tokens", answer.prompt_tokens},
        {"completion_tokens", completion},
        {"total_tokens", answer.prompt_tokens + completion},
    };
}

auto response_id(const chat_writer& answer) -> std::string
{
    return "chatcmpl-" + std::to_string(answer.id);
}

} // namespace

auto parse_chat(std::string_view body) -> common::result<chat_request>
{
    const auto fields = platform::parse_object(body);
    if (!fields) {
        return common::failure(common::result_code::malformed_json, "not a JSON object");
    }
    const auto version = platform::string_field(*fields, "model");
    const auto* messages = platform::array_field(*fields, "messages");
    if (!version || messages == nullptr || messages->empty()) {
        return common::failure(common::result_code::malformed_json, "needs model and messages");
    }
    chat_request request;
    request.version = *version;
    request.stream = platform::bool_field(*fields, "stream").value_or(false);
    request.priority =
        static_cast<std::int64_t>(platform::number_field(*fields, "priority").value_or(0));
    request.max_tokens = platform::count_field(*fields, "max_tokens");
    if (!request.max_tokens) {
        request.max_tokens = platform::count_field(*fields, "max_completion_tokens");
    }
    request.resume_after = platform::count_field(*fields, "resume_after_tokens");
    read_messages(*messages, request);
    return request;
}

auto chat_writer::format_response() const -> std::string
{
    std::string text;
    for (auto index = this->first_token; index < this->plan.tokens; ++index) {
        append_token(text, this->plan, index);
    }
    const boost::json::object choice{
        {"index", 0},
        {"message", boost::json::object{{"role", "assistant"}, {"content", text}}},
        {"finish_reason", finish_reason(*this)},
    };
    const boost::json::object answer{
        {"id", response_id(*this)},
        {"object", "chat.completion"},
        {"model", this->plan.version},
        {"choices", boost::json::array{choice}},
        {"usage", make_usage(*this)},
    };
    return boost::json::serialize(answer);
}

auto chat_writer::append_events(std::string& to, std::uint64_t begin, std::uint64_t end) const
    -> void
{
    // Formatted by hand, because a JSON serialiser per token would cost more than the rest of the
    // engine. No escaping is needed: settings and orders reject versions with quotes or
    // backslashes.
    const auto head = R"(data: {"id":")" + response_id(*this) +
                      R"(","object":"chat.completion.chunk","model":")" + this->plan.version +
                      R"(","choices":[{"index":0,"delta":{"content":")";
    constexpr std::string_view tail = "\"},\"finish_reason\":null}]}\n\n";
    for (auto index = begin; index < end; ++index) {
        to += head;
        append_token(to, this->plan, index);
        to += tail;
    }
}

auto chat_writer::format_final_events() const -> std::string
{
    const boost::json::object choice{
        {"index", 0},
        {"delta", boost::json::object{}},
        {"finish_reason", finish_reason(*this)},
    };
    const boost::json::object last{
        {"id", response_id(*this)},
        {"object", "chat.completion.chunk"},
        {"model", this->plan.version},
        {"choices", boost::json::array{choice}},
        {"usage", make_usage(*this)},
    };
    return "data: " + boost::json::serialize(last) + "\n\ndata: [DONE]\n\n";
}

auto chat_error(std::string_view code, std::string_view message) -> std::string
{
    const boost::json::object inner{
        {"message", boost::json::string(message.data(), message.size())},
        {"type", "invalid_request_error"},
        {"code", boost::json::string(code.data(), code.size())},
    };
    return boost::json::serialize(boost::json::object{{"error", inner}});
}

} // namespace reedramp::standin
