#include "routing/server_table.hpp"

#include <random>

#include <catch2/catch.hpp>

#include "routing/load_tracker.hpp"
#include "routing/server_health.hpp"
#include "routing/server_speed_tracker.hpp"

namespace reedramp::routing {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const common::service_name engines{"engines"};
const common::server_id a{"a"};
const common::server_id b{"b"};
const time_point start{seconds{100}};

/// A registration of the instance that started at `started_at`.
auto registered(const common::server_id& id, std::uint64_t started_at, bool is_leaving = false)
    -> registration
{
    registration read;
    read.id = id;
    read.service = engines;
    read.address = "10.0.0.1:80";
    read.is_leaving = is_leaving;
    read.started_at = start_time{started_at};
    return read;
}

/// The numbered registration of an instance.
auto numbered(const common::server_id& id, std::uint64_t sequence, std::uint64_t started_at = 10)
    -> registration
{
    auto read = registered(id, started_at);
    read.sequence = sequence;
    return read;
}

/// Ends the registration of `a` at the table.
auto end_a(server_table& table, time_point now, const registration_end& end = {}) -> void
{
    table.lapse(a, end, now);
    table.remove_lapsed(7, now);
}

auto started(const common::server_id& id, std::uint64_t started_at) -> server_instance
{
    return {id, start_time{started_at}};
}

} // namespace

TEST_CASE("a running server that turns cold, or warm again, is an event", "[cold]")
{
    server_table table;
    auto read = registered(a, 1);
    table.apply_registration(read, start);
    read.cold_until = start + seconds{3};
    CHECK(table.apply_registration(read, start) == table_event::cold);
    // The next record, read a little later after its writing than the previous one.
    read.cold_until += std::chrono::milliseconds{400};
    CHECK(table.apply_registration(read, start + seconds{1}) == table_event::none);
    read.cold_until = {};
    CHECK(table.apply_registration(read, start + seconds{1}) == table_event::warm);
    CHECK(table.find(a)->cold_until <= start + seconds{1});
    CHECK(table.apply_registration(read, start + seconds{2}) == table_event::none);
}

TEST_CASE("servers of an evacuated data centre are not usable, but stay listed", "[evacuation]")
{
    server_table table;
    table.apply_registration(registered(a, 1), start);
    auto read = registered(b, 1);
    read.data_centre = common::data_centre_id{"dc-b"};
    table.apply_registration(read, start);
    const auto digest = table.digest();
    table.set_evacuated({read.data_centre});
    CHECK(table.usable(engines).size() == 1);
    CHECK(table.digest() == digest);
    CHECK(table.size() == 2);
    table.set_evacuated({});
    CHECK(table.usable(engines).size() == 2);
}

TEST_CASE("a server that restarts under its id has no earlier state", "[server_table]")
{
    // The server announced that it leaves, failed often and was slow before it ended. Its next
    // instance has done none of that, and has to receive requests at once.
    server_table table;
    load_tracker loads;
    server_speed_tracker speeds;
    server_health health{health_options{}};
    CHECK(table.apply_registration(registered(a, 10), start) == table_event::usable);
    const auto first = table.find(a)->instance();
    loads.begin(first, 500.0);
    for (int i = 0; i < 20; ++i) {
        health.note(first, server_outcome::unreachable, start);
        speeds.note(first, seconds{9}, 1.0);
        speeds.note(started(b, 1), seconds{1}, 1.0);
        speeds.note(started(common::server_id{"c"}, 1), seconds{1}, 1.0);
    }
    CHECK(table.apply_registration(registered(a, 10, true), start) == table_event::leaving);
    CHECK(table.find(a) == nullptr);
    CHECK(table.lapse(a) == table_event::none);
    CHECK(table.apply_registration(registered(a, 20), start) == table_event::restarted);
    REQUIRE(table.find(a) != nullptr);
    const auto second = table.find(a)->instance();
    CHECK(second != first);
    CHECK(loads.total(second, start).work == 0.0);
    CHECK(health.failures(second) == 0.0);
    CHECK_FALSE(health.is_ejected(second, start));
    CHECK(speeds.slowness(second) == 1.0);
    CHECK(speeds.slowness(first) > 2.0);
}

