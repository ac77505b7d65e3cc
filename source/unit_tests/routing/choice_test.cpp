#include <chrono>
#include <iostream>
#include <limits>
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "choice_world.hpp"

namespace reedramp::routing {

namespace {

using namespace testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The least loaded of all servers, as far as the entry knows.
auto least_of_all() -> choice_options
{
    choice_options all;
    all.holders = 1;
    all.drawn = std::numeric_limits<std::uint32_t>::max();
    return all;
}

/// With views as old as those of 103 entries that each tell four others in 100 ms.
auto large_world() -> world_shape
{
    return {};
}

} // namespace

TEST_CASE("late views do not send all requests to the same servers", "[server_choice]")
{
    // A hundred entries hear of each other's work a second late. Each takes the least loaded server
    // of all by its view, which is the same everywhere: for a second all send to the few servers
    // that were idle, and then to the next few. Callers of short requests wait behind long prompts
    // while two thirds of the servers are idle.
    for (const std::size_t servers : {std::size_t{180}, std::size_t{620}}) {
        auto shape = large_world();
        shape.servers = servers;
        const auto few = run_world(shape, {}, seconds{3});
        const auto all = run_world(shape, least_of_all(), seconds{3});
        INFO(servers << " servers: few " << few.p99 << " all " << all.p99);
        CHECK(few.p99 < 0.6 * all.p99);
        CHECK(few.p50 < 0.6 * all.p50);
    }
}

TEST_CASE("a choice among few is no worse at any age of view", "[server_choice]")
{
    for (const int age : {300, 5000}) {
        auto shape = large_world();
        shape.view_age = milliseconds{age};
        const auto few = run_world(shape, {}, seconds{3});
        const auto all = run_world(shape, least_of_all(), seconds{3});
        INFO(age << " ms: few " << few.p99 << " all " << all.p99);
        CHECK(few.p99 < all.p99);
    }
    // Who knows everything finds nearly always an idle server among a few.
    auto shape = large_world();
    shape.view_age = milliseconds{0};
    CHECK(run_world(shape, {}, seconds{3}).p99 < long_work);
}

TEST_CASE("servers that come back empty and cold get no more than they bear", "[cold]")
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
        world_shape shape;
        shape.entries = entries;
        shape.servers = servers;
        shape.returning = returning;
        shape.data_centres = 3;
        // Six requests a second for each server.
        shape.work_part = 0.24;
        const auto name = std::to_string(entries) + "x" + std::to_string(servers) + "_" +
                          std::to_string(returning);
        const auto found = run_world(shape, {}, seconds{6});
        shape.takes_turns = false;
        const auto before = run_world(shape, {}, seconds{6});
        std::cout << "METRIC cold_return_most_" << name << " " << found.most_while_cold
                  << " requests (" << before.most_while_cold << " without turns)\n"
                  << "METRIC cold_return_carried_after_" << name << " "
                  << found.carried_after.count() << " ms (" << before.carried_after.count()
                  << ")\n";
        INFO(name);
        CHECK(found.most_while_cold <= cold_bound);
        // What turns are for: many servers back at once, before many entries.
        CHECK((before.most_while_cold > cold_bound) == (returning > 4));
        CHECK(found.carried_after <= milliseconds{4000});
    }
}

TEST_CASE("with few servers a choice looks at all of them", "[server_choice]")
{
    world_shape shape;
    shape.entries = 4;
    shape.servers = 12;
    shape.data_centres = 3;
    shape.view_age = milliseconds{100};
    const auto few = run_world(shape, {}, seconds{20});
    const auto all = run_world(shape, least_of_all(), seconds{20});
    CHECK(few.p99 == all.p99);
}

TEST_CASE(
    "a hot prompt gets the servers that it needs, the others stay where they are",
    "[server_choice]")
{
    // Half of all requests begin alike: many times what one server can do. With one holder they
    // would queue there; spread over all servers each would read the beginning.
    auto shape = large_world();
    shape.hot_share = 0.5;
    const auto found = run_world(shape, {}, seconds{4});
    INFO("holders " << found.hot_holders << " kept " << found.kept << " p99 " << found.p99);
    CHECK(found.hot_holders >= 4);
    CHECK(found.kept > 0.5);
    auto cold = large_world();
    CHECK(found.p99 < 2.0 * run_world(cold, {}, seconds{4}).p99);
}

