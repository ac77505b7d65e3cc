#include "placement/server_selector.hpp"

#include <array>
#include <map>
#include <random>
#include <string>

#include <catch2/catch.hpp>

using namespace reedramp;
using namespace std::chrono_literals;
using placement::candidate;
using placement::placement_reason;
using placement::placement_request;
using placement::probe_pool;
using placement::server_distance;
using placement::server_selector;
using placement::server_selector_settings;

namespace {

constexpr auto start = common::time_point(1h);
const common::version_id version("v1");

auto random_from(std::uint64_t seed) -> common::random_hook
{
    return [engine = std::mt19937_64(seed)]() mutable {
        return engine();
    };
}

auto answer(const std::string& server, std::uint32_t in_flight, common::duration wait)
    -> messages::probe_answer
{
    messages::probe_answer result;
    result.server = common::server_id(server);
    result.serves_version = true;
    result.in_flight = in_flight;
    result.estimated_wait = wait;
    return result;
}

auto candidates_of(std::size_t near, std::size_t far = 0) -> std::vector<candidate>
{
    std::vector<candidate> result;
    for (std::size_t number = 0; number < near + far; ++number) {
        const auto distance =
            number < near ? server_distance::same_region : server_distance::other_region;
        result.push_back(
            placement::make_candidate(common::server_id("s" + std::to_string(number)), distance));
    }
    return result;
}

auto plain_request() -> placement_request
{
    placement_request request;
    request.version = version;
    return request;
}

} // namespace

TEST_CASE("a probe answer is used a limited number of times and for a limited time", "[probe_pool]")
{
    probe_pool pool({.capacity = 2, .lifetime = 1s, .uses = 2});
    const common::server_id server("s0");
    auto busy = answer("s0", 4, 300ms);
    busy.queued = 2;
    pool.add(version, busy, server_distance::same_region, start);
    pool.record_send(version, server);
    const auto seen = pool.fresh(version, start);
    REQUIRE(seen.size() == 1);
    CHECK(seen[0].in_flight == 7);
    CHECK(seen[0].estimated_wait == 400ms);
    pool.record_send(version, server);
    CHECK(pool.fresh(version, start).empty());

    pool.add(version, answer("s0", 1, 0ms), server_distance::same_region, start);
    CHECK(pool.fresh(version, start + 1s).size() == 1);
    CHECK(pool.fresh(version, start + 1s + 1ns).empty());
    CHECK(pool.fresh(common::version_id("v2"), start).empty());
}

TEST_CASE("a leaving, unusable or evicted server is removed from the pool", "[probe_pool]")
{
    // A server that answers a probe while leaving, or whose connection has closed, must not get
    // further requests, even if an earlier answer of it is still fresh.
    const auto cause = GENERATE("leaving", "other version", "removed", "evicted");
    probe_pool pool({.capacity = 2, .lifetime = 10s, .uses = 2});
    pool.add(version, answer("s0", 1, 0ms), server_distance::same_region, start);
    auto newer = answer("s0", 1, 0ms);
    newer.leaving = cause == std::string("leaving");
    newer.serves_version = cause != std::string("other version");
    if (cause == std::string("removed")) {
        pool.remove_server(common::server_id("s0"));
    }
    else if (cause == std::string("evicted")) {
        pool.add(version, answer("s1", 1, 0ms), server_distance::same_region, start + 1s);
        pool.add(version, answer("s2", 1, 0ms), server_distance::same_region, start + 2s);
    }
    else {
        pool.add(version, newer, server_distance::same_region, start);
    }
    for (const auto& item : pool.fresh(version, start)) {
        CHECK(item.server.value() != "s0");
    }
}

