#include <algorithm>
#include <optional>

#include <catch2/catch.hpp>

#include "fixture.hpp"

using namespace reedramp::inventory;
using namespace reedramp::inventory::testing;
using reedramp::common::execution;
using reedramp::platform::log_faults;

namespace {

/// An operator publishes record "mine" on base 1 with a deadline of 10 s. The log has the faults
/// `before` for a second, and `after` from then on.
struct publish_row {
    const char* name;
    log_faults before;
    log_faults after;
    /// Record that another operator appends immediately before; empty for none.
    std::string other;
    result_code code;
    execution run;
    /// Copies of the record in the log at the end.
    std::ptrdiff_t copies;
    /// Part of the reason.
    const char* why;
};

const log_faults none{};
const log_faults down{.down = true};
const log_faults slow{.slow = std::chrono::seconds(2)};
const log_faults lost_answer{.lose_answer_every = 1};
const log_faults lost_append{.lose_append_every = 1};
const std::string theirs = record_text("theirs", 1, put_version("v1", 5));
const std::string other_entity = record_text("theirs", 1, put_version("v3", 5));

const std::vector<publish_row> publish_rows = {
    {"no fault", none, none, "", result_code::ok, execution::not_run, 1, ""},
    {"log slow", slow, slow, "", result_code::ok, execution::not_run, 1, ""},
    // The record is in the log, but the response is lost. The operator gets the acceptance once the
    // record is read back; a second append would duplicate it in the log.
    {"answer lost", lost_answer, lost_answer, "", result_code::ok, execution::not_run, 1, ""},
    // The append never reached the log. It is sent again only after a read has shown that.
    {"append lost", lost_append, none, "", result_code::ok, execution::not_run, 1, ""},
    {"answer lost, then log down, then back",
     lost_answer,
     none,
     "",
     result_code::ok,
     execution::not_run,
     1,
     ""},
    {"answer lost, and the log goes down after it was read back",
     lost_answer,
     down,
     "",
     result_code::ok,
     execution::not_run,
     1,
     ""},
    {"append lost for good",
     lost_append,
     lost_append,
     "",
     result_code::append_unknown,
     execution::unknown,
     0,
     "not known"},
    {"log down", down, none, "", result_code::log_unavailable, execution::not_run, 0, "down"},
    // Another operator's change of the same version came first. This one is refused, and the error
    // names the author of the other change and what it touched.
    {"two operators race",
     none,
     none,
     theirs,
     result_code::conflict,
     execution::not_run,
     1,
     "by anna in record theirs (version v1)"},
    {"two operators race and the answer is lost",
     lost_answer,
     none,
     theirs,
     result_code::conflict,
     execution::not_run,
     1,
     "by anna in record theirs (version v1)"},
    {"two operators change different things",
     none,
     none,
     other_entity,
     result_code::ok,
     execution::not_run,
     1,
     ""},
};

auto copies_of_mine(const fixture& env) -> std::ptrdiff_t
{
    const auto records = env.log.records(configuration);
    return std::ranges::count_if(records, [](const auto& item) {
        return item.data.find(R"("id":"mine")") != std::string::npos;
    });
}

using answer = std::optional<reedramp::common::result<publication>>;

auto publish(fixture& env, const std::string& process, answer& got) -> void
{
    const auto mine = parsed(record_text("mine", 1, put_version("v1", 9)));
    env.at(process).writer->publish(mine, env.time.now() + 10s, [&got](const auto& done) {
        REQUIRE_FALSE(got);
        got = done;
    });
}

auto check_row(const publish_row& row, bool is_tailer) -> void
{
    INFO(row.name << (is_tailer ? ", at a tailer" : ", at a process that pulls"));
    fixture env;
    env.put(first_record());
    env.start("a", is_tailer);
    env.run(3s);
    REQUIRE(env.offset("a") == 1);
    if (!row.other.empty()) {
        env.put(row.other);
    }
    env.log.set_faults(row.before);
    answer got;
    publish(env, "a", got);
    env.run(1s);
    env.log.set_faults(row.after);
    env.run(12s);
    REQUIRE(got);
    CHECK(copies_of_mine(env) == row.copies);
    if (row.code == result_code::ok) {
        REQUIRE(*got);
        CHECK(env.offset("a") >= (*got)->offset.value());
        return;
    }
    REQUIRE_FALSE(*got);
    CHECK(got->error().code == row.code);
    CHECK(got->error().run == row.run);
    CHECK_THAT(got->error().detail, Catch::Contains(row.why));
}

} // namespace

TEST_CASE("the publisher under faults of the log", "[faults]")
{
    for (const auto& row : publish_rows) {
        check_row(row, true);
        check_row(row, false);
    }
}

TEST_CASE("a response that stays lost is reported as unknown", "[publisher]")
{
    // The append takes effect, its response is lost, and the log goes down before the record is
    // read. The operator must not get "not run", since the record is in force once the log is back.
    fixture env;
    env.put(first_record());
    env.start("a", false);
    env.run(3s);
    env.log.set_faults({.slow = std::chrono::seconds(1), .lose_answer_every = 1});
    answer got;
    publish(env, "a", got);
    env.run(500ms);
    env.log.set_faults(down);
    env.run(12s);
    REQUIRE(got);
    REQUIRE_FALSE(*got);
    CHECK(got->error().code == result_code::append_unknown);
    CHECK(got->error().run == execution::unknown);
    env.log.set_faults(none);
    env.run(10s);
    CHECK(env.offset("a") == 2);
}

TEST_CASE("publishing a record again changes nothing", "[publisher]")
{
    fixture env;
    env.put(first_record());
    env.start("a");
    env.start("b");
    env.run(2s);
    answer first;
    publish(env, "a", first);
    env.run(2s);
    answer again;
    publish(env, "b", again);
    env.run(2s);
    REQUIRE(first);
    REQUIRE(again);
    REQUIRE(*first);
    REQUIRE(*again);
    CHECK((*first)->offset == (*again)->offset);
    CHECK(copies_of_mine(env) == 1);
}

TEST_CASE("a record that the inventory's rules refuse is not appended", "[publisher]")
{
    fixture env;
    env.put(first_record());
    env.start("a");
    env.run(1s);
    answer got;
    const auto wrong = parsed(record_text("mine", 1, R"({"remove":"model","id":"m"})"));
    env.at("a").writer->publish(
        wrong, env.time.now() + 10s, [&got](const auto& done) { got = done; });
    REQUIRE(got);
    REQUIRE_FALSE(*got);
    CHECK(got->error().code == result_code::invalid_record);
    CHECK(copies_of_mine(env) == 0);
}
