#include <string>

#include <catch2/catch.hpp>

#include "answer.hpp"
#include "chat.hpp"
#include "engine_model.hpp"
#include "platform/fake_time.hpp"
#include "platform/json_fields.hpp"
#include "stand_in_fixture.hpp"

using namespace std::chrono_literals;
using namespace reedramp;
using standin::engine_job;
using standin::engine_model;

namespace {

constexpr auto chat_path = "/v1/chat/completions";

auto chat_body(const std::string& extra, const std::string& prompt = "hello tokens=6")
    -> std::string
{
    return R"({"model":"v1",)" + extra + R"("messages":[{"role":"user","content":")" + prompt +
           R"("}]})";
}

/// The concatenated text of a streamed answer.
auto text_of_stream(const std::string& events) -> std::string
{
    constexpr std::string_view marker = R"("content":")";
    std::string text;
    auto position = events.find(marker);
    while (position != std::string::npos) {
        const auto begin = position + marker.size();
        text += events.substr(begin, events.find('"', begin) - begin);
        position = events.find(marker, begin);
    }
    return text;
}

} // namespace

TEST_CASE("An answer's text shows whether it is complete")
{
    struct answer_case {
        std::string text;
        bool is_read;
        bool in_order;
        bool bad;
        std::uint64_t tokens;
    };

    const std::vector<answer_case> table{
        {" t0@v1/ff t1 t2", true, true, false, 3},
        {" t0@v1/ff t2", true, false, false, 2},
        {" t0@v1/ff t1 t1", true, false, false, 3},
        {" t0@v1/ff t1 u2", true, false, false, 3},
        {" x0@v1/ff x1", true, true, true, 2},
        {" t0@v1/ff x1", true, true, true, 2},
        {" t1 t2", false, false, false, 0},
        {"", false, false, false, 0},
    };
    for (const auto& row : table) {
        INFO(row.text);
        const auto reading = standin::read_answer(row.text);
        REQUIRE(reading.has_value() == row.is_read);
        if (!reading) {
            continue;
        }
        CHECK(reading->in_order == row.in_order);
        CHECK(reading->bad == row.bad);
        CHECK(reading->tokens == row.tokens);
        CHECK(reading->version == "v1");
        CHECK(reading->prompt_hash == 0xff);
    }
}

TEST_CASE("The engine runs as many jobs as it has slots, by priority")
{
    platform::fake_time time;
    engine_model model({1, 2, 1000, 10'000});
    CHECK(model.submit({1, 0, 10, 3, false, {}}, time.now()));
    CHECK(model.submit({2, 0, 0, 1, false, {}}, time.now()));
    CHECK(model.submit({3, 5, 0, 1, false, {}}, time.now()));
    CHECK_FALSE(model.submit({4, 9, 0, 1, false, {}}, time.now()));
    // 10 ms of prefill and two further tokens of 10 ms each, then two jobs of one token each.
    CHECK(model.estimated_wait(time.now()) == 50ms);
    CHECK(model.next_due() == time.now() + 30ms);
    time.run_for(30ms);
    const auto first = model.advance(time.now());
    REQUIRE(first.size() == 1);
    CHECK(first[0].finished);
    CHECK(first[0].tokens == 3);
    CHECK(model.advance(time.now()).at(0).id == 3);
    model.cancel(2, time.now());
    CHECK(model.running_count() == 0);
    CHECK_FALSE(model.next_due());
}

TEST_CASE("A streamed job reports its tokens as they are generated")
{
    platform::fake_time time;
    engine_model model({1, 0, 0, 10'000});
    model.submit({1, 0, 0, 4, true, {}}, time.now());
    std::vector<std::uint64_t> reported;
    while (const auto due = model.next_due()) {
        time.run_until(*due);
        reported.push_back(model.advance(time.now()).at(0).tokens);
    }
    CHECK(reported == std::vector<std::uint64_t>{1, 2, 3, 4});
}

TEST_CASE("The prefix cache holds the most recently used prefixes")
{
    standin::prefix_cache cache(2);
    CHECK_FALSE(cache.use(1));
    CHECK_FALSE(cache.use(2));
    CHECK(cache.use(1));
    CHECK_FALSE(cache.use(3));
    CHECK(cache.use(1));
    CHECK_FALSE(cache.use(2));
}

TEST_CASE("A resumed stream and the interrupted one give the complete answer")
{
    // The first stream is interrupted after four tokens. The same request with
    // `resume_after_tokens`, or with the text so far as an assistant message, returns the rest.
    stand_in_fixture stand_in(R"({"threads":1,"engines":[{"name":"e1","versions":["v1"]}]})");
    const auto whole = stand_in.call("e1", "POST", chat_path, chat_body(R"("stream":true,)"));
    REQUIRE(whole);
    const auto full_text = text_of_stream(whole->body);
    CHECK(standin::read_answer(full_text)->tokens == 6);
    CHECK(whole->body.ends_with("data: [DONE]\n\n"));
    const auto begin = full_text.substr(0, full_text.find(" t4"));
    stand_in.set_faults("e1", R"({"cut_after_tokens":4})");
    CHECK_FALSE(stand_in.call("e1", "POST", chat_path, chat_body(R"("stream":true,)")));
    stand_in.set_faults("e1", R"({"cut_after_tokens":0})");
    const auto resumed = stand_in.call(
        "e1", "POST", chat_path, chat_body(R"("stream":true,"resume_after_tokens":4,)"));
    REQUIRE(resumed);
    CHECK(begin + text_of_stream(resumed->body) == full_text);
    const auto continued = stand_in.call(
        "e1",
        "POST",
        chat_path,
        R"({"model":"v1","stream":true,"messages":[{"role":"user","content":"hello tokens=6"},)"
        R"({"role":"assistant","content":")" +
            begin + R"("}]})");
    REQUIRE(continued);
    CHECK(begin + text_of_stream(continued->body) == full_text);
}

