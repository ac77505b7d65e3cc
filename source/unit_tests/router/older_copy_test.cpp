#include <algorithm>
#include <functional>
#include <iostream>
#include <string>

#include <catch2/catch.hpp>

#include "entry_fleet.hpp"

/// A store that comes back from an older copy of itself, before many entries.
namespace reedramp::router::testing {

namespace {

/// Time in which entries find each other and their readers.
constexpr seconds settled{3};
/// After the store is back, all entries know the list again within this.
constexpr seconds catch_up{4};

struct return_cost {
    std::size_t calls = 0;
    /// Until the last entry uses a server that registered after the copy was made, and none that
    /// had ended by then.
    milliseconds until_right{0};
};

/// A server registers and another one ends; then the store is away for a moment, and has both or,
/// if `is_older`, neither when it is back. In the second case the live one writes again.
auto play_return(std::size_t entries, std::uint64_t seed, bool is_older) -> return_cost
{
    entry_fleet fleet{{.entries = entries, .data_centres = 5, .loss = 0.01, .seed = seed}};
    fleet.run(settled);
    fleet.write("new");
    fleet.remove("a");
    fleet.run(seconds{3});
    fleet.calls = 0;
    for (auto& one : fleet.entries) {
        one->is_turned_away = true;
    }
    fleet.run(seconds{1});
    for (auto& one : fleet.entries) {
        one->is_turned_away = false;
    }
    if (is_older) {
        fleet.come_back_older(2);
    }
    fleet.run(milliseconds{400});
    fleet.write("new");
    fleet.write("last");
    return_cost cost;
    const auto is_right = [&fleet, entries] {
        return fleet.using_server("last") == entries && fleet.using_server("new") == entries &&
               fleet.using_server("a") == 0;
    };
    for (; !is_right() && cost.until_right < seconds{6}; cost.until_right += milliseconds{10}) {
        fleet.run(milliseconds{10});
    }
    fleet.run(seconds{2});
    cost.calls = fleet.calls;
    return cost;
}

} // namespace

TEST_CASE("a return from an older copy costs little more than an outage", "[hand_on]")
{
    // All entries see in one moment that the store has come back from an older copy. Were each to
    // read it anew, calls would go with their number.
    for (const std::size_t entries : {26, 103}) {
        std::size_t plain_calls = 0;
        std::size_t older_calls = 0;
        for (const std::uint64_t seed : {1, 2, 3, 9, 12}) {
            const auto plain = play_return(entries, seed, false);
            const auto older = play_return(entries, seed, true);
            plain_calls += plain.calls;
            older_calls += older.calls;
            INFO(entries << " entries, seed " << seed);
            CHECK(plain.until_right <= catch_up);
            CHECK(older.until_right <= catch_up);
        }
        INFO(entries << " entries, calls " << plain_calls << " and " << older_calls);
        CHECK(older_calls * 3 <= plain_calls * 4);
    }
}

TEST_CASE(
    "a server that writes again after its registration lapsed is back everywhere", "[hand_on]")
{
    // Where it was read, the server had work all the while, so that nothing seemed to have changed
    // and nobody was told. All others let it go two seconds after the store had returned.
    entry_fleet fleet{{.entries = 26, .data_centres = 5}};
    fleet.run(settled);
    fleet.write("new");
    fleet.run(seconds{2});
    fleet.come_back_older(1);
    fleet.run(milliseconds{700});
    fleet.write("new");
    for (int i = 0; i < 40; ++i) {
        fleet.run(milliseconds{50});
        CHECK(fleet.using_server("new") == 26);
    }
}

namespace {

/// As `play_return`, and with the second return, if any, `trouble` strikes as the store comes back.
auto time_until_right(
    std::uint64_t seed,
    bool comes_back_twice,
    const std::function<auto(entry_fleet& fleet)->void>& trouble) -> milliseconds
{
    entry_fleet fleet{{.entries = 26, .data_centres = 3, .loss = 0.01, .seed = seed}};
    fleet.run(settled);
    fleet.write("new");
    fleet.remove("a");
    fleet.run(seconds{3});
    fleet.come_back_older(2);
    if (comes_back_twice) {
        fleet.run(milliseconds{400});
        // What the live servers have written since goes as well.
        fleet.write("new");
        fleet.run(milliseconds{300});
        fleet.come_back_older(1);
    }
    trouble(fleet);
    fleet.run(milliseconds{400});
    fleet.write("new");
    fleet.write("last");
    // The copy has "a", and nobody writes of it any more: it lapses at the store.
    fleet.remove("a");
    const auto began = fleet.now;
    const auto is_right = [&fleet] {
        const auto serving = static_cast<std::size_t>(std::ranges::count_if(
            fleet.entries, [](const auto& one) { return !one->is_dead && !one->is_frozen; }));
        return serving > 0 && fleet.using_server("last") == serving &&
               fleet.using_server("new") == serving && fleet.using_server("a") == 0;
    };
    while (!is_right() && fleet.now - began < seconds{10}) {
        fleet.run(milliseconds{10});
    }
    return std::chrono::duration_cast<milliseconds>(fleet.now - began);
}

auto kill_readers(entry_fleet& fleet) -> void
{
    for (const auto reader : fleet.readers_of(0)) {
        fleet.entries[reader]->is_dead = true;
    }
}

auto start_all_anew(entry_fleet& fleet) -> void
{
    for (std::size_t i = 0; i < fleet.entries.size(); ++i) {
        fleet.start_anew(i);
    }
}

/// The readers of a data centre stand still across the return, and wake after it.
auto freeze_readers(entry_fleet& fleet) -> void
{
    const auto readers = fleet.readers_of(1);
    for (const auto reader : readers) {
        fleet.entries[reader]->is_frozen = true;
    }
    fleet.run(seconds{3});
    for (const auto reader : readers) {
        fleet.entries[reader]->is_frozen = false;
    }
}

/// The store turns half of the entries away, and goes on to.
auto turn_half_away(entry_fleet& fleet) -> void
{
    for (std::size_t i = 0; i < fleet.entries.size(); i += 2) {
        fleet.entries[i]->is_turned_away = true;
    }
}

} // namespace

TEST_CASE("all entries are right again after two returns within a second", "[older_copy]")
{
    // Guards against a second new era that is taken for the first one.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        CHECK(time_until_right(seed, true, [](entry_fleet&) {}) <= catch_up);
    }
}

