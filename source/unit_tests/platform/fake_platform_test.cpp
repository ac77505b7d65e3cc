#include <vector>

#include <catch2/catch.hpp>

#include "platform/fake_platform.hpp"
#include "platform/fake_time.hpp"
#include "platform/http_hosts.hpp"

using namespace std::chrono_literals;
using namespace reedramp;

TEST_CASE("Timers run in order of time and then of addition, also if added by a timer")
{
    platform::fake_time time;
    std::vector<int> order;
    const auto start = time.now();
    time.at(start + 2s, [&order] { order.push_back(3); });
    time.at(start + 1s, [&] {
        order.push_back(1);
        time.at(start + 1s, [&order] { order.push_back(2); });
    });
    time.at(start + 2s, [&order] { order.push_back(4); });
    time.run_for(2s);
    CHECK(order == std::vector<int>{1, 2, 3, 4});
    CHECK(time.now() == start + 2s);
}

TEST_CASE("The list of hosts shows a change after the lag")
{
    // As in the platform's list, a removed host stays listed for a while.
    platform::fake_time time;
    platform::fake_hosts hosts(time.clock(), time.timers());
    platform::host_entry entry;
    entry.host = common::host_id{"h1"};
    hosts.put(entry);
    hosts.set_lag(3s);
    hosts.remove(entry.host);
    time.run_for(2s);
    CHECK(hosts.visible().size() == 1);
    time.run_for(1s);
    CHECK(hosts.visible().empty());
}

TEST_CASE("Ratings are delayed or missing, and pages continue where the previous one ended")
{
    platform::fake_time time;
    platform::fake_ratings ratings(
        time.clock(), time.timers(), [](const auto& submitted) -> std::optional<double> {
            if (submitted.answer.empty()) {
                return std::nullopt;
            }
            return submitted.answer == "good" ? 1.5 : 0.25;
        });
    ratings.set_delay(10s);
    ratings.submit({{0, 1}, "q", "good"});
    ratings.submit({{0, 2}, "q", ""});
    time.run_for(9s);
    CHECK(ratings.page_after(0).ratings.empty());
    time.run_for(1s);
    ratings.submit({{0, 3}, "q", "poor"});
    time.run_for(10s);
    const auto first = ratings.page_after(0);
    REQUIRE(first.ratings.size() == 2);
    CHECK(first.ratings[0].score == 1.0);
    CHECK(first.ratings[1].request == common::request_id{0, 3});
    CHECK(ratings.page_after(first.next).ratings.empty());
    CHECK(ratings.submitted_count() == 3);
}

TEST_CASE("A host's row is parsed as it was formatted, and an invalid row is rejected")
{
    platform::host_entry entry;
    entry.host = common::host_id{"h1"};
    entry.data_centre = common::data_centre_id{"dc1"};
    entry.role = platform::host_role::server;
    entry.state = platform::host_state::leaving;
    entry.rpc = "127.0.0.1:1";
    const auto parsed = platform::parse_hosts(platform::format_hosts({entry}));
    REQUIRE(parsed);
    CHECK(platform::format_host(parsed->at(0)) == platform::format_host(entry));
    for (const auto* bad :
         {"", "[]", R"({"hosts":[1]})", R"({"hosts":[{"host":"h","role":"x","state":"live"}]})"}) {
        INFO(bad);
        CHECK_FALSE(platform::parse_hosts(bad));
    }
}
