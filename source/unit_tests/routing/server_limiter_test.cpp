#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "choice_simulation.hpp"
#include "routing/server_choice.hpp"

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using testing::cold_bound;
using testing::cold_rate;
using testing::max_per_second;

auto options() -> server_limiter_options
{
    server_limiter_options made;
    made.cold_excess = testing::cold_excess;
    made.cold_slack = testing::cold_slack;
    return made;
}

/// The limiter of entry `number` of `of` entries.
auto limiter_of(std::size_t number, std::size_t of) -> server_limiter
{
    return {options(), {[number, of] {
                return entry_rank{number, of};
            }}};
}

auto cold_server(const std::string& name, time_point until) -> registration
{
    registration one;
    one.id = common::server_id{name};
    one.id_hash = hash_of(one.id);
    one.cold_until = until;
    return one;
}

struct crowd_shape {
    std::size_t entries = 27;
    std::size_t servers = 49;
    /// Number of entries that an entry assumes, by its number.
    std::function<auto(std::size_t entry)->std::size_t> believed{};
    std::uint64_t seed = 1;
    /// Maximum difference between the entries' clocks.
    milliseconds clocks_differ{100};
    /// Fraction of a server's limit that entries aim at.
    double limit_fraction = server_limiter_options{}.limit_fraction;
};

struct crowd_result {
    std::size_t most = 0;
    /// Mean sends per second and server.
    double mean = 0.0;
};

/// Entries that send to one server after another, each with a limiter, a rank and a clock.
class crowd {
public:
    crowd(const crowd_shape& shape, std::mt19937_64& random) : begin(seconds{500 + random() % 1000})
    {
        for (std::size_t i = 0; i < shape.entries; ++i) {
            const auto believed = shape.believed ? shape.believed(i) : shape.entries;
            const milliseconds ahead{
                random() % static_cast<std::uint64_t>(shape.clocks_differ.count())};
            send_slot_hooks hooks;
            hooks.rank = [i, believed] {
                return entry_rank{i % believed, believed};
            };
            hooks.unix_ms = [this, ahead] {
                const auto time =
                    std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch());
                return static_cast<std::uint64_t>((time + ahead).count());
            };
            auto made = options();
            made.limit_fraction = shape.limit_fraction;
            this->entries.emplace_back(made, std::move(hooks));
        }
    }

    /// Returns the times at which an entry was allowed to send a request to the server, and did.
    /// Each entry tries whenever `tries_to_send`.
    auto send_all(
        const registration& server,
        common::duration time,
        const std::function<auto(std::size_t entry, common::duration since)->bool>& tries_to_send)
        -> std::vector<time_point>
    {
        constexpr milliseconds step{10};
        std::vector<time_point> sends;
        for (this->now = this->begin; this->now < this->begin + time; this->now += step) {
            for (std::size_t i = 0; i < this->entries.size(); ++i) {
                auto& entry = this->entries[i];
                const bool sends_now = tries_to_send(i, this->now - this->begin) &&
                                       entry.may_send(server, cold_rate, this->now);
                if (sends_now) {
                    entry.note_sent(server, cold_rate, this->now);
                    sends.push_back(this->now);
                }
            }
        }
        return sends;
    }

    /// Makes the server's limit known to all entries.
    auto state_limit(const registration& server, double per_second) -> void
    {
        for (auto& entry : this->entries) {
            entry.limits().note(server.instance(), per_second, this->begin);
        }
    }

    time_point begin;

private:
    time_point now;
    std::vector<server_limiter> entries;
};

/// Every entry sends a request whenever it may while all servers are cold, as when all callers
/// return at once; half of the time it has none and its slots pass unused.
auto send_all(const crowd_shape& shape) -> crowd_result
{
    constexpr seconds cold_time{3};
    std::mt19937_64 random{shape.seed};
    crowd all(shape, random);
    crowd_result found;
    std::size_t sent = 0;
    for (std::size_t s = 0; s < shape.servers; ++s) {
        const auto server = cold_server("server-" + std::to_string(s), all.begin + cold_time);
        // No requests for half a second, then from all entries.
        const auto sends = all.send_all(server, cold_time, [](std::size_t, common::duration since) {
            return (since / milliseconds{500}) % 2 == 1;
        });
        found.most = std::max(found.most, max_per_second(sends));
        sent += sends.size();
    }
    found.mean = static_cast<double>(sent) / static_cast<double>(shape.servers) / cold_time.count();
    return found;
}

struct limited_result {
    /// Maximum number of requests in four seconds, relative to what a server with that limit can
    /// handle.
    double most = 0.0;
    /// Fraction of the limits that is used.
    double used = 0.0;
};

