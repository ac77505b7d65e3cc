#include <algorithm>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "rollout_names.hpp"

/// Tests of roll-outs of services with hundreds of routes, of which reports between entries hold
/// some at a time.
namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds report_period{100};
/// Peers that get each report of an entry.
constexpr std::size_t reports_per_call = 4;

auto route_number(std::size_t number) -> route_name
{
    return route_name{"route-" + std::to_string(number)};
}

struct many_routes_options {
    std::size_t entries = 3;
    std::size_t routes = 160;
    std::uint64_t seed = 1;
    /// Share of the new version's answers that fail; by route if `fails_on` is set.
    double fails = 0.0;
    std::function<auto(std::size_t route)->bool> fails_on = {};
    /// Share of either version's answers that fail in any case, by route.
    std::function<auto(std::size_t route)->double> usual_failures = {};
    /// Requests per second over all entries.
    int rate = 100;
    /// Share of the requests that are for the first route.
    double first_route_share = 0.0;
    double loss = 0.1;
    seconds before_order{12};
};

/// Entries with the new version's share of requests, whose reports are lost in part.
class many_routes {
public:
    explicit many_routes(const many_routes_options& wanted)
        : options(wanted), random(wanted.seed), managers(wanted.entries, make_manager())
    {
        const auto order_at = start;
        for (this->now = order_at - this->options.before_order; this->now < order_at;
             this->now += report_period) {
            this->serve();
        }
        for (auto& manager : this->managers) {
            manager.apply_order({engines, new_version, allowed}, this->now);
        }
    }

    /// Runs until all entries have reverted the new version. Returns how long that took, or
    /// `limit`.
    auto time_until_reverted(milliseconds limit) -> milliseconds
    {
        while (this->now - start < limit && this->reverted_at() < std::ssize(this->managers)) {
            this->serve();
            this->send_reports();
            this->now += report_period;
        }
        return std::chrono::duration_cast<milliseconds>(this->now - start);
    }

    [[nodiscard]] auto reverted_at() -> std::ptrdiff_t
    {
        return std::ranges::count_if(this->managers, [this](rollout_manager& manager) {
            manager.rule_for(engines, 0, this->now);
            return manager.states(this->now).front().status.state == rollout_state::reverted;
        });
    }

    int sent_to_new = 0;
    int sent = 0;

private:
    static auto make_manager() -> rollout_manager
    {
        rollout_options settings;
        settings.schedule.first_share = 0.18;
        settings.exposure_slack = 30.0;
        return rollout_manager{settings};
    }

    auto serve() -> void
    {
        std::bernoulli_distribution is_first{this->options.first_route_share};
        for (int i = 0; i < this->options.rate / 10; ++i) {
            auto& manager = this->managers[this->random() % this->managers.size()];
            const auto route = is_first(this->random) ? 0 : this->random() % this->options.routes;
            const auto session = this->random();
            const auto rule = manager.rule_for(engines, session, this->now);
            const auto version = rule.preferred == new_version ? new_version : old_version;
            manager.note_sent(engines, session, version, this->now);
            manager.note_ended(engines, session, version, this->now);
            manager.note_outcome(
                engines, version, route_number(route), this->is_good(version, route));
            this->sent += this->now >= start ? 1 : 0;
            this->sent_to_new += version == new_version ? 1 : 0;
        }
    }

    auto is_good(const common::version_id& version, std::size_t route) -> bool
    {
        const double usual =
            this->options.usual_failures ? this->options.usual_failures(route) : 0.0;
        const bool is_bad_here = !this->options.fails_on || this->options.fails_on(route);
        const double fails =
            version == new_version && is_bad_here ? std::max(usual, this->options.fails) : usual;
        return !std::bernoulli_distribution{fails}(this->random);
    }

    auto send_reports() -> void
    {
        const auto count = this->managers.size();
        if (count == 1) {
            return;
        }
        std::bernoulli_distribution is_lost{this->options.loss};
        const auto calls_per_round = (count - 1 + reports_per_call - 1) / reports_per_call;
        for (std::size_t from = 0; from < count; ++from) {
            if (this->calls % calls_per_round == 0) {
                this->managers[from].begin_report_round();
            }
            const auto reports = this->managers[from].make_reports(this->now);
            for (std::size_t i = 0; i < std::min(reports_per_call, count - 1); ++i) {
                const auto to =
                    (from + 1 + (this->calls * reports_per_call + i) % (count - 1)) % count;
                if (!is_lost(this->random)) {
                    this->managers[to].apply_reports(
                        common::host_id{"host-" + std::to_string(from)}, reports, this->now);
                }
            }
        }
        this->calls += 1;
    }

