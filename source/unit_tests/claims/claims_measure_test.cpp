#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <random>
#include <vector>

#include <catch2/catch.hpp>
#include <malloc.h>

#include "billing/collector.hpp"
#include "billing/gatherer.hpp"
#include "claims/claim_table.hpp"
#include "claims/fingerprint.hpp"
#include "partition_fixture.hpp"

namespace reedramp::claims {

namespace {

constexpr auto append_time = 20ms;
constexpr double requests_a_second = 4200.0;
constexpr int measured_seconds = 20;

/// The arbiters of all request partitions and all bill gatherers on one log.
struct full_load_fixture {
    partition_fixture fixture;
    std::vector<std::shared_ptr<claim_arbiter>> arbiters;
    std::vector<std::shared_ptr<billing::collector>> gatherers;
    std::vector<common::duration> waits;
    std::mt19937_64 random{42};
    std::uint64_t won = 0;

    full_load_fixture()
    {
        for (std::uint32_t number = 0; number < request_partitions; ++number) {
            auto config = this->fixture.config;
            config.stream = stream_of(partition_id{number});
            this->arbiters.push_back(claim_arbiter::create(config, this->fixture.hooks()));
            this->arbiters.back()->start();
        }
        const auto hooks = this->fixture.hooks();
        for (std::size_t number = 0; number < billing::gatherer_count; ++number) {
            this->gatherers.push_back(
                billing::collector::create({}, {hooks.log, hooks.now, hooks.timer, hooks.random}));
        }
        this->fixture.time.run_for(1s);
        this->fixture.log.set_faults({.slow = append_time});
    }

    auto request() -> void
    {
        auto claim = make_claim(this->random(), this->random());
        claim.key = {this->random(), this->random()};
        const auto asked = this->fixture.time.now();
        this->arbiters[partition_of(claim).value()]->claim(claim, [this, asked](const auto& made) {
            this->won += made.state == messages::claim_state::won ? 1 : 0;
            this->waits.push_back(this->fixture.time.now() - asked);
        });
        messages::bill item;
        item.request = claim.request;
        item.organisation = claim.organisation;
        item.lines.push_back({common::version_id{"drafts-2"}, claim.server, {}, {}});
        this->gatherers[this->random() % this->gatherers.size()]->add(std::move(item));
    }

    auto run(common::duration span) -> void
    {
        std::exponential_distribution<double> gap(requests_a_second);
        const auto end = this->fixture.time.now() + span;
        while (this->fixture.time.now() < end) {
            const std::chrono::duration<double> next{gap(this->random)};
            this->fixture.time.run_for(std::chrono::duration_cast<common::duration>(next));
            this->request();
        }
    }
};

auto milliseconds_at(const std::vector<common::duration>& sorted, double share) -> double
{
    const auto last = static_cast<double>(sorted.size() - 1);
    const auto value = sorted[static_cast<std::size_t>(share * last)];
    return std::chrono::duration<double, std::milli>{value}.count();
}

} // namespace

TEST_CASE("append rate and claim latency when every request has a key", "[.bench]")
{
    full_load_fixture load;
    load.run(1s);
    load.waits.clear();
    load.won = 0;
    const auto appends_before = load.fixture.log.append_count();
    const auto started = std::chrono::steady_clock::now();
    load.run(std::chrono::seconds{measured_seconds});
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - started;
    const auto appends = load.fixture.log.append_count() - appends_before;
    std::uint64_t reads = 0;
    for (const auto& arbiter : load.arbiters) {
        reads += arbiter->counters().reads;
    }
    std::ranges::sort(load.waits);
    const auto own = std::chrono::duration<double, std::milli>{append_time}.count();
    const auto added = milliseconds_at(load.waits, 0.99) - own;
    const auto rate = static_cast<double>(appends) / measured_seconds;
    const auto claims = static_cast<double>(load.waits.size());
    std::printf("METRIC log_appends_per_s_at_4200_rps %.1f appends/s\n", rate);
    std::printf("METRIC claim_added_p99_ms %.1f ms\n", added);
    std::printf("METRIC claim_added_p50_ms %.1f ms\n", milliseconds_at(load.waits, 0.50) - own);
    std::printf("METRIC claim_and_bill_cpu_us %.1f us\n", took.count() / claims);
    std::printf(
        "METRIC claim_reads_by_16_keepers %llu reads\n", static_cast<unsigned long long>(reads));
    std::size_t bytes = 0;
    std::size_t records = 0;
    for (const auto& record : load.fixture.log.records(stream_of(partition_id{0}))) {
        bytes += record.data.size();
        records += parse(record.data)->claims.size();
    }
    std::printf(
        "METRIC claim_bytes_in_log %.1f bytes\n",
        static_cast<double>(bytes) / static_cast<double>(records));
    CHECK(load.won == load.waits.size());
    CHECK(rate <= 300.0);
    CHECK(added <= 60.0);
}

TEST_CASE("memory per key in the claim table", "[.bench]")
{
    constexpr std::uint64_t keys =
        157'500; // One of 16 partitions, 4,200 keys per second, ten minutes
    std::mt19937_64 random(42);
    const auto before = mallinfo2().uordblks;
    claim_table table;
    for (std::uint64_t number = 1; number <= keys; ++number) {
        auto claim = make_claim(number, random());
        claim.key = {random(), random()};
        table.apply(common::log_offset{number}, {{number, number}, {}, {claim}});
    }
    const auto used = mallinfo2().uordblks - before;
    std::printf(
        "METRIC claim_bytes_per_key %.1f bytes\n",
        static_cast<double>(used) / static_cast<double>(keys));
    CHECK(table.size() == keys);
}

TEST_CASE("replay time of a full window", "[.bench]")
{
    constexpr std::uint64_t records = 20'000; // Two windows of ten minutes at 17 records per second
    constexpr std::uint64_t claims_a_record = 15;
    partition_fixture fixture;
    std::mt19937_64 random(42);
    for (std::uint64_t number = 1; number <= records; ++number) {
        claim_batch batch{{number, number}, common::log_offset{1}, {}};
        if (number > records / 2) {
            batch.horizon = common::log_offset{number - records / 2};
        }
        for (std::uint64_t index = 0; index < claims_a_record; ++index) {
            auto claim = make_claim(0, random());
            claim.key = {random(), random()};
            batch.claims.push_back(claim);
        }
        fixture.log.put(fixture.config.stream, serialise(batch));
    }
    const auto started = std::chrono::steady_clock::now();
    const auto fresh = fixture.start_arbiter();
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - started;
    std::printf("METRIC claim_takeover_cpu_ms %.0f ms\n", took.count());
    CHECK(fresh->counters().state == arbiter_state::serving);
}

} // namespace reedramp::claims
