#include <catch2/catch.hpp>

#include "fixture.hpp"
#include "inventory/hash.hpp"

using namespace reedramp::inventory;
using namespace reedramp::inventory::testing;

namespace {

struct fold_row {
    const char* name;
    /// Folded after `first_record()`, which has offset 1.
    std::vector<std::string> records;
    result_code last;
    /// Part of the reason of the last one.
    const char* why;
};

const auto put_v1 = put_version("v1", 7);
const std::string withdraw_v1 = R"({"withdraw":"v1"})";
const std::string start_rollout =
    R"({"rollout":{"id":"r","model":"m","from":"v1","to":"v2","share":10}})";

const std::vector<fold_row> fold_rows = {
    {"a change on the newest base", {record_text("a", 1, put_v1)}, result_code::ok, ""},
    {"two operators race: the second one's error says who won and what changed",
     {record_text("a", 1, put_v1), record_text("b", 1, put_v1)},
     result_code::conflict,
     "version v1 was changed at offset 2 by anna in record a (version v1); base 1"},
    {"changes of different entities do not race",
     {record_text("a", 1, put_v1), record_text("b", 1, put_version("v2", 7))},
     result_code::ok,
     ""},
    {"a removal races too",
     {record_text("a", 1, R"({"remove":"version","id":"v3"})"),
      record_text("b", 1, put_version("v3", 7))},
     result_code::conflict,
     "version v3 was changed at offset 2"},
    {"a base in the future", {record_text("a", 2, put_v1)}, result_code::invalid_record, "base"},
    {"truncated text", {R"({"id":"a","author":"an)"}, result_code::invalid_record, "not JSON"},
    {"not an object", {"[1]"}, result_code::invalid_record, "must be an object"},
    {"bytes that aren't valid text", {"\xff\xfe\x01"}, result_code::invalid_record, "not JSON"},
    {"nested deeper than any record",
     {std::string(100000, '[')},
     result_code::invalid_record,
     "not JSON"},
    {"an unknown kind",
     {record_text("a", 1, R"({"put":"planet","value":{}})")},
     result_code::invalid_record,
     "known kind"},
    {"an unknown kind of change",
     {record_text("a", 1, R"({"destroy":"v1"})")},
     result_code::invalid_record,
     "not a known change"},
    {"a misspelt member",
     {record_text("a", 1, R"({"put":"version","value":{"id":"v9","model":"m","sensitiv":true}})")},
     result_code::invalid_record,
     "sensitiv is not a known member"},
    {"a number that isn't an integer",
     {record_text(
         "a", 1, R"({"put":"version","value":{"id":"v9","model":"m","prompt_price":1.5}})")},
     result_code::invalid_record,
     "prompt_price"},
    {"a version of an unknown model",
     {record_text("a", 1, R"({"put":"version","value":{"id":"v9","model":"x"}})")},
     result_code::invalid_record,
     "there is no model x"},
    {"all changes of a record or none",
     {record_text("a", 1, put_v1 + R"(,{"remove":"model","id":"m"})")},
     result_code::invalid_record,
     "still used by version"},
    {"an entity twice in a record",
     {record_text("a", 1, put_v1 + "," + put_v1)},
     result_code::invalid_record,
     "changed twice"},
    {"a withdrawal needs no base", {record_text("a", 0, withdraw_v1)}, result_code::ok, ""},
    {"a withdrawn version never returns",
     {record_text("a", 0, withdraw_v1), record_text("b", 2, put_v1)},
     result_code::version_withdrawn,
     "v1"},
    {"a withdrawn version never returns, even after its removal",
     {record_text("a", 0, R"({"withdraw":"v3"})"),
      record_text("b", 2, R"({"remove":"version","id":"v3"})"),
      record_text("c", 3, put_version("v3", 1))},
     result_code::version_withdrawn,
     "v3"},
    {"a withdrawn version can't be the target of a roll-out",
     {record_text("a", 0, R"({"withdraw":"v2"})"), record_text("b", 2, start_rollout)},
     result_code::version_withdrawn,
     "v2"},
    {"only one open roll-out per model",
     {record_text("a", 1, start_rollout),
      record_text("b", 2, R"({"rollout":{"id":"s","model":"m","from":"v1","to":"v3"}})")},
     result_code::invalid_record,
     "roll-out r"},
    {"a roll-out that has ended can't be resumed",
     {record_text(
          "a", 1, R"({"rollout":{"id":"r","model":"m","from":"v1","to":"v2","status":"aborted"}})"),
      record_text("b", 2, start_rollout)},
     result_code::invalid_record,
     "it has ended"},
    {"two organisations with one key",
     {record_text(
         "a",
         1,
         R"({"put":"organisation","value":{"id":"p","key_hashes":[")" + sha256_hex("k") +
             R"("]}},{"put":"organisation","value":{"id":"q","key_hashes":[")" + sha256_hex("k") +
             R"("]}})")},
     result_code::invalid_record,
     "shares an API key"},
};

