#include <limits>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "billing/codec.hpp"
#include "billing/ledger.hpp"
#include "billing/price.hpp"

namespace reedramp::billing {

namespace {

using common::log_offset;
using common::micro_money;
using common::token_count;

auto two_line_bill() -> messages::bill
{
    messages::bill item;
    item.request = {1, 2};
    item.organisation = common::organisation_id{"loft \"addis\""};
    item.task = common::task_name{"quote"};
    item.at = common::wall_time_ms{1'700'000'000'000};
    item.lines = {
        {common::version_id{"small-1"},
         common::server_id{"a"},
         {token_count{10}, token_count{20}},
         micro_money{3}},
        {common::version_id{"large-1"},
         common::server_id{"b"},
         {token_count{30}, token_count{40}},
         micro_money{50}}};
    return item;
}

struct price_row {
    std::string what;
    messages::usage used;
    token_prices prices;
    std::int64_t expected;
};

} // namespace

TEST_CASE("records of bills are parsed to the same content", "[billing]")
{
    const batch made{{5, 6}, {two_line_bill(), two_line_bill()}};
    const auto read = parse(serialise(made));
    REQUIRE(read);
    CHECK(read->id == made.id);
    REQUIRE(read->bills.size() == 2);
    CHECK(serialise(*read) == serialise(made));
    CHECK(read->bills.front().lines.back().used.completion_tokens == token_count{40});
}

TEST_CASE("a malformed record is skipped and counted", "[billing]")
{
    // The stream contains a record that is no record of bills. Every reader skips it and continues,
    // and the totals are not affected.
    const auto good = serialise({{5, 6}, {two_line_bill()}});
    const std::string start = R"({"id":"00000000000000050000000000000006","bills":)";
    const std::string request = R"("00000000000000050000000000000006")";
    const std::vector<std::string> bad = {
        "",
        "[]",
        "{}",
        R"({"id":"1","bills":[]})",
        good.substr(0, good.size() - 2),
        start + "[1]}",
        start + R"([["x","o","t",1,[]]]})",
        start + "[[" + request + R"(,"o","t",1,[["v","s",-1,1,1]]]]})",
    };
    ledger read;
    std::uint64_t offset = 0;
    for (const auto& data : bad) {
        INFO(data);
        CHECK(read.apply({log_offset{++offset}, data}) == ledger_outcome::malformed);
    }
    CHECK(read.malformed() == bad.size());
    CHECK(read.apply({log_offset{++offset}, good}) == ledger_outcome::counted);
    CHECK(read.apply({log_offset{offset}, good}) == ledger_outcome::skipped);
    CHECK(read.apply({log_offset{++offset}, good}) == ledger_outcome::repeated);
    REQUIRE(read.by_organisation().size() == 1);
    const auto& sum = read.by_organisation().begin()->second;
    CHECK(sum.requests == 1);
    CHECK(sum.lines == 2);
    CHECK(sum.cost == micro_money{53});
    CHECK(read.by_version().at(common::version_id{"large-1"}).cost == micro_money{50});
}

TEST_CASE("one request id in two organisations counts as two bills", "[billing]")
{
    ledger read;
    auto other = two_line_bill();
    other.organisation = common::organisation_id{"another"};
    CHECK(read.count(two_line_bill()) == ledger_outcome::counted);
    CHECK(read.count(other) == ledger_outcome::counted);
    CHECK(read.count(two_line_bill()) == ledger_outcome::repeated);
}

TEST_CASE("prices are exact and rounded up", "[billing]")
{
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    const std::vector<price_row> rows = {
        {"nothing used", {}, {micro_money{5}, micro_money{5}}, 0},
        {"one token of a cheap version", {token_count{1}, {}}, {micro_money{1}, {}}, 1},
        {"a million of each",
         {token_count{1'000'000}, token_count{1'000'000}},
         {micro_money{150'000}, micro_money{600'000}},
         750'000},
        {"parts are rounded once, not each",
         {token_count{500'000}, token_count{500'000}},
         {micro_money{1}, micro_money{1}},
         1},
        {"more than the type can hold", {token_count{~0ULL}, {}}, {micro_money{most}, {}}, most},
    };
    for (const auto& row : rows) {
        INFO(row.what);
        CHECK(price(row.used, row.prices) == micro_money{row.expected});
    }
}

} // namespace reedramp::billing
