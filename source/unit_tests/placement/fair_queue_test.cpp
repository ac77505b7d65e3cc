#include "placement/fair_queue.hpp"

#include <map>
#include <string>

#include <catch2/catch.hpp>

using namespace reedramp;
using namespace std::chrono_literals;
using common::result_code;
using placement::fair_queue;
using placement::fair_queue_settings;
using placement::queued_request;

namespace {

constexpr auto start = common::time_point(1h);

auto request(
    std::uint64_t number,
    const std::string& organisation,
    std::uint64_t cost,
    common::time_point deadline = common::never) -> queued_request
{
    queued_request result;
    result.key.request = {0, number};
    result.organisation = common::organisation_id(organisation);
    result.cost = common::token_count(cost);
    result.deadline = deadline;
    return result;
}

/// One slot with 100 tokens per second: a request of 100 tokens takes a second.
auto one_slot() -> fair_queue_settings
{
    fair_queue_settings settings;
    settings.capacity.slots = 1;
    settings.expected_stream_rate = 100.0;
    settings.run_margin = 1.0;
    return settings;
}

/// Runs `count` requests from the queue one after the other; returns the tokens started by
/// organisation.
auto serve(fair_queue& queue, int count) -> std::map<std::string, std::uint64_t>
{
    std::map<std::string, std::uint64_t> tokens;
    auto now = start;
    for (int served = 0; served < count; ++served) {
        const auto next = queue.pop(now);
        REQUIRE(next);
        tokens[next->organisation.value()] += next->cost.value();
        now += std::chrono::milliseconds(10 * next->cost.value());
        queue.finish(next->key, next->cost, now);
    }
    return tokens;
}

} // namespace

TEST_CASE("organisations share a server's tokens by weight", "[fair_queue]")
{
    struct row {
        const char* name;
        std::uint64_t cost_a;
        std::uint64_t cost_b;
        double weight_a;
        double share_a;
    };

    const auto [name, cost_a, cost_b, weight_a, share_a] = GENERATE(
        row{"equal requests", 100, 100, 1.0, 0.5},
        row{"large requests against small ones", 400, 50, 1.0, 0.5},
        row{"three times the weight", 100, 100, 3.0, 0.75},
        row{"requests larger than the quantum", 1000, 100, 1.0, 0.5});
    INFO(name);
    auto settings = one_slot();
    settings.max_queued = 10'000;
    fair_queue queue(settings);
    for (std::uint64_t number = 0; number < 600; ++number) {
        auto request_a = request(2 * number, "a", cost_a);
        request_a.weight = weight_a;
        REQUIRE(queue.push(request_a, start));
        REQUIRE(queue.push(request(2 * number + 1, "b", cost_b), start));
    }
    const auto tokens = serve(queue, 300);
    const auto total = static_cast<double>(tokens.at("a") + tokens.at("b"));
    CHECK(static_cast<double>(tokens.at("a")) / total == Approx(share_a).margin(0.04));
}

TEST_CASE("priority orders requests of one organisation only", "[fair_queue]")
{
    fair_queue queue(one_slot());
    for (std::uint64_t number = 0; number < 4; ++number) {
        auto urgent = request(number, "a", 100);
        urgent.priority = static_cast<std::int32_t>(number);
        REQUIRE(queue.push(urgent, start));
    }
    REQUIRE(queue.push(request(9, "b", 100), start));
    CHECK(queue.pop(start)->key.request.low == 3);
    queue.finish({{0, 3}, {}, {}}, common::token_count(100), start + 1s);
    CHECK(queue.pop(start + 1s)->organisation.value() == "b");
}

TEST_CASE("a request that cannot finish in time is refused immediately", "[fair_queue]")
{
    // One request of a second is running and `ahead` more are queued. The refusal carries the time
    // from which the same request would be accepted, so that the caller does not wait for an answer
    // that would come too late.
    struct row {
        std::uint64_t ahead;
        std::uint64_t cost;
        std::chrono::milliseconds deadline;
        bool accepted;
        std::optional<std::chrono::milliseconds> retry_after;
    };

    const auto [ahead, cost, deadline, accepted, retry_after] = GENERATE(
        row{0, 100, 2000ms, true, {}},
        row{0, 100, 1900ms, false, 100ms},
        row{3, 100, 5000ms, true, {}},
        row{3, 100, 4000ms, false, 1000ms},
        row{0, 1000, 9000ms, false, std::nullopt});
    CAPTURE(ahead, cost, deadline.count());
    fair_queue queue(one_slot());
    for (std::uint64_t number = 0; number <= ahead; ++number) {
        REQUIRE(queue.push(request(number, "a", 100), start));
        if (number == 0) {
            REQUIRE(queue.pop(start));
        }
    }
    const auto pushed = queue.push(request(100, "a", cost, start + deadline), start);
    REQUIRE(pushed.has_value() == accepted);
    if (!accepted) {
        CHECK(pushed.error().code == result_code::deadline_too_near);
        CHECK(pushed.error().run == common::execution::not_run);
        const auto expected =
            retry_after ? std::optional(start + *retry_after) : std::optional<common::time_point>();
        CHECK(pushed.error().retry_at == expected);
    }
}

