#include <catch2/catch.hpp>

#include "queued_store.hpp"
#include "router/rules_follower.hpp"

namespace reedramp::router::testing {

using common::result_code;

TEST_CASE("servers that an older copy lacks are kept for two seconds", "[new_era]")
{
    // The store was unavailable too briefly to be noticed, and was restored from a copy made before
    // server "b" registered. Servers register again every 1.2 s; if removed at once, "b" would be
    // missing until then. A server that does not register again is removed after that.
    router_fixture fixture;
    queued_store store;
    follow_servers(fixture, store, {"a", "b"});
    fixture.advance(seconds{1});
    queued_store::next_call(store.servers)
        .second(fails<routing::registration_change>(result_code::log_trimmed));
    auto copy = reading<routing::registration_change>({make_registration_change("a")}, 0, true);
    copy.end = stream_position::at(1, 1);
    queued_store::next_call(store.servers).second(copy);
    const auto is_used = [&fixture](const char* id) {
        return fixture.core->servers.find(common::server_id{id}) != nullptr;
    };
    CHECK(fixture.core->era() == 1);
    CHECK(is_used("a"));
    CHECK(is_used("b"));
    fixture.advance(milliseconds{1900});
    CHECK(is_used("b"));
    fixture.advance(milliseconds{300});
    CHECK(!is_used("b"));
    CHECK(is_used("a"));
}

TEST_CASE("reports from before the store was restored change nothing", "[new_era]")
{
    // A peer that is cut off, or was frozen, still reports the former end of the list, and since
    // when the store has worked without a gap. If trusted, the first would make this entry ask for
    // changes that never existed, and the second would remove servers that the copy lacks.
    router_fixture fixture;
    queued_store store;
    follow_servers(fixture, store, {"a", "b"});
    fixture.advance(seconds{1});
    auto& freshness = fixture.core->freshness;
    fixture.core->note_era(stream_position::at(1, 0), "store");
    freshness.note_read(stream_position::at(1, 4).value(), true, fixture.now);
    const auto ended = freshness.outage_ended(fixture.now);
    freshness.apply_report(
        {stream_position{900}.value(), milliseconds{10}, seconds{100}, 7, 1}, fixture.now);
    CHECK(!freshness.lacks_change());
    CHECK(freshness.outage_ended(fixture.now) == ended);
    freshness.apply_report(
        {stream_position::at(1, 9).value(), milliseconds{10}, milliseconds{5}, 8, 1}, fixture.now);
    CHECK(freshness.lacks_change());
    // An earlier era does not return.
    fixture.core->note_era(stream_position::at(0, 999), "late");
    CHECK(fixture.core->era() == 1);
}

TEST_CASE(
    "a final roll-out state that an older copy lacks is written again, not decided again",
    "[new_era]")
{
    // The version was reverted, and the store held that state. The copy has the order and the state
    // "running". If the roll-out started again, callers would be sent to the bad version a second
    // time.
    router_fixture fixture;
    queued_store store;
    const auto writer = writer_of(fixture, store, 0);
    fixture.core->rollouts.apply_status({engines, target, routing::rollout_state::reverted});
    writer->tick();
    CHECK(store.outcomes.empty());
    fixture.core->note_era(stream_position::at(0, 5), "store");
    fixture.core->note_era(stream_position::at(1, 2), "store");
    writer->tick();
    queued_store::next_call(store.outcomes)(reading<routing::rollout_status>(
        {{engines, target, routing::rollout_state::running}}, 1, true));
    const auto written = queued_store::next_call(store.writes);
    CHECK(written.first.state == routing::rollout_state::reverted);
    written.second(stream_position::at(1, 3));
    writer->tick();
    CHECK(store.outcomes.empty());
}

TEST_CASE("a replaced order in an older copy is ignored", "[new_era]")
{
    // The operator has ordered v3 after v2. The copy holds only the order of v2 until the operator
    // orders v3 again.
    router_fixture fixture;
    queued_store store;
    const auto follower =
        std::make_shared<rules_follower>(fixture.core, store.hooks(), follower_options{});
    const routing::rollout_order second{engines, target, seconds{20}};
    const routing::rollout_order third{engines, common::version_id{"v3"}, seconds{20}};
    const auto target_of = [&fixture] {
        return fixture.core->rollouts.states(fixture.now).front().status.target.value();
    };
    fixture.core->rollouts.apply_order(second, fixture.now);
    const auto read = [&](std::vector<rules_document> documents, stream_position end, bool whole) {
        stream_reading<rules_document> one{std::move(documents), end, whole};
        queued_store::next_call(store.rules).second(std::move(one));
    };
    follower->start();
    queued_store::next_call(store.outcomes)(reading<routing::rollout_status>({}, 0, true));
    read({third}, stream_position{2}, false);
    CHECK(target_of() == "v3");
    queued_store::next_call(store.rules).second(fails<rules_document>(result_code::log_trimmed));
    fixture.advance(seconds{1});
    read({second}, stream_position::at(1, 1), true);
    CHECK(target_of() == "v3");
    // An order written after the restore is the operator's present one.
    read({second}, stream_position::at(1, 2), false);
    CHECK(target_of() == "v2");
}

} // namespace reedramp::router::testing
