#include <string>

#include <catch2/catch.hpp>

#include "platform/http_hosts.hpp"
#include "platform/http_ratings.hpp"
#include "platform/http_weights.hpp"
#include "stand_in_fixture.hpp"

using namespace reedramp;

TEST_CASE("The list of hosts over HTTP shows changes and outages")
{
    stand_in_fixture service(R"({"threads":1,"hosts":{"initial":[
        {"host":"h1","role":"entry","data_centre":"dc1"}]}})");
    const auto hooks = platform::make_http_hosts(service.client, service.where("hosts"));
    const auto list = [&] {
        return service.wait_for<std::vector<platform::host_entry>>(
            [&](auto done) { hooks.list(std::move(done)); });
    };
    const std::string row =
        R"({"host":"h2","role":"server","state":"leaving","rpc":"127.0.0.1:5"})";
    REQUIRE(service.call("hosts", "PUT", "/hosts/h2", row)->status == 200);
    CHECK(service.call("hosts", "PUT", "/hosts/h3", row)->status == 400);
    REQUIRE(service.call("hosts", "DELETE", "/hosts/h1", "")->status == 200);
    const auto rows = list();
    REQUIRE(rows);
    REQUIRE(rows->size() == 1);
    CHECK(rows->at(0).state == platform::host_state::leaving);
    CHECK(rows->at(0).rpc == "127.0.0.1:5");
    service.set_faults("hosts", R"({"down":true})");
    CHECK(list().error().code == common::result_code::platform_unavailable);
}

TEST_CASE("The rating service rates by version and task and gives wrong answers a low score")
{
    // An engine whose answers have become wrong still answers with status 200; only the ratings
    // show it.
    stand_in_fixture service(R"({"threads":1,"ratings":{"delay_ms":0,"bad_score":0.125,
        "quality":{"v1":{"tagging":0.75,"*":0.5}}}})");
    const auto hooks = platform::make_http_ratings(service.client, service.where("ratings"));
    hooks.submit({0, 1}, "[tagging] roof?", " t0@v1/1 t1");
    hooks.submit({0, 2}, "[drafting] letter", " t0@v1/1 t1");
    hooks.submit({0, 3}, "[tagging] roof?", " x0@v1/1 x1");
    hooks.submit({0, 4}, "[tagging] roof?", " t0@v1/1 t2");
    std::map<common::request_id, double> scores;
    std::uint64_t since = 0;
    while (scores.size() < 4) {
        const auto page = service.wait_for<platform::rating_page>(
            [&](auto done) { hooks.fetch(since, std::move(done)); });
        REQUIRE(page);
        for (const auto& made : page->ratings) {
            scores[made.request] = made.score;
        }
        since = page->next;
    }
    const std::map<common::request_id, double> expected{
        {{0, 1}, 0.75}, {{0, 2}, 0.5}, {{0, 3}, 0.125}, {{0, 4}, 0.125}};
    CHECK(scores == expected);
}

TEST_CASE("The weight store transfers at its rate and refuses further fetches")
{
    stand_in_fixture service(
        R"({"threads":1,"weights":{"bytes_per_second":1000,"longest_queue_ms":0}})");
    const auto hooks = platform::make_http_weights(service.client, service.where("weights"));
    const auto fetch = [&](std::uint64_t bytes) {
        return service.wait_for<platform::weight_answer>(
            [&](auto done) { hooks.fetch(common::version_id{"v1"}, bytes, std::move(done)); });
    };
    const auto done = fetch(1);
    REQUIRE(done);
    CHECK(done->fetched);
    hooks.fetch(common::version_id{"v1"}, 3'600'000, [](const auto&) {});
    const auto refused = fetch(1);
    REQUIRE(refused);
    CHECK_FALSE(refused->fetched);
    CHECK(refused->retry_after > std::chrono::seconds(3000));
}
