#include "rollout_names.hpp"

#include <algorithm>

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const common::version_id next_version{"v3"};

auto order_of(const common::version_id& target, std::uint64_t offset) -> rollout_order
{
    return {engines, target, allowed, stream_position::at(0, offset)};
}

auto add_servers(
    server_table& servers,
    const common::version_id& version,
    const std::string& generation,
    std::size_t count) -> void
{
    for (std::size_t i = 0; i < count; ++i) {
        registration one;
        one.id = common::server_id{version.value() + "-" + generation + std::to_string(i)};
        one.service = engines;
        one.version = version;
        servers.apply_registration(one, start);
    }
}

auto target_of(const rollout_manager& manager, time_point now) -> common::version_id
{
    return manager.states(now).front().status.target;
}

auto state_of(const rollout_manager& manager, time_point now) -> rollout_state
{
    return manager.states(now).front().status.state;
}

/// An entry that has carried out an order of `new_version`, reverted it, and then read an order of
/// `next_version`.
struct ordered_twice {
    rollout_manager manager{rollout_options{}};
    server_table servers;
    time_point now = start;

    ordered_twice()
    {
        this->manager.apply_order(order_of(new_version, 1), this->now);
        this->pass(seconds{1});
        add_servers(this->servers, old_version, "first", 4);
        add_servers(this->servers, new_version, "first", 4);
        this->see_servers();
        this->manager.apply_status({engines, new_version, rollout_state::reverted});
        this->pass(seconds{1});
        this->manager.apply_order(order_of(next_version, 2), this->now);
        add_servers(this->servers, next_version, "first", 4);
        this->see_servers();
    }

    auto pass(milliseconds time) -> void { this->now += time; }

    auto see_servers() -> void { this->manager.apply_servers(this->servers, this->now); }

    auto read_again(std::uint64_t offset, time_point written_after) -> void
    {
        order_origin origin;
        origin.written_after = written_after;
        this->manager.apply_order(order_of(new_version, offset), this->now, origin);
        this->see_servers();
    }
};

} // namespace

// Guards against an operator's repeated order that is taken for a late write and not carried out.
TEST_CASE("a past order is carried out again when servers of it have started", "[rollout_orders]")
{
    ordered_twice one;
    one.pass(seconds{2});
    one.read_again(3, one.now);
    CHECK(target_of(one.manager, one.now) == next_version);
    CHECK(one.manager.states(one.now).front().held_target == new_version);
    const auto given = one.now;
    one.pass(seconds{1});
    add_servers(one.servers, new_version, "second", 4);
    one.see_servers();
    CHECK(target_of(one.manager, one.now) == new_version);
    CHECK(state_of(one.manager, one.now) == rollout_state::running);
    CHECK(one.manager.states(one.now).front().elapsed == one.now - given);
    CHECK_FALSE(one.manager.states(one.now).front().held_target);
}

// Guards against a straggler of the first start that is taken for a new start of the version.
TEST_CASE(
    "a server whose first registration is late does not bring back an order", "[rollout_orders]")
{
    ordered_twice one;
    one.read_again(3, one.now);
    add_servers(one.servers, new_version, "late", 2);
    one.see_servers();
    CHECK(target_of(one.manager, one.now) == next_version);
}

// Guards against both errors of the rule by time: a late write that is read late, and an order that
// is given again long after.
TEST_CASE("a repeated order counts by when it can have been written", "[rollout_orders]")
{
    ordered_twice one;
    const auto replaced = one.now;
    one.pass(seconds{60});
    SECTION("the store was away, so that it may have been written right after the other")
    {
        one.read_again(3, replaced);
        CHECK(target_of(one.manager, one.now) == next_version);
    }
    SECTION("the last reading, a moment ago, did not have it")
    {
        one.read_again(3, one.now - seconds{1});
        CHECK(target_of(one.manager, one.now) == new_version);
    }
}

