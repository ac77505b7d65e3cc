#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "operators/revision_watch.hpp"

using namespace reedramp;
using namespace reedramp::operators;
using namespace std::chrono_literals;
using common::host_id;
using common::log_offset;
using common::result_code;
using platform::host_role;
using platform::host_state;

namespace {

const common::time_point begin{1h};

auto host(const std::string& name, host_role role, const std::string& http = "127.0.0.1:1")
    -> platform::host_entry
{
    return {
        host_id{name},
        common::data_centre_id{"dc-1"},
        common::region_id{"home"},
        role,
        host_state::live,
        "127.0.0.1:2",
        http};
}

auto metrics(std::uint64_t offset) -> common::result<std::string>
{
    return "# HELP reedramp_agent_configuration_offset Offset\n"
           "reedramp_agent_queued 3\nreedramp_agent_configuration_offset " +
           std::to_string(offset) + "\n";
}

auto failed_query() -> common::result<std::string>
{
    return common::failure(result_code::peer_unavailable, "no answer");
}

} // namespace

TEST_CASE("The offset in force is read from the metrics of entries and agents")
{
    struct row {
        std::string text;
        std::optional<std::uint64_t> offset;
    };

    const std::vector<row> rows = {
        {metrics(17).value(), 17},
        {"reedramp_entry_configuration_offset 5", 5},
        {"reedramp_entry_configuration_offset 1.2e+06\n", 1200000},
        {"# TYPE reedramp_entry_configuration_offset gauge\n", std::nullopt},
        {"reedramp_entry_in_flight 5\n", std::nullopt},
        {"reedramp_entry_configuration_offset much\n", std::nullopt},
        {"", std::nullopt},
    };
    for (const auto& row : rows) {
        INFO(row.text);
        const auto read = parse_configuration_offset(row.text);
        CHECK(read.has_value() == row.offset.has_value());
        if (read && row.offset) {
            CHECK(read->value() == *row.offset);
        }
    }
    CHECK(parse_status_offset(R"({"offset":12})") == log_offset{12});
    CHECK(parse_status_offset("<html>") == log_offset{0});
}

TEST_CASE("A revision is a whole number")
{
    CHECK(parse_revision("12").value() == log_offset{12});
    for (const auto* text : {"", "x", "12x", "-1", "1.5", "99999999999999999999999"}) {
        INFO(text);
        CHECK(parse_revision(text).error().code == result_code::malformed_request);
    }
}

TEST_CASE(
    "A watch is complete when all live processes have the revision, and lists the slowest first")
{
    revision_watch progress(log_offset{5}, begin);
    CHECK_FALSE(progress.complete());
    progress.update_hosts({host("entry-1", host_role::entry), host("host-a", host_role::server)});
    progress.apply_metrics(host_id{"entry-1"}, metrics(5), begin + 20ms);
    progress.apply_metrics(host_id{"host-a"}, metrics(4), begin + 20ms);
    CHECK(progress.pending_processes().size() == 1);
    CHECK_FALSE(progress.complete());
    CHECK(progress.outcome().error().code == result_code::stale_configuration);
    CHECK_THAT(progress.outcome().error().detail, Catch::Contains("host-a"));
    progress.apply_metrics(host_id{"host-a"}, metrics(6), begin + 70ms);
    // Later answers do not change the time.
    progress.apply_metrics(host_id{"entry-1"}, metrics(7), begin + 90ms);
    CHECK(progress.complete());
    CHECK(progress.outcome().has_value());
    const auto text = progress.text();
    CHECK(text.find("host-a") < text.find("entry-1"));
    CHECK_THAT(text, Catch::Contains("70") && Catch::Contains("2 of 2 processes"));
    CHECK_THAT(progress.json(), Catch::Contains(R"("complete":true)"));
}

TEST_CASE("A watch follows changes of the host list")
{
    // A host is replaced during the watch: its old process never answers again, and the new one
    // starts without a configuration. The watch must wait for the new process only, not for the old
    // one or for hosts that left the list.
    struct row {
        const char* name;
        std::vector<platform::host_entry> next;
        std::size_t size;
        std::size_t in_force_count;
        result_code outcome;
    };

    auto leaving = host("host-a", host_role::server);
    leaving.state = host_state::leaving;
    const auto entry = host("entry-1", host_role::entry);
    const auto agent = host("host-a", host_role::server);
    const std::vector<row> rows = {
        {"still not answering", {entry, agent}, 2, 1, result_code::peer_unavailable},
        {"removed", {entry}, 1, 1, result_code::ok},
        {"leaving", {entry, leaving}, 1, 1, result_code::ok},
        {"the other was replaced",
         {host("entry-1", host_role::entry, "127.0.0.1:9")},
         1,
         0,
         result_code::stale_configuration},
        {"list empty", {}, 0, 0, result_code::peer_unavailable},
    };
    for (const auto& row : rows) {
        INFO(row.name);
        revision_watch progress(log_offset{5}, begin);
        progress.update_hosts({entry, agent});
        progress.apply_metrics(host_id{"entry-1"}, metrics(5), begin);
        progress.apply_metrics(host_id{"host-a"}, failed_query(), begin);
        progress.update_hosts(row.next);
        CHECK(progress.size() == row.size);
        CHECK(progress.in_force_count() == row.in_force_count);
        const auto outcome = progress.outcome();
        CHECK((outcome ? result_code::ok : outcome.error().code) == row.outcome);
    }
}

TEST_CASE("The error of a watch with many pending processes lists a few of them")
{
    revision_watch progress(log_offset{5}, begin);
    std::vector<platform::host_entry> rows;
    for (int index = 0; index < 12; ++index) {
        rows.push_back(host("h" + std::to_string(index), host_role::server));
    }
    progress.update_hosts(rows);
    const auto detail = progress.outcome().error().detail;
    CHECK_THAT(detail, Catch::Contains("h0, ") && Catch::EndsWith(", and 2 more"));
}
