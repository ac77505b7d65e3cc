#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "answer.hpp"
#include "answer_check.hpp"
#include "arrival_generator.hpp"
#include "bill_reader.hpp"
#include "billing/codec.hpp"
#include "report.hpp"

using namespace reedramp;
using load::answer_state;

namespace {

constexpr auto prompt = "hello\n";

/// A correct answer: " t0@v1/<hash of the prompt> t1 t2".
auto good_text() -> std::string
{
    const standin::answer_plan plan{"v1", standin::hash_prompt(prompt), 3, false};
    std::string text;
    for (std::uint64_t index = 0; index < plan.tokens; ++index) {
        standin::append_token(text, plan, index);
    }
    return text;
}

auto event(const std::string& text) -> std::string
{
    return R"(data: {"choices":[{"delta":{"content":")" + text + "\"}}]}\n\n";
}

auto whole(const std::string& text, int tokens) -> std::string
{
    return R"({"choices":[{"message":{"content":")" + text +
           R"("}}],"usage":{"completion_tokens":)" + std::to_string(tokens) + "}}";
}

struct chat_case {
    std::string name;
    bool stream;
    std::uint16_t status;
    std::string body;
    answer_state state;
    std::string reason;
};

auto bill(std::uint64_t request, std::vector<std::uint64_t> tokens) -> messages::bill
{
    messages::bill result;
    result.request = {0, request};
    result.organisation = common::organisation_id{"o1"};
    for (const auto count : tokens) {
        messages::bill_line line;
        line.version = common::version_id{"v1"};
        line.used.completion_tokens = common::token_count{count};
        line.cost = common::micro_money{5};
        result.lines.push_back(line);
    }
    return result;
}

} // namespace

TEST_CASE("A chat answer is accepted only if it is complete, in order and matches the prompt")
{
    const auto text = good_text();
    const auto rest = text.substr(text.find(" t1"));
    const auto done = std::string("data: [DONE]\n\n");
    const auto refusal = R"({"name":"no_capacity","execution":"not_run"})";
    const std::vector<chat_case> table{
        {"whole", false, 200, whole(text, 3), answer_state::answered, ""},
        {"stream", true, 200, event(text) + done, answer_state::answered, ""},
        {"pieces",
         true,
         200,
         event(text.substr(0, 5)) + event(text.substr(5)) + done,
         answer_state::answered,
         ""},
        {"no end", true, 200, event(text), answer_state::broken, "no_end"},
        {"error event",
         true,
         200,
         event(text) + "event: error\ndata: " + refusal + "\n\n",
         answer_state::broken,
         "no_capacity"},
        {"piece missing",
         true,
         200,
         event(text) + event(" t4") + done,
         answer_state::wrong,
         "gap_or_double"},
        {"piece twice",
         true,
         200,
         event(text) + event(rest) + done,
         answer_state::wrong,
         "gap_or_double"},
        {"too short",
         true,
         200,
         event(text.substr(0, text.rfind(' '))) + done,
         answer_state::wrong,
         "wrong_length"},
        {"empty", true, 200, done, answer_state::wrong, "unreadable"},
        {"of another prompt",
         false,
         200,
         whole(" t0@v1/1 t1 t2", 3),
         answer_state::wrong,
         "foreign_answer"},
        {"of another version",
         false,
         200,
         whole(" t0@v2/" + text.substr(7), 3),
         answer_state::wrong,
         "version_mismatch"},
        {"usage", false, 200, whole(text, 4), answer_state::wrong, "usage_mismatch"},
        {"not JSON", false, 200, "oops", answer_state::broken, "malformed_answer"},
        {"refused", true, 503, refusal, answer_state::refused, "no_capacity"},
        {"plain error", false, 502, "oops", answer_state::refused, "status_502"},
    };
    for (const auto& row : table) {
        INFO(row.name);
        const http::response answer{row.status, {{"Reedramp-Version", "v1"}}, row.body};
        const auto verdict = load::check_chat(answer, {prompt, 3, row.stream, {}});
        CHECK(verdict.state == row.state);
        CHECK(verdict.reason == row.reason);
    }
    const http::response answer{200, {}, whole(text, 3)};
    CHECK(load::check_chat(answer, {prompt, 3, false, "v9"}).reason == "session_moved");
}

