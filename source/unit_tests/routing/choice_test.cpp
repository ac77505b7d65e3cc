#include <chrono>
#include <iostream>
#include <limits>
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "choice_simulation.hpp"
#include "wait_simulation.hpp"

namespace reedramp::routing {

namespace {

using namespace testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Chooses the least loaded of all servers, as far as the entry knows.
auto least_of_all() -> choice_options
{
    choice_options all;
    all.holders = 1;
    all.drawn = std::numeric_limits<std::uint32_t>::max();
    return all;
}

/// The default: views as old as with 103 entries that each report to four others every 100 ms.
auto large_fleet() -> simulation_shape
{
    return {};
}

} // namespace

TEST_CASE("outdated views do not send all requests to the same servers", "[server_choice]")
{
    // A hundred entries learn of each other's work a second late. If each chooses the least loaded
    // of all servers by its view, which is the same everywhere, for a second all send to the few
    // servers that were idle, and then to the next few. Callers of short requests then wait behind
    // long prompts while two thirds of the servers are idle.
    for (const std::size_t servers : {std::size_t{180}, std::size_t{620}}) {
        auto shape = large_fleet();
        shape.servers = servers;
        const auto few = run_simulation(shape, {}, seconds{3});
        const auto all = run_simulation(shape, least_of_all(), seconds{3});
        INFO(servers << " servers: few " << few.p99 << " all " << all.p99);
        CHECK(few.p99 < 0.6 * all.p99);
        CHECK(few.p50 < 0.6 * all.p50);
    }
}

TEST_CASE("a choice among a few candidates is no worse at any age of the view", "[server_choice]")
{
    for (const int age : {300, 5000}) {
        auto shape = large_fleet();
        shape.view_age = milliseconds{age};
        const auto few = run_simulation(shape, {}, seconds{3});
        const auto all = run_simulation(shape, least_of_all(), seconds{3});
        INFO(age << " ms: few " << few.p99 << " all " << all.p99);
        CHECK(few.p99 < all.p99);
    }
    // With a current view, an idle server is nearly always among a few candidates.
    auto shape = large_fleet();
    shape.view_age = milliseconds{0};
    CHECK(run_simulation(shape, {}, seconds{3}).p99 < long_work);
}

TEST_CASE("servers that return cold receive no more requests than they can handle", "[cold]")
{
    struct return_of {
        std::size_t entries;
        std::size_t servers;
        std::size_t returning;
    };

    for (const auto& [entries, servers, returning] :
         {return_of{4, 12, 1},
          return_of{4, 12, 4},
          return_of{27, 47, 1},
          return_of{27, 47, 12},
          return_of{27, 47, 16},
          return_of{103, 360, 120}}) {
        simulation_shape shape;
        shape.entries = entries;
        shape.servers = servers;
        shape.returning = returning;
        shape.data_centres = 3;
        // Six requests per second per server.
        shape.work_part = 0.24;
        const auto name = std::to_string(entries) + "x" + std::to_string(servers) + "_" +
                          std::to_string(returning);
        const auto found = run_simulation(shape, {}, seconds{6});
        shape.uses_send_slots = false;
        const auto before = run_simulation(shape, {}, seconds{6});
        std::cout << "METRIC cold_return_most_" << name << " " << found.max_while_cold
                  << " requests (" << before.max_while_cold << " without turns)\n"
                  << "METRIC cold_return_carried_after_" << name << " "
                  << found.recovery_time.count() << " ms (" << before.recovery_time.count()
                  << ")\n";
        INFO(name);
        CHECK(found.max_while_cold <= cold_bound);
        // Send slots matter when many servers return at once to many entries.
        CHECK((before.max_while_cold > cold_bound) == (returning > 4));
        CHECK(found.recovery_time <= milliseconds{4000});
    }
}

TEST_CASE("with few servers all of them are candidates", "[server_choice]")
{
    simulation_shape shape;
    shape.entries = 4;
    shape.servers = 12;
    shape.data_centres = 3;
    shape.view_age = milliseconds{100};
    const auto few = run_simulation(shape, {}, seconds{20});
    const auto all = run_simulation(shape, least_of_all(), seconds{20});
    CHECK(few.p99 == all.p99);
}

TEST_CASE(
    "a frequent prefix spreads over several servers, other prompts keep theirs", "[server_choice]")
{
    // Half of all requests share one prefix: many times what one server can handle. With one holder
    // they would queue there; spread over all servers, each server would have to read the prefix.
    auto shape = large_fleet();
    shape.hot_share = 0.5;
    const auto found = run_simulation(shape, {}, seconds{4});
    INFO("holders " << found.hot_holders << " kept " << found.kept << " p99 " << found.p99);
    CHECK(found.hot_holders >= 4);
    CHECK(found.kept > 0.5);
    auto cold = large_fleet();
    CHECK(found.p99 < 2.0 * run_simulation(cold, {}, seconds{4}).p99);
}

TEST_CASE("ejected, departed and new servers are reflected in the next choice", "[server_choice]")
{
    server_table table;
    load_tracker loads;
    server_health health{health_options{}};
    const server_speed_tracker speeds;
    const common::service_name engines{"engines"};
    const auto name = [](int number) {
        return common::server_id{"s" + std::to_string(number)};
    };
    for (int i = 0; i < 40; ++i) {
        registration server;
        server.id = name(i);
        server.service = engines;
        table.apply({server.id, server});
        loads.begin(server.id, 1000.0 + i);
    }
    const time_point now{seconds{100}};
    std::uint64_t chance = 0;
    const auto chosen_ids = [&] {
        std::set<std::string> ids;
        for (int i = 0; i < 400; ++i) {
            const auto* chosen = choose_server(
                table.usable(engines), {}, {loads, speeds, health}, {}, ++chance, now);
            ids.insert(chosen->id.value());
        }
        return ids;
    };
    CHECK(chosen_ids().contains("s0"));
    health.note(name(0), server_outcome::unreachable, now);
    CHECK_FALSE(chosen_ids().contains("s0"));
    table.mark_leaving(name(1));
    CHECK_FALSE(chosen_ids().contains("s1"));
    registration fresh;
    fresh.id = name(99);
    fresh.service = engines;
    table.apply({fresh.id, fresh});
    CHECK(chosen_ids().contains("s99"));
}

TEST_CASE("cost of a choice at the maximum design size", "[.bench]")
{
    constexpr int servers = 620;
    constexpr int entries = 390;
    server_table table;
    load_tracker loads;
    const server_health health{health_options{}};
    const server_limiter limiter{server_limiter_options{}, send_slot_hooks{}};
    const common::service_name engines{"engines"};
    const time_point now{seconds{100}};
    std::vector<load_report> reports;
    for (int i = 0; i < servers; ++i) {
        registration server;
        server.id = common::server_id{"server-" + std::to_string(i)};
        server.service = engines;
        server.data_centre = common::data_centre_id{"dc-" + std::to_string(i % 6)};
        table.apply({server.id, server});
        reports.push_back({hash_of(server.instance()), {1.0, 100.0 * i, 50.0}});
    }
    for (int i = 0; i < entries; ++i) {
        loads.apply_reports(
            common::host_id{"host-" + std::to_string(i)}, reports, now + seconds{10});
    }
    server_speed_tracker speeds;
    peer_speed_table peers;
    server_load_tracker stated;
    for (int i = 0; i < servers; ++i) {
        const auto instance = table.usable(engines)[static_cast<std::size_t>(i)]->instance();
        speeds.note_pause(instance, "m", 10.0 + i % 9);
        peers.apply_reports(common::host_id{"host-1"}, {{hash_of(instance), 1.1, 4}}, now);
        stated.note(engines, {instance, {20, 0, 64, 1.5}, now, 1000.0}, false);
        stated.apply_reports({{hash_of(instance), 2.5, milliseconds{100}}}, now);
    }
    placement_request asked;
    asked.own_data_centre = common::data_centre_id{"dc-1"};
    asked.work = 1000.0;
    asked.saved_work = 500.0;
    const server_trackers without{loads, speeds, health, &limiter};
    const server_trackers under_control{loads, speeds, health, &limiter, 0.0, &peers, &stated, 1e6};
    for (const auto* known : {&without, &under_control}) {
        constexpr int choices = 20000;
        std::size_t length = 0;
        const auto started_at = std::chrono::steady_clock::now();
        for (int i = 0; i < choices; ++i) {
            asked.affinity = static_cast<std::uint64_t>(i) * 0x9e3779b97f4a7c15ULL;
            const auto* chosen =
                choose_server(table.usable(engines), asked, *known, {}, asked.affinity, now);
            length += chosen->id.value().size();
        }
        const auto took = std::chrono::steady_clock::now() - started_at;
        CHECK(length > 0);
        std::cout << "METRIC choice_" << (known == &without ? "" : "under_control_") << "ns "
                  << std::chrono::duration_cast<std::chrono::nanoseconds>(took).count() / choices
                  << " ns\n";
    }
}

TEST_CASE("under overload control the choice predicts waits better", "[server_choice]")
{
    // A server that generates many tokens looks as busy as one with prompts to read, though a new
    // request waits for the prompts only; and entries do not know the slow servers.
    for (const int rate : {8, 24}) {
        wait_shape shape;
        shape.rate = rate;
        const auto with = simulate_waits(shape, {}, seconds{20});
        shape.is_controlled = false;
        const auto without = simulate_waits(shape, {}, seconds{20});
        const auto name = std::to_string(rate) + "_per_second ";
        std::cout << "METRIC predicted_wait_correlation_" << name << with.correlation << " ("
                  << without.correlation << " without control)\n"
                  << "METRIC wait_mean_" << name << with.mean_ms << " ms (" << without.mean_ms
                  << ")\n"
                  << "METRIC wait_p99_" << name << with.p99_ms << " ms (" << without.p99_ms << ")\n"
                  << "METRIC late_part_" << name << with.late << " (" << without.late << ")\n"
                  << "METRIC late_part_of_worst_server_" << name << with.worst_server
                  << " times the mean (" << without.worst_server << ")\n";
        CHECK(with.correlation >= 0.6);
        CHECK(with.correlation > without.correlation);
        CHECK(with.mean_ms < 1.1 * without.mean_ms);
    }
}

TEST_CASE("queued work found by a choice, by age of the view", "[.bench]")
{
    for (const std::size_t servers : {std::size_t{180}, std::size_t{620}}) {
        for (const int age : {0, 300, 1300, 5000}) {
            simulation_shape shape;
            shape.servers = servers;
            shape.view_age = milliseconds{age};
            shape.entries = 103;
            const auto print_metric = [&](const std::string& how, const choice_options& options) {
                const auto found = run_simulation(shape, options, seconds{4});
                std::cout << "METRIC choice_" << how << "_" << servers << "_servers_" << age
                          << "_ms_p99 " << found.p99 << " tokens (p50 " << found.p50 << ")\n";
            };
            print_metric("all", least_of_all());
            for (const std::size_t drawn : {2, 4, 8, 16, 32}) {
                for (const std::size_t near : {std::size_t{0}, drawn / 2}) {
                    choice_options few;
                    few.drawn = drawn;
                    few.drawn_near = near;
                    print_metric("few_" + std::to_string(drawn) + "_" + std::to_string(near), few);
                }
            }
        }
    }
}

} // namespace reedramp::routing
