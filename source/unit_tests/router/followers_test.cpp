#include <algorithm>
#include <deque>
#include <iterator>

#include <catch2/catch.hpp>

#include "router/counted_store.hpp"
#include "router/rollout_writer.hpp"
#include "router/servers_follower.hpp"
#include "world.hpp"

namespace reedramp::router::testing {

namespace {

using common::result_code;
using routing::rollout_state;

template <typename Document>
auto reading(std::vector<Document> documents, std::uint64_t end, bool whole)
    -> stream_reading<Document>
{
    return {std::move(documents), stream_position{end}, whole};
}

template <typename Document>
auto fails(result_code code) -> common::result<stream_reading<Document>>
{
    return common::failure(code);
}

/// A store whose calls wait for the test to answer them.
struct held_store {
    template <typename Document>
    using hook = answer_hook<stream_reading<Document>>;

    std::deque<std::pair<std::optional<stream_position>, hook<rules_document>>> rules;
    std::deque<std::pair<std::optional<stream_position>, hook<routing::registration_change>>>
        servers;
    std::deque<hook<routing::rollout_status>> outcomes;
    std::deque<std::pair<routing::rollout_status, answer_hook<stream_position>>> writes;

    auto hooks() -> shared_store
    {
        shared_store store;
        store.read_rules = [this](auto from, auto, auto done) {
            this->rules.emplace_back(from, std::move(done));
        };
        store.read_servers = [this](auto from, auto done) {
            this->servers.emplace_back(from, std::move(done));
        };
        store.read_outcomes = [this](auto done) {
            this->outcomes.push_back(std::move(done));
        };
        store.write_outcome = [this](const auto& status, auto, auto done) {
            this->writes.emplace_back(status, std::move(done));
        };
        return store;
    }

