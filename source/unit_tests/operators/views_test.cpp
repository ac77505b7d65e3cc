#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "inventory/record.hpp"
#include "operators/text_table.hpp"
#include "operators/views.hpp"

using namespace reedramp;
using namespace reedramp::operators;
using common::result_code;
using parts = std::vector<std::string>;

namespace {

auto sample_state() -> inventory::state
{
    const auto* text = R"({"id":"first","author":"ann","base":0,"changes":[
        {"put":"model","value":{"id":"tag"}},
        {"put":"version","value":{"id":"tag-1","model":"tag","completion_price":400000}},
        {"put":"version","value":{"id":"tag-2","model":"tag","stage":"rollout"}},
        {"put":"version","value":{"id":"tag-3","model":"tag"}},
        {"put":"service","value":{"name":"portal","idempotent_methods":["GET"]}},
        {"put":"server","value":{"id":"engine-a","host":"host-a","data_centre":"dc-1",
            "region":"home","kind":"engine","versions":["tag-1","tag-2"]}},
        {"put":"organisation","value":{"id":"desk","models":["tag"]}},
        {"rollout":{"id":"r","model":"tag","from":"tag-1","to":"tag-2","share":125}}]})";
    const auto* withdrawal =
        R"({"id":"second","author":"ann","base":1,"changes":[{"withdraw":"tag-1"}]})";
    const auto first = inventory::check_record({}, inventory::parse_record(text).value());
    return inventory::check_record(first.value(), inventory::parse_record(withdrawal).value())
        .value();
}

const auto* const entry_one = R"({"host":"entry-1","ready":true,"offset":7,"current_for_ms":900,
    "in_flight":2,"answered":30,"retries":1,"refusals":{"queue_full":2,"conflict":1},
    "versions":{"tag-1":10,"tag-2":20}})";
const auto* const entry_two = R"({"host":"entry-2","ready":true,"offset":6,"current_for_ms":-5,
    "in_flight":0,"answered":10,"retries":0,"refusals":{"queue_full":3},"versions":{"tag-2":10},
    "withdrawn":["tag-3"]})";

auto sample_status() -> system_status
{
    system_status made;
    made.entries = {
        {"127.0.0.1:1", std::string(entry_one)},
        {"127.0.0.1:2", std::string(entry_two)},
        {"127.0.0.1:3", common::failure(result_code::peer_unavailable, "refused")}};
    made.state = sample_state();
    const platform::host_entry host{
        common::host_id{"host-a"},
        common::data_centre_id{"dc-1"},
        common::region_id{"home"},
        platform::host_role::server,
        platform::host_state::live,
        "",
        "127.0.0.1:4"};
    made.hosts = {{host, "LEAVING"}};
    made.bills = R"({"organisations":{"desk":{"requests":40,"cost_micro":1500000}}})";
    return made;
}

/// The line that starts with `first`, with runs of spaces replaced by one.
auto line_of(const std::string& text, const std::string& first) -> std::string
{
    const auto begin = ("\n" + text).find("\n" + first);
    if (begin == std::string::npos) {
        return "";
    }
    std::string made;
    for (const auto letter : text.substr(begin, text.find('\n', begin) - begin)) {
        if (letter != ' ' || made.back() != ' ') {
            made.push_back(letter);
        }
    }
    return made;
}

} // namespace

TEST_CASE("A table has columns as wide as their cells, and numbers are right-aligned")
{
    text_table table({"name", "count"});
    CHECK(table.text().empty());
    table.add({"a", "7"});
    table.add({"longer", "1234567"});
    table.add({"short of cells"});
    CHECK(
        table.text() == "name            count\n"
                        "a               7\n"
                        "longer          1234567\n"
                        "short of cells\n");
    text_table numbers({"n"});
    numbers.add({"7"});
    numbers.add({"125"});
    CHECK(numbers.text() == "  n\n  7\n125\n");
    CHECK(percent_text(125) == "12.5 %");
    CHECK(money_text(12500) == "0.012500");
    CHECK(money_text(-1500000) == "-1.500000");
}