TEST_CASE("the server with the shortest wait that is not hot is selected", "[chooser]")
{
    struct row {
        const char* name;
        std::vector<messages::probe_answer> answers;
        const char* expected;
        const char* runner_up;
    };

    const auto [name, answers, expected, runner_up] = GENERATE(
        row{"least wait", {answer("s0", 2, 80ms), answer("s1", 2, 20ms)}, "s1", "s0"},
        row{"equal wait, least in flight",
            {answer("s0", 2, 0ms), answer("s1", 1, 0ms)},
            "s1",
            "s0"},
        row{"latency within the region is ignored",
            {answer("s0", 1, 0ms), answer("s1", 2, 0ms)},
            "s0",
            "s1"},
        row{"a hot server reports no wait",
            {answer("s0", 1, 60ms), answer("s1", 90, 0ms), answer("s2", 2, 80ms)},
            "s0",
            "s2"},
        row{"unknown to membership", {answer("gone", 0, 0ms), answer("s1", 9, 90ms)}, "s1", ""},
        row{"excluded", {answer("s3", 0, 0ms), answer("s1", 9, 90ms)}, "s1", ""});
    INFO(name);
    probe_pool pool({});
    for (const auto& item : answers) {
        // Server s1 is in this entry's own data centre.
        const auto is_own = item.server.value() == "s1";
        const auto distance =
            is_own ? server_distance::same_data_centre : server_distance::same_region;
        pool.add(version, item, distance, start);
    }
    auto request = plain_request();
    request.excluded.emplace_back("s3");
    const auto candidates = candidates_of(4);
    const auto placed = server_selector({}).place(request, candidates, pool, start, random_from(1));
    REQUIRE(placed);
    CHECK(placed->server.value() == expected);
    CHECK(placed->reason == placement_reason::least_wait);
    CHECK(placed->runner_up.value_or(common::server_id("")).value() == runner_up);
}

TEST_CASE("a session's preferred servers are selected within the allowance, in order", "[chooser]")
{
    // The best other server has a wait of 10 ms, and a cached session justifies 300 ms more. Beyond
    // that, a request would wait longer for its session's server than the cache saves.
    struct row {
        common::duration first_wait;
        common::duration second_wait;
        std::size_t taken;
        placement_reason reason;
    };

    const auto [first_wait, second_wait, taken, reason] = GENERATE(
        row{0ms, 0ms, 0, placement_reason::session_server},
        row{310ms, 0ms, 1, placement_reason::session_server},
        row{310ms, 400ms, 0, placement_reason::session_server},
        row{311ms, 310ms, 1, placement_reason::session_server},
        row{311ms, 311ms, 2, placement_reason::least_wait});
    CAPTURE(first_wait.count(), second_wait.count());
    server_selector_settings settings;
    settings.affinity_wait_allowance = 300ms;
    settings.hot_quantile = 1.0;
    const server_selector selector(settings);
    const auto candidates = candidates_of(8);
    auto request = plain_request();
    request.session_hash = placement::affinity_hash("session");
    const auto ranked = placement::preferred_candidates(candidates, request.session_hash, 3);
    probe_pool pool({});
    const auto plan = selector.plan(request, candidates, pool, 0, start, random_from(1));
    CHECK(plan.targets == std::vector{ranked[0]});
    auto busy = answer(candidates[ranked[0]].server.value(), 3, 1s);
    pool.add(version, busy, server_distance::same_region, start);
    const auto next = selector.plan(request, candidates, pool, 1, start, random_from(1));
    REQUIRE(next.targets.size() == 2);
    CHECK(next.targets[0] == ranked[1]);
    const std::array waits{first_wait, second_wait, common::duration(10ms)};
    for (std::size_t rank = 0; rank < waits.size(); ++rank) {
        const auto& server = candidates[ranked[rank]].server;
        pool.add(
            version, answer(server.value(), 3, waits[rank]), server_distance::same_region, start);
    }
    const auto placed = selector.place(request, candidates, pool, start, random_from(1));
    REQUIRE(placed);
    CHECK(placed->server == candidates[ranked[taken]].server);
    CHECK(placed->reason == reason);
}

