#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "router/server_directives.hpp"

namespace reedramp::router::testing {

namespace {

auto words_of(std::vector<std::string> limits) -> server_directives
{
    http::response head;
    for (auto& one : limits) {
        head.headers.push_back({"reedramp-server-limit", std::move(one)});
    }
    return read_server_words(head, header_names{});
}

} // namespace

TEST_CASE("a server's limit is a number of zero or more", "[words]")
{
    CHECK_FALSE(words_of({}).limit);
    CHECK_FALSE(words_of({}).has_odd_limit);
    CHECK(words_of({"2.7"}).limit == 2.7);
    CHECK(words_of({"0"}).limit == 0.0);
    CHECK(words_of({"1e3"}).limit == 1000.0);
    for (const auto* odd : {"", " ", "-1", "nan", "inf", "1e999", "2.7/s", "2,7", "+1", "0x1p3"}) {
        INFO(odd);
        CHECK_FALSE(words_of({odd}).limit);
        CHECK(words_of({odd}).has_odd_limit);
    }
}

TEST_CASE("of two limits in one answer the smaller one counts", "[words]")
{
    CHECK(words_of({"3", "2"}).limit == 2.0);
    CHECK(words_of({"2", "3"}).limit == 2.0);
    CHECK(words_of({"many", "3"}).limit == 3.0);
}

TEST_CASE("rest is asked for by a refusal, in seconds", "[words]")
{
    const auto rest_of = [](std::uint16_t status, std::vector<std::string> values) {
        http::response head;
        head.status = status;
        for (auto& one : values) {
            head.headers.push_back({"retry-after", std::move(one)});
        }
        return read_server_words(head, header_names{});
    };
    CHECK(rest_of(503, {"3"}).rest == std::chrono::seconds{3});
    CHECK(rest_of(429, {"0.25"}).rest == std::chrono::milliseconds{250});
    CHECK(rest_of(503, {"0"}).rest == std::chrono::milliseconds{0});
    CHECK(rest_of(503, {"2", "5", "1"}).rest == std::chrono::seconds{5});
    CHECK(rest_of(503, {"1e300"}).rest == std::chrono::hours{1});
    CHECK_FALSE(rest_of(503, {}).rest);
    CHECK_FALSE(rest_of(200, {"3"}).rest);
    CHECK_FALSE(rest_of(500, {"3"}).rest);
    for (const auto* odd : {"", "-1", "soon", "Thu, 03 Dec 2026 10:00:00 GMT", "3 s"}) {
        INFO(odd);
        CHECK_FALSE(rest_of(503, {odd}).rest);
        CHECK(rest_of(503, {odd}).has_odd_rest);
    }
}

TEST_CASE("any bytes are a limit or none", "[words]")
{
    std::mt19937_64 random{1};
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes(random() % 12, '\0');
        for (auto& byte : bytes) {
            // Half of them from what numbers are made of.
            byte =
                random() % 2 == 0 ? "0123456789.e-+"[random() % 14] : static_cast<char>(random());
        }
        const auto words = words_of({bytes});
        CHECK(words.limit.has_value() != words.has_odd_limit);
        if (words.limit) {
            CHECK(*words.limit >= 0.0);
            CHECK(*words.limit < std::numeric_limits<double>::infinity());
        }
    }
}

} // namespace reedramp::router::testing