TEST_CASE(
    "a late registration of an earlier instance does not affect the later one", "[server_table]")
{
    // Sources of late registrations: a list that is read again, a delayed message of a peer, a
    // response to a request that the earlier instance accepted.
    server_table table;
    table.apply_registration(registered(a, 10), start);
    table.mark_leaving(started(a, 10), start);
    const auto earlier_leaving = table.leaving();
    table.apply_registration(registered(a, 20), start);
    CHECK(table.apply_registration(registered(a, 10, true), start) == table_event::late);
    // Reported once.
    CHECK(table.apply_registration(registered(a, 10, true), start) == table_event::none);
    CHECK(table.find(a) != nullptr);
    CHECK(table.mark_leaving_by_hash(earlier_leaving, start).empty());
    table.remove_replaced(started(a, 10));
    CHECK(table.end_by_hash({{hash_of(started(a, 10)), 99}}, 5).empty());
    CHECK(table.find(a) != nullptr);
    // The later instance leaves; the earlier one's registration, read again, does not bring it
    // back.
    table.apply_registration(registered(a, 20, true), start);
    table.apply_registration(registered(a, 10), start);
    table.apply_registration(registered(a, 20), start);
    CHECK(table.find(a) == nullptr);
    CHECK(table.is_known_leaving(a));
}

TEST_CASE("a registration from before a server's end does not bring it back", "[late_registration]")
{
    // Guards against requests to a server that has gone, after a late write of its registration.
    const auto started_at = GENERATE(std::uint64_t{0}, std::uint64_t{10});
    server_table table;
    for (std::uint64_t sequence = 1; sequence <= 7; ++sequence) {
        table.apply_registration(numbered(a, sequence, started_at), start);
    }
    end_a(table, start);
    SECTION("also the last one, read again, and two in a row")
    {
        for (const std::uint64_t sequence : {4, 5, 7}) {
            CHECK(
                table.apply_registration(numbered(a, sequence, started_at), start + seconds{5}) ==
                table_event::written_before_end);
        }
        CHECK(table.find(a) == nullptr);
    }
    SECTION("while the next one does, at once")
    {
        CHECK(table.apply_registration(numbered(a, 8, started_at), start) == table_event::usable);
    }
    SECTION("unless it says that the server leaves, which is true whenever it was written")
    {
        auto leaves = numbered(a, 4, started_at);
        leaves.is_leaving = true;
        table.apply_registration(leaves, start);
        CHECK(table.is_known_leaving(a));
    }
    SECTION("nor from an older copy of the store, minutes later")
    {
        CHECK(
            table.apply_registration(
                numbered(a, 4, started_at), start + minutes{4}, record_source::older_copy) ==
            table_event::written_before_end);
        CHECK(
            table.apply_registration(
                numbered(a, 8, started_at), start + minutes{4}, record_source::older_copy) ==
            table_event::usable);
    }
}

TEST_CASE("a server that left is not back with the last one that it wrote", "[late_registration]")
{
    // Guards against requests to a server whose last registration, lost before its removal, is done
    // after it: its number is a new one.
    server_table table;
    table.apply_registration(numbered(a, 7), start);
    end_a(table, start, {0, true});
    CHECK(
        table.apply_registration(numbered(a, 8), start + seconds{6}) ==
        table_event::written_before_end);
    // The store performs no write as late as this.
    CHECK(
        table.apply_registration(numbered(a, 9), start + late_write_window + seconds{1}) ==
        table_event::usable);
}

