#include "share_simulation.hpp"

#include <chrono>
#include <iostream>
#include <string>

#include <catch2/catch.hpp>

namespace reedramp::overload {

using testing::simulation_options;

namespace {

/// Simulations with other arrivals that each figure is the mean of.
constexpr unsigned runs = 3;

} // namespace

TEST_CASE("one organisation's overload costs the others little", "[shares]")
{
    // Loop over seconds in which those beyond their share give way in proportion, with the usual
    // load of 24 organisations as the room. Organisation 0 is the largest, organisation 6 is in the
    // middle.
    constexpr double factor = 10.0;
    for (const std::size_t entries : {22U, 103U}) {
        for (const std::size_t who : {0U, 6U}) {
            double without = 0.0;
            double others = 0.0;
            double served = 0.0;
            double wait = 0.0;
            for (unsigned seed = 1; seed <= runs; ++seed) {
                const simulation_options usual{.entries = entries, .who = who, .seed = seed};
                auto overloaded = usual;
                overloaded.factor = factor;
                without += testing::share_simulation{usual}.run().others;
                const auto with = testing::share_simulation{overloaded}.run();
                others += with.others;
                served += with.served / runs;
                wait += with.mean_wait / runs;
                CHECK(with.rare_refused == 0);
            }
            const auto fall = 1.0 - others / without;
            const auto least = testing::least_fall(who, factor);
            const auto name =
                std::to_string(entries) + "_entries_organisation_" + std::to_string(who);
            std::cout << "METRIC share_fall_of_others_" << name << " " << fall << " of_their_work\n"
                      << "METRIC share_least_fall_" << name << " " << least << " of_their_work\n"
                      << "METRIC share_served_" << name << " " << served << " of_room\n"
                      << "METRIC share_wait_" << name << " " << wait << " of_target\n";
            CHECK(fall < least + 0.02);
        }
    }
}

TEST_CASE("an unused share is given to others at once, and back when it is used again", "[shares]")
{
    // Capacity must not stay unused for an organisation that does not need it, and the organisation
    // must not have to wait for it.
    constexpr std::size_t idle = 1;
    for (const std::size_t entries : {22U, 103U}) {
        double taken = 1.0;
        double returned = 0.0;
        for (unsigned seed = 1; seed <= runs; ++seed) {
            simulation_options options{.entries = entries, .factor = 10.0, .seed = seed};
            options.idle = idle;
            options.idle_from = 25;
            options.idle_to = 45;
            const auto found = testing::share_simulation{options}.run();
            const auto unused = testing::share_simulation::usual_part(idle);
            taken -= (found.served_otherwise - found.served_idle) / unused / runs;
            returned += found.returned / runs;
        }
        std::cout << "METRIC share_taken_up_" << entries << "_entries " << taken
                  << " of_the_unused\n"
                  << "METRIC share_returned_" << entries << "_entries " << returned
                  << " of_usual\n";
        CHECK(taken > 0.8);
        CHECK(returned > 0.9);
    }
}

TEST_CASE("an excess costs little with the reports of 390 entries and 60 organisations", "[shares]")
{
    // Entries have as little as 0.068 cores.
    using clock = std::chrono::steady_clock;
    const common::service_name service{"engines"};
    organisation_shares shares;
    shares.set_rules(testing::rules_of(service, 60));
    common::time_point now{std::chrono::seconds{1000}};
    for (std::size_t i = 0; i < 60; ++i) {
        shares.note_sent(service, testing::name_of(i), 1000.0, true, now);
    }
    for (int peer = 0; peer < 390; ++peer) {
        shares.apply_reports(
            common::host_id{"h" + std::to_string(peer)},
            shares.make_reports(now),
            now + std::chrono::minutes{1});
    }
    constexpr int rounds = 200;
    const auto measure = [&](common::duration step) {
        const auto start = clock::now();
        double sum = 0.0;
        for (int i = 0; i < rounds; ++i, now += step) {
            sum += shares.excess(service, testing::name_of(1), 2.0, now);
        }
        CHECK(sum >= rounds);
        return std::chrono::duration<double, std::micro>(clock::now() - start).count() / rounds;
    };
    std::cout << "METRIC share_excess_with_new_sums " << measure(std::chrono::milliseconds{100})
              << " us\n"
              << "METRIC share_excess " << measure(common::duration{0}) << " us\n";
}

} // namespace reedramp::overload
