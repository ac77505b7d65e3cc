#include <catch2/catch.hpp>

#include "common/log.hpp"
#include "queued_store.hpp"
#include "router/counted_store.hpp"

namespace reedramp::router::testing {

using common::result_code;
using routing::rollout_state;

TEST_CASE("each call to the store is counted by its kind", "[followers]")
{
    router_fixture fixture;
    queued_store store;
    const auto calls = with_call_counts(store.hooks(), fixture.core->counters);
    calls.read_servers(std::nullopt, [](const auto&) {});
    calls.read_servers(stream_position{3}, [](const auto&) {});
    calls.read_rollout_states([](const auto&) {});
    CHECK(store.servers.size() == 2);
    CHECK(store.servers.back().first == stream_position{3});
    const auto text = fixture.core->series.prometheus_text();
    CHECK(text.find("router_store_calls_total{call=\"servers\"} 2") != std::string::npos);
    CHECK(text.find("router_store_calls_total{call=\"rollout_states\"} 1") != std::string::npos);
}

TEST_CASE("after a trimmed history the newest documents are read", "[followers]")
{
    router_fixture fixture;
    queued_store store;
    std::make_shared<rules_follower>(fixture.core, store.hooks(), follower_options{})->start();
    queued_store::next_call(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    queued_store::next_call(store.rules).second(reading<rules_document>({rules_of(2)}, 4, true));
    auto next = queued_store::next_call(store.rules);
    CHECK(next.first == stream_position{4});
    next.second(fails<rules_document>(result_code::log_trimmed));
    fixture.advance(seconds{1});
    next = queued_store::next_call(store.rules);
    CHECK_FALSE(next.first);
    next.second(reading<rules_document>({rules_of(9)}, 12, true));
    CHECK(fixture.core->rules()->version() == 9);
}

TEST_CASE("rules stay in force during an outage of the store", "[followers]")
{
    router_fixture fixture;
    queued_store store;
    std::make_shared<rules_follower>(fixture.core, store.hooks(), follower_options{})->start();
    queued_store::next_call(store.outcomes)(
        fails<routing::rollout_status>(result_code::log_unavailable));
    fixture.advance(seconds{1});
    queued_store::next_call(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    queued_store::next_call(store.rules).second(reading<rules_document>({rules_of(2)}, 4, true));
    queued_store::next_call(store.rules)
        .second(fails<rules_document>(result_code::log_unavailable));
    CHECK(store.rules.empty());
    CHECK(fixture.core->rules()->version() == 2);
    fixture.advance(seconds{1});
    CHECK(queued_store::next_call(store.rules).first == stream_position{4});
}

TEST_CASE("rules are read at once when the store has recovered", "[followers]")
{
    // The store stops responding for some seconds. The waiting read is lost with its connection,
    // and the next one is sent during the outage and never answered. The server list, read each
    // second on other connections, shows that the store has recovered. Rules published during the
    // outage must be in force two seconds later.
    router_fixture fixture;
    queued_store store;
    const auto rules =
        std::make_shared<rules_follower>(fixture.core, store.hooks(), follower_options{});
    make_follower(
        fixture,
        store,
        {.on_store_recovered =
             [rules] {
                 rules->refresh();
             }})
        ->start();
    rules->refresh(); // Does nothing before the first reading.
    CHECK(store.rules.empty());
    rules->start();
    queued_store::next_call(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    queued_store::next_call(store.rules).second(reading<rules_document>({rules_of(2)}, 4, true));
    auto lost = queued_store::next_call(store.rules);
    queued_store::next_call(store.servers)
        .second(fails<routing::registration_change>(result_code::log_unavailable));
    fixture.advance(seconds{1});
    queued_store::next_call(store.servers)
        .second(reading<routing::registration_change>({make_registration_change("a")}, 1, false));
    queued_store::next_call(store.rules).second(reading<rules_document>({rules_of(6)}, 5, false));
    CHECK(fixture.core->rules()->version() == 6);
    // The lost read finally fails, and starts no second series of reads.
    lost.second(fails<rules_document>(result_code::log_unavailable));
    fixture.advance(seconds{1});
    CHECK(store.rules.size() == 1);
}

TEST_CASE("an entry that is no reader does not read the store until it becomes one", "[followers]")
{
    // If each entry had a read waiting at the store, calls would grow with the entries. An entry
    // that is no reader has the rules from its start and newer ones from peers; when the readers
    // have died it continues reading from its position.
    router_fixture fixture;
    queued_store store;
    bool reads = false;
    const auto core =
        std::make_shared<router_core>(fixture.core->hooks, router_options{}, fixture.client);
    std::make_shared<rules_follower>(core, store.hooks(), follower_options{}, [&reads] {
        return reads;
    })->start();
    queued_store::next_call(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    queued_store::next_call(store.rules).second(reading<rules_document>({rules_of(2)}, 4, true));
    fixture.advance(seconds{5});
    CHECK(store.rules.empty());
    reads = true;
    fixture.advance(milliseconds{100});
    const auto next = queued_store::next_call(store.rules);
    CHECK(next.first == stream_position{4});
    // The store fails, and others have become readers meanwhile, so they retry instead.
    reads = false;
    next.second(fails<rules_document>(result_code::log_unavailable));
    fixture.advance(seconds{5});
    CHECK(store.rules.empty());
}

TEST_CASE("an entry with rules from a neighbour reads them once it is a reader", "[followers]")
{
    // The states of roll-outs are read first, as at any start: an order read without its state
    // would start again.
    router_fixture fixture;
    queued_store store;
    bool reads = false;
    std::make_shared<rules_follower>(fixture.core, store.hooks(), follower_options{}, [&reads] {
        return reads;
    })->start();
    fixture.advance(seconds{5});
    CHECK(store.outcomes.empty());
    reads = true;
    fixture.advance(milliseconds{100});
    CHECK(store.rules.empty());
    queued_store::next_call(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    CHECK_FALSE(queued_store::next_call(store.rules).first);
}

TEST_CASE("an entry without rules reads the store even if it is no reader", "[followers]")
{
    router_fixture fixture;
    const auto core =
        std::make_shared<router_core>(fixture.core->hooks, router_options{}, fixture.client);
    queued_store store;
    std::make_shared<rules_follower>(core, store.hooks(), follower_options{}, [] {
        return false;
    })->start();
    queued_store::next_call(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    for (int i = 0; i < 3; ++i) {
        queued_store::next_call(store.rules)
            .second(fails<rules_document>(result_code::log_unavailable));
        fixture.advance(seconds{1});
    }
    CHECK(store.rules.size() == 1);
}

TEST_CASE(
    "registrations that lapsed in an outage are kept until they can be renewed", "[followers]")
{
    // The store is unavailable for longer than registrations last. Afterwards its log says that all
    // servers are gone, though each registers again within two seconds. If applied at once, every
    // request in that time would be refused while the servers are idle.
    router_fixture fixture;
    queued_store store;
    make_follower(fixture, store)->start();
    using change = routing::registration_change;
    queued_store::next_call(store.servers)
        .second(reading<change>(
            {make_registration_change("a"),
             make_registration_change("b"),
             make_registration_change("c")},
            3,
            true));
    fixture.advance(seconds{1});
    queued_store::next_call(store.servers).second(fails<change>(result_code::log_unavailable));
    fixture.advance(seconds{1});
    queued_store::next_call(store.servers)
        .second(reading<change>(
            {{common::server_id{"a"}, std::nullopt}, {common::server_id{"b"}, std::nullopt}},
            5,
            false));
    CHECK(fixture.core->servers.size() == 3);
    fixture.advance(seconds{1});
    queued_store::next_call(store.servers)
        .second(reading<change>({make_registration_change("a")}, 6, false));
    // This needs no reading: b may have left while only this entry was cut off, and must soon get
    // no more requests.
    fixture.advance(milliseconds{1100});
    CHECK(fixture.core->servers.find(common::server_id{"a"}) != nullptr);
    CHECK(fixture.core->servers.find(common::server_id{"b"}) == nullptr);
}

TEST_CASE("a server that ended while only this entry was cut off gets no requests", "[followers]")
{
    // An entry that alone was cut off from the store for six seconds sent requests to a server for
    // two more seconds after it had recovered. The server's registration had ended eight seconds
    // before. The entry took its own cut for an outage of the store, in which registrations of
    // working servers lapse, although its peers reported all the while that they read the list.
    router_fixture fixture;
    queued_store store;
    using change = routing::registration_change;
    follow_servers(fixture, store, {"a", "b"});
    const auto pass = [&fixture](milliseconds time) {
        for (milliseconds passed{0}; passed < time; passed += milliseconds{100}) {
            // Another entry read the list up to here 50 ms ago.
            fixture.core->freshness.apply_report({3, milliseconds{50}}, fixture.now);
            fixture.advance(milliseconds{100});
        }
    };
    pass(seconds{1});
    for (int failed = 0; failed < 3; ++failed) {
        queued_store::next_call(store.servers).second(fails<change>(result_code::log_unavailable));
        pass(seconds{2});
    }
    queued_store::next_call(store.servers)
        .second(reading<change>({{common::server_id{"b"}, std::nullopt}}, 3, false));
    pass(milliseconds{200});
    CHECK(fixture.core->servers.find(common::server_id{"a"}) != nullptr);
    CHECK(fixture.core->servers.find(common::server_id{"b"}) == nullptr);
}

TEST_CASE("a peer's report that the store worked ends the grace period", "[followers]")
{
    // An entry is cut off from the store and from its peers. It reaches the store first, reads that
    // a server's registration has ended, and can't know why. The first peer report then shows that
    // the store worked all the while, so the server left seconds ago.
    router_fixture fixture;
    queued_store store;
    using change = routing::registration_change;
    follow_servers(fixture, store, {"a", "b"});
    fixture.advance(milliseconds{1100});
    for (int failed = 0; failed < 3; ++failed) {
        queued_store::next_call(store.servers).second(fails<change>(result_code::log_unavailable));
        fixture.advance(seconds{2});
    }
    queued_store::next_call(store.servers)
        .second(reading<change>({{common::server_id{"b"}, std::nullopt}}, 3, false));
    fixture.advance(milliseconds{500});
    CHECK(fixture.core->servers.find(common::server_id{"b"}) != nullptr);
    // A peer's reading from before the cut says nothing.
    fixture.core->freshness.apply_report({3, seconds{4}, seconds{60}}, fixture.now);
    fixture.advance(milliseconds{100});
    CHECK(fixture.core->servers.find(common::server_id{"b"}) != nullptr);
    fixture.core->freshness.apply_report({3, milliseconds{300}, seconds{60}}, fixture.now);
    fixture.advance(milliseconds{100});
    CHECK(fixture.core->servers.find(common::server_id{"b"}) == nullptr);
}

TEST_CASE(
    "registrations keep their grace period in an outage that affects peers too", "[followers]")
{
    // Peers that read the list just before an outage report that the store had worked for a minute.
    // If that also counted for the time after their reading, all servers would be removed when the
    // store recovers.
    router_fixture fixture;
    queued_store store;
    using change = routing::registration_change;
    follow_servers(fixture, store, {"a"});
    fixture.core->freshness.apply_report({1, milliseconds{0}, seconds{60}}, fixture.now);
    const auto read_by_peers = fixture.now;
    const auto peers_tell = [&fixture, read_by_peers] {
        const auto age = std::chrono::duration_cast<milliseconds>(fixture.now - read_by_peers);
        fixture.core->freshness.apply_report({1, age, seconds{60}}, fixture.now);
    };
    for (milliseconds passed{0}; passed < seconds{5}; passed += milliseconds{100}) {
        peers_tell();
        fixture.advance(milliseconds{100});
        if (!store.servers.empty()) {
            queued_store::next_call(store.servers)
                .second(fails<change>(result_code::log_unavailable));
        }
    }
    fixture.advance(seconds{1});
    queued_store::next_call(store.servers)
        .second(reading<change>({{common::server_id{"a"}, std::nullopt}}, 2, false));
    // A peer has reached the store again as well; its time without a gap begins now.
    fixture.core->freshness.apply_report({2, milliseconds{50}, milliseconds{0}}, fixture.now);
    fixture.advance(milliseconds{1500});
    CHECK(fixture.core->servers.find(common::server_id{"a"}) != nullptr);
    fixture.advance(seconds{1});
    CHECK(fixture.core->servers.find(common::server_id{"a"}) == nullptr);
}

TEST_CASE("a whole list read after trimming keeps no server that it lacks", "[followers]")
{
    // The store trims its history, so that the next read fails and the whole list is read. If taken
    // for an outage, a server whose registration had ended would get requests for two more seconds.
    router_fixture fixture;
    queued_store store;
    using change = routing::registration_change;
    follow_servers(fixture, store, {"a", "b"});
    fixture.advance(milliseconds{1100});
    queued_store::next_call(store.servers).second(fails<change>(result_code::log_trimmed));
    const auto whole = queued_store::next_call(store.servers);
    CHECK_FALSE(whole.first);
    whole.second(reading<change>({make_registration_change("a")}, 9, true));
    CHECK(fixture.core->servers.find(common::server_id{"a"}) != nullptr);
    CHECK(fixture.core->servers.find(common::server_id{"b"}) == nullptr);
}

TEST_CASE("without an outage an ended server gets no more requests at once", "[followers]")
{
    router_fixture fixture;
    queued_store store;
    make_follower(fixture, store)->start();
    using change = routing::registration_change;
    queued_store::next_call(store.servers)
        .second(reading<change>(
            {make_registration_change("a"), make_registration_change("b")}, 2, true));
    // The whole list does not contain c.
    CHECK(fixture.core->servers.find(common::server_id{"c"}) == nullptr);
    fixture.advance(seconds{1});
    queued_store::next_call(store.servers)
        .second(reading<change>({{common::server_id{"a"}, std::nullopt}}, 3, false));
    CHECK(fixture.core->servers.find(common::server_id{"a"}) == nullptr);
}

TEST_CASE(
    "records that change a server are counted, and a bad one does not block the rest",
    "[followers]")
{
    router_fixture fixture;
    queued_store store;
    using change = routing::registration_change;
    fixture.core->hooks.unix_ms = [] {
        return std::uint64_t{1'790'000'000'000};
    };
    follow_servers(fixture, store, {"a", "b"});
    const auto started = [](const std::string& id, std::uint64_t started_at) {
        auto one = make_registration_change(id);
        one.now->started_at = routing::start_time{started_at};
        return one;
    };
    fixture.advance(milliseconds{1100});
    queued_store::next_call(store.servers)
        .second(reading<change>(
            {started("a", 1'789'000'000'000),
             {common::server_id{"b"}, std::nullopt, "unreadable"},
             started("a", 1'788'000'000'000),
             started("d", 1'795'000'000'000),
             started("e", 1'789'000'000'000)},
            7,
            false));
    const auto text = fixture.core->series.prometheus_text();
    for (const auto* what : {"restarted", "unreadable", "late", "usable"}) {
        INFO(text);
        CHECK(text.find(std::string{"what=\""} + what + "\"") != std::string::npos);
    }
    CHECK(
        fixture.core->servers.find(common::server_id{"a"})->started_at.value() ==
        1'789'000'000'000);
    CHECK(fixture.core->servers.find(common::server_id{"b"}) == nullptr);
    CHECK(fixture.core->servers.find(common::server_id{"d"})->starts_in_future);
    CHECK_FALSE(fixture.core->servers.find(common::server_id{"e"})->starts_in_future);
    // The position moves past the bad record.
    fixture.advance(milliseconds{1100});
    CHECK(queued_store::next_call(store.servers).first == stream_position{7});
}

TEST_CASE("of two writers one follows the other's state", "[followers]")
{
    // This entry would write that the roll-out is running. Another one, with evidence that this one
    // lacks, has just written that it is reverted. The store refuses the write, and this entry
    // reads.
    router_fixture fixture;
    queued_store store;
    const auto writer = writer_of(fixture, store, 0);
    writer->tick();
    queued_store::next_call(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    auto write = queued_store::next_call(store.writes);
    CHECK(write.first.state == rollout_state::running);
    write.second(common::failure(result_code::conflict));
    fixture.advance(seconds{1});
    writer->tick();
    queued_store::next_call(store.outcomes)(
        reading<routing::rollout_status>({{engines, target, rollout_state::reverted}}, 1, true));
    CHECK(store.writes.empty());
    writer->tick();
    CHECK(store.outcomes.empty());
    CHECK(fixture.core->rollouts.rule_for(engines, 1, fixture.now).bars(target));
}

TEST_CASE("a write whose response is lost is not repeated without reading", "[followers]")
{
    router_fixture fixture;
    queued_store store;
    const auto writer = writer_of(fixture, store, 0);
    writer->tick();
    queued_store::next_call(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    queued_store::next_call(store.writes).second(common::failure(result_code::append_unknown));
    fixture.advance(seconds{1});
    writer->tick();
    // The write was done.
    queued_store::next_call(store.outcomes)(
        reading<routing::rollout_status>({{engines, target, rollout_state::running}}, 1, true));
    CHECK(store.writes.empty());
}

TEST_CASE("an entry of a later rank leaves the first attempt to others", "[followers]")
{
    router_fixture fixture;
    queued_store store;
    const auto writer = writer_of(fixture, store, 2);
    writer->tick();
    fixture.advance(milliseconds{1100});
    writer->tick();
    CHECK(store.outcomes.empty());
    fixture.advance(milliseconds{200});
    writer->tick();
    CHECK(store.outcomes.size() == 1);
}

TEST_CASE("a registration that ends without a grace period logs zero", "[followers]")
{
    // Without any outage, the end of the last one is infinitely far in the past, and the remaining
    // grace period computed from it overflowed to 292 years.
    std::string lines;
    common::set_log_sink(
        [&lines](common::log_level, std::string_view line) { lines += std::string{line} + "\n"; });
    {
        router_fixture fixture;
        queued_store store;
        follow_servers(fixture, store, {"a", "b"});
        fixture.advance(seconds{1});
        queued_store::next_call(store.servers)
            .second(reading<routing::registration_change>(
                {{common::server_id{"b"}, std::nullopt}}, 3, false));
        CHECK(fixture.core->servers.find(common::server_id{"b"}) == nullptr);
    }
    common::set_log_sink({});
    CHECK(lines.find("server lapsed server=b") != std::string::npos);
    INFO(lines);
    CHECK(lines.find(" kept_ms=0") != std::string::npos);
}

} // namespace reedramp::router::testing