TEST_CASE("a server without a start time may run again under its id", "[late_registration]")
{
    // Guards against a server that is never used again: its numbers begin anew.
    server_table table;
    table.apply_registration(numbered(a, 50, 0), start);
    end_a(table, start);
    const auto later = start + late_write_window + seconds{1};
    CHECK(table.apply_registration(numbered(a, 1, 0), later) == table_event::usable);
    table.apply_registration(numbered(a, 50, 0), later);
    // The same while it is registered.
    CHECK(table.apply_registration(numbered(a, 2, 0), later) == table_event::late);
    CHECK(table.apply_registration(numbered(a, 2, 0), later + seconds{11}) == table_event::none);
    CHECK(table.last_registration_of(a).sequence == 2);
}

TEST_CASE("an earlier instance is not back after the later one's end", "[late_registration]")
{
    // Guards against requests to an address that the server had before it started again.
    server_table table;
    table.apply_registration(numbered(a, 7, 10), start);
    table.apply_registration(numbered(a, 1, 20), start);
    end_a(table, start);
    CHECK(
        table.apply_registration(numbered(a, 6, 10), start + seconds{2}) ==
        table_event::written_before_end);
    CHECK(table.apply_registration(numbered(a, 1, 30), start + seconds{2}) == table_event::usable);
}

TEST_CASE("an overtaken registration changes nothing at a running server", "[late_registration]")
{
    // Guards against a server that turns cold, or ends a grace period, by a late write.
    server_table table;
    table.apply_registration(numbered(a, 7), start);
    auto overtaken = numbered(a, 4);
    overtaken.cold_until = start + seconds{9};
    CHECK(table.apply_registration(overtaken, start) == table_event::late);
    CHECK_FALSE(table.find(a)->is_cold(start));
    table.lapse(a);
    table.apply_registration(numbered(a, 7), start);
    CHECK(table.state_of(a) == server_state::lapsed);
    table.apply_registration(numbered(a, 8), start);
    CHECK(table.state_of(a) == server_state::usable);
}

TEST_CASE("peers put right an entry that knows a late registration alone", "[late_registration]")
{
    // Guards against an entry that started after a server's end, and read nothing else of it.
    server_table reader;
    reader.apply_registration(numbered(a, 7), start);
    end_a(reader, start);
    const auto reports = reader.ended(start);
    REQUIRE(reports.size() == 1);
    server_table young;
    young.apply_registration(numbered(a, 4), start);
    // It has read further than the reader had.
    CHECK(young.end_by_hash(reports, 99, start) == std::vector{started(a, 10)});
    CHECK(young.apply_registration(numbered(a, 5), start) == table_event::written_before_end);
    // The server is back: the same reports, still under way, do not end it again.
    CHECK(young.apply_registration(numbered(a, 8), start) == table_event::usable);
    CHECK(young.end_by_hash(reports, 99, start).empty());
    // An entry that hears of the end before it reads the record.
    server_table informed;
    informed.end_by_hash(reports, 99, start);
    CHECK(informed.apply_registration(numbered(a, 4), start) == table_event::written_before_end);
    // Reported again when a late registration is seen.
    CHECK(reader.ended(start + seconds{11}).empty());
    reader.report_end_again(started(a, 10), 120, start + seconds{11});
    CHECK(reader.ended(start + seconds{12}).size() == 1);
}

TEST_CASE("an ended instance without numbers may return, as before", "[late_registration]")
{
    // Guards against servers that stay out of use while an entry of an earlier release reads the
    // list for the others.
    server_table table;
    table.apply_registration(numbered(a, 0), start);
    end_a(table, start);
    CHECK(table.apply_registration(numbered(a, 0), start) == table_event::usable);
    end_a(table, start);
    CHECK(
        table.apply_registration(numbered(a, 0), start, record_source::older_copy) ==
        table_event::written_before_end);
}

