#include <algorithm>
#include <iostream>
#include <map>
#include <random>

#include <catch2/catch.hpp>

#include "peer_group.hpp"
#include "router_fixture.hpp"

/// Tests of the size of entries' reports, and of what becomes of reports that are not received.
namespace reedramp::router::testing {

namespace {

using router_program::peer_group;

/// Receive buffer of earlier releases.
constexpr std::size_t receivable = 16'384;

const common::service_name engines{"engines"};
const common::version_id old_version{"v1"};
const common::version_id new_version{"v2"};

auto address_of(int number) -> http::endpoint
{
    return {"10.0.0." + std::to_string(number), 7000};
}

struct reporting_entry {
    explicit reporting_entry(int number)
        : group(
              own.core,
              common::host_id{"host-" + std::to_string(number)},
              address_of(number),
              milliseconds{100},
              [this](const http::endpoint&, const std::string& bytes) { this->sent = bytes; },
              [](const http::endpoint&) {})
    {
    }

    auto next_report() -> std::string
    {
        this->group.send_reports();
        return this->sent;
    }

    router_fixture own;
    std::string sent;
    peer_group group;
};

auto route_number(std::size_t number) -> routing::route_name
{
    return routing::route_name{"a-route-with-a-long-name-" + std::to_string(number)};
}

/// Evidence of an entry that serves a roll-out over this many routes.
auto note_answers(
    routing::rollout_manager& rollouts,
    const common::service_name& service,
    std::size_t routes,
    common::time_point now,
    bool is_good = false) -> void
{
    for (std::size_t i = 0; i < routes; ++i) {
        for (int answer = 0; answer < 12; ++answer) {
            rollouts.note_outcome(service, old_version, route_number(i), true);
        }
        rollouts.note_outcome(service, new_version, route_number(i), is_good);
        rollouts.note_sent(service, i, old_version, now);
        rollouts.note_ended(service, i, old_version, now);
    }
}

} // namespace

TEST_CASE("a report stays receivable at any number of what it reports", "[report_size]")
{
    // Guards against reports that are cut at the receiver, and dropped, while a roll-out runs.
    reporting_entry one{1};
    one.group.add(address_of(2));
    auto& core = *one.own.core;
    const auto now = one.own.now;
    const auto size = [&one] {
        return one.next_report().size();
    };
    const auto calm = size();
    auto before = calm;
    const auto print = [&size, &before](const char* what) {
        const auto with = size();
        std::cout << "METRIC report_bytes_" << what << " " << with - before << " bytes\n";
        before = with;
    };
    for (int i = 0; i < 620; ++i) {
        const routing::server_instance server{common::server_id{"server-" + std::to_string(i)}};
        core.loads.begin(server, 500.0 + i);
        core.health.note(server, routing::server_outcome::unreachable, now);
    }
    print("620_loads_and_outcomes");
    for (int i = 0; i < 300; ++i) {
        routing::registration server;
        server.id = common::server_id{"ended-" + std::to_string(i)};
        core.servers.apply_registration(server, now);
        core.servers.lapse(server.id);
        core.servers.remove_lapsed(9, now);
        server.id = common::server_id{"left-" + std::to_string(i)};
        server.is_leaving = true;
        core.servers.apply_registration(server, now);
    }
    print("300_ended_and_left");
    std::vector<routing::evacuation_order> orders;
    for (int i = 0; i < 6; ++i) {
        orders.push_back({common::data_centre_id{"data-centre-" + std::to_string(i)}, true, {}});
    }
    core.evacuations.apply_orders(orders, routing::stream_position{9});
    print("6_evacuations");
    for (int i = 0; i < 390; ++i) {
        one.group.add({"10.1." + std::to_string(i / 200) + "." + std::to_string(i % 200), 7000});
    }
    print("390_peers");
    core.rollouts.apply_order({engines, new_version, seconds{20}}, now);
    note_answers(core.rollouts, engines, 1000, now);
    print("roll_out_of_1000_routes");
    for (int i = 0; i < 40; ++i) {
        const common::service_name service{"service-" + std::to_string(i)};
        core.rollouts.apply_order({service, new_version, seconds{20}}, now);
        note_answers(core.rollouts, service, 50, now);
    }
    print("40_more_roll_outs");
    for (int i = 0; i < 20; ++i) {
        const auto bytes = one.next_report();
        CHECK(bytes.size() <= receivable);
        CHECK(decode_peer_report(bytes));
    }
    CHECK(core.counters.reports_shortened.value() == 0);
}

TEST_CASE("a report that is too long by its names goes without what is repeated", "[report_size]")
{
    // Guards against long names that make every report of an entry too long.
    reporting_entry one{1};
    one.group.add(address_of(2));
    auto& core = *one.own.core;
    const auto long_name = std::string(1500, 'x');
    core.rollouts.apply_order({engines, new_version, seconds{20}}, one.own.now);
    for (int i = 0; i < 40; ++i) {
        core.rollouts.note_outcome(
            engines, new_version, routing::route_name{long_name + std::to_string(i)}, false);
    }
    const auto report = decode_peer_report(one.next_report());
    REQUIRE(report);
    CHECK(one.sent.size() <= receivable);
    REQUIRE(report->rollouts.size() == 1);
    CHECK(report->rollouts[0].total_evidence.has_value());
    CHECK(core.counters.reports_shortened.value() > 0);
}

TEST_CASE("what is no report is counted", "[report_size]")
{
    // Guards against entries that do not hear each other, without a sign of it.
    reporting_entry one{1};
    reporting_entry other{2};
    other.group.add(address_of(1));
    const auto report = other.next_report();
    one.group.receive(report);
    CHECK(one.own.core->counters.reports_rejected.value() == 0);
    one.group.receive(std::string_view{report}.substr(0, report.size() - 8));
    one.group.receive("");
    one.group.receive(std::string(70, '\x7f'));
    CHECK(one.own.core->counters.reports_rejected.value() == 3);
}

TEST_CASE(
    "sessions on the old version are known beside the evidence of many routes", "[report_size]")
{
    // Guards against sessions that change their version in the first half of a roll-out: the report
    // that names them was too long, and dropped.
    reporting_entry one{1};
    reporting_entry other{2};
    one.group.add(address_of(2));
    auto now = one.own.now;
    for (auto* entry : {&one, &other}) {
        entry->own.core->rollouts.apply_order({engines, new_version, seconds{20}}, now);
    }
    note_answers(one.own.core->rollouts, engines, 160, now, true);
    // Both are in every share.
    constexpr std::uint64_t session = 0;
    constexpr std::uint64_t other_session = 1000;
    one.own.core->rollouts.note_sent(engines, session, old_version, now);
    const auto report = one.next_report();
    CHECK(report.size() <= receivable);
    other.group.receive(report);
    now += seconds{2};
    CHECK(other.own.core->rollouts.rule_for(engines, session, now).bars(new_version));
    CHECK(other.own.core->rollouts.rule_for(engines, other_session, now).preferred == new_version);
}

namespace {

enum class evidence_way : std::uint8_t { all_rows, rows_in_turn, sums_and_rows };

struct exchange_cost {
    std::size_t bytes_of_report = 0;
    milliseconds until_shared{0};
};

/// Lets entries exchange what they know of a version of which half of the answers fail, until all
/// of them judge it worse.
auto exchange_evidence(
    evidence_way way,
    std::size_t count,
    std::size_t routes,
    seconds before_order,
    std::uint64_t seed) -> exchange_cost
{
    using routing::version_side;
    constexpr milliseconds limit{16'000};
    constexpr std::size_t rows = 12;
    constexpr std::size_t peers_per_call = 4;
    std::mt19937_64 random{seed};
    std::bernoulli_distribution fails{0.5};
    std::bernoulli_distribution is_lost{0.1};
    std::bernoulli_distribution is_new{0.18};
    std::vector<routing::version_evidence> entries(
        count, routing::version_evidence{routing::evidence_options{}});
    std::vector<routing::route_name> turns(count);
    /// What each entry has of each other one, where rows alone are sent.
    std::map<
        std::pair<std::size_t, std::size_t>,
        std::map<routing::route_name, routing::evidence_report>>
        known;
    const auto serve = [&](bool has_new) {
        for (int i = 0; i < 10; ++i) {
            auto& entry = entries[random() % count];
            const bool goes_to_new = has_new && is_new(random);
            entry.add_outcome(
                route_number(random() % routes),
                goes_to_new ? version_side::new_one : version_side::old,
                !goes_to_new || !fails(random));
        }
    };
    for (int i = 0; i < before_order.count() * 10; ++i) {
        serve(false);
    }
    exchange_cost cost;
    std::size_t reports = 0;
    const auto calls_per_round = (count - 1 + peers_per_call - 1) / peers_per_call;
    for (std::size_t call = 0; cost.until_shared < limit; ++call) {
        serve(true);
        for (std::size_t from = 0; from < count; ++from) {
            peer_report report;
            report.rollouts.emplace_back();
            auto& sent = report.rollouts[0];
            sent.evidence = way == evidence_way::all_rows
                                ? entries[from].make_report()
                                : entries[from].make_report(rows, turns[from]);
            if (way == evidence_way::sums_and_rows) {
                sent.total_evidence = entries[from].total();
            }
            if (call % calls_per_round == 0) {
                turns[from] = entries[from].next_turn(rows, turns[from]);
            }
            cost.bytes_of_report += encode(report).size();
            reports += 1;
            for (std::size_t i = 0; i < std::min(peers_per_call, count - 1); ++i) {
                const auto to = (from + 1 + (call * peers_per_call + i) % (count - 1)) % count;
                if (is_lost(random)) {
                    continue;
                }
                const common::host_id name{std::to_string(from)};
                if (way != evidence_way::rows_in_turn) {
                    entries[to].apply_report(name, sent.evidence, sent.total_evidence);
                    continue;
                }
                auto& rows_known = known[{to, from}];
                for (const auto& [route, row] : sent.evidence) {
                    rows_known.insert_or_assign(route, row);
                }
                entries[to].apply_report(name, rows_known);
            }
        }
        cost.until_shared += milliseconds{100};
        if (std::ranges::all_of(entries, [](const auto& one) { return one.is_worse(); })) {
            break;
        }
    }
    cost.bytes_of_report /= reports;
    return cost;
}

} // namespace

/// Run by hand.
TEST_CASE("ways to exchange the evidence of many routes", "[.evidence_ways]")
{
    constexpr std::uint64_t seeds = 5;
    const auto before_order = GENERATE(seconds{12}, seconds{1200});
    std::cout << "after " << before_order.count() << " s of the old version\n";
    for (const std::size_t entries : {3, 28, 103}) {
        for (const std::size_t routes : {10, 160, 360, 1000}) {
            for (const auto way :
                 {evidence_way::all_rows,
                  evidence_way::rows_in_turn,
                  evidence_way::sums_and_rows}) {
                std::size_t bytes = 0;
                milliseconds sum{0};
                milliseconds longest{0};
                for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                    const auto cost = exchange_evidence(way, entries, routes, before_order, seed);
                    bytes += cost.bytes_of_report / seeds;
                    sum += cost.until_shared / seeds;
                    longest = std::max(longest, cost.until_shared);
                }
                const auto name = std::to_string(static_cast<int>(way)) + "_" +
                                  std::to_string(entries) + "_" + std::to_string(routes);
                std::cout << "METRIC evidence_bytes_" << name << " " << bytes << " bytes\n"
                          << "METRIC evidence_shared_" << name << " " << sum.count() << " ms\n"
                          << "METRIC evidence_shared_latest_" << name << " " << longest.count()
                          << " ms\n";
            }
        }
    }
}

} // namespace reedramp::router::testing
