#include "routing/server_load_tracker.hpp"

#include <array>
#include <limits>
#include <string>

#include <catch2/catch.hpp>

#include "routing/server_choice.hpp"

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const common::service_name engines{"engines"};
constexpr time_point begin{seconds{1000}};
/// Work of each request.
constexpr double work_of_one = 1000.0;

auto server_of(const std::string& id, std::uint64_t started_at = 0) -> registration
{
    registration server;
    server.id = common::server_id{id};
    server.service = engines;
    server.started_at = start_time{started_at};
    server.id_hash = hash_of(server.id);
    return server;
}

auto load_of(unsigned running, std::optional<double> slowdown = std::nullopt) -> stated_load
{
    return {running, 0, 64, slowdown};
}

auto note(
    server_load_tracker& to,
    const registration& server,
    const stated_load& load,
    time_point at = begin,
    bool is_refusal = false) -> bool
{
    return to.note(engines, {server.instance(), load, at, work_of_one}, is_refusal);
}

} // namespace

TEST_CASE("a statement of an earlier instance of a server is ignored", "[server_load]")
{
    // Guards against the load of a process that has ended counting for its successor.
    server_load_tracker tracker;
    const auto before = server_of("a", 10);
    const auto after = server_of("a", 20);
    CHECK(note(tracker, before, load_of(60, 2.5)));
    CHECK(tracker.newest(after.instance()) == nullptr);
    CHECK(tracker.newest(before.instance())->load.running == 60);
    CHECK(note(tracker, after, load_of(1, 1.0), begin + milliseconds{1}));
    CHECK_FALSE(note(tracker, before, load_of(60, 2.5), begin + milliseconds{2}));
    CHECK(tracker.newest(after.instance())->load.running == 1);
    CHECK(tracker.newest(before.instance()) == nullptr);
}

TEST_CASE("of contradictory statements the newest counts", "[server_load]")
{
    // Guards against a response that is processed late and replaces what the server stated since.
    server_load_tracker tracker;
    const auto server = server_of("a");
    CHECK(note(tracker, server, load_of(60), begin + milliseconds{10}));
    CHECK_FALSE(note(tracker, server, load_of(2), begin));
    CHECK(tracker.newest(server.instance())->load.running == 60);
    CHECK(note(tracker, server, load_of(3), begin + milliseconds{10}));
    CHECK(tracker.newest(server.instance())->load.running == 3);
}

TEST_CASE("a refusal shows a full server", "[server_load]")
{
    // Guards against a server that refuses while it states free slots.
    server_load_tracker tracker;
    const auto server = server_of("a");
    CHECK(note(tracker, server, load_of(5), begin, true));
    CHECK(tracker.newest(server.instance())->load.running == 64);
}

