#include <cmath>
#include <set>

#include <catch2/catch.hpp>

#include "load_test_simulation.hpp"
#include "rollout_names.hpp"
#include "routing/load_test_routes.hpp"

namespace reedramp::routing::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const route_name questions{"questions"};

} // namespace

TEST_CASE("a plain version that fails on busy servers only is reverted", "[load_test]")
{
    // Guards against moving all callers to a version whose servers were never busy before.
    const unsigned seeds = 60;
    unsigned reverted = 0;
    double part_on_new = 0.0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto played = play_load_test({.fails_from = 3}, seed);
        reverted += played.is_reverted ? 1 : 0;
        part_on_new += static_cast<double>(played.on_new_version) / played.requests / seeds;
    }
    CHECK(reverted >= seeds - 3);
    // A bad version may get 0.15 of some 400 requests and 30 more.
    CHECK(part_on_new < 0.225);
}

TEST_CASE(
    "a plain version that fails on busy servers is found sooner with many requests", "[load_test]")
{
    // Guards against spreading a larger service's first requests over idle servers.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto played = play_load_test(
            {.entries = 22, .requests_per_second = 80.0, .answer_ms = 30.0, .fails_from = 3}, seed);
        CHECK(played.is_reverted);
        CHECK(played.on_new_version < 0.15 * played.requests + 30);
    }
}

TEST_CASE("a good plain version passes the load test", "[load_test]")
{
    // Guards against alarms over failures that requests have on any version.
    unsigned reverted = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        load_test_setup setup;
        setup.usual_failures = seed % 2 == 0 ? 0.004 : 0.14;
        setup.requests_per_second = seed % 3 == 0 ? 60.0 : 20.0;
        reverted += play_load_test(setup, seed).is_reverted ? 1 : 0;
    }
    CHECK(reverted == 0);
}

TEST_CASE("requests without a session use the new version together", "[load_test]")
{
    // Guards against a share in which each request finds the new version's servers idle.
    constexpr double share = 0.3;
    unsigned changes = 0;
    unsigned inside = 0;
    bool before = true;
    for (milliseconds passed{0}; passed < seconds{20}; passed += milliseconds{10}) {
        const bool is_in = is_in_cycle_share(passed, share);
        changes += is_in != before ? 1 : 0;
        inside += is_in ? 1 : 0;
        before = is_in;
        CHECK((!is_in || is_in_cycle_share(passed, 0.5)));
    }
    CHECK(inside == 600);
    CHECK(changes == 19);
    CHECK(is_in_cycle_share(milliseconds{1999}, 1.0));
    CHECK_FALSE(is_in_cycle_share(milliseconds{0}, 0.0));
}

TEST_CASE("the share grows once the version has shown itself on a busy server", "[load_test]")
{
    // Guards against a version that is moved to whole before any of its servers was busy.
    constexpr unsigned slots = 64;
    const auto share_after = [](bool was_busy, bool fails) {
        rollout_manager manager{rollout_options{}};
        manager.apply_order({engines, new_version, allowed}, start);
        const auto now = start + seconds{4};
        for (int i = 0; i < 60; ++i) {
            manager.note_sent(engines, 0, old_version, now, slots);
            manager.note_ended(engines, 0, old_version, now);
            manager.note_outcome(engines, old_version, drafts, true);
            manager.note_outcome(engines, new_version, drafts, true);
            const timed_answer usual{timed_part::whole_answer, 60.0};
            manager.note_time(engines, old_version, drafts, usual, now);
            manager.note_time(engines, new_version, drafts, usual, now);
        }
        for (int i = 0; was_busy && i < 20; ++i) {
            manager.note_outcome(
                engines, new_version, drafts, !fails || i % 2 == 0, occupancy::high);
        }
        const auto later = start + seconds{13};
        const auto is_barred = manager.rule_for(engines, 0, later).bars(new_version);
        return is_barred ? 0.0 : manager.states(later).front().share;
    };
    CHECK(share_after(true, false) == 1.0);
    CHECK(share_after(false, false) == Approx(0.1));
    CHECK(share_after(true, true) == 0.0);
}

TEST_CASE("sessions that fill a server move first", "[load_test]")
{
    // Guards against a load test whose server reads prompts for seconds and never fills.
    rollout_manager manager{rollout_options{}};
    manager.apply_order({engines, new_version, allowed}, start);
    constexpr unsigned slots = 64;
    const auto now = start + milliseconds{10300};
    for (std::uint64_t i = 0; i < 60; ++i) {
        manager.note_sent(engines, i, old_version, now - seconds{8}, slots);
        manager.note_ended(engines, i, old_version, now - seconds{8});
        manager.note_outcome(engines, old_version, drafts, true);
        manager.note_outcome(engines, new_version, drafts, true);
        const timed_answer usual{timed_part::whole_answer, 60.0};
        manager.note_time(engines, old_version, drafts, usual, now - seconds{8});
        manager.note_time(engines, new_version, drafts, usual, now - seconds{8});
    }
    const auto uses_new = [&manager, now](double hash, fill_level fill) {
        constexpr double scale = 18446744073709551616.0;
        return manager
                   .rule_for(
                       engines,
                       static_cast<std::uint64_t>(hash * scale),
                       now,
                       {session_kind::several_requests, fill})
                   .preferred == new_version;
    };
    // The first call notices that the load test is due.
    uses_new(0.0, fill_level::most);
    CHECK(uses_new(0.85, fill_level::most));
    CHECK(uses_new(0.45, fill_level::some));
    CHECK_FALSE(uses_new(0.55, fill_level::some));
    CHECK(uses_new(0.05, fill_level::little));
    CHECK_FALSE(uses_new(0.2, fill_level::little));
    // Another entry, which has seen no request yet, moves the same sessions.
    rollout_manager other{rollout_options{}};
    other.apply_reports(common::host_id{"a"}, manager.make_reports(now), now);
    CHECK(other.rule_for(engines, ~std::uint64_t{0} / 2, now).preferred == new_version);
}

TEST_CASE("routes with long answers for their prompts fill a server", "[load_test]")
{
    // Guards against filling a server with requests that only have their prompts read.
    load_test_routes routes;
    CHECK(routes.level_of(engines, drafts) == fill_level::most);
    for (int i = 0; i < 20; ++i) {
        routes.note(engines, drafts, 12000.0, 760.0);
        routes.note(engines, questions, 830.0, 580.0);
        routes.note(engines, route_name{"tags"}, 2400.0, 45.0);
    }
    CHECK(routes.level_of(engines, questions) == fill_level::most);
    CHECK(routes.level_of(engines, drafts) == fill_level::some);
    CHECK(routes.level_of(engines, route_name{"tags"}) == fill_level::little);
    CHECK(routes.level_of(engines, route_name{"unknown"}) == fill_level::little);
}

TEST_CASE("all entries fill the same server", "[load_test]")
{
    // Guards against entries that each fill another server, so that none becomes busy.
    std::vector<registration> servers(9);
    std::vector<const registration*> all;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].id = common::server_id{"s" + std::to_string(i)};
        all.push_back(&servers[i]);
    }
    const auto none_out = [](const registration&) {
        return false;
    };
    const std::vector<const registration*> other{all.rbegin(), all.rend()};
    const auto* first = load_test_server(all, none_out);
    CHECK(load_test_server(other, none_out) == first);
    const auto is_first_out = [first](const registration& server) {
        return &server == first;
    };
    CHECK(load_test_server(all, is_first_out) != first);
    CHECK(load_test_server(all, [](const registration&) { return true; }) == nullptr);
}

} // namespace reedramp::routing::testing
