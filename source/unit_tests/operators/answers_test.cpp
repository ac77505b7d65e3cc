#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "operators/answers.hpp"
#include "operators/requests.hpp"
#include "operators/views.hpp"

using namespace reedramp;
using namespace reedramp::operators;
using common::execution;
using common::result_code;

namespace {

auto problem(std::uint16_t status, const std::string& body) -> common::result<http::response>
{
    return http::response{status, {}, body};
}

auto lost(execution run) -> common::result<http::response>
{
    return tl::unexpected(common::error{result_code::peer_unavailable, run, "reset", std::nullopt});
}

} // namespace

TEST_CASE("A failed answer gives its result code and the exit code of the code's group")
{
    struct row {
        const char* name;
        common::result<http::response> answer;
        result_code code;
        execution run;
        int exit_code;
        bool ask_next;
    };

    const std::vector<row> rows = {
        {"conflict",
         problem(409, R"({"name":"conflict","execution":"not_run","detail":"by ann"})"),
         result_code::conflict,
         execution::not_run,
         5,
         false},
        {"key refused",
         problem(403, R"({"name":"operator_not_allowed","execution":"not_run"})"),
         result_code::operator_not_allowed,
         execution::not_run,
         5,
         false},
        {"log down",
         problem(503, R"({"name":"log_unavailable","execution":"not_run"})"),
         result_code::log_unavailable,
         execution::not_run,
         6,
         true},
        {"append unknown",
         problem(503, R"({"name":"append_unknown","execution":"unknown"})"),
         result_code::append_unknown,
         execution::unknown,
         6,
         true},
        {"an error whose execution differs from the table's",
         problem(503, R"({"name":"log_unavailable","execution":"unknown"})"),
         result_code::log_unavailable,
         execution::unknown,
         6,
         true},
        {"entry not ready",
         problem(503, R"({"name":"not_ready","execution":"not_run"})"),
         result_code::not_ready,
         execution::not_run,
         3,
         true},
        {"no connection",
         lost(execution::not_run),
         result_code::peer_unavailable,
         execution::not_run,
         6,
         true},
        // The record may be in the log, so `unknown` has to be kept.
        {"connection lost while waiting",
         lost(execution::unknown),
         result_code::peer_unavailable,
         execution::unknown,
         6,
         true},
        {"an error page of a proxy",
         problem(502, "<html>bad gateway</html>"),
         result_code::peer_unavailable,
         execution::not_run,
         6,
         true},
        {"a code of a later release",
         problem(418, R"({"name":"teapot"})"),
         result_code::peer_unavailable,
         execution::not_run,
         6,
         true},
    };
    for (const auto& row : rows) {
        INFO(row.name);
        const auto body = response_body(row.answer);
        REQUIRE_FALSE(body);
        CHECK(body.error().code == row.code);
        CHECK(body.error().run == row.run);
        CHECK(exit_code_of(body.error().code) == row.exit_code);
        CHECK(should_try_next_entry(body.error()) == row.ask_next);
    }
    CHECK(response_body(http::response{200, {}, "text"}).value() == "text");
    CHECK(exit_code_of(result_code::ok) == 0);
}

TEST_CASE("The health of a process is read from its own answer")
{
    const std::vector<std::pair<common::result<http::response>, std::string>> rows = {
        {problem(200, R"({"ready":true})"), "ready"},
        {problem(503, R"({"ready":false,"why":"leaving"})"), "LEAVING"},
        {problem(503, R"({"ready":false,"why":"no configuration yet"})"), "no configuration yet"},
        {problem(503, ""), "not ready"},
        {lost(execution::unknown), "NO ANSWER"},
    };
    for (const auto& [answer, word] : rows) {
        CHECK(health_text(answer) == word);
    }
}

TEST_CASE("The outcome of a publication is found in the history by the record's id")
{
    // The connection is lost after a record has reached the log. The operator must see the outcome
    // of the record instead of an error: another record would be a second change, and a refused
    // record must not be retried forever.
    const auto history = std::string(R"({"offset":9,"records":[
        {"id":"first","offset":3,"result":"ok","why":""},
        {"id":"second","offset":4,"result":"conflict","why":"version v1 was changed by ann"}]})");
    const auto first = find_record_outcome(history, common::record_id{"first"});
    REQUIRE(first);
    CHECK(first->value() == common::log_offset{3});
    const auto second = find_record_outcome(history, common::record_id{"second"});
    REQUIRE(second);
    CHECK(second->error().code == result_code::conflict);
    CHECK_THAT(second->error().detail, Catch::Contains("by ann"));
    CHECK_FALSE(find_record_outcome(history, common::record_id{"third"}));
    CHECK_FALSE(find_record_outcome("not JSON", common::record_id{"first"}));
}

TEST_CASE("An error message contains name, number, detail, and whether the effect is unknown")
{
    struct row {
        common::error error;
        const char* part;
        bool unknown;
    };

    const std::vector<row> rows = {
        {common::make_error(result_code::conflict, "by ann"), "conflict (500)", false},
        {common::make_error(result_code::append_unknown), "append_unknown (603)", true},
    };
    for (const auto& row : rows) {
        const auto text = error_text(row.error);
        CHECK_THAT(text, Catch::Contains(row.part) && Catch::Contains(row.error.detail));
        const auto says_unknown = text.find("not known") != std::string::npos;
        CHECK(says_unknown == row.unknown);
        CHECK_THAT(error_json(row.error), Catch::Contains(row.error.detail));
    }
}

TEST_CASE("Requests address their resource, and the key is in its header only")
{
    struct row {
        http::request request;
        const char* method;
        const char* target;
        const char* body;
    };

    const std::vector<row> rows = {
        {read_request("state"), "GET", "/admin/v1/state", ""},
        {withdraw_request(common::version_id{"v\"1"}),
         "POST",
         "/admin/v1/withdrawals",
         R"({"version":"v\"1"})"},
        {drain_request(), "POST", "/drain", ""},
        {metrics_request(), "GET", "/metrics", ""},
    };
    for (const auto& row : rows) {
        const auto sent = with_key(row.request, "the-secret");
        CHECK(sent.method == row.method);
        CHECK(sent.target == row.target);
        CHECK(sent.body == row.body);
        CHECK(http::find_header(sent.headers, "Authorization") == "Bearer the-secret");
    }
    inventory::record item;
    item.id = common::record_id{"r"};
    item.author = "ann";
    item.changes.emplace_back(inventory::withdraw_change{common::version_id{"v"}});
    const auto sent = publish_request(item);
    CHECK(sent.target == "/admin/v1/records");
    CHECK(inventory::parse_record(sent.body).value().id == item.id);
}