/// All servers have stated limits, and all entries send as much as they may; only a fraction
/// `sending_fraction` of them if only some have callers.
auto send_limited(const crowd_shape& shape, double sending_fraction = 1.0) -> limited_result
{
    constexpr seconds time{20};
    constexpr seconds window{4};
    constexpr std::array limits{0.5, 1.0, 2.7, 10.0, 40.0};
    std::mt19937_64 random{shape.seed};
    crowd all(shape, random);
    limited_result found;
    double sent = 0.0;
    double allowed = 0.0;
    for (std::size_t s = 0; s < shape.servers; ++s) {
        const auto limit = limits.at(s % limits.size());
        const auto server = cold_server("server-" + std::to_string(s), {});
        all.state_limit(server, limit);
        const auto with_callers = sending_fraction * static_cast<double>(shape.entries);
        const auto sends =
            all.send_all(server, time, [with_callers](std::size_t entry, common::duration) {
                return static_cast<double>(entry) < with_callers;
            });
        const double capacity = 1.5 * limit * static_cast<double>(window.count()) + 5.0;
        const auto most = static_cast<double>(reedramp::testing::max_count_within(sends, window));
        found.most = std::max(found.most, most / capacity);
        sent += static_cast<double>(sends.size());
        allowed += limit * static_cast<double>(time.count());
    }
    found.used = sent / allowed;
    return found;
}

} // namespace

TEST_CASE("all entries together send a cold server less than it can handle", "[cold]")
{
    for (const std::size_t entries : {1, 4, 27, 103, 390}) {
        for (const std::size_t servers : {12, 47, 360, 620}) {
            if (entries * servers > 40'000) {
                continue;
            }
            const auto found = send_all({.entries = entries, .servers = servers});
            std::cout << "METRIC cold_most_in_a_second_" << entries << "x" << servers << " "
                      << found.most << " requests\n";
            INFO(entries << " entries, " << servers << " servers, mean " << found.mean);
            CHECK(found.most <= cold_bound);
            CHECK(found.mean > 1.0);
        }
    }
}

TEST_CASE(
    "different views of the live entries, and an isolated entry, keep to a cold server's limit",
    "[cold]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        // Half of the entries have just started, and the others do not know of them yet. One entry
        // knows of no other.
        const auto found = send_all(
            {.entries = 54,
             .servers = 49,
             .believed =
                 [](std::size_t entry) {
                     return entry == 0 ? std::size_t{1} : std::size_t{entry < 27 ? 27U : 54U};
                 },
             .seed = seed});
        INFO("seed " << seed);
        CHECK(found.most <= cold_bound);
    }
}

TEST_CASE("servers' limits are used and never exceeded, with any number of entries", "[limits]")
{
    for (const std::size_t entries : {1, 4, 27, 103, 390}) {
        for (const std::size_t servers : {12, 47, 360, 620}) {
            if (entries * servers > 20'000) {
                continue;
            }
            const auto found = send_limited({.entries = entries, .servers = servers});
            const auto size = std::to_string(entries) + "x" + std::to_string(servers);
            std::cout << "METRIC limit_most_" << size << " " << found.most << " of_borne\n"
                      << "METRIC limit_used_" << size << " " << found.used << " of_limit\n";
            INFO(size);
            CHECK(found.most <= 1.0);
            CHECK(found.used >= 0.7);
        }
    }
}

TEST_CASE("ways to share a limit: utilisation and violations", "[.limit_ways]")
{
    // With unrelated clocks the slots are at random times.
    for (const auto clocks_differ : {milliseconds{100}, milliseconds{seconds{3600}}}) {
        for (const double part : {0.25, 0.5, 0.8}) {
            for (const std::size_t entries : {4, 27, 103}) {
                limited_result worst;
                double used = 0.0;
                double half_used = 0.0;
                int passed = 0;
                constexpr int seeds = 20;
                for (int seed = 1; seed <= seeds; ++seed) {
                    const crowd_shape shape{
                        .entries = entries,
                        .servers = 50,
                        .seed = static_cast<std::uint64_t>(seed),
                        .clocks_differ = clocks_differ,
                        .limit_fraction = part};
                    const auto found = send_limited(shape);
                    worst.most = std::max(worst.most, found.most);
                    passed += found.most > 1.0 ? 1 : 0;
                    used += found.used / seeds;
                    half_used += send_limited(shape, 0.5).used / seeds;
                }
                std::cout << "METRIC limit_ways_"
                          << (clocks_differ > seconds{1} ? "chance" : "even") << "_" << part << "_"
                          << entries << " most " << worst.most << " of_borne, passed in " << passed
                          << " of 20, used " << used << ", with half of the entries pressing "
                          << half_used << "\n";
            }
        }
    }
}

TEST_CASE(
    "a server's limit is not exceeded while half of the entries are unknown to the others",
    "[limits]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto found = send_limited(
            {.entries = 54,
             .servers = 20,
             .believed = [](std::size_t entry) { return std::size_t{entry < 27 ? 27U : 54U}; },
             .seed = seed});
        INFO("seed " << seed << ", " << found.most << " of its capacity");
        CHECK(found.most <= 1.0);
    }
}

