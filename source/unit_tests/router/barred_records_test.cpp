#include <catch2/catch.hpp>

#include "router/barred_records.hpp"
#include "router_fixture.hpp"

namespace reedramp::router::testing {

namespace {

constexpr routing::request_fingerprint fingerprint{7};
constexpr std::uint64_t today = 1'790'000'000'000;

/// An entry of a given rank, with records in a store controlled by the test.
struct record_fixture {
    explicit record_fixture(std::size_t rank)
    {
        this->entry.core->hooks.unix_ms = [] {
            return today;
        };
        shared_store store;
        store.write_barred = [this](const barred_record& record, auto done) {
            this->written.push_back(record);
            if (this->is_down) {
                done(common::failure(common::result_code::log_unavailable));
            }
            else {
                done(stream_position{1});
            }
        };
        store.drop_barred = [this](routing::request_fingerprint removed, auto done) {
            this->dropped.push_back(removed);
            done(stream_position{1});
        };
        this->records = std::make_shared<barred_records>(
            this->entry.core, std::move(store), [rank] { return rank; });
    }

    auto bar(std::chrono::milliseconds age, bool is_recorded = false) -> void
    {
        this->entry.core->crashes.apply_barred(
            {fingerprint, age, age, is_recorded}, this->entry.now);
    }

    auto run(milliseconds time) -> void
    {
        constexpr milliseconds step{100};
        for (auto passed = milliseconds{0}; passed < time; passed += step) {
            this->entry.advance(step);
            this->records->tick();
        }
    }

    router_fixture entry;
    std::vector<barred_record> written;
    std::vector<routing::request_fingerprint> dropped;
    bool is_down = false;
    std::shared_ptr<barred_records> records;
};

} // namespace

TEST_CASE("a request that crashes servers is recorded once, by the first entry", "[barred_records]")
{
    record_fixture first{0};
    record_fixture third{2};
    first.bar(milliseconds{500});
    third.bar(milliseconds{0});
    first.run(milliseconds{300});
    third.run(milliseconds{300});
    REQUIRE(first.written.size() == 1);
    CHECK(first.written.front() == barred_record{fingerprint, today - 600});
    CHECK(third.written.empty());
    // It is informed that the store has the record.
    third.bar(milliseconds{0}, true);
    third.run(seconds{10});
    CHECK(third.written.empty());
    first.run(seconds{10});
    CHECK(first.written.size() == 1);
}

TEST_CASE(
    "during an outage of the store the write is retried, by other entries too", "[barred_records]")
{
    record_fixture first{0};
    first.is_down = true;
    first.bar(milliseconds{0});
    first.run(seconds{2});
    CHECK(first.written.size() >= 2);
    CHECK(first.written.size() <= 5);
    first.is_down = false;
    first.run(seconds{5});
    const auto tries = first.written.size();
    first.run(seconds{5});
    CHECK(first.written.size() == tries);
    // The first entry is cut off from the store.
    record_fixture third{2};
    third.bar(milliseconds{0});
    third.run(seconds{2});
    CHECK(third.written.size() == 1);
}

TEST_CASE(
    "records bar requests after a restart until they expire or are served", "[barred_records]")
{
    record_fixture first{0};
    record_fixture second{1};
    const barred_record fresh{fingerprint, today - 60'000};
    const barred_record old{routing::request_fingerprint{8}, today - 3'600'000};
    for (auto* each : {&first, &second}) {
        each->records->apply_stored({fresh, old});
        CHECK(each->entry.core->crashes.is_barred(fingerprint));
        CHECK(!each->entry.core->crashes.is_barred(old.fingerprint));
    }
    CHECK(first.dropped == std::vector{old.fingerprint});
    CHECK(second.dropped.empty());
    // A copy of the request that was in flight is served, so the request is admitted again, also
    // after the record is read again.
    const routing::server_instance server{common::server_id{"a"}};
    first.entry.core->crashes.note_served(fingerprint, server, first.entry.now);
    first.records->apply_stored({fresh});
    CHECK(!first.entry.core->crashes.is_barred(fingerprint));
    CHECK(first.dropped.back() == fingerprint);
}

} // namespace reedramp::router::testing
