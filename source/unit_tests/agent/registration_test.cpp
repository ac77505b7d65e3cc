#include <catch2/catch.hpp>

#include <optional>

#include "agent/registration.hpp"
#include "platform/fake_log.hpp"
#include "platform/fake_time.hpp"

namespace reedramp::agent {

using namespace std::chrono_literals;

TEST_CASE("An agent's incarnation is unique across restarts")
{
    // If two agent processes had the same incarnation, a call could run twice across a restart. The
    // incarnation is the offset of a record that the process appended or, if the log is
    // unavailable, a random number that no offset can equal.
    struct row {
        const char* what;
        platform::log_faults faults;
        common::duration faulty_for;
        std::uint64_t incarnation;
    };

    constexpr std::uint64_t random_bits = 77;
    const auto test_case = GENERATE(
        row{"log works", {}, 0s, 2},
        row{"answer lost once, then a second record is appended", {false, {}, 1, 0, 0}, 100ms, 3},
        row{"log down for a moment", {true, {}, 0, 0, 0}, 500ms, 2},
        row{"log down", {true, {}, 0, 0, 0}, 1h, random_bits | random_incarnation_bit},
        row{"log too slow", {false, 10s, 0, 0, 0}, 1h, random_bits | random_incarnation_bit});
    INFO(test_case.what);
    platform::fake_time time{common::time_point{1h}};
    platform::fake_log log(time.clock(), time.timers());
    log.put(platform::streams::registrations, "an earlier process");
    log.set_faults(test_case.faults);
    time.at(time.now() + test_case.faulty_for, [&log] { log.set_faults({}); });

    std::vector<std::uint64_t> given;
    register_agent(
        {log.hooks(),
         time.timers(),
         time.clock(),
         [] {
             return random_bits;
         }},
        {common::server_id{"s1"}, common::host_id{"h1"}, "127.0.0.1:1", {}},
        time.now() + 3s,
        [&given](common::incarnation_id one) { given.push_back(one.value()); });
    time.run_for(20s);
    CHECK(given == std::vector<std::uint64_t>{test_case.incarnation});
}

} // namespace reedramp::agent
