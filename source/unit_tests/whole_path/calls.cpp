#include "calls.hpp"

#include <boost/json.hpp>

#include "agent/engine_protocol.hpp"

namespace reedramp::whole_path {

namespace json = boost::json;

auto chat(const std::string& key, const std::string& mark, const chat_options& options)
    -> http::request
{
    http::request made{"POST", "/v1/chat/completions", {entry::test::bearer(key)}, {}, {}};
    made.headers.push_back({"Reedramp-Deadline-Ms", std::to_string(options.deadline_ms)});
    if (!options.session.empty()) {
        made.headers.push_back({"Reedramp-Session", options.session});
    }
    const json::object message{{"role", "user"}, {"content", mark}};
    made.body = json::serialize(json::object{
        {"model", options.model},
        {"stream", options.stream},
        {"max_tokens", 8},
        {"messages", json::array{message}}});
    return made;
}

auto note_call(
    const std::string& key,
    const std::string& mark,
    const std::string& idempotency_key,
    const std::string& method) -> http::request
{
    http::request made{method, "/services/notes/1", {entry::test::bearer(key)}, mark, {}};
    made.headers.push_back({"Reedramp-Deadline-Ms", "5000"});
    if (!idempotency_key.empty()) {
        made.headers.push_back({"Idempotency-Key", idempotency_key});
    }
    return made;
}

auto open_session(const std::string& key, const std::string& name) -> http::request
{
    json::object body{{"model", "m"}};
    if (!name.empty()) {
        body["name"] = name;
    }
    return {"POST", "/v1/sessions", {entry::test::bearer(key)}, json::serialize(body), {}};
}

auto chat_answer_text(const fake_caller& caller) -> std::string
{
    const auto answer = agent::parse_engine_answer(caller.body);
    return answer ? answer->text : std::string();
}

auto request_id_of(const fake_caller& caller) -> std::optional<common::request_id>
{
    return common::parse_request_id(caller.header("Reedramp-Request-Id"));
}

auto is_stream(const fake_caller& caller) -> bool
{
    return caller.header("Content-Type") == "text/event-stream";
}

auto is_answered(const fake_caller& caller) -> bool
{
    const auto is_whole = is_stream(caller) ? caller.is_complete_stream() : caller.finished;
    return is_whole && caller.head.status == 200;
}

} // namespace reedramp::whole_path
