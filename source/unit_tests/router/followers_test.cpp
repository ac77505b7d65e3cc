#include <catch2/catch.hpp>

#include "common/log.hpp"
#include "held_store.hpp"
#include "router/counted_store.hpp"

namespace reedramp::router::testing {

using common::result_code;
using routing::rollout_state;

TEST_CASE("each call to the store is counted by its kind", "[followers]")
{
    world all;
    held_store store;
    const auto calls = counted(store.hooks(), all.core->counters);
    calls.read_servers(std::nullopt, [](const auto&) {});
    calls.read_servers(stream_position{3}, [](const auto&) {});
    calls.read_outcomes([](const auto&) {});
    CHECK(store.servers.size() == 2);
    CHECK(store.servers.back().first == stream_position{3});
    const auto text = all.core->series.prometheus_text();
    CHECK(text.find("router_store_calls_total{call=\"servers\"} 2") != std::string::npos);
    CHECK(text.find("router_store_calls_total{call=\"rollout_states\"} 1") != std::string::npos);
}

TEST_CASE("trimmed history is read anew from the newest", "[followers]")
{
    world all;
    held_store store;
    std::make_shared<rules_follower>(all.core, store.hooks(), follower_options{})->start();
    held_store::take(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    held_store::take(store.rules).second(reading<rules_document>({rules_of(2)}, 4, true));
    auto next = held_store::take(store.rules);
    CHECK(next.first == stream_position{4});
    next.second(fails<rules_document>(result_code::log_trimmed));
    all.advance(seconds{1});
    next = held_store::take(store.rules);
    CHECK_FALSE(next.first);
    next.second(reading<rules_document>({rules_of(9)}, 12, true));
    CHECK(all.core->rules()->version() == 9);
}

TEST_CASE("the store's loss and return leaves the rules in force", "[followers]")
{
    world all;
    held_store store;
    std::make_shared<rules_follower>(all.core, store.hooks(), follower_options{})->start();
    held_store::take(store.outcomes)(fails<routing::rollout_status>(result_code::log_unavailable));
    all.advance(seconds{1});
    held_store::take(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    held_store::take(store.rules).second(reading<rules_document>({rules_of(2)}, 4, true));
    held_store::take(store.rules).second(fails<rules_document>(result_code::log_unavailable));
    CHECK(store.rules.empty());
    CHECK(all.core->rules()->version() == 2);
    all.advance(seconds{1});
    CHECK(held_store::take(store.rules).first == stream_position{4});
}

TEST_CASE("rules are read at once when the store answers again", "[followers]")
{
    // The store falls silent for some seconds. The reading that waits there is lost with its
    // connection, and the next one is sent into the silence and never answered. The servers' list,
    // read each second on connections of its own, shows that the store is back; the rules that
    // came in the outage have to be in force two seconds later.
    world all;
    held_store store;
    const auto rules =
        std::make_shared<rules_follower>(all.core, store.hooks(), follower_options{});
    make_follower(
        all,
        store,
        {.on_regained =
             [rules] {
                 rules->refresh();
             }})
        ->start();
    rules->refresh(); // Before the first reading there is nothing to do.
    CHECK(store.rules.empty());
    rules->start();
    held_store::take(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    held_store::take(store.rules).second(reading<rules_document>({rules_of(2)}, 4, true));
    auto lost = held_store::take(store.rules);
    held_store::take(store.servers)
        .second(fails<routing::registration_change>(result_code::log_unavailable));
    all.advance(seconds{1});
    held_store::take(store.servers)
        .second(reading<routing::registration_change>({registration_of("a")}, 1, false));
    held_store::take(store.rules).second(reading<rules_document>({rules_of(6)}, 5, false));
    CHECK(all.core->rules()->version() == 6);
    // The lost one ends at last, and starts no second chain of readings.
    lost.second(fails<rules_document>(result_code::log_unavailable));
    all.advance(seconds{1});
    CHECK(store.rules.size() == 1);
}

TEST_CASE("who does not read for others leaves the store alone until it does", "[followers]")
{
    // With a reading of each entry waiting at the store, calls grew with the entries. One that is
    // not among its data centre's readers has the rules from its start, and newer ones from peers;
    // when the readers have died it reads on from where it stood.
    world all;
    held_store store;
    bool reads = false;
    const auto core = std::make_shared<router_core>(all.core->hooks, router_options{}, all.client);
    std::make_shared<rules_follower>(core, store.hooks(), follower_options{}, [&reads] {
        return reads;
    })->start();
    held_store::take(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    held_store::take(store.rules).second(reading<rules_document>({rules_of(2)}, 4, true));
    all.advance(seconds{5});
    CHECK(store.rules.empty());
    reads = true;
    all.advance(milliseconds{100});
    const auto next = held_store::take(store.rules);
    CHECK(next.first == stream_position{4});
    // The store fails, and others have become readers meanwhile: it is theirs to try again.
    reads = false;
    next.second(fails<rules_document>(result_code::log_unavailable));
    all.advance(seconds{5});
    CHECK(store.rules.empty());
}

TEST_CASE("an entry that a neighbour gave the rules reads them when its turn comes", "[followers]")
{
    // States of roll-outs first, as at any start: an order that is read without its state would
    // begin anew.
    world all;
    held_store store;
    bool reads = false;
    std::make_shared<rules_follower>(all.core, store.hooks(), follower_options{}, [&reads] {
        return reads;
    })->start();
    all.advance(seconds{5});
    CHECK(store.outcomes.empty());
    reads = true;
    all.advance(milliseconds{100});
    CHECK(store.rules.empty());
    held_store::take(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    CHECK_FALSE(held_store::take(store.rules).first);
}

TEST_CASE("an entry without rules asks the store, whoever reads for others", "[followers]")
{
    world all;
    const auto core = std::make_shared<router_core>(all.core->hooks, router_options{}, all.client);
    held_store store;
    std::make_shared<rules_follower>(core, store.hooks(), follower_options{}, [] {
        return false;
    })->start();
    held_store::take(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    for (int i = 0; i < 3; ++i) {
        held_store::take(store.rules).second(fails<rules_document>(result_code::log_unavailable));
        all.advance(seconds{1});
    }
    CHECK(store.rules.size() == 1);
}

TEST_CASE("registrations that lapsed in an outage are given time to come back", "[followers]")
{
    // The store is away for longer than registrations live. When it is back, its log says that all
    // servers are gone; each is there again within two seconds. Believed at once, every request of
    // that time would be refused while the servers idle.
    world all;
    held_store store;
    make_follower(all, store)->start();
    using change = routing::registration_change;
    held_store::take(store.servers)
        .second(reading<change>(
            {registration_of("a"), registration_of("b"), registration_of("c")}, 3, true));
    all.advance(seconds{1});
    held_store::take(store.servers).second(fails<change>(result_code::log_unavailable));
    all.advance(seconds{1});
    held_store::take(store.servers)
        .second(reading<change>(
            {{common::server_id{"a"}, std::nullopt}, {common::server_id{"b"}, std::nullopt}},
            5,
            false));
    CHECK(all.core->servers.size() == 3);
    all.advance(seconds{1});
    held_store::take(store.servers).second(reading<change>({registration_of("a")}, 6, false));
    // No reading has to come for that: b may have left by itself while this entry alone was cut
    // off, and its time to take work ends soon.
    all.advance(milliseconds{1100});
    CHECK(all.core->servers.find(common::server_id{"a"}) != nullptr);
    CHECK(all.core->servers.find(common::server_id{"b"}) == nullptr);
}

TEST_CASE(
    "a server whose registration ended in a cut of this entry alone gets no work", "[followers]")
{
    // Seen: an entry that was cut off from the store for six seconds, and from nothing else, sent
    // requests to a server for two more seconds after it had the store back. The server had left
    // eight seconds before, without saying so in its registration, which was simply gone.
    // Cause: the entry took its own cut for an outage of the store, in which registrations lapse of
    // servers that work on, and gave this one the time to come back. All the while its peers told
    // it that they read the list. A day of that kind, with the lines "registration ended ...
    // kept_ms=2000" of that entry alone, proved it.
    world all;
    held_store store;
    using change = routing::registration_change;
    follow_servers(all, store, {"a", "b"});
    const auto pass = [&all](milliseconds time) {
        for (milliseconds passed{0}; passed < time; passed += milliseconds{100}) {
            // Another entry read the list up to here 50 ms ago.
            all.core->freshness.apply_report({3, milliseconds{50}}, all.now);
            all.advance(milliseconds{100});
        }
    };
    pass(seconds{1});
    for (int failed = 0; failed < 3; ++failed) {
        held_store::take(store.servers).second(fails<change>(result_code::log_unavailable));
        pass(seconds{2});
    }
    held_store::take(store.servers)
        .second(reading<change>({{common::server_id{"b"}, std::nullopt}}, 3, false));
    pass(milliseconds{200});
    CHECK(all.core->servers.find(common::server_id{"a"}) != nullptr);
    CHECK(all.core->servers.find(common::server_id{"b"}) == nullptr);
}

TEST_CASE(
    "a peer's word that the store was there ends the time of kept registrations", "[followers]")
{
    // An entry is cut off from the store and from its peers. It has the store back first, reads
    // that a server's registration has ended, and can't know why. The first peer that it hears
    // again tells that the store answered all the while: the server left seconds ago.
    world all;
    held_store store;
    using change = routing::registration_change;
    follow_servers(all, store, {"a", "b"});
    all.advance(milliseconds{1100});
    for (int failed = 0; failed < 3; ++failed) {
        held_store::take(store.servers).second(fails<change>(result_code::log_unavailable));
        all.advance(seconds{2});
    }
    held_store::take(store.servers)
        .second(reading<change>({{common::server_id{"b"}, std::nullopt}}, 3, false));
    all.advance(milliseconds{500});
    CHECK(all.core->servers.find(common::server_id{"b"}) != nullptr);
    // What a peer was told before the cut, and has not read since, says nothing.
    all.core->freshness.apply_report({3, seconds{4}, seconds{60}}, all.now);
    all.advance(milliseconds{100});
    CHECK(all.core->servers.find(common::server_id{"b"}) != nullptr);
    all.core->freshness.apply_report({3, milliseconds{300}, seconds{60}}, all.now);
    all.advance(milliseconds{100});
    CHECK(all.core->servers.find(common::server_id{"b"}) == nullptr);
}

TEST_CASE("in an outage that peers meet too, registrations keep their time", "[followers]")
{
    // Peers that have read just before an outage tell that the store had answered for a minute. Let
    // that speak for the time after it, and all servers would be taken out when the store is back.
    world all;
    held_store store;
    using change = routing::registration_change;
    follow_servers(all, store, {"a"});
    all.core->freshness.apply_report({1, milliseconds{0}, seconds{60}}, all.now);
    const auto read_by_peers = all.now;
    const auto peers_tell = [&all, read_by_peers] {
        const auto age = std::chrono::duration_cast<milliseconds>(all.now - read_by_peers);
        all.core->freshness.apply_report({1, age, seconds{60}}, all.now);
    };
    for (milliseconds passed{0}; passed < seconds{5}; passed += milliseconds{100}) {
        peers_tell();
        all.advance(milliseconds{100});
        if (!store.servers.empty()) {
            held_store::take(store.servers).second(fails<change>(result_code::log_unavailable));
        }
    }
    all.advance(seconds{1});
    held_store::take(store.servers)
        .second(reading<change>({{common::server_id{"a"}, std::nullopt}}, 2, false));
    // A peer has the store back as well; its run begins with that.
    all.core->freshness.apply_report({2, milliseconds{50}, milliseconds{0}}, all.now);
    all.advance(milliseconds{1500});
    CHECK(all.core->servers.find(common::server_id{"a"}) != nullptr);
    all.advance(seconds{1});
    CHECK(all.core->servers.find(common::server_id{"a"}) == nullptr);
}

TEST_CASE("a list read anew for want of history keeps no server that it lacks", "[followers]")
{
    // The store drops its history, so that the next reading fails and all is read anew. Taken for
    // an outage, that gave a server whose registration had ended two more seconds of work.
    world all;
    held_store store;
    using change = routing::registration_change;
    follow_servers(all, store, {"a", "b"});
    all.advance(milliseconds{1100});
    held_store::take(store.servers).second(fails<change>(result_code::log_trimmed));
    const auto anew = held_store::take(store.servers);
    CHECK_FALSE(anew.first);
    anew.second(reading<change>({registration_of("a")}, 9, true));
    CHECK(all.core->servers.find(common::server_id{"a"}) != nullptr);
    CHECK(all.core->servers.find(common::server_id{"b"}) == nullptr);
}

TEST_CASE("without an outage a server that is gone gets no more work at once", "[followers]")
{
    world all;
    held_store store;
    make_follower(all, store)->start();
    using change = routing::registration_change;
    held_store::take(store.servers)
        .second(reading<change>({registration_of("a"), registration_of("b")}, 2, true));
    // A whole reading does not name c.
    CHECK(all.core->servers.find(common::server_id{"c"}) == nullptr);
    all.advance(seconds{1});
    held_store::take(store.servers)
        .second(reading<change>({{common::server_id{"a"}, std::nullopt}}, 3, false));
    CHECK(all.core->servers.find(common::server_id{"a"}) == nullptr);
}

TEST_CASE(
    "words of servers that change something are counted, and none of them stops the rest",
    "[followers]")
{
    world all;
    held_store store;
    using change = routing::registration_change;
    all.core->hooks.unix_ms = [] {
        return std::uint64_t{1'790'000'000'000};
    };
    follow_servers(all, store, {"a", "b"});
    const auto started = [](const std::string& id, std::uint64_t started_at) {
        auto one = registration_of(id);
        one.now->started_at = routing::start_time{started_at};
        return one;
    };
    all.advance(milliseconds{1100});
    held_store::take(store.servers)
        .second(reading<change>(
            {started("a", 1'789'000'000'000),
             {common::server_id{"b"}, std::nullopt, "unreadable"},
             started("a", 1'788'000'000'000),
             started("d", 1'795'000'000'000),
             started("e", 1'789'000'000'000)},
            7,
            false));
    const auto text = all.core->series.prometheus_text();
    for (const auto* what : {"restarted", "unreadable", "late", "usable"}) {
        INFO(text);
        CHECK(text.find(std::string{"what=\""} + what + "\"") != std::string::npos);
    }
    CHECK(all.core->servers.find(common::server_id{"a"})->started_at.value() == 1'789'000'000'000);
    CHECK(all.core->servers.find(common::server_id{"b"}) == nullptr);
    CHECK(all.core->servers.find(common::server_id{"d"})->starts_in_future);
    CHECK_FALSE(all.core->servers.find(common::server_id{"e"})->starts_in_future);
    // The position moves on over the bad record.
    all.advance(milliseconds{1100});
    CHECK(held_store::take(store.servers).first == stream_position{7});
}

TEST_CASE("of two writers one follows the other's word", "[followers]")
{
    // This entry would call the roll-out running; another, with evidence that this one lacks, has
    // just written that it is reverted. The store refuses the write, and this entry reads.
    world all;
    held_store store;
    const auto writer = writer_of(all, store, 0);
    writer->tick();
    held_store::take(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    auto write = held_store::take(store.writes);
    CHECK(write.first.state == rollout_state::running);
    write.second(common::failure(result_code::conflict));
    all.advance(seconds{1});
    writer->tick();
    held_store::take(store.outcomes)(
        reading<routing::rollout_status>({{engines, target, rollout_state::reverted}}, 1, true));
    CHECK(store.writes.empty());
    writer->tick();
    CHECK(store.outcomes.empty());
    CHECK(all.core->rollouts.rule_for(engines, 1, all.now).bars(target));
}

TEST_CASE("a write whose answer is lost is not repeated blindly", "[followers]")
{
    world all;
    held_store store;
    const auto writer = writer_of(all, store, 0);
    writer->tick();
    held_store::take(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    held_store::take(store.writes).second(common::failure(result_code::append_unknown));
    all.advance(seconds{1});
    writer->tick();
    // It was done after all.
    held_store::take(store.outcomes)(
        reading<routing::rollout_status>({{engines, target, rollout_state::running}}, 1, true));
    CHECK(store.writes.empty());
}

TEST_CASE("an entry of a later rank leaves the first try to others", "[followers]")
{
    world all;
    held_store store;
    const auto writer = writer_of(all, store, 2);
    writer->tick();
    all.advance(milliseconds{1100});
    writer->tick();
    CHECK(store.outcomes.empty());
    all.advance(milliseconds{200});
    writer->tick();
    CHECK(store.outcomes.size() == 1);
}

TEST_CASE("an end of a registration that is kept for no time says so", "[followers]")
{
    // Guards against a time that is none: with no outage ever, the end of the last one lies before
    // all others, and what is left of it ran over to 292 years.
    std::string lines;
    common::set_log_sink(
        [&lines](common::log_level, std::string_view line) { lines += std::string{line} + "\n"; });
    {
        world all;
        held_store store;
        follow_servers(all, store, {"a", "b"});
        all.advance(seconds{1});
        held_store::take(store.servers)
            .second(reading<routing::registration_change>(
                {{common::server_id{"b"}, std::nullopt}}, 3, false));
        CHECK(all.core->servers.find(common::server_id{"b"}) == nullptr);
    }
    common::set_log_sink({});
    CHECK(lines.find("server lapsed server=b") != std::string::npos);
    INFO(lines);
    CHECK(lines.find(" kept_ms=0") != std::string::npos);
}

} // namespace reedramp::router::testing
