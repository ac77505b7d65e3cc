#include "overload/organisation_shares.hpp"

#include <catch2/catch.hpp>

#include "share_rules.hpp"

namespace reedramp::overload {

namespace {

using namespace std::chrono_literals;
using testing::name_of;

const common::service_name engines{"engines"};

/// Shares whose rules have the service "engines" and `count` organisations.
auto shares_of(std::size_t count) -> organisation_shares
{
    organisation_shares shares;
    shares.set_rules(testing::rules_of(engines, count));
    return shares;
}

/// Notes steady sends of each organisation for 20 s: ten requests a second that together have its
/// work per second.
auto note_steadily(organisation_shares& shares, std::vector<double> rates, common::time_point& now)
    -> void
{
    for (int tick = 0; tick < 200; ++tick, now += 100ms) {
        for (std::size_t i = 0; i < rates.size(); ++i) {
            shares.note_sent(engines, name_of(i), rates[i] / 10.0, true, now);
        }
    }
}

} // namespace

TEST_CASE("nobody is beyond its share while the pressure is below 1", "[shares]")
{
    // With capacity for all, no request may be handled differently.
    common::time_point now{1000s};
    auto shares = shares_of(3);
    note_steadily(shares, {1e4, 1e3, 1e3}, now);
    CHECK(shares.excess(engines, name_of(0), 0.99, now) == 1.0);
    CHECK(shares.count_beyond(engines, 0.99, now) == 0);
}

TEST_CASE("the largest user is beyond its share and the others are exactly within", "[shares]")
{
    common::time_point now{1000s};
    auto shares = shares_of(4);
    note_steadily(shares, {1000, 2000, 3000, 4000}, now);
    // The overload: the largest asks for five times as much, and a part of it is refused.
    for (int tick = 0; tick < 40; ++tick, now += 100ms) {
        for (std::size_t i = 0; i < 4; ++i) {
            shares.note_sent(engines, name_of(i), 100.0 * static_cast<double>(i + 1), true, now);
        }
        shares.note_refused(engines, name_of(3), 1600.0, now);
    }
    CHECK(shares.excess(engines, name_of(3), 2.0, now) == Approx(4.5).margin(0.4));
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(shares.excess(engines, name_of(i), 2.0, now) == 1.0);
    }
    CHECK(shares.count_beyond(engines, 2.0, now) == 1);
    CHECK(shares.excess(common::service_name{"other"}, name_of(3), 2.0, now) == 1.0);
}

TEST_CASE("an organisation that is alone at a service is within its share", "[shares]")
{
    // There is nobody to give way to.
    common::time_point now{1000s};
    auto shares = shares_of(2);
    note_steadily(shares, {1e4}, now);
    CHECK(shares.excess(engines, name_of(0), 5.0, now) == 1.0);
    CHECK(shares.count_beyond(engines, 5.0, now) == 0);
}

TEST_CASE("an organisation with one request a minute is never beyond its share", "[shares]")
{
    // Its request, though larger than a fair share of the window, must not count against itself,
    // also when it is sent a second time.
    common::time_point now{1000s};
    auto shares = shares_of(3);
    note_steadily(shares, {2000, 2000}, now);
    for (int minute = 0; minute < 3; ++minute) {
        shares.note_sent(engines, name_of(2), 5e4, true, now);
        shares.note_sent(engines, name_of(2), 5e4, false, now + 1s);
        CHECK(shares.excess(engines, name_of(2), 3.0, now + 1s) == 1.0);
        now += 60s;
        CHECK(shares.excess(engines, name_of(2), 3.0, now) == 1.0);
    }
}

TEST_CASE("a peer's rows count until they expire or are replaced", "[shares]")
{
    // An entry that wakes after a freeze must not decide by usage that is long over.
    common::time_point now{1000s};
    auto shares = shares_of(2);
    note_steadily(shares, {1000, 1000}, now);
    auto peer = shares_of(2);
    auto peer_now = common::time_point{1000s};
    note_steadily(peer, {9000, 1000}, peer_now);
    for (int tick = 0; tick < 40; ++tick, peer_now += 100ms) {
        peer.note_sent(engines, name_of(0), 900.0, true, peer_now);
        peer.note_sent(engines, name_of(1), 100.0, true, peer_now);
        peer.note_refused(engines, name_of(0), 900.0, peer_now);
    }
    const common::host_id host{"peer"};
    shares.apply_reports(host, peer.make_reports(peer_now), now + 2s);
    now += 100ms;
    CHECK(shares.excess(engines, name_of(0), 1.5, now) > 1.2);
    CHECK(shares.excess(engines, name_of(1), 1.5, now) == 1.0);
    shares.apply_reports(host, {}, now + 2s);
    note_steadily(shares, {1000, 1000}, now);
    CHECK(shares.excess(engines, name_of(0), 1.0, now) == 1.0);
    shares.apply_reports(host, peer.make_reports(peer_now), now + 2s);
    now += 5s;
    shares.note_sent(engines, name_of(1), 1000.0, true, now);
    shares.note_sent(engines, name_of(0), 1000.0, true, now);
    CHECK(shares.excess(engines, name_of(0), 1.0, now) == 1.0);
}

TEST_CASE("a report names at most eight organisations, the largest first", "[shares]")
{
    // The bytes of a report must not grow with the number of organisations.
    common::time_point now{1000s};
    auto shares = shares_of(30);
    std::vector<double> rates;
    for (int i = 1; i <= 30; ++i) {
        rates.push_back(100.0 * i);
    }
    note_steadily(shares, rates, now);
    const auto rows = shares.make_reports(now);
    // In addition, the two totals of the service.
    REQUIRE(rows.size() == 10);
    CHECK(rows.front().key == usage_key(engines, "o29"));
    CHECK(rows[7].key == usage_key(engines, "o22"));
    CHECK(rows.front().rate == Approx(3000.0).epsilon(0.1));
    CHECK(organisation_shares{}.make_reports(now).empty());
}

} // namespace reedramp::overload
