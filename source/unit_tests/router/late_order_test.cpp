#include <catch2/catch.hpp>

#include "queued_store.hpp"
#include "router/rules_follower.hpp"

namespace reedramp::router::testing {

namespace {

const common::version_id first_version{"v2"};
const common::version_id second_version{"v3"};
const routing::rollout_order first_order{engines, first_version, seconds{20}};
const routing::rollout_order second_order{engines, second_version, seconds{20}};

/// An entry whose follower has read an order of the first version, which was reverted, and then an
/// order of the second one.
struct ordered_entry {
    router_fixture fixture;
    queued_store store;
    std::shared_ptr<rules_follower> follower = std::make_shared<rules_follower>(
        this->fixture.core, this->store.hooks(), follower_options{});

    ordered_entry()
    {
        this->follower->start();
        queued_store::next_call(this->store.outcomes)(
            reading<routing::rollout_status>({}, 0, true));
        this->read({rules_of(2)}, true);
        this->fixture.advance(seconds{20});
        this->read({first_order});
        this->fixture.advance(seconds{3});
        this->fixture.core->rollouts.apply_status(
            {engines, first_version, routing::rollout_state::reverted});
        this->fixture.advance(seconds{1});
        this->read({second_order});
    }

    auto read(std::vector<rules_document> documents, bool whole = false) -> void
    {
        this->end += documents.size();
        queued_store::next_call(this->store.rules)
            .second(reading<rules_document>(std::move(documents), this->end, whole));
    }

    auto target() -> std::string
    {
        return this->fixture.core->rollouts.states(this->fixture.now).front().status.target.value();
    }

    auto rule() -> routing::version_rule
    {
        return this->fixture.core->rollouts.rule_for(engines, 0, this->fixture.now);
    }

    std::uint64_t end = 0;
};

} // namespace

// Guards against a bad version that goes unguarded since the store performed an older order again.
TEST_CASE("a late write of a replaced order leaves the newest one in force", "[late_order]")
{
    ordered_entry one;
    SECTION("in a reading of its own")
    {
        one.fixture.advance(seconds{2});
        one.read({first_order});
    }
    SECTION("in one reading with a repeated newest order")
    {
        one.read({second_order, first_order});
    }
    CHECK(one.target() == "v3");
    CHECK(one.rule().barred.contains(first_version));
    one.fixture.core->rollouts.apply_status(
        {engines, second_version, routing::rollout_state::reverted});
    CHECK(one.rule().barred.contains(second_version));
}

// Guards against a version that gets requests like an old one, though it was never proven.
TEST_CASE(
    "a version whose order was replaced before it was proven gets no requests", "[late_order]")
{
    ordered_entry one;
    const common::version_id third_version{"v4"};
    routing::registration server;
    server.id = common::server_id{"of-the-third"};
    server.service = engines;
    server.version = third_version;
    one.fixture.core->servers.apply_registration(server, one.fixture.now);
    one.read({routing::rollout_order{engines, third_version, seconds{20}}});
    CHECK(one.target() == "v4");
    CHECK(one.rule().barred.contains(second_version));
}

// Guards against an entry that starts between and takes a late write for the newest order.
TEST_CASE("an entry that starts reads back which order is in force", "[late_order]")
{
    router_fixture fixture;
    queued_store store;
    std::make_shared<rules_follower>(fixture.core, store.hooks(), follower_options{})->start();
    queued_store::next_call(store.outcomes)(reading<routing::rollout_status>(
        {{engines, second_version, routing::rollout_state::running}}, 4, true));
    auto again = first_order;
    again.at = stream_position::at(0, 103);
    queued_store::next_call(store.rules)
        .second(reading<rules_document>({rules_of(2), again}, 104, true));
    const auto history = queued_store::next_call(store.rules);
    const auto waiting = queued_store::next_call(store.rules);
    CHECK(waiting.first == stream_position{104});
    CHECK(history.first == stream_position{88});
    auto first = first_order;
    first.at = stream_position::at(0, 90);
    auto second = second_order;
    second.at = stream_position::at(0, 97);
    history.second(reading<rules_document>({first}, 95, false));
    const auto rest = queued_store::next_call(store.rules);
    CHECK(rest.first == stream_position{95});
    rest.second(reading<rules_document>({second, again}, 104, false));
    const auto known = fixture.core->rollouts.states(fixture.now).front();
    CHECK(known.status.target == second_version);
    CHECK(known.held_target == first_version);
}

namespace {

auto rules_at(std::uint64_t version, std::uint64_t offset) -> published_rules
{
    auto rules = rules_of(version);
    rules.at = stream_position::at(0, offset);
    return rules;
}

/// An entry that starts alone, and whose follower has read the states of roll-outs.
struct lone_entry {
    router_fixture fixture;
    queued_store store;
    std::shared_ptr<router_core> core = std::make_shared<router_core>(
        this->fixture.core->hooks, router_options{}, this->fixture.client);

    lone_entry()
    {
        std::make_shared<rules_follower>(this->core, this->store.hooks(), follower_options{})
            ->start();
        queued_store::next_call(this->store.outcomes)(
            reading<routing::rollout_status>({}, 0, true));
    }

    auto read_newest(published_rules rules, std::uint64_t end) -> void
    {
        queued_store::next_call(this->store.rules)
            .second(reading<rules_document>({std::move(rules)}, end, true));
    }
};

} // namespace

// Guards against rules that an operator has replaced, and with them keys that were taken away, when
// all entries start again after the store has performed their write late.
TEST_CASE("an entry that starts alone reads back which rules are in force", "[late_rules]")
{
    lone_entry one;
    one.read_newest(rules_at(5, 7), 8);
    // Nothing is served by rules that may have been replaced.
    CHECK(one.core->rules() == nullptr);
    auto history = queued_store::next_call(one.store.rules);
    CHECK(history.first == stream_position{0});
    SECTION("a newer version before a late write")
    {
        history.second(reading<rules_document>({rules_at(6, 6)}, 7, false));
        CHECK(one.core->rules() == nullptr);
        queued_store::next_call(one.store.rules); // The read that waits for news.
        auto rest = queued_store::next_call(one.store.rules);
        CHECK(rest.first == stream_position{7});
        rest.second(reading<rules_document>({rules_at(5, 7)}, 8, false));
        CHECK(one.core->rules()->version() == 6);
    }
    SECTION("the newest record is the newest version")
    {
        history.second(reading<rules_document>({rules_at(4, 2), rules_at(5, 7)}, 8, false));
        CHECK(one.core->rules()->version() == 5);
    }
    SECTION("the records before it can't be read")
    {
        history.second(fails<rules_document>(common::result_code::log_trimmed));
        CHECK(one.core->rules()->version() == 5);
    }
    SECTION("the store does not answer")
    {
        one.fixture.advance(milliseconds{400});
        REQUIRE(one.core->rules() != nullptr);
        CHECK(one.core->rules()->version() == 5);
        // Late, but not too late.
        history.second(reading<rules_document>({rules_at(6, 6), rules_at(5, 7)}, 8, false));
        CHECK(one.core->rules()->version() == 6);
    }
}

TEST_CASE("the first rules of all are used at once", "[late_rules]")
{
    // Guards against a start that waits for records that can't be.
    lone_entry one;
    one.read_newest(rules_at(5, 0), 1);
    REQUIRE(one.core->rules() != nullptr);
    CHECK(one.core->rules()->version() == 5);
}

} // namespace reedramp::router::testing
