#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "platform/fake_log.hpp"
#include "platform/fake_time.hpp"

using namespace std::chrono_literals;
using namespace reedramp;
using common::log_offset;
using common::result_code;

namespace {

constexpr auto stream = "configuration";

struct fixture {
    platform::fake_time time;
    platform::fake_log log{time.clock(), time.timers()};
    platform::log_hooks hooks = log.hooks();

    auto append(const std::string& data) -> result_code
    {
        std::optional<result_code> code;
        this->hooks.append(stream, data, [&code](const auto& answer) {
            code = answer ? result_code::ok : answer.error().code;
        });
        REQUIRE_FALSE(code.has_value());
        this->time.run_for(1s);
        REQUIRE(code.has_value());
        return *code;
    }

    auto read(std::uint64_t after) -> common::result<platform::read_answer>
    {
        std::optional<common::result<platform::read_answer>> read;
        this->hooks.read(
            stream, log_offset{after}, 0ms, [&read](const auto& answer) { read = answer; });
        this->time.run_for(1s);
        return read.value();
    }
};

struct append_case {
    std::string name;
    platform::log_faults faults;
    std::vector<result_code> codes;
    std::vector<std::string> records;
};

} // namespace

TEST_CASE("Appends to the fake log show its faults")
{
    // `append_unknown` is answered both if the record was appended and if it was not; only a read
    // shows which. `log_unavailable` guarantees that the record was not appended.
    constexpr auto ok = result_code::ok;
    constexpr auto unknown = result_code::append_unknown;
    constexpr auto unavailable = result_code::log_unavailable;
    platform::log_faults down;
    down.down = true;
    platform::log_faults lost_answer;
    lost_answer.lose_answer_every = 2;
    platform::log_faults lost_append;
    lost_append.lose_append_every = 2;
    const std::vector<append_case> table{
        {"healthy", {}, {ok, ok, ok}, {"a", "b", "c"}},
        {"down", down, {unavailable, unavailable, unavailable}, {}},
        {"answer lost after the append", lost_answer, {ok, unknown, ok}, {"a", "b", "c"}},
        {"append lost", lost_append, {ok, unknown, ok}, {"a", "c"}},
    };
    for (const auto& row : table) {
        INFO(row.name);
        fixture environment;
        environment.log.set_faults(row.faults);
        const std::vector<result_code> codes{
            environment.append("a"), environment.append("b"), environment.append("c")};
        CHECK(codes == row.codes);
        std::vector<std::string> records;
        for (const auto& record : environment.log.records(stream)) {
            records.push_back(record.data);
        }
        CHECK(records == row.records);
    }
}

TEST_CASE("Appends above the rate limit fail until the second has passed")
{
    fixture environment;
    platform::log_faults limited;
    limited.appends_per_second = 2;
    environment.log.set_faults(limited);
    std::vector<result_code> codes;
    const auto append = [&] {
        environment.hooks.append(stream, "x", [&codes](const auto& answer) {
            codes.push_back(answer ? result_code::ok : answer.error().code);
        });
    };
    append();
    append();
    append();
    environment.time.run_for(1s);
    append();
    environment.time.run_due();
    const std::vector<result_code> expected{
        result_code::ok, result_code::ok, result_code::log_unavailable, result_code::ok};
    CHECK(codes == expected);
}

TEST_CASE("A slow log appends immediately and answers late")
{
    fixture environment;
    platform::log_faults slow;
    slow.slow = 5s;
    environment.log.set_faults(slow);
    bool is_answered = false;
    environment.hooks.append(stream, "x", [&is_answered](const auto&) { is_answered = true; });
    CHECK(environment.log.head(stream) == log_offset{1});
    environment.time.run_for(4999ms);
    CHECK_FALSE(is_answered);
    environment.time.run_for(1ms);
    CHECK(is_answered);
}

TEST_CASE("A read of trimmed records fails with log_trimmed")
{
    fixture environment;
    for (const auto* data : {"a", "b", "c", "d"}) {
        environment.log.put(stream, data);
    }
    environment.log.trim(stream, log_offset{3});
    REQUIRE_FALSE(environment.read(1));
    CHECK(environment.read(1).error().code == result_code::log_trimmed);
    const auto answer = environment.read(2);
    REQUIRE(answer);
    CHECK(answer->oldest == log_offset{3});
    CHECK(answer->head == log_offset{4});
    CHECK(answer->records.size() == 2);
    environment.log.keep(1);
    CHECK(environment.log.oldest(stream) == log_offset{4});
}

TEST_CASE("A long poll ends with a new record, by its timeout, or when the log goes down")
{
    fixture environment;
    std::vector<std::string> answers;
    const auto poll = [&] {
        environment.hooks.read(
            stream, environment.log.head(stream), 10s, [&answers](const auto& answer) {
                const auto count = answer ? std::to_string(answer->records.size()) : "down";
                answers.push_back(count);
            });
    };
    poll();
    environment.time.run_for(9s);
    CHECK(answers.empty());
    environment.log.put(stream, "x");
    environment.time.run_due();
    CHECK(answers == std::vector<std::string>{"1"});
    poll();
    environment.time.run_for(10s);
    CHECK(answers == std::vector<std::string>{"1", "0"});
    poll();
    platform::log_faults down;
    down.down = true;
    environment.log.set_faults(down);
    environment.time.run_due();
    CHECK(answers == std::vector<std::string>{"1", "0", "down"});
}
