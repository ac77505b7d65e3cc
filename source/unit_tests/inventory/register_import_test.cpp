#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "fixture.hpp"
#include "inventory/register_import.hpp"

using namespace reedramp::inventory;
using namespace reedramp::inventory::testing;

namespace {

const std::string header = "asset,kind,host,data_centre,region,versions,service,checks_fencing\n";

auto current_state() -> state
{
    return folded(
        {first_record(),
         record_text(
             "a",
             1,
             R"({"put":"service","value":{"name":"quotes"}},)"
             R"({"put":"server","value":{"id":"e1","host":"h1","data_centre":"d","region":"r",)"
             R"("versions":["v1"]}},)"
             R"({"put":"server","value":{"id":"old","host":"h0","data_centre":"d","region":"r"}})")});
}

struct import_row {
    const char* name;
    std::string csv;
    /// Part of the error.
    const char* problem;
};

const std::vector<import_row> import_rows = {
    {"a column is missing", "asset,kind\n", "lacks columns: host, data_centre, region"},
    {"empty file", "", "lacks columns"},
    {"unknown version", header + "e1,engine,h1,d,r,v1;v9,,\n", "line 2: there is no version v9"},
    {"unknown service", header + "q1,service,h1,d,r,,x,\n", "line 2: there is no service x"},
    {"the same id twice",
     header + "e1,engine,h1,d,r,v1,,\n\ne1,engine,h2,d,r,v1,,\n",
     "line 4: id e1 occurs more than once"},
    {"no host", header + "e1,engine,,d,r,v1,,\n", "line 2: a server needs an id and a host"},
    {"a value other than yes or no",
     header + "e1,engine,h1,d,r,v1,,maybe\n",
     "yes or no, not maybe"},
    {"a short row", header + "e1,engine\n", "line 2"},
    {"an open quote", header + "e1,engine,\"h1,d,r,v1,,\n", "line 2"},
};

auto read_file(const std::string& name) -> std::string
{
    std::ifstream file(std::string(REEDRAMP_EXAMPLES) + "/" + name);
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("a register with problems is refused with all of them", "[import]")
{
    for (const auto& row : import_rows) {
        INFO(row.name);
        const auto made = import_register(row.csv, {}, current_state());
        REQUIRE_FALSE(made);
        CHECK_THAT(made.error().detail, Catch::Contains(row.problem));
    }
}

TEST_CASE("a register is converted to changes that the inventory accepts", "[import]")
{
    const auto current = current_state();
    const auto made = import_register(
        header + "e1,engine,h1,d,r,v1,,no\r\n"
                 "\"e2\",engine,\"h2\",\"d\",r, v1 ; v2 ,,yes\n"
                 "q1,service,h3,d,r,,quotes,\n"
                 "chair-7,furniture,,,,,,\n",
        {},
        current);
    REQUIRE(made);
    CHECK(made->unchanged == 1);
    CHECK(made->skipped == 1);
    record item{reedramp::common::record_id{"i"}, "anna", {}, current.offset, made->changes};
    const auto after = check_record(current, item);
    REQUIRE(after);
    CHECK(after->servers.size() == 3);
    const auto& e2 = after->servers.at(reedramp::common::server_id{"e2"});
    CHECK(e2.versions == std::vector{version_id{"v1"}, version_id{"v2"}});
    CHECK(e2.checks_fencing);
    CHECK_FALSE(after->servers.contains(reedramp::common::server_id{"old"}));
}

TEST_CASE("the examples load, and their registers agree with them", "[import]")
{
    for (const std::string name : {"steinhauser", "abay"}) {
        INFO(name);
        const auto item = parse_record(read_file(name + ".json"));
        REQUIRE(item);
        const auto loaded = check_record(state{}, *item);
        REQUIRE(loaded);
        const auto again = import_register(read_file(name + "-assets.csv"), {}, *loaded);
        REQUIRE(again);
        CHECK(again->changes.empty());
        CHECK(again->unchanged == loaded->servers.size());
        CHECK(loaded->organisations.size() == 10);
        CHECK(loaded->key_owners.size() >= 10);
    }
}
