#pragma once

#include <cstddef>
#include <random>
#include <vector>

#include "overload/organisation_shares.hpp"
#include "overload/service_pressure.hpp"
#include "share_rules.hpp"

/// A service whose queue is a fluid, entries that send to it, and 24 organisations of unlike size,
/// one of which overloads it. Organisations beyond their share give way in proportion.
namespace reedramp::overload::testing {

struct simulation_options {
    std::size_t entries = 22;
    /// Organisation that overloads the service from second 10 on, and how many times its usual.
    std::size_t who = 0;
    double factor = 1.0;
    /// Organisation that sends nothing between two seconds; none by default.
    std::size_t idle = 1000;
    int idle_from = 0;
    int idle_to = 0;
    int seconds = 60;
    unsigned seed = 1;
};

/// Measured over the seconds of the overload, but its first three, unless stated otherwise.
struct simulation_result {
    /// Work of the others that was served in time.
    double others = 0.0;
    /// Work served in time, relative to the room.
    double served = 0.0;
    /// Mean wait in the service's queue, relative to the target.
    double mean_wait = 0.0;
    /// Refused requests of the organisation with one request a minute.
    std::size_t rare_refused = 0;
    /// Work served per second while the organisation is idle, and otherwise, relative to the room.
    double served_idle = 0.0;
    double served_otherwise = 0.0;
    /// Part of its usual work that it got in the five seconds after its return.
    double returned = 0.0;
};

/// Fall of the others' work if each organisation got exactly its max-min share. Above 0 if others
/// usually use more than an equal share, since weights are equal.
auto least_fall(std::size_t who, double factor) -> double;

class share_simulation {
public:
    explicit share_simulation(simulation_options options);

    auto run() -> simulation_result;

    /// Usual work per second of an organisation, relative to the room.
    static auto usual_part(std::size_t organisation) -> double;

private:
    struct entry {
        organisation_shares shares;
        pressure_gauge gauge;
        /// Age of its view of the queue, in ticks.
        std::size_t age = 1;
        std::size_t next_peer = 0;
    };

    auto send_reports(std::size_t from) -> void;
    auto ask(entry& at, std::size_t organisation, double work) -> void;
    auto run_tick(int second) -> void;
    [[nodiscard]] auto wait() const -> double;
    [[nodiscard]] auto is_idle(int second) const -> bool;

    simulation_options options;
    std::mt19937_64 random;
    /// By organisation, so that the others' arrivals are the same with and without the overload.
    std::vector<std::mt19937_64> arrivals;
    std::vector<entry> entries;
    common::time_point now{std::chrono::seconds{1000}};
    /// Lengths of the queue, in work, by tick.
    std::vector<double> queue{0.0};
    /// Work served in time in this second, by organisation.
    std::vector<double> served;
    std::size_t rare_refused = 0;
};

} // namespace reedramp::overload::testing