TEST_CASE("A request is billed once, and each answer requires a bill with its tokens")
{
    // A batch is appended again when the answer to its first append was lost. The log then contains
    // the same bill twice, which must not count as two bills.
    load::bill_reader reader;
    const billing::batch first{{1, 1}, {bill(1, {10}), bill(2, {7, 3}), bill(9, {1})}};
    const auto data = billing::serialise(first);
    reader.add_records({{common::log_offset{1}, data}, {common::log_offset{2}, data}});
    CHECK(reader.offset() == common::log_offset{2});
    const auto id = [](std::uint64_t low) {
        return common::to_string(common::request_id{0, low});
    };
    const auto right = reader.compare({{id(1), 10}, {id(2), 3}});
    CHECK(right.missing == 0);
    CHECK(right.wrong_tokens == 0);
    CHECK(right.bills == 3);
    CHECK(right.cost_micro == 20);
    CHECK(right.without_answer == 1);
    const auto wrong = reader.compare({{id(1), 11}, {id(3), 1}});
    CHECK(wrong.missing == 1);
    CHECK(wrong.wrong_tokens == 1);
}

TEST_CASE("A call that ran twice, or ran although it was refused, fails the run")
{
    struct runs_case {
        std::string name;
        std::string runs;
        std::string execution;
        bool holds;
    };

    // A refusal with "not_run" guarantees that no service has run the body.
    const std::vector<runs_case> table{
        {"once", R"({"bodies":[{"key":"b","runs":1}]})", "", true},
        {"twice", R"({"bodies":[{"key":"b","runs":2}]})", "", false},
        {"answered but never run", R"({"bodies":[]})", "", false},
        {"refused and not run", R"({"bodies":[]})", "not_run", true},
        {"refused but run", R"({"bodies":[{"key":"b","runs":1}]})", "not_run", false},
    };
    for (const auto& row : table) {
        INFO(row.name);
        load::report results{load::load_settings{}};
        load::request_outcome outcome;
        outcome.kind = "notes";
        outcome.at_most_once_body = "b";
        outcome.verdict.execution = row.execution;
        outcome.verdict.state =
            row.execution.empty() ? answer_state::answered : answer_state::refused;
        results.add(outcome);
        load::run_counts runs;
        REQUIRE(load::add_run_bodies(row.runs, runs));
        results.add_service_runs(runs);
        CHECK(results.all_checks_hold() == row.holds);
    }
}

TEST_CASE("Arrivals are reproducible with the same seed, and follow the rate and the mix")
{
    load::load_settings run_settings;
    run_settings.rate_per_second = 1000.0;
    run_settings.organisations.resize(1);
    run_settings.mix.resize(2);
    run_settings.mix[1].weight = 3;
    load::arrival_generator first(run_settings);
    load::arrival_generator second(run_settings);
    load::arrival last;
    std::size_t heavy = 0;
    constexpr std::size_t count = 10000;
    for (std::size_t index = 0; index < count; ++index) {
        last = first.next();
        CHECK(second.next().at == last.at);
        heavy += last.mix;
    }
    CHECK(last.at > std::chrono::milliseconds(9500));
    CHECK(last.at < std::chrono::milliseconds(10500));
    CHECK(heavy > 7300);
    CHECK(heavy < 7700);
}

TEST_CASE("Invalid load settings give all problems with their paths")
{
    const auto parsed = load::parse_settings(
        R"({"targets":["nowhere"],"mix":[{"kind":"service","weight":0}],"log":"x","oops":1})");
    REQUIRE_FALSE(parsed);
    std::vector<std::string> paths;
    for (const auto& problem : parsed.error()) {
        paths.push_back(problem.path);
    }
    const std::vector<std::string> expected{
        "$.targets",
        "$.mix[0].weight",
        "$.mix[0].service",
        "$.log",
        "$.oops",
        "$.targets",
        "$.organisations",
        "$.requests"};
    CHECK(paths == expected);
}