TEST_CASE("all entries are right again when others fail as the store returns", "[older_copy]")
{
    // Guards against news of a new era that go with the entries that read them.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const bool comes_back_twice : {false, true}) {
            INFO("seed " << seed << (comes_back_twice ? ", twice" : ""));
            CHECK(time_until_right(seed, comes_back_twice, kill_readers) <= catch_up);
            CHECK(time_until_right(seed, comes_back_twice, start_all_anew) <= catch_up);
            CHECK(time_until_right(seed, comes_back_twice, freeze_readers) <= catch_up);
            CHECK(time_until_right(seed, comes_back_twice, turn_half_away) <= catch_up);
        }
    }
}

/// By hand.
TEST_CASE("the cost of a return from an older copy, over seeds", "[.return_seeds]")
{
    constexpr std::uint64_t seeds = 20;
    for (const std::size_t entries : {26, 103}) {
        for (const bool is_older : {false, true}) {
            std::size_t calls = 0;
            milliseconds longest{0};
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const auto cost = play_return(entries, seed, is_older);
                calls += cost.calls;
                longest = std::max(longest, cost.until_right);
            }
            const auto name = std::to_string(entries) + (is_older ? "_older" : "_plain");
            std::cout << "METRIC return_calls_" << name << " " << calls / seeds << " calls\n"
                      << "METRIC return_right_after_" << name << " " << longest.count() << " ms\n";
        }
    }
}

} // namespace reedramp::router::testing
