#include <catch2/catch.hpp>

#include "settings/schema.hpp"

using namespace reedramp::settings;

namespace {

auto sample_schema() -> schema
{
    return {
        {.path = "http.listen", .type = value_type::address, .doc = "Where callers come in."},
        {.path = "http.idle",
         .type = value_type::time,
         .doc = "Idle time.",
         .fallback = std::int64_t{500},
         .unit = "ms",
         .lowest = 1,
         .highest = 1000},
        {.path = "share", .type = value_type::real, .fallback = 0.5, .lowest = 0, .highest = 1},
        {.path = "tls", .type = value_type::boolean, .fallback = false},
        {.path = "mode",
         .type = value_type::text,
         .fallback = std::string{"a"},
         .choices = {"a", "b"}},
        {.path = "peers", .type = value_type::address_list, .fallback = text_list{}, .highest = 2},
        {.path = "names", .type = value_type::text_list, .fallback = text_list{}},
        {.path = "keys.ring", .type = value_type::text_map, .fallback = text_map{}, .secret = true},
    };
}

struct bad_file {
    std::string text;
    std::vector<std::string> problems;
};

} // namespace

TEST_CASE("good settings give typed values, and defaults for what is absent")
{
    const auto read = parse(sample_schema(), R"({
        "http": {"listen": "[::1]:0", "idle": 7}, "share": 1, "mode": "b",
        "peers": ["127.0.0.1:80"], "names": ["x", "y"], "keys": {"ring": {"k1": "s"}}})");
    REQUIRE(read);
    CHECK(read->text("http.listen") == "[::1]:0");
    CHECK(read->milliseconds("http.idle") == std::chrono::milliseconds{7});
    CHECK(read->size("http.idle") == 7);
    CHECK(read->real("share") == 1.0);
    CHECK_FALSE(read->boolean("tls"));
    CHECK(read->text("mode") == "b");
    CHECK(read->texts("peers") == text_list{"127.0.0.1:80"});
    CHECK(read->texts("names") == text_list{"x", "y"});
    CHECK(read->map("keys.ring") == text_map{{"k1", "s"}});
    CHECK_THROWS_AS(read->text("share"), std::logic_error);
    CHECK_THROWS_AS(read->integer("absent"), std::logic_error);
}

TEST_CASE("a time is read in each form that operators write")
{
    // One installation's bound is "8", the next one's "8.5000". The second was refused as no
    // integer, and no entry started there.
    const std::vector<std::pair<std::string, int>> rows{
        {"7", 7},
        {"7.4", 7},
        {"7.5", 8},
        {"\"7 ms\"", 7},
        {"\"7ms\"", 7},
        {"\"0.5000 s\"", 500},
        {"\"1 s\"", 1000},
        {"\"0.0005 s\"", 1},
    };
    for (const auto& [form, wanted] : rows) {
        INFO(form);
        const auto read =
            parse(sample_schema(), R"({"http":{"listen":"[::1]:0","idle":)" + form + "}}");
        REQUIRE(read);
        CHECK(read->milliseconds("http.idle").count() == wanted);
    }
}

TEST_CASE("every problem of a file is listed with its path")
{
    const std::string listen = R"("http":{"listen":"127.0.0.1:1"})";
    const auto rows = std::vector<bad_file>{
        {"", {"$: is not JSON: incomplete JSON"}},
        {"[]", {"$: has to be an object"}},
        {"{}", {"$.http.listen: is missing"}},
        {R"({"http":3})", {"$.http: has to be an object", "$.http.listen: is missing"}},
        {R"({"http":{"listen":"localhost:80"}})",
         {"$.http.listen: has to be an address like 127.0.0.1:8080"}},
        {R"({"http":{"listen":"127.0.0.1:70000"}})",
         {"$.http.listen: has to be an address like 127.0.0.1:8080"}},
        {R"({"http":{"listen":"::1:80"}})",
         {"$.http.listen: has to be an address like 127.0.0.1:8080"}},
        {R"({"http":{"listen":7}})", {"$.http.listen: has to be a string"}},
        {R"({"http":{"listen":"127.0.0.1:1","idle":0,"idel":1},"share":2,"tls":1,"mode":"c",)"
         R"("peers":["x"],"names":[1],"keys":{"ring":{"k":1}},"extra":null})",
         {"$.extra: is not a known key",
          "$.http.idel: is not a known key",
          "$.http.idle: is 0, has to be from 1 to 1000 ms",
          "$.keys.ring: member k has to be a string",
          "$.mode: has to be one of a, b",
          "$.names: has to be an array of strings",
          "$.peers: member 0 has to be an address like 127.0.0.1:8080",
          "$.share: is 2, it has to be at most 1",
          "$.tls: has to be true or false"}},
        {"{" + listen + R"(,"peers":["1.1.1.1:1","1.1.1.1:2","1.1.1.1:3"]})",
         {"$.peers: its length has to be at most 2"}},
        {"{" + listen + R"(,"share":"x","keys":{"ring":[]}})",
         {"$.keys.ring: has to be an object of strings", "$.share: has to be a number"}},
        {R"({"http":{"listen":"127.0.0.1:1","idle":true}})",
         {"$.http.idle: has to be a number of ms, or a time like \"8.5 s\""}},
        {R"({"http":{"listen":"127.0.0.1:1","idle":" s"}})",
         {"$.http.idle: is  s, has to be a number of ms, or a time like \"8.5 s\""}},
        {R"({"http":{"listen":"127.0.0.1:1","idle":"5 h"}})",
         {"$.http.idle: is 5 h, has to be a number of ms, or a time like \"8.5 s\""}},
        {R"({"http":{"listen":"127.0.0.1:1","idle":"1.01 s"}})",
         {"$.http.idle: is 1.01 s, has to be from 1 to 1000 ms"}},
        {R"({"http":{"listen":"127.0.0.1:1","idle":1e300}})",
         {"$.http.idle: is 1e+300, has to be from 1 to 1000 ms"}},
        {R"({"http":{"listen":"127.0.0.1:1"},"share":0.5,"tls":1.5})",
         {"$.tls: has to be true or false"}},
    };
    for (const auto& row : rows) {
        INFO(row.text);
        const auto read = parse(sample_schema(), row.text);
        REQUIRE_FALSE(read);
        std::vector<std::string> found;
        for (const auto& problem : read.error()) {
            found.push_back(to_string(problem));
        }
        CHECK(found == row.problems);
    }
}

TEST_CASE("the table for the docs names every key with unit, range and default")
{
    const auto table = markdown_table(sample_schema());
    CHECK(
        table.find("| `http.listen` | IP:port |  |  | needed | Where callers come in. |") !=
        std::string::npos);
    CHECK(
        table.find("| `http.idle` | time | ms | from 1 to 1000 | 500 | Idle time. |") !=
        std::string::npos);
}
