#include <iostream>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "peer_group.hpp"
#include "router/servers_list.hpp"
#include "router_fixture.hpp"

namespace reedramp::router::testing {

namespace {

const http::header sound_load{"Reedramp-Load", "3,1,8"};

auto server_of(const router_fixture& fixture, const char* id) -> const routing::registration&
{
    return *fixture.core->servers.find(common::server_id{id});
}

auto stated_by(const router_fixture& fixture, const char* id) -> const routing::load_statement*
{
    return fixture.core->stated_loads.newest(common::server_id{id});
}

/// Applies a load that the server states at the fixture's present time.
auto state_load(router_fixture& fixture, const char* id, const std::string& load) -> void
{
    http::response head;
    head.headers = {{"Reedramp-Load", load}};
    const auto& server = server_of(fixture, id);
    fixture.core->apply_load({server.service, server.instance(), 1000.0}, head, false, "attempt");
}

auto chosen_server(router_fixture& fixture) -> std::string
{
    const auto out = fixture.ask("/once/x", {{"Reedramp-Tokens", "200,50"}});
    auto name = fixture.last().header("Reedramp-Expect-Server");
    fixture.last().answer(200, "body");
    return name;
}

auto group_of(router_fixture& fixture, const char* host, std::uint16_t port)
    -> router_program::peer_group
{
    return {
        fixture.core,
        common::host_id{host},
        {"10.0.0.1", port},
        milliseconds{100},
        [](const auto& /*to*/, const auto& /*bytes*/) {},
        [](const auto& /*from*/) {
        }};
}

} // namespace

TEST_CASE("a load counts on any response of the server to this request", "[server_load]")
{
    // Guards against the load of one server that is taken for that of another, and against
    // refusals that leave the server looking free.
    router_fixture fixture;
    auto out = fixture.ask("/once/x");
    fixture.last().answer(200, "body", {sound_load});
    CHECK(out->status() == 200);
    REQUIRE(stated_by(fixture, "a") != nullptr);
    CHECK(stated_by(fixture, "a")->load.running == 3);
    out = fixture.ask("/once/x");
    fixture.last().answer(503, "", {sound_load, {"Reedramp-Not-Executed", "1"}});
    CHECK(stated_by(fixture, "a")->load.running == 8);

    router_fixture other;
    out = other.ask("/once/x");
    other.last().answer(200, "body", {sound_load, {"Reedramp-Attempt-Id", "of-another"}});
    out = other.ask("/once/x");
    other.last().answer(421, "", {sound_load});
    out = other.ask("/once/x");
    other.last().answer(200, "body", {sound_load, {"Reedramp-Signature", ""}});
    CHECK(other.sends() >= 3);
    for (const auto* id : {"a", "b", "c"}) {
        CHECK(stated_by(other, id) == nullptr);
    }
    CHECK_FALSE(other.core->is_overload_controlled());
}

TEST_CASE("a malformed load changes nothing, and is reported once a server", "[server_load]")
{
    // Guards against a server that fills the log with one line a response.
    router_fixture fixture;
    state_load(fixture, "a", "3,1,8");
    for (int i = 0; i < 20; ++i) {
        state_load(fixture, "a", "0,0,0,100");
        state_load(fixture, "b", "many");
    }
    CHECK(stated_by(fixture, "a")->load.running == 3);
    CHECK(stated_by(fixture, "b") == nullptr);
    CHECK_FALSE(fixture.core->is_overload_controlled());
    const auto text = fixture.core->series.prometheus_text();
    CHECK(text.find("{what=\"load_unreadable\"} 2\n") != std::string::npos);
}

TEST_CASE("a stated speed puts overload control in force, and counts from then", "[server_load]")
{
    // Guards against a deployment without overload control that chooses its servers otherwise.
    router_fixture fixture;
    CHECK(chosen_server(fixture) == "a");
    state_load(fixture, "c", "0,0,8");
    state_load(fixture, "a", "8,900,8");
    CHECK(chosen_server(fixture) == "a");
    state_load(fixture, "c", "0,0,8,100");
    state_load(fixture, "a", "8,900,8,250");
    CHECK(fixture.core->is_overload_controlled());
    CHECK(chosen_server(fixture) == "c");
    fixture.advance(seconds{5});
    CHECK(chosen_server(fixture) == "a");
}

TEST_CASE("memory of engines counts only while overload control is in force", "[server_load]")
{
    // Guards against a request at an engine without memory, and against a changed choice elsewhere.
    router_fixture fixture;
    auto rules = rules_of(2);
    rules.rules.services.front().memory_tokens = 1000;
    fixture.core->apply_rules(std::move(rules));
    fixture.core->loads.begin(server_of(fixture, "a").instance(), 0.0, 0.0, 800.0);
    CHECK(chosen_server(fixture) == "a");
    fixture.core->overload_control.note_stated_speed();
    CHECK(chosen_server(fixture) == "b");
}

TEST_CASE("peers exchange unusual speeds while overload control is in force", "[server_load]")
{
    // Guards against an entry that learns of a slow host only from its own few requests, and
    // against bytes where the control is not in force.
    router_fixture here;
    router_fixture there;
    auto one = group_of(here, "host-1", 1);
    auto two = group_of(there, "host-2", 2);
    const auto calm = one.make_start_report().size();
    state_load(here, "b", "1,0,8,250");
    const auto told = one.make_start_report();
    CHECK(told.size() > calm);
    two.receive(told);
    CHECK(there.core->stated_loads.current_slowdown(server_of(there, "b"), there.now) == 1.0);
    there.core->overload_control.note_stated_speed();
    two.receive(told);
    CHECK(
        there.core->stated_loads.current_slowdown(server_of(there, "b"), there.now) == Approx(2.5));
    // Another entry's statement is not passed on.
    CHECK(two.make_start_report().size() < told.size());
    here.advance(milliseconds{300});
    CHECK(one.make_start_report().size() == calm);
}

TEST_CASE("loads of servers that are gone are forgotten", "[server_load]")
{
    // Guards against state that grows with each server that has ever existed.
    router_fixture fixture;
    fixture.add_server("gone");
    const auto gone = server_of(fixture, "gone").instance();
    state_load(fixture, "gone", "1,0,8");
    state_load(fixture, "a", "1,0,8");
    fixture.core->servers.mark_leaving(common::server_id{"gone"});
    const auto list = std::make_shared<servers_list>(fixture.core, follower_options{});
    fixture.advance(seconds{20});
    list->apply_reading({{}, stream_position{1}, false}, fixture.now);
    CHECK(fixture.core->stated_loads.newest(gone) == nullptr);
    CHECK(stated_by(fixture, "a") != nullptr);
}

TEST_CASE("bytes of servers' states in reports at 390 entries and 620 servers", "[server_load]")
{
    // Guards against rows that take more of an entry's 16 KB a second than they are worth.
    constexpr std::size_t servers = 620;
    constexpr double requests_per_ms = 10.8 / 1000.0;
    constexpr double slow_share = 0.15;
    constexpr double reports_per_s = 40.0;
    constexpr int reports = 3000;
    const auto bytes_of = [](const std::vector<routing::slowdown_report>& slowdowns) {
        peer_report report;
        report.slowdowns = slowdowns;
        return encode(report).size();
    };
    const auto calm = bytes_of({});
    routing::server_load_tracker tracker;
    std::mt19937_64 random{1};
    std::uniform_real_distribution<double> unit;
    common::time_point now{seconds{100}};
    std::size_t sum = 0;
    for (int i = 0; i < reports; ++i) {
        for (int k = 0; k < 100; ++k, now += milliseconds{1}) {
            if (unit(random) < requests_per_ms) {
                const routing::server_instance server{
                    common::server_id{std::to_string(random() % servers)}};
                const auto slowdown = unit(random) < slow_share ? 2.5 : 1.0;
                tracker.note(
                    common::service_name{"engines"}, {server, {1, 0, 64, slowdown}, now}, false);
            }
        }
        sum += bytes_of(tracker.make_reports(now)) - calm;
    }
    const auto mean = static_cast<double>(sum) / reports;
    const auto most = bytes_of(std::vector<routing::slowdown_report>(8)) - calm;
    peer_report with_loads;
    with_loads.loads = {{7, {1.0, 300.0, 120.0, 0.0}}, {9, {1.0, 50.0, 0.0, 0.0}}};
    const auto without_memory = encode(with_loads).size();
    with_loads.loads[0].load.memory = 12'000.0;
    const auto memory = encode(with_loads).size() - without_memory;
    std::cout << "METRIC peer_report_memory_390x620 " << memory << " bytes\n"
              << "METRIC peer_report_slowdowns_most " << most << " bytes\n"
              << "METRIC peer_report_slowdowns_390x620 " << mean << " bytes\n"
              << "METRIC slowdown_bytes_per_s_390x620 " << mean * reports_per_s << " bytes/s ("
              << static_cast<double>(most) * reports_per_s << " at most)\n";
    CHECK(memory == 0);
    CHECK(mean * reports_per_s < 1500.0);
    CHECK(most <= 200);
}

} // namespace reedramp::router::testing