TEST_CASE("ended servers take a bounded memory", "[late_registration]")
{
    // Guards against growth with each server that was ever replaced.
    server_table table;
    const auto register_and_end = [&table](int number) {
        const common::server_id id{std::to_string(number)};
        const auto now = start + std::chrono::milliseconds{number};
        table.apply_registration(numbered(id, 1), now);
        table.lapse(id, {}, now);
        table.remove_lapsed(7, now);
    };
    const auto is_remembered = [&table](int number) {
        const auto read = numbered(common::server_id{std::to_string(number)}, 1);
        return table.end_after(read, start + seconds{5}).has_value();
    };
    for (int i = 0; i < 5000; ++i) {
        register_and_end(i);
    }
    CHECK_FALSE(is_remembered(2951));
    CHECK(is_remembered(2952));
    CHECK(is_remembered(4999));
    CHECK(table.ended(start + seconds{5}).size() <= 16);
    table.expire_left(start + minutes{6});
    CHECK_FALSE(is_remembered(4999));
}

TEST_CASE("implausible start times have a defined effect", "[server_table]")
{
    server_table table;
    SECTION("a start time in the future does not outrank a later registration")
    {
        auto ahead = registered(a, 9'000'000);
        ahead.starts_in_future = true;
        CHECK(table.apply_registration(ahead, start) == table_event::usable);
        CHECK(table.apply_registration(registered(a, 20), start) == table_event::restarted);
        CHECK(table.find(a)->started_at == start_time{20});
    }
    SECTION("a start time before that of a silent instance is accepted")
    {
        // The host's clock was set back, and the server restarted. If its registrations counted as
        // late, its announcement that it leaves would never count.
        table.apply_registration(registered(a, 20), start);
        CHECK(table.apply_registration(registered(a, 10), start + seconds{5}) == table_event::late);
        CHECK(table.apply_registration(registered(a, 20), start + seconds{6}) == table_event::none);
        CHECK(
            table.apply_registration(registered(a, 10), start + seconds{15}) == table_event::late);
        CHECK(
            table.apply_registration(registered(a, 10), start + seconds{17}) ==
            table_event::restarted);
        CHECK(
            table.apply_registration(registered(a, 10, true), start + seconds{18}) ==
            table_event::leaving);
    }
    SECTION("a missing start time where one was known makes the record unreadable")
    {
        table.apply_registration(registered(a, 10), start);
        CHECK(table.apply_registration(registered(a, 0), start) == table_event::unreadable);
        CHECK(table.find(a) == nullptr);
        CHECK(table.apply_registration(registered(a, 10), start) == table_event::usable);
    }
    SECTION("without start times an id has one instance")
    {
        table.apply_registration(registered(a, 0), start);
        table.apply_registration(registered(a, 0, true), start);
        CHECK(table.apply_registration(registered(a, 0), start) == table_event::none);
        CHECK(table.find(a) == nullptr);
        // A server that starts to report its start time.
        CHECK(table.apply_registration(registered(a, 20), start) == table_event::restarted);
    }
}

TEST_CASE("an invalid record excludes a server until a valid one arrives", "[server_table]")
{
    server_table table;
    table.apply_registration(registered(a, 10), start);
    table.apply_registration(registered(b, 10), start);
    CHECK(table.mark_unreadable(a) == table_event::unreadable);
    // Reported once.
    CHECK(table.mark_unreadable(a) == table_event::none);
    CHECK(table.find(a) == nullptr);
    CHECK(table.find(b) != nullptr);
    // The server is not leaving, so peers receive no report.
    CHECK(table.leaving().empty());
    CHECK(table.apply_registration(registered(a, 10), start) == table_event::usable);
    // A leaving server stays leaving, whatever is written over its record.
    table.apply_registration(registered(a, 10, true), start);
    CHECK(table.mark_unreadable(a) == table_event::none);
    CHECK(table.apply_registration(registered(a, 10), start) == table_event::none);
    CHECK(table.find(a) == nullptr);
    // An invalid record under an unknown id creates no server, and is removed with its record.
    const common::server_id c{"c"};
    CHECK(table.mark_unreadable(c) == table_event::unreadable);
    CHECK(table.size() == 1);
    CHECK(table.listed().size() == 2);
    CHECK(table.lapse(c) == table_event::none);
    CHECK_FALSE(table.state_of(c));
}

