#include <catch2/catch.hpp>

#include "routing/server_limits.hpp"

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const server_instance server{common::server_id{"s"}};
constexpr time_point begin{seconds{1000}};

} // namespace

TEST_CASE("a server's limit holds until a response without one", "[limits]")
{
    server_limits limits;
    CHECK(limits.note(server, std::nullopt, begin) == limit_change::none);
    CHECK(limits.note(server, 2.7, begin) == limit_change::imposed);
    CHECK(limits.note(server, 2.8, begin + seconds{1}) == limit_change::none);
    CHECK(limits.per_second(server) == 2.8);
    CHECK(limits.note(server, 5.0, begin + seconds{2}) == limit_change::changed);
    CHECK(limits.note(server, std::nullopt, begin + seconds{3}) == limit_change::lifted);
    CHECK_FALSE(limits.per_second(server));
    CHECK(limits.note(server, std::nullopt, begin + seconds{4}) == limit_change::none);
}

TEST_CASE("the newest response counts, whichever entry received it", "[limits]")
{
    server_limits here;
    server_limits there;
    there.note(server, 2.0, begin);
    const auto old_reports = there.make_reports(begin + milliseconds{10});
    there.note(server, std::nullopt, begin + milliseconds{20});
    const auto new_reports = there.make_reports(begin + milliseconds{30});
    REQUIRE(old_reports.size() == 1);
    REQUIRE(new_reports.size() == 1);

    CHECK(here.apply_report(old_reports[0], begin + milliseconds{12}) == limit_change::imposed);
    CHECK(here.apply_report(new_reports[0], begin + milliseconds{32}) == limit_change::lifted);
    // The same old report again, on a slower path.
    auto late = old_reports[0];
    late.age = milliseconds{40};
    CHECK(here.apply_report(late, begin + milliseconds{42}) == limit_change::none);
    CHECK_FALSE(here.per_second(server));
}

TEST_CASE("neither received reports nor old ones are sent", "[limits]")
{
    server_limits limits;
    limits.apply_report({hash_of(server), 2.0, milliseconds{5}}, begin);
    CHECK(limits.per_second(server) == 2.0);
    CHECK(limits.make_reports(begin).empty());
    limits.note(server, 2.0, begin + seconds{1});
    CHECK(limits.make_reports(begin + seconds{2}).size() == 1);
    CHECK(limits.make_reports(begin + minutes{1}).empty());
    CHECK(limits.per_second(server) == 2.0);
    limits.forget_old(begin + minutes{10});
    CHECK_FALSE(limits.per_second(server));
}

TEST_CASE("a later instance of a server does not inherit the limit", "[limits]")
{
    server_limits limits;
    limits.note(server, 1.0, begin);
    CHECK_FALSE(limits.per_second({server.id, start_time{7}}));
}

TEST_CASE("the newest limits are reported first, and only a few at a time", "[limits]")
{
    server_limits limits;
    for (int i = 0; i < 200; ++i) {
        limits.note({common::server_id{std::to_string(i)}}, 1.0, begin + milliseconds{i});
    }
    const auto reports = limits.make_reports(begin + seconds{1});
    REQUIRE(reports.size() == 32);
    CHECK(reports.front().server == hash_of(server_instance{common::server_id{"199"}}));
}

} // namespace reedramp::routing
