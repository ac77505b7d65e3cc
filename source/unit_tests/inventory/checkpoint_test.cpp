#include <catch2/catch.hpp>

#include "fixture.hpp"
#include "inventory/hash.hpp"

using namespace reedramp::inventory;
using namespace reedramp::inventory::testing;

namespace {

auto rich_state() -> state
{
    const std::string key = sha256_hex("k");
    return folded({
        first_record(),
        record_text(
            "a",
            1,
            R"({"put":"service","value":{"name":"s","idempotent_methods":["GET"]}},)"
            R"({"put":"server","value":{"id":"e1","host":"h1","data_centre":"d","region":"r",)"
            R"("versions":["v1","v2"],"checks_fencing":true}},)"
            R"({"put":"organisation","value":{"id":"p","models":["m"],"services":["s"],)"
            R"("key_hashes":[")" +
                key +
                R"("],"tasks":[{"task":"tag","quality_target":800,"price_ceiling":5}],)"
                R"("limits":{"requests":60,"tokens":18446744,"money":3}}})"),
        record_text(
            "b", 2, R"({"rollout":{"id":"r","model":"m","from":"v1","to":"v2","share":50}})"),
        record_text("c", 0, R"({"withdraw":"v3"})"),
        record_text("d", 4, R"({"remove":"version","id":"v3"})"),
        "torn",
        record_text("e", 0, put_version("v1", 3)),
    });
}

} // namespace

TEST_CASE("a checkpoint restores the whole state", "[checkpoint]")
{
    const auto original = rich_state();
    REQUIRE(original.problems.size() == 2);
    const auto read = parse_checkpoint(format_checkpoint(original));
    REQUIRE(read);
    CHECK(*read == original);
    CHECK(digest(*read) == digest(original));
}

TEST_CASE("a checkpoint does not contain withdrawals that are not in the log", "[checkpoint]")
{
    auto current = rich_state();
    const auto before = digest(current);
    current.withdrawn_early.insert(version_id{"v1"});
    CHECK(digest(current) == before);
}

TEST_CASE("a truncated or altered checkpoint is refused", "[checkpoint]")
{
    // A checkpoint is truncated or altered before it reaches the log. A process that started from
    // it would use rules that nobody published, so it must be refused wherever the damage is.
    const auto text = format_checkpoint(rich_state());
    for (std::size_t size = 0; size < text.size(); size += 37) {
        CHECK_FALSE(parse_checkpoint(text.substr(0, size)));
    }
    std::size_t altered = 0;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] < '0' || text[index] > '8') {
            continue;
        }
        auto other = text;
        ++other[index];
        CHECK_FALSE(parse_checkpoint(other));
        ++altered;
    }
    CHECK(altered > 100);
    CHECK(parse_checkpoint(text));
}

TEST_CASE("a checkpoint in the log changes only the state's checkpoint offset", "[checkpoint]")
{
    auto current = rich_state();
    const auto before = current;
    const log_offset next{current.offset.value() + 1};
    CHECK(apply(current, {next, format_checkpoint(before)}).step == fold_step::no_change);
    CHECK(current.checkpoint == before.offset);
    CHECK(current.recent == before.recent);

    // A checkpoint of an offset that is not reached yet is refused by all processes.
    auto later = before;
    later.offset = log_offset{100};
    const log_offset after{next.value() + 1};
    CHECK(apply(current, {after, format_checkpoint(later)}).code == result_code::bad_checkpoint);
}
