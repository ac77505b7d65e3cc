#include "entry/callers_api.hpp"

#include <algorithm>
#include <array>

#include <boost/json.hpp>

namespace reedramp::entry {

namespace json = boost::json;

namespace {

constexpr std::string_view problem_type = "application/problem+json";
constexpr std::string_view json_type = "application/json";
constexpr std::string_view hex_digits = "0123456789abcdef";

auto problem_object(const common::error& why, const common::request_id& request) -> json::object
{
    const auto& row = common::row_of(why.code);
    json::object object;
    object["type"] = "urn:reedramp:result:" + std::string(row.name);
    object["title"] = std::string(row.explanation);
    object["status"] = row.http_status;
    object["code"] = static_cast<std::uint16_t>(why.code);
    object["name"] = std::string(row.name);
    object["execution"] = std::string(common::to_string(why.run));
    object["request"] = common::to_string(request);
    if (!why.detail.empty()) {
        object["detail"] = why.detail;
    }
    return object;
}

/// Appends `text`, escaped for use inside a JSON string.
auto append_escaped(std::string& out, std::string_view text) -> void
{
    for (const auto character : text) {
        const auto code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            out.push_back('\\');
            out.push_back(character);
        }
        else if (character == '\n') {
            out += "\\n";
        }
        else if (code < 0x20U) {
            out += "\\u00";
            out.push_back(hex_digits[code >> 4U]);
            out.push_back(hex_digits[code & 0xfU]);
        }
        else {
            out.push_back(character);
        }
    }
}

auto usage_object(const messages::usage& used) -> json::object
{
    const auto prompt = used.prompt_tokens.value();
    const auto completion = used.completion_tokens.value();
    return {
        {"prompt_tokens", prompt},
        {"completion_tokens", completion},
        {"total_tokens", prompt + completion}};
}

} // namespace

auto json_response(std::uint16_t status, std::string body) -> http::response
{
    return {status, {{"Content-Type", std::string(json_type)}}, std::move(body)};
}

auto text_response(std::uint16_t status, std::string body) -> http::response
{
    return {status, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(body)};
}

auto problem_text(const common::error& why, const common::request_id& request) -> std::string
{
    return json::serialize(problem_object(why, request));
}

auto problem_response(
    const common::error& why, const common::request_id& request, common::time_point now)
    -> http::response
{
    http::response response;
    response.status = common::row_of(why.code).http_status;
    response.headers.push_back({"Content-Type", std::string(problem_type)});
    response.headers.push_back({std::string(header_names::request_id), common::to_string(request)});
    if (why.code == common::result_code::unauthenticated) {
        response.headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    if (why.retry_at) {
        const auto wait = std::chrono::ceil<std::chrono::seconds>(*why.retry_at - now).count();
        const auto seconds = std::max<std::int64_t>(wait, 1);
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    response.body = problem_text(why, request);
    return response;
}

auto models_response(const std::vector<listed_model>& models) -> http::response
{
    json::array data;
    for (const auto& item : models) {
        data.push_back(json::object{
            {"id", item.id}, {"object", "model"}, {"kind", item.kind}, {"owned_by", "reedramp"}});
    }
    return json_response(
        200, json::serialize(json::object{{"object", "list"}, {"data", std::move(data)}}));
}

auto session_response(
    std::string_view token,
    const common::session_id& session,
    const common::version_id& version,
    common::wall_time_ms expires) -> http::response
{
    auto response = json_response(
        201,
        json::serialize(json::object{
            {"session", session.value()},
            {"token", std::string(token)},
            {"version", version.value()},
            {"expires_ms", expires.value()}}));
    response.headers.push_back({std::string(header_names::session), std::string(token)});
    return response;
}

sse_writer::sse_writer(
    const common::request_id& request,
    const common::version_id& version,
    common::wall_time_ms created)
    : prefix("data: {\"id\":\"chatcmpl-")
{
    constexpr std::int64_t ms_per_second = 1000;
    this->prefix += common::to_string(request);
    this->prefix += R"(","object":"chat.completion.chunk","created":)";
    this->prefix += std::to_string(created.value() / ms_per_second);
    this->prefix += R"(,"model":")";
    append_escaped(this->prefix, version.value());
    this->prefix += R"(","choices":[)";
}

auto sse_writer::chunk(std::string_view text) const -> std::string
{
    constexpr std::string_view before = R"({"index":0,"delta":{"content":")";
    constexpr std::string_view after = "\"},\"finish_reason\":null}]}\n\n";
    std::string out;
    out.reserve(this->prefix.size() + before.size() + text.size() + after.size() + 16);
    out += this->prefix;
    out += before;
    append_escaped(out, text);
    out += after;
    return out;
}

auto sse_writer::final_events(
    std::string_view finish_reason, const std::optional<messages::usage>& used) const -> std::string
{
    std::string out = this->prefix;
    out += R"({"index":0,"delta":{},"finish_reason":")";
    append_escaped(out, finish_reason.empty() ? "stop" : finish_reason);
    out += "\"}]}\n\n";
    if (used) {
        out += this->prefix;
        out += "],\"usage\":" + json::serialize(usage_object(*used)) + "}\n\n";
    }
    out += "data: [DONE]\n\n";
    return out;
}

auto sse_writer::error_event(const common::error& why, const common::request_id& request)
    -> std::string
{
    return "event: error\ndata: " + problem_text(why, request) + "\n\n";
}

} // namespace reedramp::entry