    many_routes_options options;
    std::mt19937_64 random;
    std::vector<rollout_manager> managers;
    time_point now;
    std::size_t calls = 0;
};

} // namespace

TEST_CASE("a version that fails is found at once, however many routes there are", "[many_routes]")
{
    // Guards against evidence that no entry adds up, as reports are too long or each route has a
    // handful of requests: half of the answers failed, and all callers were moved to the version.
    for (const std::size_t entries : {1, 3, 28}) {
        for (const std::size_t routes : {10, 160, 360, 1000}) {
            for (const std::uint64_t seed : {1, 2, 3}) {
                many_routes rollout{
                    {.entries = entries, .routes = routes, .seed = seed, .fails = 0.5}};
                const auto took = rollout.time_until_reverted(seconds{16});
                INFO(
                    entries << " entries, " << routes << " routes, seed " << seed << ": "
                            << rollout.sent_to_new << " requests in " << took.count() << " ms");
                // The fiftieth failure, a rollback time of 5 s, and what operators allow.
                CHECK(took <= seconds{8});
                CHECK(rollout.sent_to_new <= 100);
            }
        }
    }
}

TEST_CASE("103 entries share one view of a version that fails", "[many_routes]")
{
    // Guards against the same where each entry sees one failure, or none.
    many_routes rollout{{.entries = 103, .routes = 360, .fails = 0.5, .rate = 300}};
    const auto took = rollout.time_until_reverted(seconds{16});
    INFO(rollout.sent_to_new << " requests in " << took.count() << " ms");
    CHECK(took <= seconds{8});
}

TEST_CASE("a version that fails on one busy route of many is found", "[many_routes]")
{
    // Guards against a failing route that is lost in the sum over all others.
    for (const std::uint64_t seed : {1, 2, 3}) {
        many_routes rollout{
            {.routes = 360,
             .seed = seed,
             .fails = 0.9,
             .fails_on = [](std::size_t route) { return route == 0; },
             .first_route_share = 0.3}};
        INFO("seed " << seed);
        CHECK(rollout.time_until_reverted(seconds{16}) <= seconds{8});
    }
}

TEST_CASE("a good version of many routes is not reverted", "[many_routes]")
{
    // Guards against false alarms where some routes always fail, with either version: compared with
    // all routes together, such a route alone looks like a failing version.
    int reverted = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        many_routes rollout{
            {.entries = 3,
             .routes = 160 + 10 * seed,
             .seed = seed,
             .usual_failures = [](std::size_t route) {
                 return route % 20 == 0 ? 1.0 : 0.01;
             }}};
        rollout.time_until_reverted(seconds{12});
        reverted += rollout.reverted_at() > 0 ? 1 : 0;
    }
    CHECK(reverted == 0);
}

TEST_CASE("a report holds a bounded number of routes, sessions and roll-outs", "[many_routes]")
{
    // Guards against reports that grow with the configuration until peers can't receive them.
    constexpr std::size_t service_count = 30;
    constexpr std::size_t route_count = 200;
    rollout_manager manager{rollout_options{}};
    for (std::size_t service = 0; service < service_count; ++service) {
        const common::service_name name{"service-" + std::to_string(service)};
        manager.apply_order({name, new_version, allowed}, start);
        for (std::size_t i = 0; i < route_count; ++i) {
            manager.note_sent(name, i, old_version, start);
            manager.note_ended(name, i, old_version, start);
            manager.note_outcome(name, new_version, route_number(i), i % 2 == 0);
        }
    }
    std::set<common::service_name> services;
    std::set<route_name> routes;
    for (int round = 0; round < 300; ++round) {
        manager.begin_report_round();
        const auto reports = manager.make_reports(start + seconds{1});
        std::size_t rows = 0;
        std::size_t reported_sessions = 0;
        for (const auto& report : reports) {
            services.insert(report.service);
            rows += report.evidence.size();
            reported_sessions += report.old_sessions.size();
            for (const auto& [route, row] : report.evidence) {
                routes.insert(route);
            }
            CHECK(report.total_evidence.has_value());
        }
        CHECK(reports.size() <= 12);
        CHECK(rows <= 36);
        CHECK(reported_sessions <= 96);
    }
    // All get their turn.
    CHECK(services.size() == service_count);
    CHECK(routes.size() == route_count);
}