TEST_CASE("rendezvous hashing is balanced and moves only a removed server's keys", "[affinity]")
{
    const auto before = candidates_of(10);
    auto after = before;
    after.erase(after.begin() + 3);
    std::map<std::string, int> keys;
    for (int number = 0; number < 10'000; ++number) {
        const auto key = placement::affinity_hash("key" + std::to_string(number));
        const auto first = before[*placement::preferred_candidates(before, key)].server;
        ++keys[first.value()];
        if (first != before[3].server) {
            REQUIRE(after[*placement::preferred_candidates(after, key)].server == first);
        }
    }
    REQUIRE(keys.size() == 10);
    for (const auto& [server, count] : keys) {
        CHECK(count == Approx(1000).margin(150));
    }
    CHECK_FALSE(placement::preferred_candidates({}, 1));
}

TEST_CASE("the probe targets depend on the round, the region and the known waits", "[chooser]")
{
    struct row {
        const char* name;
        std::size_t near;
        std::size_t far;
        common::duration near_wait;
        std::size_t round;
        std::size_t asked;
        std::size_t asked_far;
    };

    const auto [name, near, far, near_wait, round, asked, asked_far] = GENERATE(
        row{"first round: this region only", 8, 8, 0s, 0, 1, 0},
        row{"a server of this region is free", 8, 8, 0s, 1, 0, 0},
        row{"the known server of this region is busy", 8, 8, 1s, 1, 2, 0},
        row{"busy beyond the spill threshold", 8, 8, 3s, 1, 3, 1},
        row{"no servers in this region", 0, 8, 0s, 1, 2, 2},
        row{"fewer servers than targets", 3, 0, 1s, 2, 2, 0},
        row{"no rounds left", 8, 8, 3s, 3, 0, 0},
        row{"no servers", 0, 0, 0s, 0, 0, 0});
    INFO(name);
    const auto candidates = candidates_of(near, far);
    probe_pool pool({});
    if (near > 0) {
        pool.add(version, answer("s0", 1, near_wait), server_distance::same_region, start);
    }
    const auto plan =
        server_selector({}).plan(plain_request(), candidates, pool, round, start, random_from(7));
    CHECK(plan.targets.size() == asked);
    CHECK(plan.place_by == (asked == 0 ? start : start + 20ms));
    const auto is_far = [&candidates](std::size_t index) {
        return candidates[index].distance == server_distance::other_region;
    };
    CHECK(std::ranges::count_if(plan.targets, is_far) == static_cast<std::ptrdiff_t>(asked_far));
}

TEST_CASE("more servers are probed only if all known ones are busy", "[chooser]")
{
    struct row {
        const char* name;
        common::duration wait;
        const char* excluded;
        std::size_t asked;
    };

    const auto [name, wait, excluded, asked] = GENERATE(
        row{"one is free", 0ms, "", 0},
        row{"all are busy", 5ms, "", 4},
        row{"the free one has refused", 0ms, "s1", 4});
    INFO(name);
    const auto candidates = candidates_of(8);
    probe_pool pool({});
    pool.add(version, answer("s0", 4, 5ms), server_distance::same_region, start);
    pool.add(version, answer("s1", 4, wait), server_distance::same_region, start);
    auto request = plain_request();
    request.excluded.emplace_back(excluded);
    const auto plan = server_selector({}).plan(request, candidates, pool, 2, start, random_from(5));
    CHECK(plan.targets.size() == asked);
    CHECK(plan.place_by == (asked == 0 ? start : start + 20ms));
    for (const auto index : plan.targets) {
        CHECK(index >= 2);
    }
}

TEST_CASE(
    "without fresh probe results a random server that is not excluded is selected", "[chooser]")
{
    const auto candidates = candidates_of(2, 2);
    probe_pool pool({});
    auto request = plain_request();
    for (const std::string expected : {"s0 s1", "s1", "s2 s3", "s3", ""}) {
        const auto random = random_from(3);
        for (int round = 0; round < 20; ++round) {
            const auto placed = server_selector({}).place(request, candidates, pool, start, random);
            REQUIRE(placed.has_value() == !expected.empty());
            if (placed) {
                CHECK(placed->reason == placement_reason::unprobed);
                CHECK(expected.find(placed->server.value()) != std::string::npos);
            }
        }
        request.excluded.emplace_back("s" + std::to_string(request.excluded.size()));
    }
}