TEST_CASE("clocks that differ by minutes do not make send slots coincide", "[cold]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto found = send_all({.seed = seed, .clocks_differ = seconds{600}});
        INFO("seed " << seed);
        CHECK(found.most <= cold_bound);
    }
}

TEST_CASE("unused send slots do not accumulate", "[cold]")
{
    const time_point begin{seconds{700}};
    auto alone = limiter_of(0, 1);
    const auto server = cold_server("s", begin + seconds{60});
    std::size_t sends = 0;
    for (auto now = begin + seconds{30}; now < begin + seconds{31}; now += milliseconds{1}) {
        if (alone.may_send(server, cold_rate, now)) {
            alone.note_sent(server, cold_rate, now);
            sends += 1;
        }
    }
    CHECK(sends <= 9);
    CHECK(sends >= 6);
}

TEST_CASE("a warm server, and one of a service without cold_rate, is not limited", "[cold]")
{
    const time_point now{seconds{700}};
    auto limiter = limiter_of(7, 390);
    const auto warm = cold_server("w", now);
    const auto cold = cold_server("c", now + seconds{3});
    for (int i = 0; i < 100; ++i) {
        CHECK(limiter.may_send(warm, cold_rate, now));
        limiter.note_sent(warm, cold_rate, now);
        CHECK(limiter.may_send(cold, 0.0, now));
        CHECK(limiter.next_slot(cold, 0.0, now) == now);
    }
    // The wait for a slot ends when the server is warm.
    CHECK(limiter.next_slot(cold, cold_rate, now) <= cold.cold_until);
}

TEST_CASE("the first warm server among many cold ones does not receive all requests", "[cold]")
{
    const time_point now{seconds{700}};
    std::vector<registration> all;
    for (int i = 0; i < 12; ++i) {
        all.push_back(cold_server("s" + std::to_string(i), now + seconds{3}));
    }
    all[0].cold_until = now;
    std::vector<const registration*> usable;
    for (const auto& one : all) {
        usable.push_back(&one);
    }
    load_tracker loads;
    const server_speed_tracker speeds;
    const server_health health{health_options{}};
    // A single entry always has a slot at some server.
    auto limiter = limiter_of(0, 1);
    placement_request asked;
    asked.work = 1000.0;
    std::size_t to_warm = 0;
    constexpr std::size_t requests = 30;
    for (std::size_t i = 0; i < requests; ++i) {
        const server_trackers trackers{loads, speeds, health, &limiter, cold_rate};
        const auto* chosen = choose_server(usable, asked, trackers, {}, i, now);
        REQUIRE(chosen != nullptr);
        limiter.note_sent(*chosen, cold_rate, now);
        loads.begin(chosen->instance(), asked.work);
        to_warm += chosen == &all[0] ? 1 : 0;
    }
    CHECK(to_warm >= 9);
    CHECK(to_warm < requests);
}

TEST_CASE("cold servers of a service without a cold rate are chosen like warm ones", "[cold]")
{
    const time_point now{seconds{700}};
    const std::vector<registration> all{
        cold_server("cold", now + seconds{3}), cold_server("warm", now)};
    load_tracker loads;
    loads.begin(all[1].instance(), 100.0);
    const server_speed_tracker speeds;
    const server_health health{health_options{}};
    const auto limiter = limiter_of(0, 1);
    placement_request asked;
    asked.work = 1000.0;
    const server_trackers trackers{loads, speeds, health, &limiter, 0.0};
    CHECK(choose_server({&all[0], &all[1]}, asked, trackers, {}, 1, now) == &all[0]);
}

TEST_CASE(
    "a choice skips cold servers without a send slot, and returns none if all are skipped",
    "[cold]")
{
    const time_point now{seconds{700}};
    std::vector<registration> all;
    for (int i = 0; i < 20; ++i) {
        all.push_back(cold_server("s" + std::to_string(i), now + seconds{3}));
    }
    std::vector<const registration*> usable;
    for (const auto& one : all) {
        usable.push_back(&one);
    }
    const load_tracker loads;
    const server_speed_tracker speeds;
    const server_health health{health_options{}};
    auto limiter = limiter_of(7, 390);
    for (const auto& one : all) {
        limiter.note_sent(one, cold_rate, now);
    }
    const server_trackers trackers{loads, speeds, health, &limiter, cold_rate};
    CHECK(choose_server(usable, {}, trackers, {}, 1, now) == nullptr);
    all[7].cold_until = now;
    for (std::uint64_t chance = 0; chance < 50; ++chance) {
        CHECK(choose_server(usable, {}, trackers, {}, chance, now) == &all[7]);
    }
}

} // namespace reedramp::routing
