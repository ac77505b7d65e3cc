#include "peer_group.hpp"

#include <set>

#include <catch2/catch.hpp>

#include "world.hpp"

namespace reedramp::router::testing {

namespace {

using router_program::peer_group;

auto address_of(int number) -> http::endpoint
{
    return {"10.0.0." + std::to_string(number), 7000};
}

/// One entry among others, with what it sends.
struct told_entry {
    explicit told_entry(world& all, int number)
        : group(
              all.core,
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

TEST_CASE("with many peers a few are told at a time, and all in turn", "[peer_group]")
{
    // At 390 entries that each tell all others ten times a second, an entry would send and take
    // megabytes a second for control alone.
    world all;
    told_entry one{all, 1};
    for (int number = 2; number <= 100; ++number) {
        one.group.add(address_of(number));
    }
    std::set<http::endpoint> told;
    for (int i = 0; i < 25; ++i) {
        one.sent.clear();
        one.group.tell();
        REQUIRE(one.sent.size() == 4);
        for (const auto& [to, bytes] : one.sent) {
            told.insert(to);
            CHECK(bytes.size() < 600);
        }
    }
    CHECK(told.size() == 99);
}

TEST_CASE("an entry that hears one peer finds the others, and newer rules", "[peer_group]")
{
    world here;
    world there;
    told_entry one{here, 1};
    told_entry two{there, 2};
    two.group.add(address_of(3));
    two.group.add(address_of(1));
    there.core->adopt(rules_of(9));
    there.core->servers.mark_leaving(common::server_id{"b"});
    two.group.tell();
    REQUIRE(two.sent.size() == 2);
    one.group.hear(two.sent.front().second);
    CHECK(one.newer_at == std::vector{address_of(2)});
    CHECK(here.core->servers.find(common::server_id{"b"}) == nullptr);
    one.group.tell();
    CHECK(one.sent.size() == 2);
    CHECK(one.group.heard() == 1);
    CHECK(two.group.rank() == 0);
    CHECK(one.group.rank() == 0);
    one.sent.clear();
    // It falls silent: it no longer counts, and later it is forgotten.
    here.advance(milliseconds{2500});
    CHECK(one.group.heard() == 0);
    here.advance(seconds{20});
    one.group.tell();
    CHECK(one.sent.empty());
}

TEST_CASE(
    "an entry without the store lets a server go that its peers have seen end", "[peer_group]")
{
    // The server's registration ended without a word that it leaves. The peer has read that; this
    // entry is turned away by the store, and would send work there until it is let in again.
    world here;
    world there;
    told_entry one{here, 1};
    told_entry two{there, 2};
    two.group.add(address_of(1));
    there.core->freshness.note_read(9, true, there.now);
    there.core->servers.lapse(common::server_id{"b"});
    there.core->servers.remove_lapsed(9, there.now);
    here.core->freshness.note_read(5, true, here.now);
    two.group.tell();
    one.group.hear(two.sent.front().second);
    CHECK(here.core->servers.find(common::server_id{"a"}) != nullptr);
    CHECK(here.core->servers.find(common::server_id{"b"}) == nullptr);
}

TEST_CASE(
    "an order is told at once, and all peers within the time before its share", "[peer_group]")
{
    // A roll-out is ordered. One entry has read it; the others heard of it in turn, the last of a
    // hundred half a second later. It served sessions on the old version that the first entry,
    // which had not been told of them, moved to the new one when the share began.
    world all;
    all.core->options.data_centre = common::data_centre_id{"dc-1"};
    told_entry one{all, 1};
    world near;
    near.core->options.data_centre = common::data_centre_id{"dc-1"};
    told_entry neighbour{near, 2};
    neighbour.group.add(address_of(1));
    neighbour.group.tell();
    one.group.hear(neighbour.sent.front().second);
    for (int number = 3; number <= 103; ++number) {
        one.group.add(address_of(number));
    }
    one.sent.clear();
    all.core->rollouts.apply_order(
        {common::service_name{"engines"}, common::version_id{"v2"}, seconds{20}}, all.now);
    one.group.spread_news();
    REQUIRE(one.sent.size() == 1);
    CHECK(one.sent.front().first == address_of(2));
    neighbour.group.hear(one.sent.front().second);
    CHECK(near.core->rollouts.orders_applied() == 1);
    // It is said once; what it is about is then told to all.
    one.sent.clear();
    one.group.spread_news();
    CHECK(one.sent.empty());
    std::set<http::endpoint> told;
    for (int i = 0; i < 5; ++i) {
        one.group.tell();
        all.advance(milliseconds{100});
    }
    for (const auto& [to, bytes] : one.sent) {
        told.insert(to);
    }
    CHECK(told.size() == 102);
    one.sent.clear();
    one.group.tell();
    CHECK(one.sent.size() == 4);
}

TEST_CASE("what an entry has seen of a new version outlives its process", "[peer_group]")
{
    // Entries are restarted in turn while a new version is bad. Each new process told its peers
    // that it had seen nothing yet, which took the place of what its former process had seen. With
    // all of them restarted the evidence was gone, and all callers were moved to the version.
    const common::service_name engines{"engines"};
    const common::version_id bad{"v2"};
    const routing::route_name route{"again"};
    world here;
    told_entry one{here, 1};
    here.core->rollouts.apply_order({engines, bad, seconds{20}}, here.now);
    const auto is_barred = [&] {
        return here.core->rollouts.rule_for(engines, 0, here.now).bars(bad);
    };
    here.advance(seconds{1});
    // Two processes of one host, neither of which has seen enough alone.
    for (const std::uint64_t process : {1, 2}) {
        CHECK_FALSE(is_barred());
        world there;
        there.core->hooks.random = [process] {
            return process;
        };
        told_entry two{there, 2};
        two.group.add(address_of(1));
        there.core->rollouts.apply_order({engines, bad, seconds{20}}, there.now);
        for (int i = 0; i < 60; ++i) {
            there.core->rollouts.note_outcome(engines, common::version_id{"v1"}, route, true);
        }
        for (int i = 0; i < 2; ++i) {
            there.core->rollouts.note_outcome(engines, bad, route, false);
        }
        two.group.tell();
        one.group.hear(two.sent.front().second);
        // Said again, it is no more than it was.
        one.group.hear(two.sent.front().second);
    }
    CHECK(is_barred());
}

TEST_CASE("callers come back when an entry will serve them", "[peer_group]")
{
    // All entries are told to leave, seconds after one another. A caller whose long request comes
    // to the first one was told to come back in 250 ms; the balancer sent it to an entry that
    // leaves too, and its last try was refused.
    world all;
    world others;
    told_entry one{all, 1};
    told_entry other{others, 2};
    one.group.add(address_of(2));
    other.group.add(address_of(1));
    const auto tell = [&one, &other] {
        other.sent.clear();
        other.group.tell();
        one.group.hear(other.sent.front().second);
    };
    all.core->hooks.served_elsewhere_at = [&one](common::time_point now) {
        return one.group.served_elsewhere_at(now);
    };
    const auto refused_for = [&all] {
        const auto out = all.ask("/stream/1", {{"Reedramp-Tokens", "100,300"}});
        REQUIRE(out->status() == 503);
        // Of its own: the answer ends with the caller, here.
        return std::string{http::find_header(out->answer->headers, "Retry-After").value_or("")};
    };
    tell();
    all.core->leave(all.now + milliseconds{1000});
    CHECK(refused_for() == "0.250");
    others.core->leave(others.now + milliseconds{3000});
    tell();
    CHECK(refused_for() == "3.000");
}

TEST_CASE("an entry does not tell itself", "[peer_group]")
{
    world all;
    told_entry one{all, 1};
    one.group.add(address_of(1));
    one.group.tell();
    CHECK(one.sent.empty());
    one.group.hear("no message");
    CHECK(one.group.heard() == 0);
}

} // namespace reedramp::router::testing
