#include "common/result.hpp"

#include <fstream>
#include <set>
#include <sstream>

#include <catch2/catch.hpp>

using namespace reedramp::common;

TEST_CASE("numbers and names of result codes are unique, and each has a row")
{
    std::set<result_code> codes;
    std::set<std::string_view> names;
    for (const auto& row : result_table()) {
        CHECK(codes.insert(row.code).second);
        CHECK(names.insert(row.name).second);
        CHECK(row_of(row.code).name == row.name);
        CHECK(row.http_status >= 200);
    }
    CHECK(row_of(static_cast<result_code>(12345)).code == result_code::internal_error);
}

TEST_CASE("the page of result codes holds the table as it is in the code")
{
    std::ifstream page(DOCS_FOLDER "/RESULT_CODES.md");
    std::stringstream text;
    text << page.rdbuf();
    INFO("`reedramp-ctl result-codes` prints the table as it should be");
    CHECK(text.str().find(result_table_markdown()) != std::string::npos);
}
