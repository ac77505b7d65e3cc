#include <algorithm>
#include <optional>

#include <catch2/catch.hpp>

#include "fixture.hpp"

using namespace reedramp::inventory;
using namespace reedramp::inventory::testing;
using reedramp::common::execution;
using reedramp::platform::log_faults;

namespace {

/// Each row: an operator publishes record "mine" on base 1 with a deadline of 10 s, while the log
/// has `before`; after a second it has `after`.
struct publish_row {
    const char* name;
    log_faults before;
    log_faults after;
    /// Appended by another operator right before; empty for none.
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
const std::string elsewhere = record_text("theirs", 1, put_version("v3", 5));

const std::vector<publish_row> publish_rows = {
    {"no fault", none, none, "", result_code::ok, execution::not_run, 1, ""},
    {"log slow", slow, slow, "", result_code::ok, execution::not_run, 1, ""},
    // The record is in the log, its answer is lost. The operator gets "accepted" once it is read
    // back; a second append would stand in the log as a doubled change.
    {"answer lost", lost_answer, lost_answer, "", result_code::ok, execution::not_run, 1, ""},
    // The append never reached the log. Reading on shows that, and only then it is sent again.
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
    // Another operator's change of the same version came first. Ours is refused, and the refusal
    // says whose change won and what it touched.
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
     elsewhere,
     result_code::ok,
     execution::not_run,
     1,
     ""},
};

auto copies_of_mine(const world& all) -> std::ptrdiff_t
{
    const auto records = all.log.records(configuration);
    return std::ranges::count_if(records, [](const auto& item) {
        return item.data.find(R"("id":"mine")") != std::string::npos;
    });
}

using answer = std::optional<reedramp::common::result<publication>>;

auto publish(world& all, const std::string& process, answer& got) -> void
{
    const auto mine = parsed(record_text("mine", 1, put_version("v1", 9)));
    all.at(process).writer->publish(mine, all.time.now() + 10s, [&got](const auto& done) {
        REQUIRE_FALSE(got);
        got = done;
    });
}

auto check_row(const publish_row& row, bool is_tailer) -> void
{
    INFO(row.name << (is_tailer ? ", at a tailer" : ", at a process that pulls"));
    world all;
    all.put(first_record());
    all.start("a", is_tailer);
    all.run(3s);
    REQUIRE(all.offset("a") == 1);
    if (!row.other.empty()) {
        all.put(row.other);
    }
    all.log.set_faults(row.before);
    answer got;
    publish(all, "a", got);
    all.run(1s);
    all.log.set_faults(row.after);
    all.run(12s);
    REQUIRE(got);
    CHECK(copies_of_mine(all) == row.copies);
    if (row.code == result_code::ok) {
        REQUIRE(*got);
        CHECK(all.offset("a") >= (*got)->offset.value());
        return;
    }
    REQUIRE_FALSE(*got);
    CHECK(got->error().code == row.code);
    CHECK(got->error().run == row.run);
    CHECK_THAT(got->error().detail, Catch::Contains(row.why));
}

} // namespace

TEST_CASE("the publisher's faults", "[faults]")
{
    for (const auto& row : publish_rows) {
        check_row(row, true);
        check_row(row, false);
    }
}

TEST_CASE("an answer that stays lost is told as unknown", "[publisher]")
{
    // The append takes effect, its answer is lost, and the log goes down before anyone reads the
    // record. The operator must not hear "not run": the record comes into force with the log.
    world all;
    all.put(first_record());
    all.start("a", false);
    all.run(3s);
    all.log.set_faults({.slow = std::chrono::seconds(1), .lose_answer_every = 1});
    answer got;
    publish(all, "a", got);
    all.run(500ms);
    all.log.set_faults(down);
    all.run(12s);
    REQUIRE(got);
    REQUIRE_FALSE(*got);
    CHECK(got->error().code == result_code::append_unknown);
    CHECK(got->error().run == execution::unknown);
    all.log.set_faults(none);
    all.run(10s);
    CHECK(all.offset("a") == 2);
}

TEST_CASE("publishing a record again changes nothing", "[publisher]")
{
    world all;
    all.put(first_record());
    all.start("a");
    all.start("b");
    all.run(2s);
    answer first;
    publish(all, "a", first);
    all.run(2s);
    answer again;
    publish(all, "b", again);
    all.run(2s);
    REQUIRE(first);
    REQUIRE(again);
    REQUIRE(*first);
    REQUIRE(*again);
    CHECK((*first)->offset == (*again)->offset);
    CHECK(copies_of_mine(all) == 1);
}

TEST_CASE("a record that the inventory's rules refuse is not appended", "[publisher]")
{
    world all;
    all.put(first_record());
    all.start("a");
    all.run(1s);
    answer got;
    const auto wrong = parsed(record_text("mine", 1, R"({"remove":"model","id":"m"})"));
    all.at("a").writer->publish(
        wrong, all.time.now() + 10s, [&got](const auto& done) { got = done; });
    REQUIRE(got);
    REQUIRE_FALSE(*got);
    CHECK(got->error().code == result_code::invalid_record);
    CHECK(copies_of_mine(all) == 0);
}
