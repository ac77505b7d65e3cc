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
    explicit log_fixture(std::chrono::milliseconds idle_timeout = max_wait)
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

    auto records() -> std::vector<std::string>
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
    std::vector<std::string> records;
};

} // namespace

TEST_CASE("Appends over HTTP distinguish a refusal from a lost answer")
{
    // If the connection closes without an answer, the record may have been appended or not, so the
    // result has to be `append_unknown`. `log_unavailable` is only valid if the log has refused.
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
        log_fixture log;
        log.set_faults("log", row.faults);
        const std::vector<result_code> codes{log.append("a"), log.append("b"), log.append("c")};
        CHECK(codes == row.codes);
        log.set_faults("log", R"({"down":false,"error_rate_permille":0})");
        CHECK(log.records() == row.records);
    }
}

TEST_CASE("An append that is answered after the client's timeout has an unknown outcome")
{
    // The log appends the record immediately but answers after the client's timeout. If the client
    // reported a refusal, a second append would duplicate the record.
    log_fixture log(200ms);
    log.set_faults("log", R"({"slow_ms":60000})");
    CHECK(log.append("a") == result_code::append_unknown);
    log.set_faults("log", R"({"slow_ms":0})");
    CHECK(log.records() == std::vector<std::string>{"a"});
}

TEST_CASE("An append to a log that does not listen fails with log_unavailable")
{
    log_fixture log;
    log.started.value().reset();
    CHECK(log.append("a") == result_code::log_unavailable);
    CHECK(log.read(0).error().code == result_code::log_unavailable);
}

TEST_CASE("Appends above the rate limit are refused and not appended")
{
    log_fixture log;
    log.set_faults("log", R"({"appends_per_second":2})");
    std::size_t appended = 0;
    auto code = result_code::ok;
    constexpr std::size_t max_attempts = 1000;
    while (code == result_code::ok && appended < max_attempts) {
        code = log.append("x");
        appended += code == result_code::ok ? 1 : 0;
    }
    CHECK(code == result_code::log_unavailable);
    CHECK(log.records().size() == appended);
}

TEST_CASE("A read over HTTP of trimmed records fails, and the remaining records can be read")
{
    log_fixture log;
    for (const auto* data : {"a", "b", R"({"quoted":"\n"})"}) {
        REQUIRE(log.append(data) == result_code::ok);
    }
    log.set_faults("log", R"({"kept_records":1})");
    REQUIRE_FALSE(log.read(0));
    CHECK(log.read(0).error().code == result_code::log_trimmed);
    const auto rest = log.read(2);
    REQUIRE(rest);
    CHECK(rest->oldest == log_offset{3});
    CHECK(rest->head == log_offset{3});
    CHECK(rest->records.at(0).data == R"({"quoted":"\n"})");
}

TEST_CASE("A long poll over HTTP returns the record that it waits for")
{
    log_fixture log;
    const auto promise = std::make_shared<std::promise<common::result<platform::read_answer>>>();
    auto future = promise->get_future();
    log.hooks.read(
        stream, log_offset{0}, 20s, [promise](const auto& answer) { promise->set_value(answer); });
    REQUIRE(log.append("a") == result_code::ok);
    REQUIRE(future.wait_for(stand_in_fixture::max_wait) == std::future_status::ready);
    const auto answer = future.get();
    REQUIRE(answer);
    CHECK(answer->records.at(0).data == "a");
}
