#include <catch2/catch.hpp>

#include "agent/engine_protocol.hpp"

namespace reedramp::agent {

using common::result_code;

TEST_CASE("The engine's request body has the version and the caller's fields")
{
    messages::run_request request;
    request.version = common::version_id{"draft-2"};
    request.stream = true;
    request.priority = 3;
    request.max_tokens = common::token_count{64};
    request.body = R"({"model":"drafting","temperature":0.5,"resume_after_tokens":9})";
    const auto body = build_engine_body(request);
    REQUIRE(body);
    for (const auto* part :
         {R"("model":"draft-2")",
          R"("temperature":5E-1)",
          R"("stream":true)",
          R"("priority":3)",
          R"("max_tokens":64)",
          R"("include_usage":true)"}) {
        INFO(part << " in " << *body);
        CHECK(body->find(part) != std::string::npos);
    }
    // A caller must not set where the answer starts.
    CHECK(body->find("resume_after_tokens") == std::string::npos);

    request.body = R"({"messages":[{"role":"user","content":"q"}]})";
    request.sent_tokens = common::token_count{2};
    request.sent_text = "t0 t1 ";
    const auto rest = build_engine_body(request);
    REQUIRE(rest);
    CHECK(rest->find(R"("resume_after_tokens":2)") != std::string::npos);
    CHECK(rest->find(R"(,{"role":"assistant","content":"t0 t1 "}])") != std::string::npos);

    for (const auto* malformed : {"", "[]", "{", "7", "{\"a\":\"\xff\"}"}) {
        request.body = malformed;
        const auto refused = build_engine_body(request);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().code == result_code::malformed_json);
    }
}

TEST_CASE("A complete answer is parsed and rebuilt for a retry")
{
    const engine_answer answer{
        {common::token_count{3}, common::token_count{2}}, "length", "say \"hi\""};
    const auto parsed = parse_engine_answer(build_engine_answer(answer, "v1"));
    REQUIRE(parsed);
    CHECK(parsed->text == answer.text);
    CHECK(parsed->used == answer.used);
    CHECK(parsed->finish_reason == "length");

    for (const auto* malformed :
         {"",
          "null",
          "{}",
          R"({"choices":{}})",
          R"({"choices":[]})",
          R"({"choices":[1]})",
          R"({"choices":[{"message":"text"}]})"}) {
        INFO(malformed);
        CHECK_FALSE(parse_engine_answer(malformed));
    }
    const auto unusual = parse_engine_answer(
        R"({"choices":[{"message":{"content":null}}],"usage":{"prompt_tokens":-1}})");
    REQUIRE(unusual);
    CHECK(unusual->used == messages::usage{});
}

TEST_CASE("A stream is parsed independently of its chunk boundaries")
{
    const std::string stream = ": comment\r\n\r\n"
                               "event: x\n"
                               "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n"
                               "data:{\"choices\":[{\"delta\":{\"content\":\"t0 \"}}]}\r\n\r\n"
                               "data: {\"choices\":[{\"delta\":{\"content\":\"\u00e9 \"},"
                               "\"finish_reason\":\"stop\"}]}\n\n"
                               "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,"
                               "\"completion_tokens\":4}}\n\n"
                               "data: [DONE]\n\n"
                               "data: {]\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        stream_reader reader;
        std::string text;
        std::uint32_t tokens = 0;
        for (std::size_t at = 0; at < stream.size(); at += size) {
            const auto step = reader.feed(std::string_view(stream).substr(at, size));
            REQUIRE(step);
            text += step->text;
            tokens += step->tokens;
        }
        REQUIRE(text == "t0 \u00e9 ");
        REQUIRE(tokens == 2);
        REQUIRE(reader.is_complete());
        REQUIRE(reader.finish_reason() == "stop");
        REQUIRE(reader.used_tokens().completion_tokens.value() == 4);
    }
}

TEST_CASE("A malformed stream fails and keeps failing")
{
    for (const auto& broken :
         {std::string("data: {]\n"),
          std::string("data: 7\n"),
          std::string("data: \"text\"\n"),
          std::string("data: {\"error\":{\"message\":\"x\"}}\n"),
          std::string("data: {\"choices\":[{\"delta\":{\"content\":\"\xff\"}}]}\n"),
          std::string(stream_reader::line_limit + 1, 'x')}) {
        stream_reader reader;
        REQUIRE(reader.feed("data: {\"choices\":[{\"delta\":{\"content\":\"t0 \"}}]}\n"));
        const auto step = reader.feed(broken);
        REQUIRE_FALSE(step);
        CHECK(step.error().code == result_code::server_failed);
        CHECK_FALSE(reader.feed("data: [DONE]\n"));
        CHECK_FALSE(reader.is_complete());
        CHECK(reader.used_tokens().completion_tokens.value() == 1);
    }
}

} // namespace reedramp::agent
