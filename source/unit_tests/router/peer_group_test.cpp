#include "peer_group.hpp"

#include <iostream>
#include <memory>
#include <set>

#include <catch2/catch.hpp>

#include "router_fixture.hpp"

namespace reedramp::router::testing {

namespace {

using router_program::peer_group;
using routing::server_instance;

auto address_of(int number) -> http::endpoint
{
    return {"10.0.0." + std::to_string(number), 7000};
}

/// An entry that records what it sends.
struct recording_entry {
    explicit recording_entry(router_fixture& fixture, int number)
        : group(
              fixture.core,
              common::host_id{"host-" + std::to_string(number)},
              address_of(number),
              milliseconds{100},
              [this](const http::endpoint& to, std::string bytes) {
                  this->sent.emplace_back(to, std::move(bytes));
              },
              [this](const http::endpoint& from) { this->newer_at.push_back(from); })
    {
    }

    std::vector<std::pair<http::endpoint, std::string>> sent;
    std::vector<http::endpoint> newer_at;
    peer_group group;
};

} // namespace

TEST_CASE("with many peers each report goes to a few, and all get one in turn", "[peer_group]")
{
    // If each of 390 entries sent to all others ten times per second, an entry would send and
    // receive megabytes per second of control traffic.
    router_fixture fixture;
    recording_entry one{fixture, 1};
    for (int number = 2; number <= 100; ++number) {
        one.group.add(address_of(number));
    }
    std::set<http::endpoint> reached;
    for (int i = 0; i < 25; ++i) {
        one.sent.clear();
        one.group.send_reports();
        REQUIRE(one.sent.size() == 4);
        for (const auto& [to, bytes] : one.sent) {
            reached.insert(to);
            CHECK(bytes.size() < 600);
        }
    }
    CHECK(reached.size() == 99);
}

TEST_CASE(
    "an entry that receives one peer's report finds the others and newer rules", "[peer_group]")
{
    router_fixture here;
    router_fixture there;
    recording_entry one{here, 1};
    recording_entry two{there, 2};
    two.group.add(address_of(3));
    two.group.add(address_of(1));
    there.core->apply_rules(rules_of(9));
    there.core->servers.mark_leaving(common::server_id{"b"});
    two.group.send_reports();
    REQUIRE(two.sent.size() == 2);
    one.group.receive(two.sent.front().second);
    CHECK(one.newer_at == std::vector{address_of(2)});
    CHECK(here.core->servers.find(common::server_id{"b"}) == nullptr);
    one.group.send_reports();
    CHECK(one.sent.size() == 2);
    CHECK(one.group.live_count() == 1);
    CHECK(two.group.rank() == 0);
    CHECK(one.group.rank() == 0);
    one.sent.clear();
    // The peer falls silent: it stops counting as alive, and later it is removed.
    here.advance(milliseconds{2500});
    CHECK(one.group.live_count() == 0);
    here.advance(seconds{20});
    one.group.send_reports();
    CHECK(one.sent.empty());
}

TEST_CASE("speeds of servers reach peers under overload control only", "[peer_group]")
{
    // Each entry would need twenty seconds to know a slow server. Deployments that do not call for
    // overload control must behave as before.
    const server_instance b{common::server_id{"b"}};
    const auto slowness_at_peer = [&b](overload::control_mode sender, overload::control_mode mode) {
        router_fixture here;
        router_fixture there;
        here.core->overload_control = overload_state{{.mode = mode}};
        there.core->overload_control = overload_state{{.mode = sender}};
        recording_entry one{here, 1};
        recording_entry two{there, 2};
        two.group.add(address_of(1));
        auto& speeds = there.core->speeds[common::service_name{"engines"}];
        for (int i = 0; i < 8; ++i) {
            speeds.note_pause(common::server_id{"a"}, "s", 10.0);
            speeds.note_pause(b, "s", 40.0);
        }
        two.group.send_reports();
        one.group.receive(two.sent.front().second);
        return here.core->speeds[common::service_name{"engines"}].slowness_by_pace(
            b, here.core->peer_speeds.pace_of(b, here.now));
    };
    using overload::control_mode;
    CHECK(slowness_at_peer(control_mode::on, control_mode::on) > 1.4);
    CHECK(slowness_at_peer(control_mode::on, control_mode::off) == 1.0);
    CHECK(slowness_at_peer(control_mode::off, control_mode::on) == 1.0);
}

TEST_CASE("an entry without the store drops a server that its peers have seen end", "[peer_group]")
{
    // The server's registration ended without a leaving flag. The peer has read that. The store
    // refuses this entry, which would otherwise keep sending to the server.
    router_fixture here;
    router_fixture there;
    recording_entry one{here, 1};
    recording_entry two{there, 2};
    two.group.add(address_of(1));
    there.core->freshness.note_read(9, true, there.now);
    there.core->servers.lapse(common::server_id{"b"});
    there.core->servers.remove_lapsed(9, there.now);
    here.core->freshness.note_read(5, true, here.now);
    two.group.send_reports();
    one.group.receive(two.sent.front().second);
    CHECK(here.core->servers.find(common::server_id{"a"}) != nullptr);
    CHECK(here.core->servers.find(common::server_id{"b"}) == nullptr);
}

TEST_CASE(
    "an order is forwarded at once and reaches all peers before its share starts", "[peer_group]")
{
    // A roll-out is ordered, and one entry has read the order. If the others learned of it in turn,
    // the last of a hundred would do so half a second later. It would serve sessions on the old
    // version that the first entry, which does not know of them, moves to the new one when the
    // share starts.
    router_fixture fixture;
    fixture.core->options.data_centre = common::data_centre_id{"dc-1"};
    recording_entry one{fixture, 1};
    router_fixture near;
    near.core->options.data_centre = common::data_centre_id{"dc-1"};
    recording_entry neighbour{near, 2};
    neighbour.group.add(address_of(1));
    neighbour.group.send_reports();
    one.group.receive(neighbour.sent.front().second);
    for (int number = 3; number <= 103; ++number) {
        one.group.add(address_of(number));
    }
    one.sent.clear();
    fixture.core->rollouts.apply_order(
        {common::service_name{"engines"}, common::version_id{"v2"}, seconds{20}}, fixture.now);
    one.group.broadcast_urgent();
    REQUIRE(one.sent.size() == 1);
    CHECK(one.sent.front().first == address_of(2));
    neighbour.group.receive(one.sent.front().second);
    CHECK(near.core->rollouts.orders_applied() == 1);
    // The order is sent once; the sessions concerned are then reported to all.
    one.sent.clear();
    one.group.broadcast_urgent();
    CHECK(one.sent.empty());
    std::set<http::endpoint> reached;
    for (int i = 0; i < 5; ++i) {
        one.group.send_reports();
        fixture.advance(milliseconds{100});
    }
    for (const auto& [to, bytes] : one.sent) {
        reached.insert(to);
    }
    CHECK(reached.size() == 102);
    one.sent.clear();
    one.group.send_reports();
    CHECK(one.sent.size() == 4);
}

TEST_CASE("an entry's evidence about a new version outlives its process", "[peer_group]")
{
    // Entries are restarted one after another while a new version is bad. If each new process'
    // empty report replaced the evidence of its predecessor, none would be left after all restarts,
    // and all callers would be moved to the bad version.
    const common::service_name engines{"engines"};
    const common::version_id bad{"v2"};
    const routing::route_name route{"again"};
    router_fixture here;
    recording_entry one{here, 1};
    here.core->rollouts.apply_order({engines, bad, seconds{20}}, here.now);
    const auto is_barred = [&] {
        return here.core->rollouts.rule_for(engines, 0, here.now).bars(bad);
    };
    here.advance(seconds{1});
    // Two processes of one host, neither of which has enough evidence alone.
    for (const std::uint64_t process : {1, 2}) {
        CHECK_FALSE(is_barred());
        router_fixture there;
        there.core->hooks.random = [process] {
            return process;
        };
        recording_entry two{there, 2};
        two.group.add(address_of(1));
        there.core->rollouts.apply_order({engines, bad, seconds{20}}, there.now);
        for (int i = 0; i < 60; ++i) {
            there.core->rollouts.note_outcome(engines, common::version_id{"v1"}, route, true);
        }
        for (int i = 0; i < 2; ++i) {
            there.core->rollouts.note_outcome(engines, bad, route, false);
        }
        two.group.send_reports();
        one.group.receive(two.sent.front().second);
        // A repeated report adds nothing.
        one.group.receive(two.sent.front().second);
    }
    CHECK(is_barred());
}

TEST_CASE("callers are told to return when an entry will serve them", "[peer_group]")
{
    // All entries are shut down, seconds after one another. If the first one tells a caller with a
    // long request to return in 250 ms, the balancer sends it to another leaving entry, which
    // refuses its last attempt.
    router_fixture fixture;
    router_fixture others;
    recording_entry one{fixture, 1};
    recording_entry other{others, 2};
    one.group.add(address_of(2));
    other.group.add(address_of(1));
    const auto exchange_reports = [&one, &other] {
        other.sent.clear();
        other.group.send_reports();
        one.group.receive(other.sent.front().second);
    };
    fixture.core->hooks.accepted_elsewhere_at = [&one](common::time_point now) {
        return one.group.accepted_elsewhere_at(now);
    };
    const auto refused_for = [&fixture] {
        const auto out = fixture.ask("/stream/1", {{"Reedramp-Tokens", "100,300"}});
        REQUIRE(out->status() == 503);
        // A copy, since the response ends with the caller here.
        return std::string{http::find_header(out->answer->headers, "Retry-After").value_or("")};
    };
    exchange_reports();
    fixture.core->announce_end(fixture.now + milliseconds{1000});
    CHECK(refused_for() == "0.250");
    others.core->announce_end(others.now + milliseconds{3000});
    exchange_reports();
    CHECK(refused_for() == "3.000");
}

TEST_CASE("an entry sends no report to itself", "[peer_group]")
{
    router_fixture fixture;
    recording_entry one{fixture, 1};
    one.group.add(address_of(1));
    one.group.send_reports();
    CHECK(one.sent.empty());
    one.group.receive("no message");
    CHECK(one.group.live_count() == 0);
}

TEST_CASE("organisations' usage reaches peers only under pressure, and expires", "[peer_group]")
{
    // Usage at one entry says nothing about the others', so without reports an organisation that
    // spreads its overload over all entries stays within its share at each.
    const common::service_name engines{"engines"};
    const common::organisation_id org{"org"};
    router_fixture here;
    router_fixture there;
    recording_entry one{here, 1};
    recording_entry two{there, 2};
    two.group.add(address_of(1));
    std::vector<std::shared_ptr<caller>> held;
    for (int i = 0; i < 30; ++i) {
        held.push_back(there.ask("/once/x"));
    }
    held.push_back(there.ask("/once/x", {{"Reedramp-Key", "key-of-other"}}));
    there.core->shares.note_refused(engines, org, 1e6, there.now);
    const auto usage_reported = [&] {
        two.sent.clear();
        two.group.send_reports();
        return decode_peer_report(two.sent.front().second)->usage.size();
    };
    CHECK(usage_reported() == 0);
    const auto calm_bytes = two.sent.front().second.size();
    there.core->overload_control.note_stated_speed();
    // Two organisations, and two totals of the service.
    CHECK(usage_reported() == 4);
    std::cout << "METRIC peer_message_usage_of_2_organisations "
              << two.sent.front().second.size() - calm_bytes << " bytes\n";
    one.group.receive(two.sent.front().second);
    CHECK(here.core->shares.excess(engines, org, 1.0, here.now) > 1.0);
    here.now += milliseconds{2100};
    CHECK(here.core->shares.excess(engines, org, 1.0, here.now) == 1.0);
}

} // namespace reedramp::router::testing