// Guards against an order that is ignored since the same version was ordered, and reverted, before.
TEST_CASE("the newest order is carried out again after it was reverted", "[rollout_orders]")
{
    ordered_twice one;
    one.manager.apply_status({engines, next_version, rollout_state::reverted});
    one.see_servers();
    one.pass(seconds{3});
    one.manager.apply_order(order_of(next_version, 3), one.now);
    one.see_servers();
    CHECK(state_of(one.manager, one.now) == rollout_state::reverted);
    add_servers(one.servers, next_version, "second", 4);
    one.see_servers();
    CHECK(state_of(one.manager, one.now) == rollout_state::running);
    // The state in the store is that of the first time, until the new one has been written.
    one.manager.apply_status({engines, next_version, rollout_state::reverted});
    CHECK(state_of(one.manager, one.now) == rollout_state::running);
    CHECK(one.manager.due_states(one.now).front().state == rollout_state::running);
    one.manager.apply_status({engines, next_version, rollout_state::running});
    one.manager.apply_status({engines, next_version, rollout_state::reverted});
    CHECK(state_of(one.manager, one.now) == rollout_state::reverted);
}

// Guards against a peer's delayed message that brings back an order.
TEST_CASE("an order at an earlier position changes nothing", "[rollout_orders]")
{
    ordered_twice one;
    rollout_report report;
    report.service = engines;
    report.target = new_version;
    report.allowed = allowed;
    report.ordered_at = stream_position::at(0, 1);
    one.pass(seconds{30});
    one.manager.apply_reports(common::host_id{"peer"}, {report}, one.now);
    CHECK(target_of(one.manager, one.now) == next_version);
}

// Guards against an entry that starts while the store's newest record is a late write.
TEST_CASE("an entry that knows only the newest record learns the history", "[rollout_orders]")
{
    rollout_manager manager{rollout_options{}};
    manager.apply_status({engines, next_version, rollout_state::running});
    order_origin newest_only;
    newest_only.is_newest_only = true;
    manager.apply_order(order_of(new_version, 3), start, newest_only);
    CHECK(manager.needs_history(stream_position::at(0, 2)));
    CHECK_FALSE(manager.needs_history(stream_position::at(0, 4)));
    SECTION("from the store")
    {
        manager.apply_history(
            {order_of(new_version, 1), order_of(next_version, 2), order_of(new_version, 3)},
            server_table{},
            start);
        CHECK(target_of(manager, start) == next_version);
    }
    SECTION("from an entry that has judged the record")
    {
        ordered_twice other;
        other.read_again(3, other.now);
        manager.apply_reports(
            common::host_id{"peer"}, other.manager.make_reports(other.now), start + seconds{1});
        CHECK(target_of(manager, start) == next_version);
        CHECK(manager.states(start).front().held_target == new_version);
    }
    SECTION("from nobody: the version that was not proven gets no requests")
    {
        CHECK(target_of(manager, start) == new_version);
        CHECK(manager.rule_for(engines, 0, start).barred.contains(next_version));
    }
}

// Guards against an order that the store does for the first time after the next one was given.
TEST_CASE("an order without servers does not replace one that is under way", "[rollout_orders]")
{
    ordered_twice one;
    const common::version_id late_version{"v4"};
    one.manager.apply_order(order_of(late_version, 3), one.now);
    one.see_servers();
    CHECK(target_of(one.manager, one.now) == next_version);
    SECTION("a late write of a past order does not displace it")
    {
        one.read_again(4, one.now);
        CHECK(one.manager.states(one.now).front().held_target == late_version);
    }
    SECTION("it was given, so that servers of it start")
    {
        add_servers(one.servers, late_version, "first", 1);
        one.see_servers();
        CHECK(target_of(one.manager, one.now) == late_version);
        CHECK(one.manager.rule_for(engines, 0, one.now).barred.contains(next_version));
    }
}

