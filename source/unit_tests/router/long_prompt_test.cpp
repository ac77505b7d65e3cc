#include <catch2/catch.hpp>

#include "router_fixture.hpp"

namespace reedramp::router::testing {

namespace {

constexpr auto events_of_one = "id: 0\ndata: x\n\n";

/// Learns the wait for first events by prompt work at the core's only service.
auto learn(router_fixture& fixture, double prompt_work, milliseconds took) -> void
{
    for (int i = 0; i < 5; ++i) {
        fixture.core->first_events[common::service_name{"engines"}].note(prompt_work, took);
    }
}

auto ask_with_prompt(router_fixture& fixture, const std::string& tokens) -> std::shared_ptr<caller>
{
    return fixture.ask(
        "/stream/x", {{"Reedramp-Model", "*"}, {"Reedramp-Tokens", tokens + ",100"}});
}

} // namespace

TEST_CASE(
    "a prompt that the larger model reads too slowly stays with the small one", "[long_prompt]")
{
    // Guards against streams that pause for seconds because their server reads one very long prompt
    // with the largest model, whose answer is late anyhow.
    for (const bool is_controlled : {false, true}) {
        router_fixture fixture;
        fixture.core->overload_control = overload_state{
            {.mode = is_controlled ? overload::control_mode::on : overload::control_mode::off}};
        learn(fixture, 25000.0, milliseconds{1200});
        const auto long_prompt = ask_with_prompt(fixture, "50000");
        fixture.last().head(200, {{"Reedramp-Confidence", "5"}});
        CHECK(fixture.sends() == (is_controlled ? 1 : 2));
        const auto short_prompt = ask_with_prompt(fixture, "2000");
        const auto before = fixture.sends();
        fixture.last().head(200, {{"Reedramp-Confidence", "5"}});
        CHECK(fixture.sends() == before + 1);
    }
}

TEST_CASE("a stream leaves a blocked server while the target can be met elsewhere", "[long_prompt]")
{
    // Guards against first events that are late since a server was busy with another's long prompt.
    // The route's target is 1 s, and the longest pause of 800 ms would allow a wait of 1.2 s.
    for (const bool is_controlled : {false, true}) {
        router_fixture fixture;
        fixture.core->overload_control = overload_state{
            {.mode = is_controlled ? overload::control_mode::on : overload::control_mode::off}};
        // At an entry that does not know the usual wait yet, the request stays.
        const auto early = ask_with_prompt(fixture, "500");
        fixture.advance(milliseconds{900});
        CHECK(fixture.sends() == 1);
        early->leave_action();
        learn(fixture, 50.0, milliseconds{20});
        const auto caller = ask_with_prompt(fixture, "500");
        fixture.advance(milliseconds{450});
        CHECK(fixture.sends() == 2);
        fixture.advance(milliseconds{100});
        CHECK(fixture.sends() == (is_controlled ? 3 : 2));
        fixture.last().head(200, {{"Reedramp-Confidence", "90"}});
        fixture.last().chunk(events_of_one);
        CHECK(caller->events == events_of_one);
    }
}

TEST_CASE("only streams teach how long first events take", "[long_prompt]")
{
    // The response of another request comes when its answer is whole, and would make the prompts of
    // streams look slow to read.
    router_fixture fixture;
    const auto& waits = fixture.core->first_events[common::service_name{"engines"}];
    for (const auto* path : {"/once/x", "/stream/x"}) {
        CHECK(waits.expected(500.0).count() == 0);
        for (int i = 0; i < 5; ++i) {
            fixture.ask(path, {{"Reedramp-Tokens", "500,100"}});
            fixture.advance(milliseconds{100});
            fixture.last().answer(200, events_of_one, {{"Reedramp-Confidence", "90"}});
        }
    }
    CHECK(waits.expected(500.0).count() > 0);
}

TEST_CASE("a stream without a target stays at its server", "[long_prompt]")
{
    // A target of 0 means that there is none; taken as a time, it moved streams after three times
    // the usual wait.
    router_fixture fixture;
    fixture.core->overload_control = overload_state{{.mode = overload::control_mode::on}};
    auto rules = rules_of(1000);
    rules.rules.routes.front().target = milliseconds{0};
    REQUIRE(fixture.core->apply_rules(std::move(rules)));
    learn(fixture, 50.0, milliseconds{20});
    const auto caller = ask_with_prompt(fixture, "500");
    fixture.advance(milliseconds{1000});
    CHECK(fixture.sends() == 1);
}

} // namespace reedramp::router::testing
