#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "router/server_directives.hpp"

namespace reedramp::router::testing {

namespace {

auto directives_of(std::vector<std::string> limits) -> server_directives
{
    http::response head;
    for (auto& one : limits) {
        head.headers.push_back({"reedramp-server-limit", std::move(one)});
    }
    return read_server_directives(head, header_names{});
}

} // namespace

TEST_CASE("a server's limit is a number of at least zero", "[words]")
{
    CHECK_FALSE(directives_of({}).limit);
    CHECK_FALSE(directives_of({}).has_malformed_limit);
    CHECK(directives_of({"2.7"}).limit == 2.7);
    CHECK(directives_of({"0"}).limit == 0.0);
    CHECK(directives_of({"1e3"}).limit == 1000.0);
    for (const auto* malformed :
         {"", " ", "-1", "nan", "inf", "1e999", "2.7/s", "2,7", "+1", "0x1p3"}) {
        INFO(malformed);
        CHECK_FALSE(directives_of({malformed}).limit);
        CHECK(directives_of({malformed}).has_malformed_limit);
    }
}

TEST_CASE("of two limits in one response the smaller one counts", "[words]")
{
    CHECK(directives_of({"3", "2"}).limit == 2.0);
    CHECK(directives_of({"2", "3"}).limit == 2.0);
    CHECK(directives_of({"many", "3"}).limit == 3.0);
}

TEST_CASE("a refusal asks for a backoff in seconds", "[words]")
{
    const auto backoff_of = [](std::uint16_t status, std::vector<std::string> values) {
        http::response head;
        head.status = status;
        for (auto& one : values) {
            head.headers.push_back({"retry-after", std::move(one)});
        }
        return read_server_directives(head, header_names{});
    };
    CHECK(backoff_of(503, {"3"}).backoff == std::chrono::seconds{3});
    CHECK(backoff_of(429, {"0.25"}).backoff == std::chrono::milliseconds{250});
    CHECK(backoff_of(503, {"0"}).backoff == std::chrono::milliseconds{0});
    CHECK(backoff_of(503, {"2", "5", "1"}).backoff == std::chrono::seconds{5});
    CHECK(backoff_of(503, {"1e300"}).backoff == std::chrono::hours{1});
    CHECK_FALSE(backoff_of(503, {}).backoff);
    CHECK_FALSE(backoff_of(200, {"3"}).backoff);
    CHECK_FALSE(backoff_of(500, {"3"}).backoff);
    for (const auto* malformed : {"", "-1", "soon", "Thu, 03 Dec 2026 10:00:00 GMT", "3 s"}) {
        INFO(malformed);
        CHECK_FALSE(backoff_of(503, {malformed}).backoff);
        CHECK(backoff_of(503, {malformed}).has_malformed_backoff);
    }
}

TEST_CASE("any bytes are either a valid limit or malformed", "[words]")
{
    std::mt19937_64 random{1};
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes(random() % 12, '\0');
        for (auto& byte : bytes) {
            // Half of the bytes are characters of numbers.
            byte =
                random() % 2 == 0 ? "0123456789.e-+"[random() % 14] : static_cast<char>(random());
        }
        const auto directives = directives_of({bytes});
        CHECK(directives.limit.has_value() != directives.has_malformed_limit);
        if (directives.limit) {
            CHECK(*directives.limit >= 0.0);
            CHECK(*directives.limit < std::numeric_limits<double>::infinity());
        }
    }
}

} // namespace reedramp::router::testing
