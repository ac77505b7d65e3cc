#include <iostream>

#include <malloc.h>

#include <catch2/catch.hpp>

#include "fixture.hpp"

using namespace reedramp::inventory;
using namespace reedramp::inventory::testing;

namespace {

constexpr auto version_count = 7;
constexpr auto server_count = 620;
constexpr auto organisation_count = 60;
constexpr auto folded_records = 20000;

auto numbered(const std::string& name, int number) -> std::string
{
    return name + "-" + std::to_string(number);
}

auto put_server(int number) -> std::string
{
    const auto text = std::to_string(number);
    return R"({"put":"server","value":{"id":"server-)" + text + R"(","host":"host-)" + text +
           R"(","data_centre":"data-centre-)" + std::to_string(number % 6) +
           R"(","region":"region-)" + std::to_string(number % 2) + R"(","versions":["version-)" +
           std::to_string(number % version_count) + R"(","version-)" +
           std::to_string((number + 1) % version_count) + R"("],"checks_fencing":true}})";
}

auto put_organisation(int number) -> std::string
{
    std::string key(64, 'a');
    key.replace(0, 4, std::to_string(1000 + number));
    return R"({"put":"organisation","value":{"id":")" + numbered("organisation", number) +
           R"(","key_hashes":[")" + key +
           R"("],"models":["m"],"tasks":[{"task":"draft","quality_target":900},)"
           R"({"task":"tag","quality_target":700},{"task":"","quality_target":800}],)"
           R"("limits":{"requests":6000,"tokens":5000000,"money":90000000}}})";
}

/// One record with all entities, as an import makes it.
auto full_record() -> std::string
{
    std::string changes = R"({"put":"model","value":{"id":"m"}})";
    for (auto number = 0; number < version_count; ++number) {
        changes += "," + put_version(numbered("version", number), 1000000);
    }
    for (auto number = 0; number < server_count; ++number) {
        changes += "," + put_server(number);
    }
    for (auto number = 0; number < organisation_count; ++number) {
        changes += "," + put_organisation(number);
    }
    return record_text("full", 0, changes);
}

/// A state of full size whose list of recent outcomes is full too.
auto full_state() -> state
{
    auto made = folded({full_record()});
    for (std::size_t count = 0; count < max_recent_outcomes; ++count) {
        const auto base = made.offset.value();
        const auto id = numbered("record", static_cast<int>(base));
        const log_offset next{base + 1};
        apply(made, {next, record_text(id, base, put_server(static_cast<int>(base) % 620))});
    }
    return made;
}

auto seconds_since(std::chrono::steady_clock::time_point begin) -> double
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

auto report(const char* name, double value, const char* unit) -> void
{
    std::cout << "METRIC " << name << " " << value << " " << unit << "\n";
}

} // namespace

TEST_CASE("a state of full size is accepted and fits into a checkpoint", "[full]")
{
    const auto current = full_state();
    CHECK(current.servers.size() == server_count);
    CHECK(current.organisations.size() == organisation_count);
    CHECK(current.problems.empty());
    const auto text = format_checkpoint(current);
    CHECK(text.size() < std::size_t{1} << 20U);
    CHECK(parse_checkpoint(text));
}

TEST_CASE("performance of the fold at full size", "[.bench]")
{
    auto current = full_state();
    std::vector<std::string> texts;
    for (auto count = 0; count < folded_records; ++count) {
        const auto base = current.offset.value() + static_cast<std::uint64_t>(count);
        const auto id = numbered("bench", count);
        texts.push_back(record_text(id, base, put_server(count % server_count)));
    }
    auto begin = std::chrono::steady_clock::now();
    for (const auto& text : texts) {
        apply(current, {log_offset{current.offset.value() + 1}, text});
    }
    report("fold_records_per_s", folded_records / seconds_since(begin), "records/s");
    CHECK(current.problems.empty());

    constexpr auto copies = 20;
    std::vector<state> kept;
    kept.reserve(copies);
    const auto before = ::mallinfo2().uordblks;
    begin = std::chrono::steady_clock::now();
    for (auto count = 0; count < copies; ++count) {
        kept.push_back(current);
    }
    report("state_copy_ms", seconds_since(begin) * 1000 / copies, "ms");
    report("state_bytes", static_cast<double>(::mallinfo2().uordblks - before) / copies, "B");

    begin = std::chrono::steady_clock::now();
    const auto text = format_checkpoint(current);
    report("checkpoint_format_ms", seconds_since(begin) * 1000, "ms");
    report("checkpoint_bytes", static_cast<double>(text.size()), "B");
    begin = std::chrono::steady_clock::now();
    CHECK(parse_checkpoint(text));
    report("checkpoint_parse_ms", seconds_since(begin) * 1000, "ms");
}

TEST_CASE("time for a change to reach all processes of a fleet, on virtual time", "[.bench]")
{
    // All processes run in one simulation, without a network; each pull takes 1 ms.
    constexpr auto process_count = 1000;
    const auto tailer_count = GENERATE(18, 60);
    const auto knows_tailers = GENERATE(false, true);
    fixture env;
    env.knows_tailers = knows_tailers;
    env.put(first_record());
    for (auto number = 0; number < process_count; ++number) {
        env.start(numbered("p", number), number < tailer_count);
    }
    env.run(10s);
    env.put(record_text("change", 1, put_version("v1", 9)));
    const auto begin = env.time.now();
    auto reached = 0;
    while (reached < process_count) {
        env.run(100ms);
        reached = 0;
        for (auto number = 0; number < process_count; ++number) {
            reached += env.offset(numbered("p", number)) == 2 ? 1 : 0;
        }
    }
    const auto last = std::chrono::duration<double>(env.time.now() - begin).count();
    double oldest = 0;
    for (auto number = 0; number < process_count; ++number) {
        const auto as_of = env.at(numbered("p", number)).reader->evidence_time();
        oldest =
            std::max(oldest, std::chrono::duration<double>(env.time.now() - as_of.value()).count());
    }
    const auto suffix =
        "_" + std::to_string(tailer_count) + (knows_tailers ? "_known_tailers" : "_tailers");
    report(("virtual_in_force_s" + suffix).c_str(), last, "s");
    report(("virtual_oldest_evidence_s" + suffix).c_str(), oldest, "s");
}
