#include "entry/callers_api.hpp"

#include <algorithm>

#include <boost/json.hpp>
#include <xxhash.h>

namespace reedramp::entry {

namespace json = boost::json;

namespace {

constexpr std::size_t max_json_depth = 32;
constexpr std::size_t max_name_bytes = 128;
constexpr std::uint64_t default_max_tokens = 512;
constexpr std::uint64_t max_tokens_limit = 131'072;
/// Typical for English text; the estimate is used only for limits and queues.
constexpr std::size_t bytes_per_token = 4;
/// Servers cache prefixes in blocks, and requests share the beginning of a conversation.
constexpr std::size_t prefix_hash_bytes = 2048;
constexpr std::size_t max_question_bytes = 4096;
constexpr std::int64_t max_priority = 100;

auto bad(std::string_view why)
{
    return common::failure(common::result_code::malformed_json, std::string(why));
}

/// Parses with a depth limit; Boost.JSON validates UTF-8.
auto parse_object(std::string_view body) -> common::result<json::object>
{
    json::parse_options options;
    options.max_depth = max_json_depth;
    json::error_code failed;
    auto value = json::parse(json::string_view(body.data(), body.size()), failed, {}, options);
    if (failed) {
        return bad("invalid JSON: " + failed.message());
    }
    if (!value.is_object()) {
        return bad("not a JSON object");
    }
    return std::move(value.as_object());
}

auto read_name(const json::object& from, const char* key) -> common::result<std::string>
{
    const auto* value = from.if_contains(key);
    if (value == nullptr || !value->is_string()) {
        return bad(std::string(key) + ": a string is required");
    }
    const auto& text = value->as_string();
    if (text.empty() || text.size() > max_name_bytes) {
        return bad(std::string(key) + ": must be 1 to 128 bytes long");
    }
    return std::string(text.data(), text.size());
}

auto read_flag(const json::object& from, const char* key) -> common::result<bool>
{
    const auto* value = from.if_contains(key);
    if (value == nullptr || value->is_null()) {
        return false;
    }
    if (!value->is_bool()) {
        return bad(std::string(key) + ": true or false is required");
    }
    return value->as_bool();
}

auto read_integer(
    const json::object& from,
    const char* key,
    std::int64_t missing,
    std::int64_t least,
    std::int64_t most) -> common::result<std::int64_t>
{
    const auto* value = from.if_contains(key);
    if (value == nullptr || value->is_null()) {
        return missing;
    }
    if (!value->is_int64() || value->as_int64() < least || value->as_int64() > most) {
        return bad(
            std::string(key) + ": an integer from " + std::to_string(least) + " to " +
            std::to_string(most) + " is required");
    }
    return value->as_int64();
}

/// Appends the text of a message's content, which is a string or a list of parts; only the "text"
/// fields of parts count. Returns false if the content is malformed.
auto add_content(const json::value& content, std::string& text) -> bool
{
    if (content.is_string()) {
        text.append(content.as_string().data(), content.as_string().size());
        return true;
    }
    if (content.is_null()) {
        return true;
    }
    if (!content.is_array()) {
        return false;
    }
    for (const auto& part : content.as_array()) {
        if (!part.is_object()) {
            return false;
        }
        const auto* inner = part.as_object().if_contains("text");
        if (inner != nullptr && inner->is_string()) {
            text.append(inner->as_string().data(), inner->as_string().size());
        }
    }
    return true;
}

auto read_messages(const json::object& from, chat_request& into) -> common::result<void>
{
    const auto* value = from.if_contains("messages");
    if (value == nullptr || !value->is_array() || value->as_array().empty()) {
        return bad("messages: a list with at least one message is required");
    }
    std::string text;
    std::size_t last_start = 0;
    for (const auto& message : value->as_array()) {
        if (!message.is_object()) {
            return bad("messages: each message must be an object");
        }
        const auto& fields = message.as_object();
        const auto* role = fields.if_contains("role");
        const auto* content = fields.if_contains("content");
        if (role == nullptr || !role->is_string()) {
            return bad("messages: each message must have a role");
        }
        last_start = text.size();
        if (content != nullptr && !add_content(*content, text)) {
            return bad("messages: content must be a string or a list of parts");
        }
        text.push_back('\n');
    }
    into.prompt_tokens = common::token_count(text.size() / bytes_per_token + 1);
    into.prefix_hash = XXH3_64bits(text.data(), std::min(text.size(), prefix_hash_bytes));
    into.question = text.substr(last_start, max_question_bytes);
    return {};
}

auto read_stream(const json::object& from, chat_request& into) -> common::result<void>
{
    const auto stream = read_flag(from, "stream");
    if (!stream) {
        return tl::unexpected(stream.error());
    }
    into.stream = *stream;
    const auto* options = from.if_contains("stream_options");
    if (options == nullptr || options->is_null()) {
        return {};
    }
    if (!options->is_object()) {
        return bad("stream_options: an object is required");
    }
    const auto usage = read_flag(options->as_object(), "include_usage");
    if (!usage) {
        return tl::unexpected(usage.error());
    }
    into.include_usage = *usage;
    return {};
}

/// `max_completion_tokens` is the newer name of `max_tokens`; the smaller value applies.
auto read_max_tokens(const json::object& from) -> common::result<common::token_count>
{
    std::int64_t smallest = 0;
    for (const auto* key : {"max_tokens", "max_completion_tokens"}) {
        const auto found = read_integer(from, key, 0, 1, max_tokens_limit);
        if (!found) {
            return tl::unexpected(found.error());
        }
        if (*found != 0 && (smallest == 0 || *found < smallest)) {
            smallest = *found;
        }
    }
    const auto tokens = smallest == 0 ? default_max_tokens : static_cast<std::uint64_t>(smallest);
    return common::token_count(tokens);
}

} // namespace

auto parse_chat(std::string_view body) -> common::result<chat_request>
{
    const auto object = parse_object(body);
    if (!object) {
        return tl::unexpected(object.error());
    }
    chat_request into;
    auto model = read_name(*object, "model");
    if (!model) {
        return tl::unexpected(std::move(model.error()));
    }
    into.model = std::move(*model);
    if (auto done = read_stream(*object, into); !done) {
        return tl::unexpected(std::move(done.error()));
    }
    const auto max_tokens = read_max_tokens(*object);
    if (!max_tokens) {
        return tl::unexpected(max_tokens.error());
    }
    into.max_tokens = *max_tokens;
    const auto priority = read_integer(*object, "priority", 0, -max_priority, max_priority);
    if (!priority) {
        return tl::unexpected(priority.error());
    }
    into.priority = static_cast<std::int32_t>(*priority);
    if (auto done = read_messages(*object, into); !done) {
        return tl::unexpected(std::move(done.error()));
    }
    return into;
}

auto parse_session_request(std::string_view body) -> common::result<session_request>
{
    const auto object = parse_object(body);
    if (!object) {
        return tl::unexpected(object.error());
    }
    auto model = read_name(*object, "model");
    if (!model) {
        return tl::unexpected(std::move(model.error()));
    }
    session_request into;
    into.model = std::move(*model);
    if (object->contains("name")) {
        auto name = read_name(*object, "name");
        if (!name) {
            return tl::unexpected(std::move(name.error()));
        }
        into.name = std::move(*name);
    }
    return into;
}

} // namespace reedramp::entry
