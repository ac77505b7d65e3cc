#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

#include "agent/request_table.hpp"

namespace reedramp::agent {

using namespace std::chrono_literals;
using messages::outcome_state;
using messages::repeat_rule;

namespace {

constexpr common::time_point start_time{1h};

auto limits(std::size_t records, std::size_t reserve) -> request_table_limits
{
    return {10min, records, reserve, 100, 60};
}

auto key(std::uint64_t id, std::uint32_t attempt = 1) -> messages::run_key
{
    return {{1, id}, common::attempt_number{attempt}, common::incarnation_id{5}};
}

auto is_admitted(request_table& table, const messages::run_key& which, repeat_rule repeat) -> bool
{
    return std::holds_alternative<admitted>(table.admit(which, repeat, start_time));
}

} // namespace

TEST_CASE("A full table refuses new requests and removes no record")
{
    // Refusals of a full table use the reserved records, so that a later copy is refused too. When
    // the reserve is used up, a refusal cannot be guaranteed and the answer is "unknown".
    request_table table(limits(2, 2));
    CHECK(is_admitted(table, key(1), repeat_rule::idempotent));
    CHECK(is_admitted(table, key(2), repeat_rule::idempotent));
    const auto third = table.admit(key(3), repeat_rule::idempotent, start_time);
    REQUIRE(std::holds_alternative<rejected>(third));
    CHECK(std::get<rejected>(third).why.run == common::execution::not_run);
    CHECK(table.query({key(4)}, start_time).state == outcome_state::refused);
    const auto fifth = table.admit(key(5), repeat_rule::idempotent, start_time);
    REQUIRE(std::holds_alternative<duplicate>(fifth));
    CHECK(std::get<duplicate>(fifth).outcome.why.value().run == common::execution::unknown);
    const auto sixth = table.query({key(6)}, start_time);
    CHECK(sixth.state == outcome_state::unknown);
    CHECK(sixth.why.value().run == common::execution::unknown);

    CHECK(table.start(key(1)));
    CHECK_FALSE(table.start(key(3)));
    for (std::uint64_t id : {1U, 2U, 3U, 4U}) {
        CHECK_FALSE(is_admitted(table, key(id), repeat_rule::idempotent));
    }
    CHECK(table.records() == 4);
}

TEST_CASE("Records expire a window after their end; unfinished ones never do")
{
    request_table table(limits(10, 0));
    CHECK(is_admitted(table, key(1), repeat_rule::at_most_once));
    CHECK(is_admitted(table, key(2), repeat_rule::at_most_once));
    CHECK(table.start(key(1)));
    CHECK(table.start(key(2)));
    messages::finished_event answer;
    answer.body = std::string(50, 'x');
    table.finish(key(1), {}, answer, start_time);
    CHECK(table.kept_bytes() == 50);
    table.expire(start_time + 10min - 1ms);
    CHECK(table.query({key(1)}, start_time).state == outcome_state::finished);
    table.expire(start_time + 10min);
    CHECK(table.kept_bytes() == 0);
    CHECK(table.query({key(1), false}, start_time).state == outcome_state::unknown);
    table.expire(start_time + 100h);
    CHECK(table.query({key(2)}, start_time).state == outcome_state::running);
    CHECK(table.records() == 1);
}

TEST_CASE("Stored answers are bounded, and none is evicted for a newer one")
{
    // A new at-most-once request is refused ("not run") while the space for stored answers is used
    // up; retries of earlier requests still get theirs. An answer above the limit for one answer is
    // not stored; its retry gets the outcome only.
    request_table table(limits(100, 10));
    messages::finished_event answer;
    for (std::uint64_t id : {1U, 2U, 3U}) {
        CHECK(is_admitted(table, key(id), repeat_rule::at_most_once));
        CHECK(table.start(key(id)));
        answer.body = std::string(id == 1 ? 61 : 50, 'x');
        table.finish(key(id), {}, answer, start_time);
    }
    CHECK(table.kept_bytes() == 100);
    CHECK_FALSE(is_admitted(table, key(4), repeat_rule::at_most_once));
    CHECK(is_admitted(table, key(5), repeat_rule::idempotent));
    CHECK_FALSE(table.query({key(1)}, start_time).finished);
    CHECK(table.query({key(1)}, start_time).state == outcome_state::finished);
    CHECK(table.query({key(2)}, start_time).finished);
}

TEST_CASE("At most one of many concurrent copies of a request runs")
{
    // Threads concurrently submit copies and attempts of one request and query its outcome. In any
    // order, at most one copy of an at-most-once request may start.
    for (std::uint64_t round = 0; round < 200; ++round) {
        request_table table(limits(100, 100));
        std::atomic<int> starts = 0;
        std::vector<std::thread> threads;
        for (std::uint32_t thread = 0; thread < 4; ++thread) {
            threads.emplace_back([&, thread] {
                const auto mine = key(round, 1 + thread / 2);
                if (thread == 3) {
                    table.query({mine}, start_time);
                }
                if (is_admitted(table, mine, repeat_rule::at_most_once) && table.start(mine)) {
                    ++starts;
                }
            });
        }
        for (auto& thread : threads) {
            thread.join();
        }
        REQUIRE(starts <= 1);
    }
}

} // namespace reedramp::agent