TEST_CASE("a peer's routes that are not in a report keep their evidence", "[many_routes]")
{
    // Guards against taking an absent row for "none any more".
    version_evidence sender{evidence_options{}};
    for (int i = 0; i < 40; ++i) {
        for (const auto& route : {route_number(1), route_number(2)}) {
            sender.add_outcome(route, version_side::old, true);
        }
    }
    sender.add_outcome(route_number(1), version_side::new_one, false);
    sender.add_outcome(route_number(2), version_side::new_one, false);
    const auto all = sender.make_report();
    const common::host_id peer{"b"};
    version_evidence whole{evidence_options{}};
    whole.apply_report(peer, all, sender.total());
    version_evidence in_parts{evidence_options{}};
    for (const auto& item : all) {
        in_parts.apply_report(peer, {item}, sender.total());
        // Repeated, it adds nothing.
        in_parts.apply_report(peer, {item}, sender.total());
    }
    CHECK(in_parts.log_against().strongest == Approx(whole.log_against().strongest));
    CHECK(in_parts.log_against().overall == Approx(whole.log_against().overall));
    // An earlier release sends all of its routes, and no sum.
    version_evidence from_earlier{evidence_options{}};
    from_earlier.apply_report(peer, all);
    CHECK(from_earlier.log_against().overall == Approx(whole.log_against().overall));
    from_earlier.apply_report(peer, {*all.begin()});
    CHECK(from_earlier.log_against().overall < whole.log_against().overall);
    // With the rows alone, an earlier release loses those that are not in the newest report.
    version_evidence at_earlier{evidence_options{}};
    at_earlier.apply_report(peer, sender.make_report(3));
    CHECK(at_earlier.log_against().overall == Approx(whole.log_against().overall));
}

TEST_CASE("an entry that hears no peer stops no version that works", "[many_routes]")
{
    // Guards against `complete` from the end of the time alone: peers may have seen failures.
    rollout_manager manager{rollout_options{}};
    manager.apply_order({engines, new_version, allowed}, start);
    manager.apply_status({engines, new_version, rollout_state::running});
    const auto due = [&manager](time_point now) {
        const auto states = manager.due_states(now);
        return states.empty() ? rollout_state::running : states.front().state;
    };
    const auto late_in_time = start + milliseconds{19'500};
    const auto share_at = [&manager](time_point now) {
        manager.rule_for(engines, 0, now);
        return manager.states(now).front().share;
    };
    const common::host_id peer{"b"};
    SECTION("one without peers goes by its own answers and the time")
    {
        CHECK(due(late_in_time) == rollout_state::complete);
    }
    SECTION("one that has lost its peers keeps the first share and the old version")
    {
        manager.apply_reports(peer, {}, start + seconds{5});
        CHECK(share_at(start + seconds{9}) == Approx(0.10));
        CHECK(share_at(start + seconds{18}) == Approx(0.10));
        CHECK(due(late_in_time) == rollout_state::running);
        // Heard again.
        manager.apply_reports(peer, {}, late_in_time);
        CHECK(due(late_in_time) == rollout_state::complete);
    }
    SECTION("one with enough answers of its own goes on")
    {
        manager.apply_reports(peer, {}, start + seconds{5});
        for (int i = 0; i < 200; ++i) {
            for (const auto& version : {old_version, new_version}) {
                const timed_answer timed{timed_part::plain_answer, 60.0};
                manager.note_outcome(engines, version, drafts, true);
                manager.note_time(engines, version, drafts, timed, start + seconds{8});
            }
        }
        CHECK(share_at(start + seconds{14}) == 1.0);
        CHECK(due(late_in_time) == rollout_state::complete);
    }
}

} // namespace reedramp::routing
