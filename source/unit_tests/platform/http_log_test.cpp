#include <future>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "platform/http_log.hpp"
#include "stand_in_fixture.hpp"

using namespace std::chrono_literals;
using namespace reedramp;
using common::log_offset;
using common::result_code;

namespace {

constexpr auto stream = "configuration";

struct log_fixture : stand_in_fixture {
    explicit log_fixture(std::chrono::milliseconds idle_timeout = longest_wait)
        : stand_in_fixture(R"({"threads":1,"log":{}})", idle_timeout),
          hooks(platform::make_http_log(this->client, {this->where("log"), idle_timeout, 100}))
    {
    }

    auto append(const std::string& data) -> result_code
    {
        const auto answer = wait_for<log_offset>(
            [&](auto done) { this->hooks.append(stream, data, std::move(done)); });
        return answer ? result_code::ok : answer.error().code;
    }

    auto read(std::uint64_t after) -> common::result<platform::read_answer>
    {
        return wait_for<platform::read_answer>(
            [&](auto done) { this->hooks.read(stream, log_offset{after}, 0ms, std::move(done)); });
    }

    auto kept() -> std::vector<std::string>
    {
        std::vector<std::string> data;
        const auto answer = this->read(0);
        REQUIRE(answer);
        for (const auto& record : answer->records) {
            data.push_back(record.data);
        }
        return data;
    }

    platform::log_hooks hooks;
};

struct fault_case {
    std::string name;
    std::string faults;
    std::vector<result_code> codes;
    std::vector<std::string> kept;
};

} // namespace

TEST_CASE("Appends over HTTP tell a refusal from an answer that was lost")
{
    // The connection closes after the record was taken, or before: both times the caller sees a
    // connection that ends without an answer, so it may only say `append_unknown`.
    // `log_unavailable` comes when the log itself has said no.
    constexpr auto ok = result_code::ok;
    constexpr auto unknown = result_code::append_unknown;
    constexpr auto unavailable = result_code::log_unavailable;
    const std::vector<fault_case> table{
        {"healthy", "{}", {ok, ok, ok}, {"a", "b", "c"}},
        {"down", R"({"down":true})", {unavailable, unavailable, unavailable}, {}},
        {"answer lost", R"({"lose_answer_every":2})", {ok, unknown, ok}, {"a", "b", "c"}},
        {"append lost", R"({"lose_append_every":2})", {ok, unknown, ok}, {"a", "c"}},
        {"failed", R"({"error_rate_permille":1000})", {unknown, unknown, unknown}, {}},
        {"slow", R"({"slow_ms":50})", {ok, ok, ok}, {"a", "b", "c"}},
    };
    for (const auto& row : table) {
        INFO(row.name);
        log_fixture given;
        given.set_faults("log", row.faults);
        const std::vector<result_code> codes{
            given.append("a"), given.append("b"), given.append("c")};
        CHECK(codes == row.codes);
        given.set_faults("log", R"({"down":false,"error_rate_permille":0})");
        CHECK(given.kept() == row.kept);
    }
}

TEST_CASE("An append to a log that answers too late is unknown, and the record is there")
{
    // The log takes the record at once but answers after the client's patience. The client must
    // not call that a refusal: a second append would double the record.
    log_fixture given(200ms);
    given.set_faults("log", R"({"slow_ms":60000})");
    CHECK(given.append("a") == result_code::append_unknown);
    given.set_faults("log", R"({"slow_ms":0})");
    CHECK(given.kept() == std::vector<std::string>{"a"});
}

TEST_CASE("An append to nobody was not run")
{
    log_fixture given;
    given.started.value().reset();
    CHECK(given.append("a") == result_code::log_unavailable);
    CHECK(given.read(0).error().code == result_code::log_unavailable);
}

TEST_CASE("Appends over the rate are refused, and what is refused is not there")
{
    log_fixture given;
    given.set_faults("log", R"({"appends_per_second":2})");
    std::size_t taken = 0;
    auto code = result_code::ok;
    constexpr std::size_t most_tries = 1000;
    while (code == result_code::ok && taken < most_tries) {
        code = given.append("x");
        taken += code == result_code::ok ? 1 : 0;
    }
    CHECK(code == result_code::log_unavailable);
    CHECK(given.kept().size() == taken);
}

TEST_CASE("A read over HTTP of a trimmed prefix says so, and the rest can be read")
{
    log_fixture given;
    for (const auto* data : {"a", "b", R"({"quoted":"\n"})"}) {
        REQUIRE(given.append(data) == result_code::ok);
    }
    given.set_faults("log", R"({"kept_records":1})");
    REQUIRE_FALSE(given.read(0));
    CHECK(given.read(0).error().code == result_code::log_trimmed);
    const auto rest = given.read(2);
    REQUIRE(rest);
    CHECK(rest->oldest == log_offset{3});
    CHECK(rest->head == log_offset{3});
    CHECK(rest->records.at(0).data == R"({"quoted":"\n"})");
}

TEST_CASE("A long poll over HTTP ends with the record it waits for")
{
    log_fixture given;
    const auto promise = std::make_shared<std::promise<common::result<platform::read_answer>>>();
    auto future = promise->get_future();
    given.hooks.read(
        stream, log_offset{0}, 20s, [promise](const auto& answer) { promise->set_value(answer); });
    REQUIRE(given.append("a") == result_code::ok);
    REQUIRE(future.wait_for(stand_in_fixture::longest_wait) == std::future_status::ready);
    const auto answer = future.get();
    REQUIRE(answer);
    CHECK(answer->records.at(0).data == "a");
}