TEST_CASE("a request that has to wait reserves a margin for a long run", "[fair_queue]")
{
    // Runs take a second on average and often longer. If a request could wait until only the mean
    // run time is left, many answers would miss their deadline after the server has done the work.
    // The margin is three runs, but at most half of the time left.
    struct row {
        std::uint64_t ahead;
        std::chrono::milliseconds deadline;
        bool accepted;
    };

    const auto [ahead, deadline, accepted] = GENERATE(
        row{0, 1000ms, true},
        row{0, 999ms, false},
        row{1, 2000ms, true},
        row{1, 1999ms, false},
        row{2, 4000ms, true},
        row{2, 3999ms, false},
        row{5, 8000ms, true},
        row{5, 7999ms, false});
    CAPTURE(ahead, deadline.count());
    auto settings = one_slot();
    settings.run_margin = 3.0;
    fair_queue queue(settings);
    for (std::uint64_t number = 0; number < ahead; ++number) {
        REQUIRE(queue.push(request(number, "a", 100), start));
    }
    queue.pop(start);
    const auto pushed = queue.push(request(100, "a", 100, start + deadline), start);
    CHECK(pushed.has_value() == accepted);
    CHECK(queue.pop(start).has_value() == (accepted && ahead == 0));
}

TEST_CASE("a long request to an idle server is not removed before it starts", "[fair_queue]")
{
    // A request without a length hint is accepted although three expected runs are longer than its
    // deadline allows. The clock advances between accepting and starting it; if the latest start
    // were the time of the check, every such request would be refused.
    auto settings = one_slot();
    settings.run_margin = 3.0;
    fair_queue queue(settings);
    REQUIRE(queue.push(request(1, "a", 100, start + 2s), start));
    CHECK(queue.take_infeasible(start + 1ms).empty());
    CHECK(queue.pop(start + 1ms));
}

TEST_CASE("a queued request is removed as soon as it cannot finish in time", "[fair_queue]")
{
    // The running request takes longer than expected. The next one has to start by second 2 and is
    // removed right after that, to be refused then rather than at its deadline.
    fair_queue queue(one_slot());
    REQUIRE(queue.push(request(1, "a", 100), start));
    REQUIRE(queue.pop(start));
    REQUIRE(queue.push(request(2, "b", 100, start + 3s), start));
    CHECK(queue.next_check() == start + 2s + 1ns);
    CHECK(queue.take_infeasible(start + 2s).empty());
    const auto infeasible = queue.take_infeasible(queue.next_check());
    REQUIRE(infeasible.size() == 1);
    CHECK(infeasible[0].key.request.low == 2);
    CHECK(queue.next_check() == common::never);
    CHECK(queue.queued() == 0);
}

TEST_CASE("an organisation that floods the queue leaves places for others", "[fair_queue]")
{
    auto settings = one_slot();
    settings.max_queued = 30;
    fair_queue queue(settings);
    std::uint64_t number = 0;
    auto pushed = queue.push(request(number, "flood", 10), start);
    while (pushed) {
        pushed = queue.push(request(++number, "flood", 10), start);
    }
    CHECK(pushed.error().code == result_code::queue_full);
    CHECK(pushed.error().retry_at > start);
    CHECK(queue.queued() == 20);
    CHECK(queue.push(request(1000, "other", 10), start));
}

TEST_CASE("small requests do not overtake a large one that waits for capacity", "[fair_queue]")
{
    // Two slots and 100 tokens of capacity, 60 of them in use. The request of 80 is next and does
    // not fit; the request of 10 behind it would. If small requests could overtake, the large one
    // might never start.
    auto settings = one_slot();
    settings.capacity = {2, common::token_count(100)};
    fair_queue queue(settings);
    REQUIRE(queue.push(request(1, "a", 60), start));
    REQUIRE(queue.pop(start));
    REQUIRE(queue.push(request(2, "a", 80), start));
    REQUIRE(queue.push(request(3, "a", 10), start));
    CHECK_FALSE(queue.pop(start));
    queue.finish({{0, 1}, {}, {}}, common::token_count(60), start + 600ms);
    CHECK(queue.pop(start + 600ms)->key.request.low == 2);
    CHECK(queue.pop(start + 600ms)->key.request.low == 3);
}

TEST_CASE("a request leaves the queue exactly once, by removal, pop or shutdown", "[fair_queue]")
{
    fair_queue queue(one_slot());
    for (std::uint64_t number = 1; number <= 5; ++number) {
        REQUIRE(queue.push(request(number, number % 2 == 0 ? "a" : "b", 100), start));
    }
    CHECK(queue.remove({{0, 2}, {}, {}}));
    CHECK_FALSE(queue.remove({{0, 2}, {}, {}}));
    REQUIRE(queue.pop(start));
    CHECK_FALSE(queue.pop(start));
    CHECK(queue.estimated_wait() == 4s);
    CHECK(queue.take_all().size() == 3);
    CHECK(queue.queued() == 0);
    CHECK(queue.running() == 1);
    CHECK(queue.estimated_wait() == 1s);
}