// Guards against an entry that starts after an order was done late, and after its end was written.
TEST_CASE("the history shows an order that the newest record hides", "[rollout_orders]")
{
    rollout_manager manager{rollout_options{}};
    manager.apply_status({engines, new_version, rollout_state::reverted});
    order_origin newest_only;
    newest_only.is_newest_only = true;
    manager.apply_order(order_of(new_version, 3), start, newest_only);
    CHECK(state_of(manager, start) == rollout_state::reverted);
    REQUIRE(manager.needs_history(stream_position{0}));
    server_table servers;
    add_servers(servers, next_version, "first", 4);
    manager.apply_history(
        {order_of(new_version, 1), order_of(next_version, 2), order_of(new_version, 3)},
        servers,
        start);
    CHECK(target_of(manager, start) == next_version);
    CHECK(state_of(manager, start) == rollout_state::running);
    CHECK(manager.rule_for(engines, 0, start).barred.contains(new_version));
}

// Guards against a state that makes operators stop the only servers of a service.
TEST_CASE("a version without servers is not published as complete", "[rollout_orders]")
{
    rollout_manager manager{rollout_options{}};
    server_table servers;
    add_servers(servers, old_version, "first", 4);
    manager.apply_order(order_of(new_version, 1), start);
    manager.apply_servers(servers, start);
    const auto late = start + allowed * 95 / 100;
    CHECK(manager.due_states(late).front().state == rollout_state::reverted);
    add_servers(servers, new_version, "first", 4);
    manager.apply_servers(servers, start);
    CHECK(manager.due_states(late).front().state == rollout_state::complete);
}

// Guards against an entry that keeps to versions whose servers are stopped, since it holds an
// order.
TEST_CASE("a held order that others have completed is followed", "[rollout_orders]")
{
    ordered_twice one;
    one.read_again(3, one.now);
    rollout_report report;
    report.service = engines;
    report.target = new_version;
    report.allowed = allowed;
    report.ordered_at = stream_position::at(0, 3);
    report.judged_to = report.ordered_at;
    report.state = rollout_state::running;
    report.is_written = true;
    one.manager.apply_reports(common::host_id{"peer"}, {report}, one.now);
    CHECK(target_of(one.manager, one.now) == next_version);
    report.state = rollout_state::complete;
    one.manager.apply_reports(common::host_id{"peer"}, {report}, one.now);
    CHECK(target_of(one.manager, one.now) == new_version);
    CHECK(state_of(one.manager, one.now) == rollout_state::complete);
    CHECK_FALSE(one.manager.rule_for(engines, 0, one.now).barred.contains(new_version));
}

// Guards against entries that differ for good, depending on how each learned of a late write.
TEST_CASE("all entries come to the same view of a late write", "[rollout_orders]")
{
    const auto count = GENERATE(std::size_t{3}, std::size_t{28}, std::size_t{103});
    std::vector<rollout_manager> managers(count, rollout_manager{rollout_options{}});
    time_point now = start;
    for (std::size_t i = 0; i < count; ++i) {
        if (i % 4 != 2) { // The others learn of all orders from peers.
            managers[i].apply_order(order_of(new_version, 1), now);
        }
    }
    exchange_reports(managers, now + seconds{1});
    now += seconds{4};
    for (std::size_t i = 0; i < count; ++i) {
        if (i % 4 == 0) { // In two readings; those with an odd number in one.
            managers[i].apply_order(order_of(next_version, 2), now);
        }
    }
    now += seconds{2};
    order_origin newest_only;
    newest_only.is_newest_only = true;
    for (std::size_t i = 0; i < count; ++i) {
        if (i % 4 == 1) { // Started a moment ago, and read the newest record.
            managers[i] = rollout_manager{rollout_options{}};
            managers[i].apply_order(order_of(new_version, 3), now, newest_only);
        }
        else if (i % 4 == 3) {
            managers[i].apply_order(order_of(next_version, 2), now);
            managers[i].apply_order(order_of(new_version, 3), now);
        }
        else if (i % 4 == 0) {
            managers[i].apply_order(order_of(new_version, 3), now);
        }
    }
    for (int round = 0; round < 3; ++round) {
        now += milliseconds{700};
        exchange_reports(managers, now);
    }
    CHECK(std::ranges::all_of(managers, [now](const rollout_manager& one) {
        return target_of(one, now) == next_version && state_of(one, now) == rollout_state::running;
    }));
}

} // namespace reedramp::routing
