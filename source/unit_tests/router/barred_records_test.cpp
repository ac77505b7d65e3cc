#include <catch2/catch.hpp>

#include "router/barred_records.hpp"
#include "world.hpp"

namespace reedramp::router::testing {

namespace {

constexpr routing::request_fingerprint ending{7};
constexpr std::uint64_t today = 1'790'000'000'000;

/// An entry with a place among others, and the store's records, which the test plays.
struct keeper {
    explicit keeper(std::size_t place)
    {
        this->one.core->hooks.unix_ms = [] {
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
        store.drop_barred = [this](routing::request_fingerprint fingerprint, auto done) {
            this->dropped.push_back(fingerprint);
            done(stream_position{1});
        };
        this->records = std::make_shared<barred_records>(
            this->one.core, std::move(store), [place] { return place; });
    }

    auto bar(std::chrono::milliseconds age, bool is_recorded = false) -> void
    {
        this->one.core->crashes.apply_barred({ending, age, age, is_recorded}, this->one.now);
    }

    auto run(milliseconds time) -> void
    {
        constexpr milliseconds step{100};
        for (auto passed = milliseconds{0}; passed < time; passed += step) {
            this->one.advance(step);
            this->records->tick();
        }
    }

    world one;
    std::vector<barred_record> written;
    std::vector<routing::request_fingerprint> dropped;
    bool is_down = false;
    std::shared_ptr<barred_records> records;
};

} // namespace

TEST_CASE("a request that ends servers is written once, by the first entry", "[barred_records]")
{
    keeper first{0};
    keeper third{2};
    first.bar(milliseconds{500});
    third.bar(milliseconds{0});
    first.run(milliseconds{300});
    third.run(milliseconds{300});
    REQUIRE(first.written.size() == 1);
    CHECK(first.written.front() == barred_record{ending, today - 600});
    CHECK(third.written.empty());
    // It is told that the store has it.
    third.bar(milliseconds{0}, true);
    third.run(seconds{10});
    CHECK(third.written.empty());
    first.run(seconds{10});
    CHECK(first.written.size() == 1);
}

TEST_CASE(
    "while the store is away the record is tried again, by others as well", "[barred_records]")
{
    keeper first{0};
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
    keeper third{2};
    third.bar(milliseconds{0});
    third.run(seconds{2});
    CHECK(third.written.size() == 1);
}

TEST_CASE("records bar requests at a start, until they are old or were served", "[barred_records]")
{
    keeper first{0};
    keeper second{1};
    const barred_record fresh{ending, today - 60'000};
    const barred_record old{routing::request_fingerprint{8}, today - 3'600'000};
    for (auto* each : {&first, &second}) {
        each->records->take({fresh, old});
        CHECK(each->one.core->crashes.is_barred(ending));
        CHECK(!each->one.core->crashes.is_barred(old.fingerprint));
    }
    CHECK(first.dropped == std::vector{old.fingerprint});
    CHECK(second.dropped.empty());
    // A copy that was under way is served: the request is let in, also when the record is read
    // again.
    const routing::server_instance server{common::server_id{"a"}};
    first.one.core->crashes.note_served(ending, server, first.one.now);
    first.records->take({fresh});
    CHECK(!first.one.core->crashes.is_barred(ending));
    CHECK(first.dropped.back() == ending);
}

} // namespace reedramp::router::testing
