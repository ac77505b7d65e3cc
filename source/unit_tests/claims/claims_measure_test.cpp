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

/// All partitions' keepers and all gatherers of bills over one log.
struct full_size {
    partition_fixture one;
    std::vector<std::shared_ptr<claim_arbiter>> arbiters;
    std::vector<std::shared_ptr<billing::collector>> gatherers;
    std::vector<common::duration> waits;
    std::mt19937_64 random{42};
    std::uint64_t won = 0;

    full_size()
    {
        for (std::uint32_t number = 0; number < request_partitions; ++number) {
            auto config = this->one.config;
            config.stream = stream_of(partition_id{number});
            this->arbiters.push_back(claim_arbiter::create(config, this->one.hooks()));
            this->arbiters.back()->start();
        }
        const auto hooks = this->one.hooks();
        for (std::size_t number = 0; number < billing::gatherer_count; ++number) {
            this->gatherers.push_back(
                billing::collector::create({}, {hooks.log, hooks.now, hooks.timer, hooks.random}));
        }
        this->one.time.run_for(1s);
        this->one.log.set_faults({.slow = append_time});
    }

    auto request() -> void
    {
        auto claim = make_claim(this->random(), this->random());
        claim.key = {this->random(), this->random()};
        const auto asked = this->one.time.now();
        this->arbiters[partition_of(claim).value()]->claim(claim, [this, asked](const auto& made) {
            this->won += made.state == messages::claim_state::won ? 1 : 0;
            this->waits.push_back(this->one.time.now() - asked);
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
        const auto end = this->one.time.now() + span;
        while (this->one.time.now() < end) {
            const std::chrono::duration<double> next{gap(this->random)};
            this->one.time.run_for(std::chrono::duration_cast<common::duration>(next));
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

TEST_CASE("appends and waits when every request has a key", "[.bench]")
{
    full_size all;
    all.run(1s);
    all.waits.clear();
    all.won = 0;
    const auto appends_before = all.one.log.append_count();
    const auto started = std::chrono::steady_clock::now();
    all.run(std::chrono::seconds{measured_seconds});
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - started;
    const auto appends = all.one.log.append_count() - appends_before;
    std::uint64_t reads = 0;
    for (const auto& arbiter : all.arbiters) {
        reads += arbiter->counters().reads;
    }
    std::ranges::sort(all.waits);
    const auto own = std::chrono::duration<double, std::milli>{append_time}.count();
    const auto added = milliseconds_at(all.waits, 0.99) - own;
    const auto rate = static_cast<double>(appends) / measured_seconds;
    const auto claims = static_cast<double>(all.waits.size());
    std::printf("METRIC log_appends_per_s_at_4200_rps %.1f appends/s\n", rate);
    std::printf("METRIC claim_added_p99_ms %.1f ms\n", added);
    std::printf("METRIC claim_added_p50_ms %.1f ms\n", milliseconds_at(all.waits, 0.50) - own);
    std::printf("METRIC claim_and_bill_cpu_us %.1f us\n", took.count() / claims);
    std::printf(
        "METRIC claim_reads_by_16_keepers %llu reads\n", static_cast<unsigned long long>(reads));
    std::size_t bytes = 0;
    std::size_t records = 0;
    for (const auto& record : all.one.log.records(stream_of(partition_id{0}))) {
        bytes += record.data.size();
        records += parse(record.data)->claims.size();
    }
    std::printf(
        "METRIC claim_bytes_in_log %.1f bytes\n",
        static_cast<double>(bytes) / static_cast<double>(records));
    CHECK(all.won == all.waits.size());
    CHECK(rate <= 300.0);
    CHECK(added <= 60.0);
}

TEST_CASE("bytes of a key in the table", "[.bench]")
{
    constexpr std::uint64_t keys = 157'500; // 16th part of 4,200 a second for ten minutes
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

TEST_CASE("time to take over a full window", "[.bench]")
{
    constexpr std::uint64_t records = 20'000; // two windows of 17 a second
    constexpr std::uint64_t claims_a_record = 15;
    partition_fixture one;
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
        one.log.put(one.config.stream, serialise(batch));
    }
    const auto started = std::chrono::steady_clock::now();
    const auto fresh = one.keep();
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - started;
    std::printf("METRIC claim_takeover_cpu_ms %.0f ms\n", took.count());
    CHECK(fresh->counters().state == arbiter_state::serving);
}

} // namespace reedramp::claims