auto expect_row(const fold_row& row) -> void
{
    INFO(row.name);
    auto current = folded({first_record()});
    fold_outcome last;
    auto before = current;
    for (const auto& text : row.records) {
        before = current;
        last = apply(current, {log_offset{current.offset.value() + 1}, text});
    }
    CHECK(last.code == row.last);
    CHECK_THAT(last.why, Catch::Contains(row.why));
    CHECK((last.step == fold_step::accepted) == (row.last == result_code::ok));
    if (row.last == result_code::ok) {
        return;
    }
    // A refused record changes only the lists for operators and the offset.
    CHECK(current.problems.back().offset == current.offset);
    CHECK(current.problems.back().code == row.last);
    current.recent = before.recent;
    current.problems = before.problems;
    current.offset = before.offset;
    CHECK(current == before);
}

} // namespace

TEST_CASE("records are accepted or refused as a whole", "[fold]")
{
    for (const auto& row : fold_rows) {
        expect_row(row);
    }
}

TEST_CASE("a refused organisation takes no key from another", "[fold]")
{
    // A record that gives organisation q the API key of organisation p is refused. If the index of
    // keys weren't restored, callers of p would be refused from then on.
    const auto owned = [](const std::string& id) {
        return R"({"put":"organisation","value":{"id":")" + id + R"(","key_hashes":[")" +
               sha256_hex("k") + R"("]}})";
    };
    auto current = folded({record_text("a", 0, owned("p")), record_text("b", 1, owned("q"))});
    const auto* owner = rules::organisation_of_key(current, sha256_hex("k"));
    REQUIRE(owner != nullptr);
    CHECK(owner->id.value() == "p");
}

TEST_CASE("a duplicate record changes nothing, whether or not its outcome is still known", "[fold]")
{
    // An operator's tool appends a record twice because the log's response was lost. The second
    // copy follows the first directly, or after so many others that the first one's outcome is
    // dropped. It must not undo changes that were published in between.
    auto current = folded({first_record(), record_text("a", 1, put_v1)});
    const auto right_behind = apply(current, {log_offset{3}, record_text("a", 1, put_v1)});
    CHECK(right_behind.step == fold_step::no_change);
    for (std::size_t count = 0; count <= max_recent_outcomes; ++count) {
        const auto base = current.offset.value();
        const auto text = record_text("n" + std::to_string(base), base, put_version("v1", 9));
        REQUIRE(apply(current, {log_offset{base + 1}, text}).step == fold_step::accepted);
    }
    const log_offset late{current.offset.value() + 1};
    CHECK(apply(current, {late, record_text("a", 1, put_v1)}).code == result_code::conflict);
    CHECK(current.versions.at(version_id{"v1"}).prompt_price.value() == 9);
    CHECK(current.recent.size() == max_recent_outcomes);
}

TEST_CASE("a late record can't restore an entity whose removal is no longer known", "[fold]")
{
    // An operator removes v3, and after many records the removal is no longer known. A delayed
    // change of v3 with a base before the removal must not create v3 again.
    auto current =
        folded({first_record(), record_text("a", 1, R"({"remove":"version","id":"v3"})")});
    for (std::size_t count = 0; count <= max_recent_outcomes; ++count) {
        const log_offset next{current.offset.value() + 1};
        apply(current, {next, record_text("n" + std::to_string(count), 0, withdraw_v1)});
    }
    CHECK(current.removed.empty());
    const log_offset late{current.offset.value() + 1};
    const auto outcome = apply(current, {late, record_text("b", 1, put_version("v3", 1))});
    CHECK(outcome.code == result_code::conflict);
}

TEST_CASE("an older offset leaves the state as it is", "[fold]")
{
    auto current = folded({first_record(), record_text("a", 1, put_v1)});
    const auto before = current;
    CHECK(
        apply(current, {log_offset{2}, record_text("z", 1, withdraw_v1)}).step ==
        fold_step::already_folded);
    CHECK(current == before);
}

TEST_CASE("records and comparison read back what was written", "[record]")
{
    const auto before = folded({first_record()});
    const auto changed = parsed(record_text("a", 1, put_v1 + "," + withdraw_v1));
    CHECK(format_record(parsed(format_record(changed))) == format_record(changed));
    const auto after = check_record(before, parsed(record_text("a", 1, put_v1)));
    REQUIRE(after);
    const auto rows = compare(before, *after);
    REQUIRE(rows.size() == 1);
    CHECK(to_string(rows.front().entity) == "version v1");
    CHECK_THAT(rows.front().after, Catch::Contains(R"("prompt_price":7)"));
}