TEST_CASE(
    "an entry that is cut off from the store learns of ended registrations from peers",
    "[server_table]")
{
    // A server ends its registration without announcing that it leaves. When entries reported only
    // announced departures, an entry that was cut off sent requests there until it reached the
    // store again.
    server_table reader;
    server_table cut_off;
    for (auto* table : {&reader, &cut_off}) {
        table->apply_registration(registered(a, 10), start);
        table->apply_registration(registered(b, 10), start);
    }
    CHECK(reader.lapse(a) == table_event::lapsed);
    // Not while it may return.
    CHECK(reader.ended(start).empty());
    CHECK(reader.remove_lapsed(7, start) == std::vector{started(a, 10)});
    const auto reports = reader.ended(start);
    // An entry that has read as far ignores the report: the server may have returned since.
    CHECK(cut_off.end_by_hash(reports, 7).empty());
    CHECK(cut_off.end_by_hash(reports, 6) == std::vector{started(a, 10)});
    CHECK(cut_off.find(a) == nullptr);
    CHECK(cut_off.find(b) != nullptr);
    // The server is not leaving.
    CHECK(cut_off.apply_registration(registered(a, 10), start) == table_event::usable);
    CHECK(reader.ended(start + seconds{11}).empty());
}

TEST_CASE("a leaving server is reported to peers for half a minute", "[server_table]")
{
    server_table table;
    table.apply_registration(registered(a, 10), start);
    table.mark_leaving(started(a, 10), start);
    table.expire_left(start + seconds{20});
    CHECK(table.leaving().size() == 1);
    table.expire_left(start + seconds{31});
    CHECK(table.leaving().empty());
    CHECK(table.is_known_leaving(a));
}

TEST_CASE("departed servers are remembered for minutes, up to a limit", "[server_table]")
{
    server_table table;
    for (int i = 0; i < 5000; ++i) {
        const common::server_id id{std::to_string(i)};
        const auto now = start + std::chrono::milliseconds{i};
        table.apply_registration(registered(id, 10), now);
        table.mark_leaving(started(id, 10), now);
    }
    table.expire_left(start + seconds{5});
    CHECK_FALSE(table.is_known_leaving(common::server_id{"0"}));
    CHECK_FALSE(table.is_known_leaving(common::server_id{"2951"}));
    CHECK(table.is_known_leaving(common::server_id{"2952"}));
    CHECK(table.is_known_leaving(common::server_id{"4999"}));
    table.expire_left(start + minutes{4});
    CHECK(table.is_known_leaving(common::server_id{"4999"}));
    table.expire_left(start + minutes{6});
    CHECK_FALSE(table.is_known_leaving(common::server_id{"4999"}));
}

TEST_CASE("an instance that left receives no requests, for any order of reports", "[server_table]")
{
    // Registrations of three instances, reports of peers and invalid records, in 300 random orders.
    std::mt19937_64 random{4711};
    for (int order = 0; order < 300; ++order) {
        server_table table;
        std::uint64_t newest = 0;
        std::vector<bool> has_left(4, false);
        for (int report = 0; report < 60; ++report) {
            const auto started_at = 1 + random() % 3;
            const auto before = table.state_of(b);
            switch (random() % 6) {
            case 0:
                table.apply_registration(registered(a, started_at, true), start);
                has_left[started_at] = has_left[started_at] || started_at >= newest;
                newest = std::max(newest, started_at);
                break;
            case 1:
                table.mark_leaving_by_hash({hash_of(started(a, started_at))}, start);
                has_left[started_at] = has_left[started_at] || started_at == newest;
                break;
            case 2:
                table.mark_unreadable(a);
                break;
            default:
                table.apply_registration(registered(a, started_at), start);
                newest = std::max(newest, started_at);
                break;
            }
            const auto* found = table.find(a);
            if (found != nullptr) {
                CHECK(found->started_at == start_time{newest});
                CHECK_FALSE(has_left[newest]);
            }
            CHECK(table.state_of(b) == before);
        }
    }
}

} // namespace reedramp::routing
