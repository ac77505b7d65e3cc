#include <catch2/catch.hpp>

#include "router_fixture.hpp"

namespace reedramp::router::testing {

TEST_CASE("requests that the rules do not allow are refused and never sent", "[admission]")
{
    struct row {
        const char* what;
        const char* path;
        http::header header;
        int status;
    };

    const std::vector<row> rows{
        {"no route", "/none/1", {"X", "1"}, 404},
        {"no host", "/once/1", {"Host", "other"}, 404},
        {"unknown key", "/once/1", {"Reedramp-Key", "stolen"}, 401},
        {"empty key", "/once/1", {"Reedramp-Key", ""}, 401},
        {"no attempt", "/once/1", {"Reedramp-Attempt-Id", ""}, 400},
        {"bad time", "/once/1", {"Reedramp-Deadline-Ms", "soon"}, 400},
        {"bad tokens", "/stream/1", {"Reedramp-Tokens", "12"}, 400},
        {"bad event", "/stream/1", {"Last-Event-Id", "x"}, 400},
    };
    for (const auto& one : rows) {
        INFO(one.what);
        router_fixture fixture;
        const auto out = fixture.ask(one.path, {one.header});
        CHECK(out->status() == one.status);
        CHECK(fixture.sends() == 0);
    }
}

TEST_CASE("rules without any organisation left refuse all keys", "[fail_closed]")
{
    // Guards against routes that are open to everybody once the last organisation was taken out.
    router_fixture fixture;
    const auto apply = [&fixture](std::uint64_t version, bool requires_keys) {
        auto rules = rules_of(version);
        rules.rules.requires_keys = requires_keys;
        rules.rules.organisations.clear();
        rules.rules.routes[2].is_open = true;
        fixture.core->apply_rules(std::move(rules));
    };
    apply(2, true);
    for (const auto* key : {"key", "stolen", ""}) {
        INFO("key " << key);
        CHECK(fixture.ask("/once/1", {{"Reedramp-Key", key}})->status() == 401);
    }
    CHECK(fixture.sends() == 0);
    fixture.ask("/again/1", {{"Reedramp-Key", ""}});
    CHECK(fixture.sends() == 1);
    // Rules that know nothing of keys ask for none.
    apply(3, false);
    fixture.ask("/once/1", {{"Reedramp-Key", ""}});
    CHECK(fixture.sends() == 2);
}

TEST_CASE("headers that only the system may set are removed", "[admission]")
{
    // A caller sets reserved headers for a memory copy, a reservation and another organisation, and
    // lists the attempt id in its Connection header.
    router_fixture fixture;
    fixture.core->options.names.reserved = {"Reedramp-Hold", "Reedramp-From"};
    fixture.ask(
        "/once/1",
        {{"Reedramp-Hold", "1"},
         {"reedramp-from", "1"},
         {"Reedramp-Organisation", "other"},
         {"Reedramp-Expect-Server", "z"},
         {"Reedramp-Urgency", "0"},
         {"Connection", "X-Hop, Reedramp-Attempt-Id"},
         {"X-Hop", "1"},
         {"Transfer-Encoding", "chunked"},
         {"X-Stays", "1"}});
    REQUIRE(fixture.sends() == 1);
    for (const auto* name :
         {"Reedramp-Hold", "Reedramp-From", "X-Hop", "Transfer-Encoding", "Connection"}) {
        CHECK(fixture.last().header(name).empty());
    }
    CHECK(fixture.last().header("Reedramp-Organisation") == "org");
    CHECK(fixture.last().header("Reedramp-Expect-Server") != "z");
    CHECK(fixture.last().header("Reedramp-Urgency") != "0");
    CHECK(fixture.last().header("Reedramp-Attempt-Id") == "attempt-1");
    CHECK(fixture.last().header("X-Stays") == "1");
}

TEST_CASE("an entry without rules refuses temporarily", "[admission]")
{
    // An entry that restarts during an outage of the store has no rules. 404 or 401 would tell
    // callers never to return.
    router_fixture fixture;
    fixture.core =
        std::make_shared<router_core>(fixture.core->hooks, router_options{}, fixture.client);
    const auto out = fixture.ask("/once/1");
    CHECK(out->status() == 0);
    fixture.advance(milliseconds{2000});
    CHECK(out->status() == 503);
    CHECK(http::find_header(out->answer->headers, "Retry-After") == "2.000");
}

TEST_CASE("requests that arrive before the rules wait for them", "[admission]")
{
    // All entries were killed while the store refuses all calls for some seconds. Callers return
    // with their last attempt. If refused at once, their requests fail a second before the store
    // responds.
    router_fixture fixture;
    fixture.core =
        std::make_shared<router_core>(fixture.core->hooks, router_options{}, fixture.client);
    const auto waits = fixture.ask("/once/1", {{"Reedramp-Deadline-Ms", "9000"}});
    const auto leaves = fixture.ask("/once/1");
    const auto is_short = fixture.ask("/once/1", {{"Reedramp-Deadline-Ms", "1500"}});
    const auto is_bad = fixture.ask("/once/1", {{"Reedramp-Deadline-Ms", "soon"}});
    CHECK(is_bad->status() == 400);
    leaves->leave_action();
    // Held for a third of its time, so that the caller has time left for another entry.
    fixture.advance(milliseconds{500});
    CHECK(is_short->status() == 503);
    fixture.advance(milliseconds{900});
    fixture.core->apply_rules(rules_of(1));
    CHECK(fixture.sends() == 0);
    fixture.add_server("a");
    fixture.core->handle_held();
    REQUIRE(fixture.sends() == 1);
    // Its remaining time counts from its arrival.
    CHECK(std::stoi(fixture.last().header("Reedramp-Deadline-Ms")) <= 9000 - 1400);
    fixture.last().answer(200, "served");
    CHECK(waits->status() == 200);
    CHECK(leaves->status() == 0);
    fixture.advance(milliseconds{5000});
    CHECK(waits->answer->body == "served");
}

TEST_CASE("a leaving entry accepts requests that it can finish", "[admission]")
{
    // The process ends 7.6 s after SIGTERM. A long stream accepted after 3 s would be cut. Short
    // requests are still served, since every entry may be leaving at once.
    router_fixture fixture;
    fixture.core->announce_end(fixture.now + milliseconds{7600});
    const http::header long_answer{"Reedramp-Tokens", "100,300"};
    const http::header short_answer{"Reedramp-Tokens", "100,20"};
    CHECK(fixture.ask("/stream/1", {long_answer})->status() == 0);
    fixture.advance(milliseconds{3000});
    // The smallest model is fast enough; its answer is kept whatever its confidence.
    CHECK(fixture.ask("/stream/1", {long_answer})->status() == 0);
    const auto before = fixture.sends();
    fixture.last().head(200, {{"Reedramp-Confidence", "0"}});
    CHECK(fixture.sends() == before);
    // The model that the caller names is too slow.
    CHECK(fixture.ask("/stream/1", {long_answer, {"Reedramp-Model", "l"}})->status() == 503);
    fixture.advance(milliseconds{1000});
    CHECK(fixture.ask("/stream/1", {long_answer})->status() == 503);
    CHECK(fixture.ask("/stream/1", {short_answer})->status() == 0);
    CHECK(fixture.ask("/once/1")->status() == 0);
    fixture.advance(milliseconds{2500});
    CHECK(fixture.ask("/stream/1", {short_answer})->status() == 503);
    CHECK(fixture.ask("/once/1")->status() == 503);
}

TEST_CASE("a leaving entry sends streams elsewhere once the balancer has noticed", "[admission]")
{
    // An entry is stopped while servers are busy. A short stream accepted 3.6 s later waits 3.2 s
    // for its first event, and is cut when the process ends. Another entry would have finished it.
    router_fixture fixture;
    const auto left = fixture.now;
    fixture.core->announce_end(left + milliseconds{7600}, left + seconds{3});
    bool is_alone = false;
    fixture.core->hooks.accepted_elsewhere_at = [&is_alone](common::time_point now) {
        return is_alone ? now + seconds{5} : now;
    };
    const auto ask_stream = [&fixture] {
        return fixture.ask("/stream/1", {{"Reedramp-Tokens", "100,20"}})->status();
    };
    fixture.advance(milliseconds{2900});
    CHECK(ask_stream() == 0);
    fixture.advance(milliseconds{200});
    CHECK(ask_stream() == 503);
    // A plain request takes some tens of ms.
    CHECK(fixture.ask("/once/1")->status() == 0);
    // If all entries leave, streams are accepted for the remaining time.
    is_alone = true;
    CHECK(ask_stream() == 0);
}

TEST_CASE("older rules never replace newer ones", "[admission]")
{
    // A delayed peer, or a read that was in flight when a newer version arrived, provides older
    // rules.
    router_fixture fixture;
    CHECK(fixture.core->apply_rules(rules_of(7)));
    CHECK_FALSE(fixture.core->apply_rules(rules_of(5)));
    CHECK_FALSE(fixture.core->apply_rules(rules_of(7)));
    CHECK(fixture.core->rules()->version() == 7);
    CHECK(fixture.core->rules_text() == "text of version 7");
}

} // namespace reedramp::router::testing
