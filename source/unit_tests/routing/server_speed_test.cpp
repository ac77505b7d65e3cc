#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "routing/peer_speed_table.hpp"

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;

const server_instance a{common::server_id{"a"}};
const server_instance b{common::server_id{"b"}};
const server_instance c{common::server_id{"c"}};

const common::host_id peer{"peer"};
const time_point start{std::chrono::seconds{100}};

} // namespace

TEST_CASE("pauses of different models are not compared with each other", "[server_speed]")
{
    // A server that runs mostly the large model would look ten times as slow as one that runs the
    // small one.
    server_speed_tracker speeds;
    for (int i = 0; i < 20; ++i) {
        speeds.note_pause(a, "small", 5.0);
        speeds.note_pause(b, "small", 5.0);
        speeds.note_pause(b, "large", 50.0);
        speeds.note_pause(c, "large", 50.0);
    }
    for (const auto& server : {a, b, c}) {
        CHECK(speeds.slowness_by_pace(server) == Approx(1.0));
    }
}

TEST_CASE("one pause moves the estimate by a part only", "[server_speed]")
{
    // A prompt that is read between two events makes one stream look several times as slow.
    server_speed_tracker speeds;
    for (int i = 0; i < 20; ++i) {
        speeds.note_pause(b, "m", 10.0);
        speeds.note_pause(c, "m", 10.0);
    }
    CHECK(speeds.slowness_by_pace(a) == 1.0);
    speeds.note_pause(a, "m", 40.0);
    CHECK(speeds.slowness_by_pace(a) > 1.0);
    CHECK(speeds.slowness_by_pace(a) < 1.4);
    for (int i = 0; i < 20; ++i) {
        speeds.note_pause(a, "m", 1000.0);
    }
    CHECK(speeds.slowness_by_pace(a) <= 10.0);
    CHECK(speeds.slowness_by_pace(b) >= 0.7);
}

TEST_CASE("pauses leave the estimates from waits as they are", "[server_speed]")
{
    // Without overload control decisions must not change, and those use the estimate from waits.
    server_speed_tracker with_pauses;
    server_speed_tracker without;
    for (int i = 0; i < 40; ++i) {
        for (auto* speeds : {&with_pauses, &without}) {
            speeds->note(a, milliseconds{300 + i}, 500.0);
            speeds->note(b, milliseconds{100 + i}, 700.0);
            speeds->note(c, milliseconds{110}, 300.0);
        }
        with_pauses.note_pause(a, "m", 3.0);
        with_pauses.note_pause(b, "m", 30.0);
        with_pauses.note_pause(server_instance{common::server_id{"d"}}, "m", 30.0);
        for (const auto& server : {a, b, c}) {
            CHECK(with_pauses.slowness(server) == without.slowness(server));
        }
    }
    CHECK(with_pauses.expected(900.0) == without.expected(900.0));
    CHECK(with_pauses.expected_queueing(900.0) == without.expected_queueing(900.0));
    // Plain services have no events; their servers are judged by waits there, too.
    CHECK(with_pauses.slowness_by_pace(c) == without.slowness(c));
}

TEST_CASE("a removed server no longer counts in the mean pause", "[server_speed]")
{
    // A slow server that has ended would make all others look fast for ever.
    server_speed_tracker speeds;
    for (int i = 0; i < 20; ++i) {
        speeds.note_pause(a, "m", 10.0);
        speeds.note_pause(b, "m", 10.0);
        speeds.note_pause(c, "m", 90.0);
    }
    CHECK(speeds.own_pace(a).log_ratio < -0.5);
    speeds.forget_if([](const server_instance& server) { return server == c; });
    CHECK(speeds.own_pace(a).log_ratio == Approx(0.0).margin(1e-9));
    CHECK(speeds.own_pace(c).samples == 0.0);
}

TEST_CASE("invalid pauses and names that callers invent are harmless", "[server_speed]")
{
    // One value that is not finite would spoil the mean over all servers, and a record for each
    // invented name would grow without bound.
    server_speed_tracker speeds;
    speeds.note_pause(a, "m", std::numeric_limits<double>::quiet_NaN());
    CHECK(speeds.own_pace(a).samples == 0.0);
    for (int i = 0; i < 100; ++i) {
        speeds.note_pause(a, "m" + std::to_string(i), 0.0);
    }
    CHECK(std::isfinite(speeds.own_pace(a).log_ratio));
    CHECK(speeds.own_pace(a).samples == max_pace_samples);
}