TEST_CASE("The engine answers invalid requests and orders with the matching status")
{
    struct refusal_case {
        std::string path;
        std::string body;
        std::uint16_t status;
    };

    const std::vector<refusal_case> table{
        {chat_path, "{", 400},
        {chat_path, R"({"model":"v1","messages":[]})", 400},
        {chat_path, R"({"model":"v9","messages":[{"role":"user","content":"x"}]})", 404},
        {chat_path, chat_body(R"("max_tokens":2,)"), 200},
        {"/orders", R"({"action":"load","version":"v2"})", 400},
        {"/orders", R"({"action":"load","version":"v2","fencing":7})", 200},
        {"/orders", R"({"action":"unload","version":"v2","fencing":6})", 409},
        {"/orders", R"({"action":"explode","version":"v2","fencing":8})", 400},
        {"/nowhere", "", 404},
        {"/faults", R"({"unheard_of":1})", 400},
    };
    stand_in_fixture stand_in(R"({"threads":1,"engines":[{"name":"e1","versions":["v1"]}]})");
    for (const auto& row : table) {
        INFO(row.path << " " << row.body);
        const auto answer = stand_in.call("e1", "POST", row.path, row.body);
        REQUIRE(answer);
        CHECK(answer->status == row.status);
    }
    const auto load = stand_in.call("e1", "GET", "/load", "");
    CHECK(load->body.find(R"("versions":["v1","v2"])") != std::string::npos);
}

TEST_CASE("An engine that does not check fencing numbers executes an outdated order")
{
    stand_in_fixture stand_in(R"({"threads":1,"engines":[
        {"name":"e1","versions":["v1"],"checks_fencing":false}]})");
    const auto order = [&](const std::string& text) {
        return stand_in.call("e1", "POST", "/orders", text)->status;
    };
    CHECK(order(R"({"action":"load","version":"v2","fencing":7})") == 200);
    CHECK(order(R"({"action":"unload","version":"v2","fencing":6})") == 200);
}

TEST_CASE("The slot of a caller that closes its connection becomes free")
{
    // The only slot is used by an answer that would take hours. When its caller disconnects, the
    // next request has to get the slot; otherwise it would never be answered.
    stand_in_fixture stand_in(R"({"threads":1,"engines":[
        {"name":"e1","versions":["v1"],"slots":1,"decode_us_per_token":1000}]})");
    const auto started = std::make_shared<std::promise<void>>();
    http::request endless;
    endless.method = "POST";
    endless.target = chat_path;
    endless.body = chat_body(R"("stream":true,)", "tokens=50000000");
    http::call_events events;
    events.on_head = [started](const auto&) {
        started->set_value();
    };
    events.on_done = [](const auto&) {
    };
    const auto call =
        stand_in.client->send(stand_in.where("e1"), std::move(endless), std::move(events));
    REQUIRE(
        started->get_future().wait_for(stand_in_fixture::max_wait) == std::future_status::ready);
    call->cancel();
    const auto next = stand_in.call("e1", "POST", chat_path, chat_body(""));
    REQUIRE(next);
    CHECK(next->status == 200);
}

TEST_CASE("The plain service counts how often each request id and body was run")
{
    // The answer to the first call is lost after the request was run; the counters show that the
    // request was sent again.
    stand_in_fixture stand_in(R"({"threads":1,"services":[{"name":"notes"}]})");
    stand_in.set_faults("notes", R"({"lose_answer_every":1})");
    CHECK_FALSE(stand_in.call("notes", "POST", "/note", "note-1"));
    stand_in.set_faults("notes", R"({"lose_answer_every":0})");
    REQUIRE(stand_in.call("notes", "POST", "/note", "note-1"));
    REQUIRE(stand_in.call("notes", "POST", "/note", "note-2"));
    const auto runs = platform::parse_object(stand_in.call("notes", "GET", "/runs", "")->body);
    REQUIRE(runs);
    CHECK(platform::count_field(*runs, "runs") == 3);
    CHECK(platform::count_field(*runs, "bodies") == 2);
    CHECK(platform::array_field(*runs, "repeated_bodies")->size() == 1);
}

TEST_CASE("All problems of the settings are reported with their paths")
{
    const auto parsed = standin::parse_settings(R"({"threads":0,"oops":1,
        "engines":[{"versions":"v1","slots":"many"}],"hosts":{"initial":[{"host":"h"}]}})");
    REQUIRE_FALSE(parsed);
    std::vector<std::string> paths;
    for (const auto& problem : parsed.error()) {
        paths.push_back(problem.path);
    }
    const std::vector<std::string> expected{
        "$.threads",
        "$.hosts.initial[0].host",
        "$.engines[0].versions",
        "$.engines[0].slots",
        "$.engines[0].name",
        "$.oops"};
    CHECK(paths == expected);
}
