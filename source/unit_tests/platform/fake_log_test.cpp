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
    std::vector<std::string> kept;
};

} // namespace

TEST_CASE("Appends meet the faults of the log")
{
    // The caller sees `append_unknown` both when the record is there and when it is not; only a
    // read tells them apart. `log_unavailable` promises that the record is not there.
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
        {"answer lost after the effect", lost_answer, {ok, unknown, ok}, {"a", "b", "c"}},
        {"append lost", lost_append, {ok, unknown, ok}, {"a", "c"}},
    };
    for (const auto& row : table) {
        INFO(row.name);
        fixture given;
        given.log.set_faults(row.faults);
        const std::vector<result_code> codes{
            given.append("a"), given.append("b"), given.append("c")};
        CHECK(codes == row.codes);
        std::vector<std::string> kept;
        for (const auto& record : given.log.records(stream)) {
            kept.push_back(record.data);
        }
        CHECK(kept == row.kept);
    }
}

TEST_CASE("Appends over the rate are refused until the second is over")
{
    fixture given;
    platform::log_faults limited;
    limited.appends_per_second = 2;
    given.log.set_faults(limited);
    std::vector<result_code> codes;
    const auto append = [&] {
        given.hooks.append(stream, "x", [&codes](const auto& answer) {
            codes.push_back(answer ? result_code::ok : answer.error().code);
        });
    };
    append();
    append();
    append();
    given.time.run_for(1s);
    append();
    given.time.run_due();
    const std::vector<result_code> expected{
        result_code::ok, result_code::ok, result_code::log_unavailable, result_code::ok};
    CHECK(codes == expected);
}

TEST_CASE("A slow log has the effect at once and answers late")
{
    fixture given;
    platform::log_faults slow;
    slow.slow = 5s;
    given.log.set_faults(slow);
    bool is_answered = false;
    given.hooks.append(stream, "x", [&is_answered](const auto&) { is_answered = true; });
    CHECK(given.log.head(stream) == log_offset{1});
    given.time.run_for(4999ms);
    CHECK_FALSE(is_answered);
    given.time.run_for(1ms);
    CHECK(is_answered);
}

TEST_CASE("A read behind the trimmed prefix says so")
{
    fixture given;
    for (const auto* data : {"a", "b", "c", "d"}) {
        given.log.put(stream, data);
    }
    given.log.trim(stream, log_offset{3});
    REQUIRE_FALSE(given.read(1));
    CHECK(given.read(1).error().code == result_code::log_trimmed);
    const auto answer = given.read(2);
    REQUIRE(answer);
    CHECK(answer->oldest == log_offset{3});
    CHECK(answer->head == log_offset{4});
    CHECK(answer->records.size() == 2);
    given.log.keep(1);
    CHECK(given.log.oldest(stream) == log_offset{4});
}

TEST_CASE("A long poll ends with a record, with its time, or with the log")
{
    fixture given;
    std::vector<std::string> seen;
    const auto poll = [&] {
        given.hooks.read(stream, given.log.head(stream), 10s, [&seen](const auto& answer) {
            const auto count = answer ? std::to_string(answer->records.size()) : "down";
            seen.push_back(count);
        });
    };
    poll();
    given.time.run_for(9s);
    CHECK(seen.empty());
    given.log.put(stream, "x");
    given.time.run_due();
    CHECK(seen == std::vector<std::string>{"1"});
    poll();
    given.time.run_for(10s);
    CHECK(seen == std::vector<std::string>{"1", "0"});
    poll();
    platform::log_faults down;
    down.down = true;
    given.log.set_faults(down);
    given.time.run_due();
    CHECK(seen == std::vector<std::string>{"1", "0", "down"});
}
