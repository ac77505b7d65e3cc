#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <malloc.h>

#include "billing/collector.hpp"
#include "billing/gatherer.hpp"
#include "billing/ledger.hpp"
#include "platform/fake_log.hpp"
#include "platform/fake_time.hpp"

namespace reedramp::billing {

namespace {

using namespace std::chrono_literals;
using common::time_point;
using platform::streams::bills;

auto make_bill(std::uint64_t number, std::int64_t cost = 7) -> messages::bill
{
    messages::bill item;
    item.request = {number, number};
    item.organisation = common::organisation_id{"carrier-north"};
    item.task = common::task_name{"lease-draft"};
    item.lines.push_back(
        {common::version_id{"drafts-large-2"},
         common::server_id{"vienna-2-engine-07"},
         {common::token_count{900}, common::token_count{250}},
         common::micro_money{cost}});
    return item;
}

/// Collectors on one fake log and virtual time.
struct fixture {
    platform::fake_time time{time_point{1h}};
    platform::fake_log log{time.clock(), time.timers()};
    std::uint64_t random = 0;

    auto hooks() -> collector_hooks
    {
        return {this->log.hooks(), this->time.clock(), this->time.timers(), [this] {
                    return ++this->random;
                }};
    }

    auto make_collector(collector_config config = {}) -> std::shared_ptr<collector>
    {
        return collector::create(config, this->hooks());
    }

    auto read_ledger() -> ledger
    {
        ledger read;
        for (const auto& record : this->log.records(bills)) {
            read.apply(record);
        }
        return read;
    }

