#include <catch2/catch.hpp>

#include "held_store.hpp"
#include "router/rules_follower.hpp"

namespace reedramp::router::testing {

using common::result_code;

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
    freshness.apply_report(
        {stream_position{900}.value(), milliseconds{10}, seconds{100}, 7, 1}, all.now);
    CHECK(!freshness.lacks_change());
    CHECK(freshness.outage_ended(all.now) == ended);
    freshness.apply_report(
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
    all.core->rollouts.apply_status({engines, target, routing::rollout_state::reverted});
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
    all.core->rollouts.apply_order(second, all.now);
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