TEST_CASE("a stated load only adds to the known requests, within bounds", "[server_load]")
{
    // Guards against a server that always states idle, or always full, and so attracts or loses all
    // requests.
    server_load_tracker tracker;
    const auto idle = server_of("idle");
    const auto full = server_of("full");
    const auto silent = server_of("silent");
    CHECK(tracker.unknown_work(full, {}, begin) == 0.0);
    for (int i = 0; i < 400; ++i) {
        note(tracker, server_of("usual"), load_of(6));
    }
    note(tracker, idle, load_of(0));
    note(tracker, full, {64, 900'000, 64, std::nullopt});
    const auto unknown_at = [&tracker](const auto& server, double known, milliseconds age) {
        // A request in flight is half done on average.
        return tracker.unknown_work(server, {known, 1.0, 0.0, 0.0}, begin + age) /
               (0.5 * work_of_one);
    };
    CHECK(unknown_at(idle, 0.0, milliseconds{0}) == 0.0);
    CHECK(unknown_at(idle, 4.0, milliseconds{0}) == 0.0);
    CHECK(unknown_at(full, 0.0, milliseconds{0}) == Approx(1.0));
    CHECK(unknown_at(full, 4.0, milliseconds{0}) == Approx(5.0));
    CHECK(unknown_at(full, 127.0, milliseconds{0}) == Approx(1.0));
    // The mean is 6 requests, and one statement moves it by at most 2 in 100 of twice the slots.
    const auto mean = unknown_at(silent, 5.0, milliseconds{0}) + 5.0;
    CHECK(mean == Approx(8.3).margin(0.3));
    CHECK(unknown_at(full, 7.0, seconds{5}) == Approx(mean - 7.0));
    CHECK(unknown_at(idle, 7.0, seconds{5}) == Approx(mean - 7.0));
}

TEST_CASE(
    "servers that always state idle, full, fast or slow keep getting requests", "[server_load]")
{
    // Guards against statements that outweigh the work that entries know of. Each of eight servers
    // gets eight requests on average: one ends per arrival, the oldest first.
    for (const auto& lie :
         {stated_load{0, 0, 64, std::nullopt},
          stated_load{64, 1000, 64, std::nullopt},
          stated_load{0, 0, 64, 0.01},
          stated_load{64, 1000, 64, 10'000.0}}) {
        std::array<registration, 8> all;
        std::vector<const registration*> usable(all.size());
        for (std::size_t i = 0; i < all.size(); ++i) {
            all[i] = server_of(std::to_string(i));
            usable[i] = &all[i];
        }
        load_tracker loads;
        const server_speed_tracker speeds;
        const server_health health{health_options{}};
        server_load_tracker tracker;
        std::vector<const registration*> in_flight;
        std::size_t to_liar = 0;
        constexpr std::size_t requests = 2000;
        for (std::size_t i = 0; i < requests; ++i) {
            const auto now = begin + milliseconds{5 * i};
            if (in_flight.size() == 64) {
                const auto* ended = in_flight.front();
                in_flight.erase(in_flight.begin());
                loads.end(ended->instance(), 1000.0);
                const auto known =
                    static_cast<unsigned>(loads.total(ended->instance(), now).requests);
                note(tracker, *ended, ended == usable[0] ? lie : load_of(known, 1.0), now);
            }
            server_trackers trackers{loads, speeds, health};
            trackers.stated = &tracker;
            placement_request asked;
            asked.work = 1000.0;
            const auto* chosen = choose_server(usable, asked, trackers, {}, i, now);
            loads.begin(chosen->instance(), asked.work);
            in_flight.push_back(chosen);
            to_liar += chosen == usable[0] ? 1 : 0;
        }
        INFO(lie.running << " running, slowdown " << lie.slowdown.value_or(1.0));
        const double share = 8.0 * static_cast<double>(to_liar) / static_cast<double>(requests);
        CHECK(share > 0.1);
        CHECK(share < 1.7);
    }
}

TEST_CASE("a stated speed loses weight with its age", "[server_load]")
{
    // Guards against a host that is avoided, or preferred, long after its state has changed.
    server_load_tracker tracker;
    const auto slow = server_of("slow");
    CHECK(tracker.current_slowdown(slow, begin) == 1.0);
    for (int i = 0; i < 400; ++i) {
        note(tracker, server_of("usual"), load_of(1, 1.2));
    }
    note(tracker, slow, load_of(1, 2.5));
    CHECK(tracker.current_slowdown(slow, begin) == Approx(2.5));
    // The others of the service have a mean of 1.2, of which the slow one is a small part.
    const auto mean = tracker.current_slowdown(server_of("unknown"), begin);
    CHECK(mean == Approx(1.2).margin(0.05));
    CHECK(
        tracker.current_slowdown(slow, begin + milliseconds{600}) ==
        Approx(mean + (2.5 - mean) / 2.718).margin(0.01));
    CHECK(tracker.current_slowdown(slow, begin + seconds{5}) == mean);
    // A service without statements is not affected by another one.
    auto other = server_of("other");
    other.service = common::service_name{"plain"};
    CHECK(tracker.current_slowdown(other, begin) == 1.0);
}

TEST_CASE("peers learn of unusual speeds, and the newest report counts", "[server_load]")
{
    // Guards against reports that are late, repeated, of an earlier instance or not worth sending.
    server_load_tracker one;
    server_load_tracker two;
    const auto slow = server_of("slow", 10);
    note(one, slow, load_of(1, 2.5));
    note(one, server_of("usual"), load_of(1, 1.02));
    note(one, server_of("silent"), load_of(1));
    const auto reports = one.make_reports(begin + milliseconds{100});
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().age == milliseconds{100});
    CHECK(one.make_reports(begin + milliseconds{300}).empty());
    two.apply_reports(reports, begin + milliseconds{150});
    CHECK(two.current_slowdown(slow, begin + milliseconds{50}) == Approx(2.5));
    CHECK(two.current_slowdown(server_of("slow", 20), begin + milliseconds{50}) == 1.0);
    CHECK(two.make_reports(begin + milliseconds{150}).empty());
    // Older than what is known, by a peer's report and by an own statement.
    two.apply_reports(
        {{reports.front().server, 0.8, milliseconds{200}}}, begin + milliseconds{150});
    CHECK(two.current_slowdown(slow, begin + milliseconds{50}) == Approx(2.5));
    note(two, slow, load_of(1, 1.0), begin + milliseconds{60});
    CHECK(two.current_slowdown(slow, begin + milliseconds{60}) == Approx(1.0));
    two.apply_reports(reports, begin + milliseconds{155});
    CHECK(two.current_slowdown(slow, begin + milliseconds{60}) == Approx(1.0));
    two.apply_reports(
        {{reports.front().server, std::numeric_limits<double>::quiet_NaN(), milliseconds{0}}},
        begin + milliseconds{155});
    CHECK(two.current_slowdown(slow, begin + milliseconds{60}) == Approx(1.0));
}

TEST_CASE(
    "reports and state have a bounded size, and servers that are gone are forgotten",
    "[server_load]")
{
    // Guards against memory and messages that grow with the servers that have ever existed.
    server_load_tracker tracker;
    for (int i = 0; i < 3000; ++i) {
        const auto server = server_of(std::to_string(i));
        CHECK(note(tracker, server, load_of(1, 2.0)) == (i < 2048));
        CHECK(tracker.note_malformed(server.instance()) == (i < 2048));
        tracker.apply_reports({{static_cast<std::uint64_t>(i), 2.0, milliseconds{0}}}, begin);
    }
    CHECK_FALSE(tracker.note_malformed(server_of("1").instance()));
    CHECK(tracker.make_reports(begin).size() == 8);
    tracker.forget_if([](const auto& server) { return server.id.value() != "1"; }, begin);
    CHECK(tracker.newest(server_of("0").instance()) == nullptr);
    CHECK(tracker.newest(server_of("1").instance()) != nullptr);
    CHECK(tracker.make_reports(begin).size() == 1);
    CHECK(tracker.note_malformed(server_of("0").instance()));
    CHECK_FALSE(tracker.note_malformed(server_of("1").instance()));
}

} // namespace reedramp::routing