    auto billed_requests() -> std::uint64_t
    {
        const auto all = this->read_ledger().by_organisation();
        return all.empty() ? 0 : all.begin()->second.requests;
    }
};

struct fault_row {
    std::string what;
    platform::log_faults faults;
    /// Number of records that the log keeps; 0 keeps all.
    std::size_t kept = 0;
    bool expect_repeats = false;
};

} // namespace

TEST_CASE("each bill counts once under all faults of the log", "[billing]")
{
    // The log is faulty for ten seconds while requests end, and then recovers. A reader must count
    // each request once: batches are kept until they are read back and sent again when a response
    // was lost, and the reader ignores duplicates by their id.
    const std::vector<fault_row> rows = {
        {"no fault", {}},
        {"responses are delayed", {.slow = 700ms}},
        {"responses are delayed beyond the call timeout", {.slow = 15s}, 0, true},
        {"every second response is lost", {.lose_answer_every = 2}, 0, true},
        {"every response is lost", {.lose_answer_every = 1}, 0, true},
        {"every second append is lost", {.lose_append_every = 2}},
        {"both are lost at times", {.lose_answer_every = 3, .lose_append_every = 2}, 0, true},
        {"the log is down", {.down = true}},
    };
    for (const auto& row : rows) {
        INFO(row.what);
        fixture env;
        const auto collector = env.make_collector();
        env.log.set_faults(row.faults);
        for (std::uint64_t number = 1; number <= 200; ++number) {
            collector->add(make_bill(number));
            env.time.run_for(50ms);
        }
        env.time.run_for(40s);
        CHECK(
            collector->empty() !=
            (row.faults.down || row.faults.lose_answer_every == 1 || row.faults.slow > 10s));
        env.log.set_faults({});
        env.time.run_for(30s);
        CHECK(collector->empty());
        CHECK(collector->counters().pending_bytes == 0);
        const auto read = env.read_ledger();
        CHECK(env.billed_requests() == 200);
        CHECK(read.by_organisation().begin()->second.cost == common::micro_money{1400});
        CHECK((read.repeated() > 0) == row.expect_repeats);
        CHECK(read.malformed() == 0);
    }
}

TEST_CASE("at the limit new work is refused and no bill is dropped", "[billing]")
{
    // The log is down for an hour. Once the limit is reached, callers are refused (not_run). The
    // bills of requests that still run are kept, and all bills reach the log when it is back.
    fixture env;
    const auto collector = env.make_collector({.max_pending_bytes = 20'000});
    env.log.set_faults({.down = true});
    std::uint64_t number = 0;
    while (collector->accepts_work()) {
        collector->add(make_bill(++number));
    }
    CHECK(number > 20);
    for (int running = 0; running < 5; ++running) {
        collector->add(make_bill(++number));
    }
    env.time.run_for(1h);
    CHECK_FALSE(collector->accepts_work());
    env.log.set_faults({});
    env.time.run_for(10s);
    CHECK(collector->accepts_work());
    CHECK(env.billed_requests() == number);
}

TEST_CASE("a process that shuts down hands its bills to a peer", "[billing]")
{
    // A process shuts down while the log is down, or after an append whose response was lost. It
    // hands its bills to a peer and exits. The peer appends them, and each must count once.
    for (const auto& faults :
         {platform::log_faults{.down = true}, platform::log_faults{.lose_answer_every = 1}}) {
        fixture env;
        auto leaving = env.make_collector();
        const auto peer = env.make_collector();
        env.log.set_faults(faults);
        for (std::uint64_t number = 1; number <= 30; ++number) {
            leaving->add(make_bill(number));
        }
        leaving->flush();
        env.time.run_for(100ms);
        const auto handed = leaving->make_handover();
        CHECK(handed.bills.size() == 30);
        auto confirmed = false;
        peer->receive(handed, [&](const auto& answer) { confirmed = answer.has_value(); });
        leaving.reset();
        env.time.run_for(1min);
        CHECK_FALSE(confirmed);
        env.log.set_faults({});
        env.time.run_for(10s);
        CHECK(confirmed);
        CHECK(env.billed_requests() == 30);
    }
}

TEST_CASE("released bills are not sent again", "[billing]")
{
    fixture env;
    const auto collector = env.make_collector();
    env.log.set_faults({.down = true});
    for (std::uint64_t number = 1; number <= 30; ++number) {
        collector->add(make_bill(number));
        env.time.run_for(100ms);
    }
    collector->release(collector->make_handover());
    CHECK(collector->empty());
    CHECK(collector->counters().pending_bytes == 0);
    env.log.set_faults({});
    env.time.run_for(1min);
    CHECK(env.billed_requests() == 0);
}

TEST_CASE("bills survive the loss of the gatherer that was to append them", "[billing]")
{
    // In a large fleet an entry sends its bills to a gatherer. The gatherer fails before it appends
    // them, or between the append and its response, or is unreachable. The entry still has the
    // bills and appends them itself, and each must count once.
    for (const auto fails_after : {0ms, 400ms, 1200ms, 60'000ms}) {
        INFO(fails_after.count());
        fixture env;
        auto gatherer = env.make_collector();
        auto hooks = env.hooks();
        hooks.forward = [&](messages::bill_handover sent, auto done) {
            if (!gatherer) {
                done(common::failure(common::result_code::peer_unavailable));
                return;
            }
            gatherer->receive(std::move(sent), std::move(done));
        };
        const auto entry = collector::create({}, hooks);
        env.time.at(env.time.now() + 500ms + fails_after, [&] { gatherer.reset(); });
        for (std::uint64_t number = 1; number <= 100; ++number) {
            entry->add(make_bill(number));
            env.time.run_for(100ms);
        }
        env.time.run_for(30s);
        CHECK(entry->empty());
        CHECK(env.billed_requests() == 100);
    }
}

TEST_CASE("bills of other entries cannot use up a gatherer's limit", "[billing]")
{
    fixture env;
    const auto gatherer = env.make_collector({.max_pending_bytes = 20'000});
    env.log.set_faults({.down = true});
    common::result_code last = common::result_code::ok;
    for (std::uint64_t number = 1; number <= 100; ++number) {
        gatherer->receive({{make_bill(number)}}, [&](const auto& answer) {
            last = answer ? common::result_code::ok : answer.error().code;
        });
    }
    CHECK(last == common::result_code::queue_full);
    CHECK(gatherer->accepts_work());
}

TEST_CASE("few entries append their own bills, many send them to gatherers", "[billing]")
{
    std::vector<common::host_id> entries;
    std::size_t own = 0;
    for (std::size_t index = 0; index < 390; ++index) {
        entries.emplace_back("entry-" + std::to_string(index));
    }
    for (const auto& self : entries) {
        const auto gatherer = gatherer_for(self, entries);
        own += gatherer ? 0U : 1U;
        CHECK((!gatherer || !gatherer_for(*gatherer, entries)));
    }
    CHECK(own == gatherer_count);
    entries.resize(gatherer_count);
    CHECK_FALSE(gatherer_for(entries.front(), entries));
}

TEST_CASE("the bills of an hour without the log stay within the limit", "[.bench]")
{
    constexpr int requests_per_second = 20;
    fixture env;
    const auto collector = env.make_collector();
    env.log.set_faults({.down = true});
    const auto before = mallinfo2().uordblks;
    std::uint64_t number = 0;
    for (int second = 0; second < 3600; ++second) {
        for (int request = 0; request < requests_per_second; ++request) {
            collector->add(make_bill(++number));
        }
        env.time.run_for(1s);
    }
    const auto held = mallinfo2().uordblks - before;
    const auto pending = collector->counters();
    std::printf(
        "METRIC bill_bytes_in_memory %.1f bytes\n",
        static_cast<double>(held) / static_cast<double>(number));
    std::printf(
        "METRIC bill_bytes_counted %.1f bytes\n",
        static_cast<double>(pending.pending_bytes) / static_cast<double>(number));
    std::printf("METRIC bills_pending_after_log_hour %zu bills\n", pending.pending_bills);
    CHECK(collector->accepts_work());
    env.log.set_faults({});
    env.time.run_for(2min);
    std::size_t record_bytes = 0;
    for (const auto& record : env.log.records(bills)) {
        record_bytes += record.data.size();
    }
    std::printf(
        "METRIC bill_bytes_in_log %.1f bytes\n",
        static_cast<double>(record_bytes) / static_cast<double>(number));
    CHECK(collector->empty());
    CHECK(env.billed_requests() == number);
}

} // namespace reedramp::billing
