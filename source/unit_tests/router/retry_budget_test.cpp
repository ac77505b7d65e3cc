#include <string>

#include <catch2/catch.hpp>

#include "response_simulation.hpp"

namespace reedramp::router::testing {

namespace {

constexpr reedramp::testing::retry_allowance allowed{0.1, seconds{10}, 52.0};

auto fail_all(response_simulation& simulation) -> void
{
    simulation.respond = [](const arrival&) {
        return server_response{500};
    };
}

auto restart_all(response_simulation& simulation) -> void
{
    for (std::size_t i = 0; i < simulation.fleet.entries.size(); ++i) {
        simulation.restart(i);
    }
}

/// Value of a service's counter; empty if there is none.
auto counter(const router_fixture& fixture, const std::string& series) -> std::string
{
    const auto text = fixture.core->series.prometheus_text();
    const auto at = text.find("\n" + series + " ");
    if (at == std::string::npos) {
        return {};
    }
    const auto from = at + series.size() + 2;
    return text.substr(from, text.find('\n', from) - from);
}

} // namespace

// Guards against retries of which no operator can see that they pile up, why, and what was denied.
TEST_CASE("retries are counted by service and reason", "[retry_budget]")
{
    router_fixture fixture;
    fixture.core->change_retries({.ratio = 1.0, .extra = 0.0});
    fixture.ask("/again/1");
    fixture.last().answer(500, "failed");
    REQUIRE(fixture.sends() == 2);
    fixture.core->change_retries({.ratio = 0.0, .extra = 0.0});
    fixture.ask("/again/1");
    fixture.last().lose(common::execution::unknown);
    REQUIRE(fixture.sends() == 3);
    const std::string engines{R"({service="engines")"};
    CHECK(counter(fixture, "router_first_attempts_total" + engines + "}") == "2");
    CHECK(
        counter(fixture, "router_retries_total" + engines + R"(,reason="server_failed"})") == "1");
    CHECK(
        counter(
            fixture, "router_retries_denied_total" + engines + R"(,reason="outcome_unknown"})") ==
        "1");
}

// Guards against retries that multiply the load of failing servers because each new process of an
// entry has an allowance of its own.
TEST_CASE("retries stay within the deployment's budget while entries restart", "[retry_budget]")
{
    for (const std::size_t entries : {4, 28}) {
        INFO("entries " << entries);
        response_simulation simulation{
            {.entries = entries, .retries = {allowed.ratio, allowed.extra, allowed.window}}};
        simulation.run(seconds{11});
        fail_all(simulation);
        simulation.run(seconds{2});
        restart_all(simulation);
        simulation.run(seconds{3});
        restart_all(simulation);
        simulation.run(seconds{9});
        const auto seen = simulation.history();
        CHECK(seen.repeats.size() > 50);
        CHECK(reedramp::testing::worst_excess(seen, allowed) <= 0.0);
    }
}

// Guards against retries beyond the allowance because entries that stood still read what waited for
// them at once, and earn retries for it beside those of the requests of that time.
TEST_CASE(
    "retries stay within the deployment's budget after all entries stood still", "[retry_budget]")
{
    constexpr reedramp::testing::retry_allowance most{0.9, seconds{10}, 52.0};
    for (const std::size_t entries : {3, 28}) {
        INFO("entries " << entries);
        response_simulation simulation{
            {.entries = entries, .retries = {most.ratio, most.extra, most.window}}};
        simulation.run(seconds{11});
        fail_all(simulation);
        simulation.run(seconds{4});
        simulation.stop_entries();
        simulation.run(milliseconds{4500});
        simulation.resume_entries();
        simulation.run(seconds{11});
        const auto seen = simulation.history();
        CHECK(seen.repeats.size() > 500);
        CHECK(reedramp::testing::worst_excess(seen, most) <= 0.0);
    }
}

// Guards against a retry that leaves the window before a server that stands still has received it.
TEST_CASE("a retry without a response counts until its time limit and a window", "[retry_budget]")
{
    for (const bool is_answered : {true, false}) {
        INFO("answered " << is_answered);
        router_fixture fixture;
        const auto out = fixture.ask("/again/1");
        auto& budget = fixture.core->retries_of(common::service_name{"engines"});
        fixture.last().answer(500, "failed");
        REQUIRE(fixture.sends() == 2);
        fixture.advance(seconds{1});
        if (is_answered) {
            fixture.last().answer(200, "whole");
        }
        else {
            out->leave_action();
        }
        fixture.advance(milliseconds{9500});
        CHECK(budget.state().in_window == 1);
        fixture.advance(milliseconds{1200});
        CHECK(budget.state().in_window == (is_answered ? 0 : 1));
        fixture.advance(seconds{9});
        CHECK(budget.state().in_window == 0);
    }
}

} // namespace reedramp::router::testing
