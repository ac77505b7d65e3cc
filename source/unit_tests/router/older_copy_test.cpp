#include <algorithm>
#include <functional>
#include <iostream>
#include <string>

#include <catch2/catch.hpp>

#include "entry_fleet.hpp"

/// Tests of many entries whose store is restored from an older copy of itself.
namespace reedramp::router::testing {

namespace {

/// Time in which entries find each other and their readers.
constexpr seconds settled{3};
/// All entries know the list again within this time after the store is back.
constexpr seconds catch_up{4};

struct restore_cost {
    std::size_t calls = 0;
    /// Time until all entries use the server that registered after the copy was made, and none uses
    /// the one that had ended by then.
    milliseconds until_consistent{0};
};

/// A server registers and another one ends; then the store is unavailable for a moment. Afterwards
/// it has both records or, if `is_older`, neither; in that case the live server registers again.
auto simulate_restore(std::size_t entries, std::uint64_t seed, bool is_older) -> restore_cost
{
    entry_fleet fleet{{.entries = entries, .data_centres = 5, .loss = 0.01, .seed = seed}};
    fleet.run(settled);
    fleet.write("new");
    fleet.remove("a");
    fleet.run(seconds{3});
    fleet.calls = 0;
    for (auto& one : fleet.entries) {
        one->is_refused_by_store = true;
    }
    fleet.run(seconds{1});
    for (auto& one : fleet.entries) {
        one->is_refused_by_store = false;
    }
    if (is_older) {
        fleet.restore_older_copy(2);
    }
    fleet.run(milliseconds{400});
    fleet.write("new");
    fleet.write("last");
    restore_cost cost;
    const auto is_consistent = [&fleet, entries] {
        return fleet.using_server("last") == entries && fleet.using_server("new") == entries &&
               fleet.using_server("a") == 0;
    };
    for (; !is_consistent() && cost.until_consistent < seconds{6};
         cost.until_consistent += milliseconds{10}) {
        fleet.run(milliseconds{10});
    }
    fleet.run(seconds{2});
    cost.calls = fleet.calls;
    return cost;
}

} // namespace

TEST_CASE("a restore from an older copy costs little more than an outage", "[hand_on]")
{
    // All entries notice at once that the store was restored from an older copy. If each read the
    // whole list, calls would grow with the entries.
    for (const std::size_t entries : {26, 103}) {
        std::size_t plain_calls = 0;
        std::size_t older_calls = 0;
        for (const std::uint64_t seed : {1, 2, 3, 9, 12}) {
            const auto plain = simulate_restore(entries, seed, false);
            const auto older = simulate_restore(entries, seed, true);
            plain_calls += plain.calls;
            older_calls += older.calls;
            INFO(entries << " entries, seed " << seed);
            CHECK(plain.until_consistent <= catch_up);
            CHECK(older.until_consistent <= catch_up);
        }
        INFO(entries << " entries, calls " << plain_calls << " and " << older_calls);
        CHECK(older_calls * 3 <= plain_calls * 4);
    }
}

TEST_CASE("a server that registers again after a lapse is back everywhere", "[hand_on]")
{
    // The reader kept sending requests to the server, so that nothing seemed to have changed there.
    // If it sent no update, all other entries would drop the server two seconds after the store was
    // back.
    entry_fleet fleet{{.entries = 26, .data_centres = 5}};
    fleet.run(settled);
    fleet.write("new");
    fleet.run(seconds{2});
    fleet.restore_older_copy(1);
    fleet.run(milliseconds{700});
    fleet.write("new");
    for (int i = 0; i < 40; ++i) {
        fleet.run(milliseconds{50});
        CHECK(fleet.using_server("new") == 26);
    }
}

namespace {

/// Like `simulate_restore`, but runs `fault` as the store comes back, after a second restore if
/// there is one.
auto time_until_consistent(
    std::uint64_t seed,
    bool restores_twice,
    const std::function<auto(entry_fleet& fleet)->void>& fault) -> milliseconds
{
    entry_fleet fleet{{.entries = 26, .data_centres = 3, .loss = 0.01, .seed = seed}};
    fleet.run(settled);
    fleet.write("new");
    fleet.remove("a");
    fleet.run(seconds{3});
    fleet.restore_older_copy(2);
    if (restores_twice) {
        fleet.run(milliseconds{400});
        // Records that live servers have written since then are lost as well.
        fleet.write("new");
        fleet.run(milliseconds{300});
        fleet.restore_older_copy(1);
    }
    fault(fleet);
    fleet.run(milliseconds{400});
    fleet.write("new");
    fleet.write("last");
    // The copy has "a", which does not register any more: it lapses at the store.
    fleet.remove("a");
    const auto began = fleet.now;
    const auto is_consistent = [&fleet] {
        const auto live = static_cast<std::size_t>(std::ranges::count_if(
            fleet.entries, [](const auto& one) { return !one->is_dead && !one->is_frozen; }));
        return live > 0 && fleet.using_server("last") == live &&
               fleet.using_server("new") == live && fleet.using_server("a") == 0;
    };
    while (!is_consistent() && fleet.now - began < seconds{10}) {
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

auto restart_all(entry_fleet& fleet) -> void
{
    for (std::size_t i = 0; i < fleet.entries.size(); ++i) {
        fleet.restart(i);
    }
}

/// Freezes the readers of a data centre during the restore.
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

/// Makes the store refuse half of the entries from now on.
auto refuse_half(entry_fleet& fleet) -> void
{
    for (std::size_t i = 0; i < fleet.entries.size(); i += 2) {
        fleet.entries[i]->is_refused_by_store = true;
    }
}

} // namespace

TEST_CASE("all entries are right again after two restores within a second", "[older_copy]")
{
    // Guards against taking a second new era for the first one.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        CHECK(time_until_consistent(seed, true, [](entry_fleet&) {}) <= catch_up);
    }
}

TEST_CASE("all entries are right again if others fail while the store is restored", "[older_copy]")
{
    // Guards against losing the news of a new era with the entries that read it.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const bool restores_twice : {false, true}) {
            INFO("seed " << seed << (restores_twice ? ", twice" : ""));
            CHECK(time_until_consistent(seed, restores_twice, kill_readers) <= catch_up);
            CHECK(time_until_consistent(seed, restores_twice, restart_all) <= catch_up);
            CHECK(time_until_consistent(seed, restores_twice, freeze_readers) <= catch_up);
            CHECK(time_until_consistent(seed, restores_twice, refuse_half) <= catch_up);
        }
    }
}

/// Run by hand.
TEST_CASE("the cost of a restore from an older copy, over seeds", "[.return_seeds]")
{
    constexpr std::uint64_t seeds = 20;
    for (const std::size_t entries : {26, 103}) {
        for (const bool is_older : {false, true}) {
            std::size_t calls = 0;
            milliseconds longest{0};
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const auto cost = simulate_restore(entries, seed, is_older);
                calls += cost.calls;
                longest = std::max(longest, cost.until_consistent);
            }
            const auto name = std::to_string(entries) + (is_older ? "_older" : "_plain");
            std::cout << "METRIC return_calls_" << name << " " << calls / seeds << " calls\n"
                      << "METRIC return_right_after_" << name << " " << longest.count() << " ms\n";
        }
    }
}

} // namespace reedramp::router::testing
