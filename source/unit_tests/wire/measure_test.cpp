#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <sys/resource.h>

#include "loopback.hpp"

/// Figures, not checks: run with `wire_test "[.measure]"`.
namespace reedramp::wire {

namespace {

using namespace testing;
using steady = std::chrono::steady_clock;

auto processor_seconds() -> double
{
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    constexpr double micro = 1e-6;
    return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
           micro * static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec);
}

auto seconds_since(steady::time_point start) -> double
{
    return std::chrono::duration<double>(steady::now() - start).count();
}

auto report(const char* name, double value, const char* unit) -> void
{
    std::cout << "METRIC " << name << " " << value << " " << unit << "\n";
}

/// An agent that answers at once, on the server's thread.
auto prompt_agent() -> messages::agent_service
{
    messages::agent_service agent;
    agent.run = [](const messages::run_request& /*request*/, const messages::run_sink& sink) {
        sink(finished(1));
        return std::make_shared<fake_run>();
    };
    return agent;
}

} // namespace

TEST_CASE("latency of a unary run", "[.measure]")
{
    constexpr int warm_up = 2000;
    constexpr int rounds = 20000;
    const auto server = start_server(prompt_agent());
    const auto client = rpc_client::create(client_defaults());
    const auto calls = client->agents();
    messages::run_request request;
    request.body = std::string(1024, 'x');
    std::vector<double> micros;
    micros.reserve(rounds);
    for (int round = 0; round < warm_up + rounds; ++round) {
        reader caller;
        const auto start = steady::now();
        calls.run(server->address(), request, caller.sink());
        REQUIRE(caller.wait_end());
        if (round >= warm_up) {
            micros.push_back(1e6 * seconds_since(start));
        }
    }
    std::ranges::sort(micros);
    report("wire_unary_run_p50_us", micros[micros.size() / 2], "us");
    report("wire_unary_run_p99_us", micros[micros.size() / 100 * 99], "us");
}

TEST_CASE("unary runs a second, 64 at a time", "[.measure]")
{
    constexpr int width = 64;
    constexpr int rounds = 1000;
    const auto server = start_server(prompt_agent());
    const auto client = rpc_client::create(client_defaults());
    const auto calls = client->agents();
    messages::run_request request;
    request.body = std::string(1024, 'x');
    const auto start = steady::now();
    const auto used = processor_seconds();
    for (int round = 0; round < rounds; ++round) {
        reader caller;
        for (int index = 0; index < width; ++index) {
            calls.run(server->address(), request, caller.sink());
        }
        for (int index = 0; index < width; ++index) {
            REQUIRE(caller.wait_end());
        }
    }
    constexpr double total = 1.0 * width * rounds;
    report("wire_unary_runs_per_s", total / seconds_since(start), "runs/s");
    report("wire_processor_us_per_run", 1e6 * (processor_seconds() - used) / total, "us");
}

TEST_CASE("tokens a second, 32 streams of single tokens", "[.measure]")
{
    constexpr int streams = 32;
    constexpr std::uint64_t count = 100'000;
    fake_agent agent;
    const auto server = start_server(agent.service());
    const auto client = rpc_client::create(client_defaults());
    std::atomic<std::uint64_t> taken = 0;
    std::atomic<std::uint64_t> events = 0;
    mailbox<bool> ends;
    for (int index = 0; index < streams; ++index) {
        client->agents().run(server->address(), {}, [&](const messages::run_event& event) {
            if (const auto* piece = std::get_if<messages::tokens_event>(&event)) {
                taken += piece->count;
                ++events;
                return;
            }
            ends.put(true);
        });
    }
    std::vector<std::shared_ptr<fake_run>> runs;
    runs.reserve(streams);
    for (int index = 0; index < streams; ++index) {
        runs.push_back(*agent.runs.take());
    }
    const auto start = steady::now();
    const auto used = processor_seconds();
    for (std::uint64_t index = 0; index < count; ++index) {
        for (const auto& run : runs) {
            run->sink(tokens(index, "token "));
        }
    }
    for (const auto& run : runs) {
        run->sink(finished(count));
    }
    for (int index = 0; index < streams; ++index) {
        REQUIRE(ends.take());
    }
    CHECK(taken == streams * count);
    const auto total = static_cast<double>(taken);
    report("wire_stream_tokens_per_s", total / seconds_since(start), "tokens/s");
    report("wire_processor_ns_per_token", 1e9 * (processor_seconds() - used) / total, "ns");
    report("wire_tokens_per_event", total / static_cast<double>(events), "tokens");
}

} // namespace reedramp::wire