    template <typename Queue>
    static auto take(Queue& queue)
    {
        REQUIRE_FALSE(queue.empty());
        auto first = std::move(queue.front());
        queue.pop_front();
        return first;
    }
};

auto registration_of(const std::string& id) -> routing::registration_change
{
    const common::server_id name{id};
    return {
        name,
        routing::registration{
            name,
            common::service_name{"engines"},
            "127.0.0.1:1",
            common::data_centre_id{"dc"},
            common::version_id{"v1"},
            8,
            false}};
}

const common::service_name engines{"engines"};
const common::version_id target{"v2"};

auto make_follower(world& all, held_store& store, servers_follower_hooks hooks = {})
    -> std::shared_ptr<servers_follower>
{
    return std::make_shared<servers_follower>(
        all.core,
        store.hooks(),
        follower_options{},
        std::make_shared<servers_list>(all.core, follower_options{}),
        std::move(hooks));
}

/// A follower that has read the servers `ids`, up to a position of their number.
auto follow_servers(world& all, held_store& store, const std::vector<std::string>& ids) -> void
{
    make_follower(all, store)->start();
    std::vector<routing::registration_change> known;
    std::ranges::transform(ids, std::back_inserter(known), registration_of);
    const auto end = known.size();
    held_store::take(store.servers)
        .second(reading<routing::registration_change>(std::move(known), end, true));
}

/// The writer of an entry of this rank, after a roll-out was ordered.
auto writer_of(world& all, held_store& store, std::size_t rank) -> std::shared_ptr<rollout_writer>
{
    all.core->rollouts.order({engines, target, seconds{20}}, all.now);
    return std::make_shared<rollout_writer>(all.core, store.hooks(), [rank] { return rank; });
}

} // namespace

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
            all.core->freshness.hear({3, milliseconds{50}}, all.now);
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
    all.core->freshness.hear({3, seconds{4}, seconds{60}}, all.now);
    all.advance(milliseconds{100});
    CHECK(all.core->servers.find(common::server_id{"b"}) != nullptr);
    all.core->freshness.hear({3, milliseconds{300}, seconds{60}}, all.now);
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
    all.core->freshness.hear({1, milliseconds{0}, seconds{60}}, all.now);
    const auto read_by_peers = all.now;
    const auto peers_tell = [&all, read_by_peers] {
        const auto age = std::chrono::duration_cast<milliseconds>(all.now - read_by_peers);
        all.core->freshness.hear({1, age, seconds{60}}, all.now);
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
    all.core->freshness.hear({2, milliseconds{50}, milliseconds{0}}, all.now);
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
    const auto started = [](const std::string& id, std::uint64_t born) {
        auto one = registration_of(id);
        one.now->born = routing::start_time{born};
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
    CHECK(all.core->servers.find(common::server_id{"a"})->born.value() == 1'789'000'000'000);
    CHECK(all.core->servers.find(common::server_id{"b"}) == nullptr);
    CHECK(all.core->servers.find(common::server_id{"d"})->is_born_ahead);
    CHECK_FALSE(all.core->servers.find(common::server_id{"e"})->is_born_ahead);
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

TEST_CASE("what an older copy lacks of servers is kept for two seconds", "[new_era]")
{
    // The store was away too short a time for anybody to see it, and came back from a copy of
    // before server "b" registered. The server writes again each 1.2 s; taken out at once, it would
    // be missing until then. One that does not come back is gone after that.
    world all;
    held_store store;
    follow_servers(all, store, {"a", "b"});
    all.advance(seconds{1});
    held_store::take(store.servers)
        .second(fails<routing::registration_change>(result_code::log_trimmed));
    auto copy = reading<routing::registration_change>({registration_of("a")}, 0, true);
    copy.end = stream_position::at(1, 1);
    held_store::take(store.servers).second(copy);
    const auto is_used = [&all](const char* id) {
        return all.core->servers.find(common::server_id{id}) != nullptr;
    };
    CHECK(all.core->era() == 1);
    CHECK(is_used("a"));
    CHECK(is_used("b"));
    all.advance(milliseconds{1900});
    CHECK(is_used("b"));
    all.advance(milliseconds{300});
    CHECK(!is_used("b"));
    CHECK(is_used("a"));
}

TEST_CASE("words of before the store came back change nothing", "[new_era]")
{
    // A peer that is cut off, or was frozen, still tells where the list ended before, and since
    // when the store has answered without a gap. Believed, the first would have this entry ask for
    // what never was, and the second take out servers that the copy lacks.
    world all;
    held_store store;
    follow_servers(all, store, {"a", "b"});
    all.advance(seconds{1});
    auto& freshness = all.core->freshness;
    all.core->note_era(stream_position::at(1, 0), "store");
    freshness.note_read(stream_position::at(1, 4).value(), true, all.now);
    const auto ended = freshness.outage_ended(all.now);
    freshness.hear({stream_position{900}.value(), milliseconds{10}, seconds{100}, 7, 1}, all.now);
    CHECK(!freshness.lacks_change());
    CHECK(freshness.outage_ended(all.now) == ended);
    freshness.hear(
        {stream_position::at(1, 9).value(), milliseconds{10}, milliseconds{5}, 8, 1}, all.now);
    CHECK(freshness.lacks_change());
    // An era that has passed does not come again.
    all.core->note_era(stream_position::at(0, 999), "late");
    CHECK(all.core->era() == 1);
}

TEST_CASE(
    "an end of a roll-out that an older copy lacks is written again, and not decided anew",
    "[new_era]")
{
    // The version was reverted and the store held that. The copy has the order, and the state
    // "running". Begun anew, callers would be sent to the bad version a second time.
    world all;
    held_store store;
    const auto writer = writer_of(all, store, 0);
    all.core->rollouts.learn({engines, target, routing::rollout_state::reverted});
    writer->tick();
    CHECK(store.outcomes.empty());
    all.core->note_era(stream_position::at(0, 5), "store");
    all.core->note_era(stream_position::at(1, 2), "store");
    writer->tick();
    held_store::take(store.outcomes)(reading<routing::rollout_status>(
        {{engines, target, routing::rollout_state::running}}, 1, true));
    const auto written = held_store::take(store.writes);
    CHECK(written.first.state == routing::rollout_state::reverted);
    written.second(stream_position::at(1, 3));
    writer->tick();
    CHECK(store.outcomes.empty());
}

TEST_CASE("an order that was replaced is none when an older copy shows it", "[new_era]")
{
    // The operator has ordered v3 after v2. The copy holds the order of v2 alone, until the
    // operator writes v3 again.
    world all;
    held_store store;
    const auto follower =
        std::make_shared<rules_follower>(all.core, store.hooks(), follower_options{});
    const routing::rollout_order second{engines, target, seconds{20}};
    const routing::rollout_order third{engines, common::version_id{"v3"}, seconds{20}};
    const auto target_of = [&all] {
        return all.core->rollouts.states(all.now).front().status.target.value();
    };
    all.core->rollouts.order(second, all.now);
    const auto read = [&](std::vector<rules_document> documents, stream_position end, bool whole) {
        stream_reading<rules_document> one{std::move(documents), end, whole};
        held_store::take(store.rules).second(std::move(one));
    };
    follower->start();
    held_store::take(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    read({third}, stream_position{2}, false);
    CHECK(target_of() == "v3");
    held_store::take(store.rules).second(fails<rules_document>(result_code::log_trimmed));
    all.advance(seconds{1});
    read({second}, stream_position::at(1, 1), true);
    CHECK(target_of() == "v3");
    // Ordered again it is the operator's word of now.
    read({second}, stream_position::at(1, 2), false);
    CHECK(target_of() == "v2");
}

} // namespace reedramp::router::testing