TEST_CASE("a server that rests, has left or is new shows in the next choice", "[server_choice]")
{
    server_table table;
    load_tracker loads;
    server_health health{health_options{}};
    const server_speed_tracker paces;
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
    const auto taken = [&] {
        std::set<std::string> ids;
        for (int i = 0; i < 400; ++i) {
            const auto* chosen =
                choose_server(table.usable(engines), {}, {loads, paces, health}, {}, ++chance, now);
            ids.insert(chosen->id.value());
        }
        return ids;
    };
    CHECK(taken().contains("s0"));
    health.note(name(0), server_outcome::unreachable, now);
    CHECK_FALSE(taken().contains("s0"));
    table.retire(name(1));
    CHECK_FALSE(taken().contains("s1"));
    registration fresh;
    fresh.id = name(99);
    fresh.service = engines;
    table.apply({fresh.id, fresh});
    CHECK(taken().contains("s99"));
}

TEST_CASE("what a choice costs at the size that the design is for", "[.bench]")
{
    constexpr int servers = 620;
    constexpr int entries = 390;
    server_table table;
    load_tracker loads;
    const server_health health{health_options{}};
    const server_speed_tracker paces;
    const server_limiter intake{server_limiter_options{}, send_slot_hooks{}};
    const common::service_name engines{"engines"};
    const time_point now{seconds{100}};
    std::vector<load_report> words;
    for (int i = 0; i < servers; ++i) {
        registration server;
        server.id = common::server_id{"server-" + std::to_string(i)};
        server.service = engines;
        server.data_centre = common::data_centre_id{"dc-" + std::to_string(i % 6)};
        table.apply({server.id, server});
        words.push_back({hash_of(server.start()), {1.0, 100.0 * i, 50.0}});
    }
    for (int i = 0; i < entries; ++i) {
        loads.hear(common::host_id{"host-" + std::to_string(i)}, words, now + seconds{10});
    }
    placement_request asked;
    asked.own_data_centre = common::data_centre_id{"dc-1"};
    asked.work = 1000.0;
    asked.saved_work = 500.0;
    constexpr int choices = 20000;
    std::size_t length = 0;
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < choices; ++i) {
        asked.affinity = static_cast<std::uint64_t>(i) * 0x9e3779b97f4a7c15ULL;
        const auto* chosen = choose_server(
            table.usable(engines), asked, {loads, paces, health, &intake}, {}, asked.affinity, now);
        length += chosen->id.value().size();
    }
    const auto took = std::chrono::steady_clock::now() - began;
    CHECK(length > 0);
    std::cout << "METRIC choice_ns "
              << std::chrono::duration_cast<std::chrono::nanoseconds>(took).count() / choices
              << " ns\n";
}

TEST_CASE("what a choice finds before it, by age of view", "[.bench]")
{
    for (const std::size_t servers : {std::size_t{180}, std::size_t{620}}) {
        for (const int age : {0, 300, 1300, 5000}) {
            world_shape shape;
            shape.servers = servers;
            shape.view_age = milliseconds{age};
            shape.entries = 103;
            const auto print = [&](const std::string& how, const choice_options& options) {
                const auto found = run_world(shape, options, seconds{4});
                std::cout << "METRIC choice_" << how << "_" << servers << "_servers_" << age
                          << "_ms_p99 " << found.p99 << " tokens (p50 " << found.p50 << ")\n";
            };
            print("all", least_of_all());
            for (const std::size_t drawn : {2, 4, 8, 16, 32}) {
                for (const std::size_t near : {std::size_t{0}, drawn / 2}) {
                    choice_options few;
                    few.drawn = drawn;
                    few.drawn_near = near;
                    print("few_" + std::to_string(drawn) + "_" + std::to_string(near), few);
                }
            }
        }
    }
}

} // namespace reedramp::routing