TEST_CASE("a peer's row is replaced, bounded, and expires", "[server_speed]")
{
    // Reports arrive several times, and the last ones of an entry that has ended stay.
    server_speed_tracker speeds;
    peer_speed_table peers;
    const auto slowness = [&](time_point now) {
        return speeds.slowness_by_pace(a, peers.pace_of(a, now));
    };
    CHECK(slowness(start) == 1.0);
    for (int i = 0; i < 5; ++i) {
        peers.apply_reports(peer, {{hash_of(a), 4.0, 4'000'000'000U}}, start);
    }
    CHECK(peers.pace_of(a, start).samples == max_pace_samples);
    CHECK(slowness(start) > 2.0);
    CHECK(slowness(start) < 4.0);
    const auto later = start + std::chrono::seconds{59};
    peers.apply_reports(peer, {{hash_of(a), 2.0, 3}}, later);
    CHECK(peers.pace_of(a, later).samples == 3.0);
    peers.apply_reports(common::host_id{"other"}, {{hash_of(a), 2.0, 3}}, later);
    CHECK(peers.pace_of(a, later).samples == 6.0);
    CHECK(slowness(later + std::chrono::seconds{59}) > 1.0);
    CHECK(slowness(later + std::chrono::seconds{60}) == 1.0);
}

TEST_CASE("impossible rows are ignored, and rows of a gone instance dropped", "[server_speed]")
{
    peer_speed_table peers;
    const auto nan = std::numeric_limits<double>::quiet_NaN();
    const auto infinite = std::numeric_limits<double>::infinity();
    const auto of_a = hash_of(a);
    peers.apply_reports(
        peer,
        {{of_a, nan, 5}, {of_a, infinite, 5}, {of_a, -1.0, 5}, {of_a, 0.0, 5}, {of_a, 2.0, 0}},
        start);
    CHECK(peers.pace_of(a, start).samples == 0.0);
    peers.apply_reports(peer, {{of_a, 1e300, 5}, {hash_of(b), 2.0, 5}}, start);
    CHECK(peers.pace_of(a, start).log_ratio == Approx(std::log(10.0)));
    const server_instance restarted{a.id, start_time{7}};
    CHECK(peers.pace_of(restarted, start).samples == 0.0);
    peers.forget_if([of_a](std::uint64_t server) { return server == of_a; });
    CHECK(peers.pace_of(a, start).samples == 0.0);
    CHECK(peers.pace_of(b, start).samples == 5.0);
}

TEST_CASE("the wait is predicted from the cost of the choice", "[server_speed]")
{
    // The log and the histograms would show a prediction that does not follow the queue.
    server_speed_tracker speeds;
    CHECK(speeds.expected_ms(1000.0) == 0.0);
    for (int i = 0; i < 200; ++i) {
        speeds.note_cost(50.0, 500.0);
        speeds.note_cost(450.0, 8500.0);
    }
    CHECK(speeds.expected_ms(500.0) == Approx(50.0));
    CHECK(speeds.expected_ms(3500.0) == Approx(200.0));
    CHECK(speeds.expected(1000.0) == milliseconds{0});
}

TEST_CASE("reports name all servers in turn", "[server_speed]")
{
    // A fixed selection would leave all other servers unknown to the peers.
    std::map<common::service_name, server_speed_tracker> speeds;
    constexpr int servers = 41;
    for (int i = 0; i < servers; ++i) {
        const common::service_name service{i % 2 == 0 ? "even" : "odd"};
        speeds[service].note_pause(common::server_id{"s" + std::to_string(i)}, "m", 10.0);
    }
    std::set<std::uint64_t> named;
    std::uint64_t last = 0;
    for (int i = 0; i < 6; ++i) {
        const auto reports = next_speed_reports(speeds, last);
        REQUIRE(reports.size() == max_reported_speeds);
        last = reports.back().server;
        for (const auto& one : reports) {
            named.insert(one.server);
        }
    }
    CHECK(named.size() == servers);
}

} // namespace reedramp::routing
