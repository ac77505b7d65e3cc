#include <chrono>
#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "routing/peer_speed_table.hpp"

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t entries = 22;
constexpr std::size_t servers = 41;
constexpr double streams_per_second = 9.0;
constexpr milliseconds call{100};
constexpr milliseconds longest{120'000};
const common::service_name engines{"engines"};

/// One server in four is slow.
auto speed_of(std::size_t server) -> double
{
    return server % 4 == 0 ? 0.55 : 1.2;
}

auto id_of(std::size_t server) -> server_instance
{
    return common::server_id{"server-" + std::to_string(server)};
}

struct entry {
    std::map<common::service_name, server_speed_tracker> speeds;
    peer_speed_table peers;
    std::vector<speed_report> reported;
    std::uint64_t last_reported = 0;
};

/// Entries that learn speeds from streams and, where `with_reports` is set, from each other: each
/// sends a report to four peers every 100 ms, so that all get one in six calls.
class learning {
public:
    explicit learning(bool with_reports_to_use) : with_reports(with_reports_to_use)
    {
        for (std::size_t i = 0; i < entries; ++i) {
            this->all[i].last_reported = this->random();
        }
    }

    /// Time until nine in ten estimates of slow servers are within a fifth of `truth`.
    auto time_until_known(
        double truth,
        const std::function<
            auto(const entry& at, const server_instance& id, time_point now)->double>& estimate)
        -> milliseconds
    {
        for (milliseconds time{0}; time < longest; time += call) {
            const time_point now{std::chrono::seconds{100} + time};
            this->run_streams();
            if (this->with_reports) {
                this->exchange_reports(static_cast<std::size_t>(time / call), now);
            }
            int known = 0;
            int slow = 0;
            for (const auto& at : this->all) {
                for (std::size_t i = 0; i < servers; i += 4) {
                    const auto error = estimate(at, id_of(i), now) / truth;
                    known += error > 0.8 && error < 1.2 ? 1 : 0;
                    slow += 1;
                }
            }
            if (known * 10 >= slow * 9) {
                return time;
            }
        }
        return longest;
    }

private:
    auto run_streams() -> void
    {
        std::bernoulli_distribution begins(streams_per_second / 10.0);
        std::lognormal_distribution<double> queueing(0.0, 0.6);
        std::lognormal_distribution<double> jitter(0.0, 0.2);
        std::bernoulli_distribution is_host_slow(0.15);
        constexpr double host_slowdown = 2.5;
        const std::vector<double> models{0.3, 0.8, 3.0};
        for (auto& at : this->all) {
            if (!begins(this->random)) {
                continue;
            }
            const auto server = this->random() % servers;
            const auto model = this->random() % models.size();
            const auto slowdown =
                (is_host_slow(this->random) ? host_slowdown : 1.0) / speed_of(server);
            constexpr double work = 2000.0;
            constexpr double ms_per_work = 0.1;
            const auto wait = work * ms_per_work * slowdown * queueing(this->random);
            auto& speeds = at.speeds[engines];
            speeds.note(id_of(server), milliseconds{static_cast<int>(wait)}, work);
            constexpr double pause_ms = 30.0;
            speeds.note_pause(
                id_of(server),
                std::to_string(model),
                pause_ms * models[model] * slowdown * jitter(this->random));
        }
    }

    auto exchange_reports(std::size_t number, time_point now) -> void
    {
        constexpr std::size_t calls_per_round = 6;
        for (std::size_t from = 0; from < entries; ++from) {
            auto& sender = this->all[from];
            if (number % calls_per_round == 0) {
                sender.reported = next_speed_reports(sender.speeds, sender.last_reported);
                sender.last_reported = sender.reported.empty() ? 0 : sender.reported.back().server;
            }
            const common::host_id host{"host-" + std::to_string(from)};
            for (std::size_t to = 0; to < entries; ++to) {
                if (from != to && (from + to + number) % calls_per_round == 0) {
                    this->all[to].peers.apply_reports(host, sender.reported, now);
                }
            }
        }
    }

    bool with_reports;
    std::mt19937_64 random{1};
    std::vector<entry> all{entries};
};

} // namespace

TEST_CASE("entries know slow servers within seconds", "[server_speed]")
{
    // From waits alone an entry needs four samples of a server, at one in five seconds, and they
    // contain the queueing time. Until then a server at half the speed gets a full share.
    const auto to_median = speed_of(1) / speed_of(0);
    constexpr std::size_t slow_servers = (servers + 3) / 4;
    const auto slow = static_cast<double>(slow_servers) / static_cast<double>(servers);
    const auto to_mean = std::pow(to_median, 1.0 - slow);
    const auto by_waits = [](const entry& at, const server_instance& id, time_point /*now*/) {
        return at.speeds.contains(engines) ? at.speeds.at(engines).slowness(id) : 1.0;
    };
    const auto by_pace = [](const entry& at, const server_instance& id, time_point now) {
        const auto of_peers = at.peers.pace_of(id, now);
        return at.speeds.contains(engines) ? at.speeds.at(engines).slowness_by_pace(id, of_peers)
                                           : 1.0;
    };
    const auto before = learning{false}.time_until_known(to_median, by_waits);
    const auto alone = learning{false}.time_until_known(to_mean, by_pace);
    const auto together = learning{true}.time_until_known(to_mean, by_pace);
    std::cout << "METRIC slow_servers_known_after_22x41 " << together.count() << " ms ("
              << alone.count() << " without peers, " << before.count() << " by waits, at most "
              << longest.count() << ")\n";
    CHECK(together <= milliseconds{10'000});
    CHECK(together < before / 4);
}

} // namespace reedramp::routing
