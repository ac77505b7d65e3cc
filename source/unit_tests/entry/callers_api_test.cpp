#include <catch2/catch.hpp>

#include "core_fixture.hpp"

namespace reedramp::entry::test {

namespace {

const std::string good_body = R"({"model":"small","messages":[{"role":"user","content":"hi"}]})";

auto nested(std::size_t depth) -> std::string
{
    return R"({"model":"small","messages":)" + std::string(depth, '[') + std::string(depth, ']') +
           "}";
}

auto long_text(std::size_t size) -> std::string
{
    return std::string(size, 'x');
}

struct bad_input {
    std::string name;
    std::string method;
    std::string target;
    std::vector<http::header> headers;
    std::string body;
    std::uint16_t status;
    std::string problem;
};

auto chat_with(std::string name, std::string body, std::string problem, std::uint16_t status = 400)
    -> bad_input
{
    return {
        std::move(name),
        "POST",
        "/v1/chat/completions",
        {bearer("key")},
        std::move(body),
        status,
        std::move(problem)};
}

auto headers_with(std::string name, http::header extra, std::string problem) -> bad_input
{
    return {
        std::move(name),
        "POST",
        "/v1/chat/completions",
        {bearer("key"), std::move(extra)},
        good_body,
        400,
        std::move(problem)};
}

auto credentials(std::string name, std::vector<http::header> headers) -> bad_input
{
    return {
        std::move(name),
        "POST",
        "/v1/chat/completions",
        std::move(headers),
        good_body,
        401,
        "unauthenticated"};
}

auto path_with(std::string method, std::string target, std::uint16_t status, std::string problem)
    -> bad_input
{
    const auto name = method + " " + target;
    return {name, std::move(method), std::move(target), {bearer("key")}, "", status, problem};
}

auto bad_inputs() -> std::vector<bad_input>
{
    const std::string session = "Reedramp-Session";
    return {
        chat_with("empty body", "", "malformed_json"),
        chat_with("truncated JSON", R"({"model":"small","messages":[)", "malformed_json"),
        chat_with("text after the JSON", good_body + "x", "malformed_json"),
        chat_with("a list", "[]", "malformed_json"),
        chat_with("nested too deep", nested(40), "malformed_json"),
        chat_with("nested far too deep", nested(100'000), "malformed_json"),
        chat_with("not UTF-8", "{\"model\":\"\xc3\x28\",\"messages\":[]}", "malformed_json"),
        chat_with("no model", R"({"messages":[{"role":"user"}]})", "malformed_json"),
        chat_with("model of the wrong type", R"({"model":7,"messages":[{}]})", "malformed_json"),
        chat_with("no messages", R"({"model":"small"})", "malformed_json"),
        chat_with("empty messages", R"({"model":"small","messages":[]})", "malformed_json"),
        chat_with(
            "message that is a string", R"({"model":"small","messages":["hi"]})", "malformed_json"),
        chat_with(
            "content that is a number",
            R"({"model":"small","messages":[{"role":"user","content":1}]})",
            "malformed_json"),
        chat_with(
            "negative max_tokens",
            R"({"model":"small","max_tokens":-1,"messages":[{"role":"user"}]})",
            "malformed_json"),
        chat_with(
            "stream that is a string",
            R"({"model":"small","stream":"yes","messages":[{"role":"user"}]})",
            "malformed_json"),
        chat_with(
            "unknown model",
            R"({"model":"none","messages":[{"role":"user"}]})",
            "unknown_model",
            404),
        chat_with(
            "model of another organisation",
            R"({"model":"big","messages":[{"role":"user"}]})",
            "organisation_not_allowed",
            403),
        chat_with(
            "version of another organisation",
            R"({"model":"b1","messages":[{"role":"user"}]})",
            "organisation_not_allowed",
            403),
        credentials("no credentials", {}),
        credentials("another scheme", {{"Authorization", "Basic a2V5"}}),
        credentials("wrong key", {bearer("kez")}),
        credentials("empty key", {bearer("")}),
        headers_with("repeated Authorization header", bearer("key"), "bad_header"),
        headers_with(
            "deadline that is not a number", {"Reedramp-Deadline-Ms", "soon"}, "bad_header"),
        headers_with("deadline of zero", {"reedramp-deadline-ms", "0"}, "bad_header"),
        headers_with(
            "deadline out of range", {"Reedramp-Deadline-Ms", "99999999999"}, "bad_header"),
        headers_with("task with a space", {"Reedramp-Task", "a b"}, "bad_header"),
        headers_with("idempotency key too long", {"Idempotency-Key", long_text(201)}, "bad_header"),
        headers_with("empty idempotency key", {"Idempotency-Key", ""}, "bad_header"),
        headers_with("control character", {"Idempotency-Key", "a\tb"}, "bad_header"),
        headers_with("forged session token", {session, "abc.def"}, "bad_session_token"),
        headers_with("session token too long", {session, long_text(5000)}, "bad_session_token"),
        path_with("GET", "/nothing", 404, "unknown_path"),
        path_with("GET", "/v1/chat/completions", 405, "method_not_allowed"),
        path_with("DELETE", "/v1/models", 405, "method_not_allowed"),
        path_with("GET", "/services/", 404, "unknown_path"),
        path_with("GET", "/services/none/x", 404, "unknown_model"),
        path_with("GET", "/admin/v1/state", 403, "operator_not_allowed"),
    };
}

} // namespace

TEST_CASE("invalid input gets a problem response, and nothing runs", "[callers_api]")
{
    for (const auto& row : bad_inputs()) {
        INFO(row.name);
        core_fixture test;
        const auto caller = test.call({row.method, row.target, row.headers, row.body, {}});
        CHECK(caller->answers == 1);
        CHECK(caller->head.status == row.status);
        CHECK(caller->problem_name() == row.problem);
        CHECK(caller->execution() == "not_run");
        CHECK(caller->header("Content-Type") == "application/problem+json");
        CHECK(caller->header("Reedramp-Request-Id").size() == 32);
        CHECK(test.runs.empty());
        CHECK(test.bills.empty());
        CHECK(test.subject->counters().in_flight == 0);
    }
}

TEST_CASE("a session token is bound to its organisation, model and version", "[callers_api]")
{
    core_fixture test;
    const auto token = test.session_token("s1");
    const auto pinned = test.chat("", {{"Reedramp-Session", token}});
    REQUIRE(test.runs.size() == 1);
    CHECK(test.run(0).request.version.value() == "s1");
    test.run(0).finish();
    CHECK(pinned->header("Reedramp-Session") == token);
    CHECK(pinned->header("Reedramp-Version") == "s1");

    auto forged = token;
    forged[forged.size() / 2] = forged[forged.size() / 2] == 'A' ? 'B' : 'A';
    CHECK(test.chat("", {{"Reedramp-Session", forged}})->problem_name() == "bad_session_token");
    const auto other = test.call(
        {"POST",
         "/v1/chat/completions",
         {bearer("other-key"), {"Reedramp-Session", token}},
         R"({"model":"big","messages":[{"role":"user"}]})",
         {}});
    CHECK(other->problem_name() == "bad_session_token");
    CHECK(test.runs.size() == 1);
}

TEST_CASE("models and sessions show only what the organisation may use", "[callers_api]")
{
    core_fixture test;
    test.change(
        [](auto& state) { state.withdrawn[common::version_id("s1")] = common::log_offset(2); });
    const auto models = test.call({"GET", "/v1/models", {bearer("key")}, "", {}});
    CHECK(models->head.status == 200);
    CHECK(models->body.find("\"s2\"") != std::string::npos);
    CHECK(models->body.find("\"s1\"") == std::string::npos);
    CHECK(models->body.find("\"b1\"") == std::string::npos);

    const auto opened =
        test.call({"POST", "/v1/sessions", {bearer("key")}, R"({"model":"small"})", {}});
    CHECK(opened->head.status == 201);
    const auto token = opened->header("Reedramp-Session");
    test.chat("", {{"Reedramp-Session", token}});
    REQUIRE(test.runs.size() == 1);
    CHECK(test.run(0).request.version.value() == "s2");
}

TEST_CASE(
    "exceeded limits, a full bill buffer and a missing configuration refuse before anything is "
    "sent",
    "[callers_api]")
{
    core_fixture test;
    test.limit = common::make_error(common::result_code::limit_tokens);
    test.limit->retry_at = test.time.now() + std::chrono::milliseconds(2500);
    const auto limited = test.chat();
    CHECK(limited->head.status == 429);
    CHECK(limited->header("Retry-After") == "3");
    test.limit.reset();

    test.accepts_bills = false;
    CHECK(test.chat()->problem_name() == "log_unavailable");
    CHECK(test.call({"GET", "/health/ready", {}, "", {}})->head.status == 503);
    test.accepts_bills = true;
    CHECK(test.call({"GET", "/health/ready", {}, "", {}})->head.status == 200);

    test.change([](auto& state) { state.offset = common::log_offset(0); });
    CHECK(test.chat()->problem_name() == "not_ready");
    CHECK(test.call({"GET", "/health/ready", {}, "", {}})->head.status == 503);
    CHECK(test.call({"GET", "/health/live", {}, "", {}})->head.status == 200);
    CHECK(test.runs.empty());
}

} // namespace reedramp::entry::test
