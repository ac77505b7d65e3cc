#include <catch2/catch.hpp>

#include "world.hpp"

namespace reedramp::router::testing {

TEST_CASE("what the rules do not allow is refused and never sent", "[admission]")
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
        world all;
        const auto out = all.ask(one.path, {one.header});
        CHECK(out->status() == one.status);
        CHECK(all.sends() == 0);
    }
}

TEST_CASE("what only the system may set is taken out", "[admission]")
{
    // A caller names a memory copy, a reservation and an organisation of others, and lists the
    // attempt's id as a header of its connection.
    world all;
    all.core->options.names.ours_alone = {"Reedramp-Hold", "Reedramp-From"};
    all.ask(
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
    REQUIRE(all.sends() == 1);
    for (const auto* name :
         {"Reedramp-Hold", "Reedramp-From", "X-Hop", "Transfer-Encoding", "Connection"}) {
        CHECK(all.last().header(name).empty());
    }
    CHECK(all.last().header("Reedramp-Organisation") == "org");
    CHECK(all.last().header("Reedramp-Expect-Server") != "z");
    CHECK(all.last().header("Reedramp-Urgency") != "0");
    CHECK(all.last().header("Reedramp-Attempt-Id") == "attempt-1");
    CHECK(all.last().header("X-Stays") == "1");
}

TEST_CASE("an entry that knows no rules refuses for the time being", "[admission]")
{
    // After a restart while the store is away an entry knows nothing. 404 or 401 would tell callers
    // never to come back.
    world all;
    all.core = std::make_shared<router_core>(all.core->hooks, router_options{}, all.client);
    const auto out = all.ask("/once/1");
    CHECK(out->status() == 0);
    all.advance(milliseconds{2000});
    CHECK(out->status() == 503);
    CHECK(http::find_header(out->answer->headers, "Retry-After") == "2.000");
}

TEST_CASE("requests that come before the rules wait for them", "[admission]")
{
    // All entries were killed while the store refuses everybody for some seconds. Callers come back
    // with their last try; refused at once, their requests were lost a second before the store's
    // answer came.
    world all;
    all.core = std::make_shared<router_core>(all.core->hooks, router_options{}, all.client);
    const auto waits = all.ask("/once/1", {{"Reedramp-Deadline-Ms", "9000"}});
    const auto leaves = all.ask("/once/1");
    const auto is_short = all.ask("/once/1", {{"Reedramp-Deadline-Ms", "1500"}});
    const auto is_bad = all.ask("/once/1", {{"Reedramp-Deadline-Ms", "soon"}});
    CHECK(is_bad->status() == 400);
    leaves->leave_action();
    // A third of its time, so that the caller has some left for another entry.
    all.advance(milliseconds{500});
    CHECK(is_short->status() == 503);
    all.advance(milliseconds{900});
    all.core->adopt(rules_of(1));
    CHECK(all.sends() == 0);
    all.add_server("a");
    all.core->serve_held();
    REQUIRE(all.sends() == 1);
    // The time that it has counts from when it came.
    CHECK(std::stoi(all.last().header("Reedramp-Deadline-Ms")) <= 9000 - 1400);
    all.last().answer(200, "served");
    CHECK(waits->status() == 200);
    CHECK(leaves->status() == 0);
    all.advance(milliseconds{5000});
    CHECK(waits->answer->body == "served");
}

TEST_CASE("a leaving entry takes what it can finish", "[admission]")
{
    // The process ends 7.6 s after SIGTERM. A long stream that is taken after 3 s would be cut in
    // its middle; short work goes on to be served, since every entry may be leaving at once.
    world all;
    all.core->leave(all.now + milliseconds{7600});
    const http::header long_answer{"Reedramp-Tokens", "100,300"};
    const http::header short_answer{"Reedramp-Tokens", "100,20"};
    CHECK(all.ask("/stream/1", {long_answer})->status() == 0);
    all.advance(milliseconds{3000});
    // The smallest model is quick enough; its answer is not dropped, however unsure it is.
    CHECK(all.ask("/stream/1", {long_answer})->status() == 0);
    const auto before = all.sends();
    all.last().head(200, {{"Reedramp-Confidence", "0"}});
    CHECK(all.sends() == before);
    // The model that the caller names is not.
    CHECK(all.ask("/stream/1", {long_answer, {"Reedramp-Model", "l"}})->status() == 503);
    all.advance(milliseconds{1000});
    CHECK(all.ask("/stream/1", {long_answer})->status() == 503);
    CHECK(all.ask("/stream/1", {short_answer})->status() == 0);
    CHECK(all.ask("/once/1")->status() == 0);
    all.advance(milliseconds{2500});
    CHECK(all.ask("/stream/1", {short_answer})->status() == 503);
    CHECK(all.ask("/once/1")->status() == 503);
}

TEST_CASE("a leaving entry sends streams elsewhere once the balancer has noticed", "[admission]")
{
    // An entry is stopped while servers are busy. A short stream that it takes 3.6 s later waits
    // 3.2 s for its first event, and is cut in its midst when the process ends. Another entry would
    // have finished it.
    world all;
    const auto left = all.now;
    all.core->leave(left + milliseconds{7600}, left + seconds{3});
    bool is_alone = false;
    all.core->hooks.served_elsewhere_at = [&is_alone](common::time_point now) {
        return is_alone ? now + seconds{5} : now;
    };
    const auto ask_stream = [&all] {
        return all.ask("/stream/1", {{"Reedramp-Tokens", "100,20"}})->status();
    };
    all.advance(milliseconds{2900});
    CHECK(ask_stream() == 0);
    all.advance(milliseconds{200});
    CHECK(ask_stream() == 503);
    // A plain answer takes some tens of ms.
    CHECK(all.ask("/once/1")->status() == 0);
    // Where all entries leave, the time that is left is all there is.
    is_alone = true;
    CHECK(ask_stream() == 0);
}

TEST_CASE("rules never go back", "[admission]")
{
    // A peer that lags, or a reading that was under way when a newer one came, holds older rules.
    world all;
    CHECK(all.core->adopt(rules_of(7)));
    CHECK_FALSE(all.core->adopt(rules_of(5)));
    CHECK_FALSE(all.core->adopt(rules_of(7)));
    CHECK(all.core->rules()->version() == 7);
    CHECK(all.core->rules_text() == "text of version 7");
}

} // namespace reedramp::router::testing
