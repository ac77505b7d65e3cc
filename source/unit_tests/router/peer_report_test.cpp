#include "router/crash_update.hpp"
#include "router/peer_report.hpp"

#include <iostream>
#include <random>

#include <catch2/catch.hpp>

namespace reedramp::router {

namespace {

auto full_message() -> peer_report
{
    peer_report report;
    report.host = common::host_id{"host-a"};
    report.address = "10.0.0.1:7000";
    report.rules_version = 12;
    report.loads = {{7, {2.0, 300.0, 120.0}}, {9, {1.0, 50.0, 0.0}}};
    routing::rollout_report rollout;
    rollout.service = common::service_name{"engines"};
    rollout.target = common::version_id{"v2"};
    rollout.allowed = std::chrono::seconds{20};
    rollout.elapsed = std::chrono::seconds{3};
    rollout.left_on_old = 4;
    rollout.evidence[routing::route_name{"drafts"}] = {
        policy::wealth(policy::wealth_size, 0.5),
        {{{0.0, 0.0}, {0.25, 12.0}, {0.5, 3.0}, {0.125, 40.0}}},
        {{{4.0, 40.0}, {5.5, 9.0}}}};
    auto& evidence = rollout.evidence[routing::route_name{"drafts"}];
    evidence.high_occupancy_bets.assign(policy::wealth_size, 0.0);
    for (double& log :
         policy::bets_on(std::span<double>(evidence.high_occupancy_bets), policy::signal::error)) {
        log = 1.5;
    }
    evidence.high_occupancy_old_failures = {0.25, 16.0};
    rollout.load_test_share = 0.75;
    rollout.share = 0.5;
    rollout.old_sessions = {{5, std::chrono::milliseconds{1200}}};
    rollout.state = routing::rollout_state::reverted;
    rollout.is_written = true;
    report.rollouts = {rollout};
    report.process = 4711;
    report.ended = {{17, 123456789000}, {18, 0}};
    report.freshness = {
        123456789012, std::chrono::milliseconds{250}, std::chrono::seconds{77}, 11, 12};
    report.outcomes = {{7, 1.5, 2.25}};
    report.peers = {"10.0.0.2:7000", "255.254.0.9:65535", "[2001:db8::1]:7000"};
    report.leaving = {77};
    report.limits = {
        {19, 2.5, std::chrono::milliseconds{40}}, {20, std::nullopt, std::chrono::milliseconds{0}}};
    report.evacuations = {
        routing::stream_position{4321},
        {common::data_centre_id{"dc-1"}, common::data_centre_id{"dc-2"}}};
    report.speeds = {{21, 1.75, 6}};
    report.ends_in = std::chrono::milliseconds{4200};
    return report;
}

} // namespace

TEST_CASE("a decoded report equals the encoded one", "[peer_message]")
{
    const auto report = full_message();
    const auto read = decode_peer_report(encode(report));
    REQUIRE(read);
    CHECK(read->host == report.host);
    CHECK(read->address == report.address);
    CHECK(read->rules_version == report.rules_version);
    REQUIRE(read->loads.size() == 2);
    CHECK(read->loads[0].load.work == 300.0);
    CHECK(read->loads[0].load.reading == 120.0);
    REQUIRE(read->rollouts.size() == 1);
    CHECK(read->evacuations.known_to == report.evacuations.known_to);
    CHECK(read->evacuations.evacuated == report.evacuations.evacuated);
    CHECK(read->rollouts[0].elapsed == std::chrono::seconds{3});
    CHECK(read->rollouts[0].evidence == report.rollouts[0].evidence);
    CHECK(read->rollouts[0].share == 0.5);
    CHECK(read->rollouts[0].load_test_share == 0.75);
    REQUIRE(read->rollouts[0].old_sessions.size() == 1);
    CHECK(read->rollouts[0].old_sessions[0].session == 5);
    CHECK(read->rollouts[0].old_sessions[0].left == std::chrono::milliseconds{1200});
    CHECK(read->rollouts[0].state == routing::rollout_state::reverted);
    CHECK(read->rollouts[0].is_written);
    CHECK(read->process == report.process);
    REQUIRE(read->limits.size() == 2);
    CHECK(read->limits[0].server == 19);
    CHECK(read->limits[0].per_second == 2.5);
    CHECK(read->limits[0].age == std::chrono::milliseconds{40});
    CHECK_FALSE(read->limits[1].per_second);
    REQUIRE(read->ended.size() == 2);
    CHECK(read->ended[0].server == 17);
    CHECK(read->ended[0].read_to == 123456789000);
    CHECK(read->freshness.changed == report.freshness.changed);
    CHECK(read->freshness.age == report.freshness.age);
    CHECK(read->freshness.steady == report.freshness.steady);
    CHECK(read->freshness.reader == report.freshness.reader);
    CHECK(read->freshness.number == report.freshness.number);
    REQUIRE(read->outcomes.size() == 1);
    CHECK(read->outcomes[0].server == 7);
    CHECK(read->outcomes[0].good == 1.5);
    CHECK(read->outcomes[0].bad == 2.25);
    CHECK(read->peers == report.peers);
    CHECK(read->leaving == report.leaving);
    CHECK(read->ends_in == report.ends_in);
    REQUIRE(read->speeds.size() == 1);
    CHECK(read->speeds[0].server == 21);
    CHECK(read->speeds[0].slowness == 1.75);
    CHECK(read->speeds[0].samples == 6);
}

TEST_CASE("a share is transmitted exactly", "[peer_message]")
{
    // Entries compare a peer's share with the schedule's first one. If 0.18 was rounded up in
    // transit, the second half would seem to have begun, and sessions would change their version
    // midway.
    auto report = full_message();
    for (const double share : {0.18, 0.117, 0.1, 1.0 / 3.0}) {
        report.rollouts[0].share = share;
        CHECK(decode_peer_report(encode(report))->rollouts[0].share == share);
    }
}

TEST_CASE("malformed reports are rejected", "[peer_message]")
{
    // Truncated messages, and messages with changed bytes. None may crash the reader or make it use
    // much memory.
    const auto bytes = encode(full_message());
    for (std::size_t size = 0; size < bytes.size(); size += 8) {
        CHECK_FALSE(decode_peer_report(bytes.substr(0, size)));
    }
    std::mt19937_64 random{20261202};
    for (int i = 0; i < 5000; ++i) {
        auto changed = bytes;
        for (int k = 0; k < 3; ++k) {
            changed[random() % changed.size()] = static_cast<char>(random());
        }
        const auto read = decode_peer_report(changed);
        CHECK((!read || read->loads.size() < 10000));
    }
}

TEST_CASE("a decoded crash update equals the encoded one, over several datagrams", "[crash_news]")
{
    crash_update update;
    update.host = common::host_id{"host-a"};
    for (std::uint64_t i = 1; i <= 100; ++i) {
        const std::chrono::milliseconds age{i};
        update.lost.push_back({routing::request_fingerprint{i}, i * 3, age, age * 2});
    }
    update.served.push_back({routing::request_fingerprint{7}, std::chrono::milliseconds{70}});
    update.barred.push_back(
        {routing::request_fingerprint{8},
         std::chrono::milliseconds{80},
         std::chrono::milliseconds{9}});
    crash_update read;
    for (const auto& bytes : encode_datagrams(update)) {
        CHECK(is_crash_update(bytes));
        CHECK(bytes.size() <= 1400);
        CHECK(!decode_peer_report(bytes));
        const auto part = decode_crash_update(bytes);
        REQUIRE(part);
        CHECK(part->host == update.host);
        read.lost.insert(read.lost.end(), part->lost.begin(), part->lost.end());
        read.served.insert(read.served.end(), part->served.begin(), part->served.end());
        read.barred.insert(read.barred.end(), part->barred.begin(), part->barred.end());
        CHECK(!decode_crash_update(bytes.substr(0, bytes.size() / 2)));
    }
    REQUIRE(read.lost.size() == 100);
    CHECK(read.lost.back().fingerprint == routing::request_fingerprint{100});
    CHECK(read.lost.back().server == 300);
    CHECK(read.lost.back().age == std::chrono::milliseconds{100});
    CHECK(read.lost.back().sent_age == std::chrono::milliseconds{200});
    REQUIRE(read.served.size() == 1);
    CHECK(read.served.front().age == std::chrono::milliseconds{70});
    REQUIRE(read.barred.size() == 1);
    CHECK(read.barred.front().unseen == std::chrono::milliseconds{9});
    CHECK(encode_datagrams({update.host, {}, {}, {}, 0}).empty());
    CHECK(!decode_crash_update("no message"));
}

TEST_CASE("reports on servers that left and ended have a bounded size", "[peer_message]")
{
    // All of a service's servers are replaced within seconds. The report is sent forty times per
    // second, so its size must not grow with their number.
    peer_report calm;
    calm.host = common::host_id{"host-with-a-name"};
    calm.address = "10.0.0.1:7000";
    for (int i = 0; i < 8; ++i) {
        calm.peers.push_back("10.0.0." + std::to_string(10 + i) + ":7000");
    }
    routing::server_table table;
    const common::time_point now{std::chrono::seconds{100}};
    for (int i = 0; i < 300; ++i) {
        routing::registration left;
        left.id = common::server_id{"left-" + std::to_string(i)};
        left.is_leaving = true;
        table.apply_registration(left, now);
        routing::registration ended;
        ended.id = common::server_id{"ended-" + std::to_string(i)};
        table.apply_registration(ended, now);
        table.lapse(ended.id);
    }
    table.remove_lapsed(9, now);
    auto busy = calm;
    busy.leaving = table.leaving();
    busy.ended = table.ended(now);
    const auto calm_size = encode(calm).size();
    const auto busy_size = encode(busy).size();
    std::cout << "METRIC peer_message_calm " << calm_size << " bytes\n";
    INFO("calm " << calm_size << " bytes, busy " << busy_size);
    CHECK(calm_size <= 400);
    CHECK(busy_size <= calm_size + 400);
}

} // namespace reedramp::router