TEST_CASE("The configuration is shown as a whole, by kind, or by entity")
{
    const auto current = sample_state();

    struct row {
        const char* kind;
        const char* id;
        std::string first;
        std::string line;
    };

    const std::vector<row> rows = {
        {"", "", "revision", "revision 2"},
        {"", "", "desk", "desk 0 tag any 1"},
        {"version", "", "tag-1", "tag-1 tag withdrawn 0.000000 0.400000 1"},
        {"version", "", "tag-2", "tag-2 tag rollout 0.000000 0.000000 1"},
        {"server", "", "engine-a", "engine-a host-a dc-1 home engine tag-1 tag-2 1"},
        {"service", "", "portal", "portal GET 1"},
        {"rollout", "", "r ", "r tag tag-1 tag-2 12.5 % 0 running 1"},
    };
    for (const auto& row : rows) {
        const auto text = state_text(current, row.kind, row.id);
        REQUIRE(text);
        INFO(*text);
        CHECK(line_of(*text, row.first) == row.line);
    }
    CHECK_THAT(state_text(current, "model", "tag").value(), Catch::Contains(R"("id":"tag")"));
    CHECK(state_text(current, "planet").error().code == result_code::not_found);
    CHECK(state_text(current, "model", "x").error().code == result_code::not_found);
}

TEST_CASE("The status sums the counts of all entries and shows an entry that does not answer")
{
    const auto text = status_text(sample_status());
    const std::vector<std::pair<std::string, std::string>> rows = {
        {"127.0.0.1:1", "127.0.0.1:1 entry-1 yes 7 900 ms 2 30 1"},
        {"127.0.0.1:2", "127.0.0.1:2 entry-2 yes 6 STALE 0 10 0"},
        {"127.0.0.1:3", "127.0.0.1:3 peer_unavailable"},
        {"host-a", "host-a server dc-1 home live LEAVING 127.0.0.1:4"},
        {"engine-a", "engine-a host-a dc-1 home engine tag-1 tag-2 1"},
        {"tag-1", "tag-1 tag WITHDRAWN 10 25.0 %"},
        {"tag-2", "tag-2 tag rollout 30 75.0 %"},
        // Withdrawn at one entry while the log is unavailable.
        {"tag-3", "tag-3 tag WITHDRAWN 0 0.0 %"},
        {"r ", "r tag tag-1 tag-2 12.5 % 0 running 1"},
        {"queue_full", "queue_full 5"},
        {"conflict", "conflict 1"},
        {"desk", "desk 40 1.500000"},
    };
    INFO(text);
    for (const auto& [first, line] : rows) {
        CHECK(line_of(text, first) == line);
    }
    const auto as_json = status_json(sample_status());
    for (const auto* part : {R"("peer_unavailable")", R"("says":"LEAVING")", R"("queue_full":3)"}) {
        CHECK_THAT(as_json, Catch::Contains(part));
    }
    CHECK_FALSE(status_text({{{"127.0.0.1:1", std::string("{}")}}, {}, {}, {}}).empty());
}

TEST_CASE("Answers of entries are shown as tables, and malformed ones cause no error")
{
    struct row {
        std::string text;
        parts contained;
    };

    const auto* const history = R"({"offset":4,"records":[
        {"id":"a","offset":2,"author":"ann","result":"ok","why":"","touched":["model m"]},
        {"id":"b","offset":3,"author":"bob","result":"conflict","why":"by ann"}],
        "problems":[{"id":"b","offset":3,"author":"bob","result":"conflict","why":"by ann"}]})";
    const auto* const bills = R"({"requests":3,"lines":4,"cost_micro":2500000,"repeated":1,
        "malformed":0,"organisations":{"desk":{"requests":3,"lines":4,"prompt_tokens":10,
        "completion_tokens":20,"cost_micro":2500000}},"versions":{"v1":{"requests":3}}})";
    const auto* const explanation = R"({"request":"ab","organisation":"desk","configuration":4,
        "result":"ok","execution":"ran","steps":[{"what":"server","chosen":"engine-a",
        "reason":"least wait","runner_up":"engine-b"}]})";
    const std::vector<row> rows = {
        {history_text(history, 9), {"revision 4", "model m", "by ann", "refused or unreadable"}},
        {history_text("[]", 9), {"revision 0"}},
        {bills_text(bills), {"desk", "2.500000", "3 requests", "repeated bills 1", "v1"}},
        {bills_text("{"), {"0 requests"}},
        {explanation_text(explanation), {"configuration 4", "engine-a", "least wait", "engine-b"}},
        {explanation_text("{}"), {"request"}},
    };
    for (const auto& row : rows) {
        for (const auto& part : row.contained) {
            CHECK_THAT(row.text, Catch::Contains(part));
        }
    }
    CHECK_THAT(history_text(history, 1), !Catch::Contains("model m"));
}
