#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "common/log.hpp"
#include "router_fixture.hpp"

namespace reedramp::router::testing {

namespace {

/// Collects log lines while it exists.
struct log_capture {
    log_capture()
    {
        common::set_log_sink([this](common::log_level /*level*/, std::string_view line) {
            this->lines.emplace_back(line);
        });
    }

    ~log_capture() { common::set_log_sink({}); }

    log_capture(const log_capture&) = delete;
    log_capture(log_capture&&) = delete;
    auto operator=(const log_capture&) -> log_capture& = delete;
    auto operator=(log_capture&&) -> log_capture& = delete;

    /// The newest line that contains `text`; empty if there is none.
    [[nodiscard]] auto find(const std::string& text) const -> std::string
    {
        std::string newest;
        for (const auto& line : this->lines) {
            newest = line.find(text) == std::string::npos ? newest : line;
        }
        return newest;
    }

    std::vector<std::string> lines;
};

/// The fixture's rules, with a priority of the organisation "org" and one of all routes.
auto rules_with_priority(
    std::uint64_t version, std::optional<unsigned> of_organisation, unsigned of_routes)
    -> published_rules
{
    auto rules = rules_of(version);
    rules.rules.organisations.front().priority = of_organisation;
    for (auto& route : rules.rules.routes) {
        route.priority = of_routes;
    }
    return rules;
}

auto contains(const std::string& line, const std::string& part) -> bool
{
    return line.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("log lines of decisions state the organisation and the rank", "[organisations]")
{
    // Without them, the log does not show who got the capacity under overload.
    const log_capture log;
    router_fixture fixture;
    const auto asked = fixture.ask("/stream/x");
    fixture.last().head(200, {{"Reedramp-Confidence", "10"}});
    fixture.last().head(200, {{"Reedramp-Confidence", "90"}});
    fixture.last().chunk("id: 0\ndata: x\n\n");
    fixture.last().end();
    CHECK(contains(log.find("sent request="), " organisation=org rank=0 "));
    CHECK(contains(log.find("answer dropped"), " organisation=org rank=0 "));
    CHECK(contains(log.find("answer accepted"), " organisation=org rank=0 "));
    CHECK(contains(log.find("answer accepted"), " pressure=0.00"));
    CHECK(contains(log.find("ended request="), " how=served organisation=org rank=0 "));
    fixture.core->announce_end(fixture.now);
    fixture.ask("/stream/x");
    CHECK(contains(log.find("refused request="), " why=shutting_down organisation=org rank=0"));
    fixture.ask("/stream/x", {{"Reedramp-Key", "unknown"}});
    CHECK(contains(log.find("why=unauthenticated"), " rank=0"));
    CHECK_FALSE(contains(log.find("why=unauthenticated"), "organisation="));
    fixture.ask("/nowhere/");
    CHECK(contains(log.find("why=unknown_path"), " organisation=org"));
    CHECK_FALSE(contains(log.find("why=unknown_path"), "rank="));
}

TEST_CASE(
    "an organisation's priority counts only while overload control is in force", "[organisations]")
{
    // A deployment that does not call for overload control must behave as before.
    const log_capture log;
    router_fixture fixture;
    fixture.core->apply_rules(rules_with_priority(2, 0U, 3));
    const auto before = fixture.ask("/once/x");
    CHECK(fixture.last().header("Reedramp-Urgency") == "7");
    CHECK(contains(log.find("sent request="), " rank=3 "));
    fixture.core->overload_control.note_stated_speed();
    const auto after = fixture.ask("/once/x");
    CHECK(fixture.last().header("Reedramp-Urgency") == "6");
    CHECK(contains(log.find("sent request="), " rank=2 "));
    const auto of_other = fixture.ask("/once/x", {{"Reedramp-Key", "key-of-other"}});
    CHECK(fixture.last().header("Reedramp-Urgency") == "7");
}

namespace {

/// Fills the servers with requests of "org", which asks for far more than its share.
auto overload(router_fixture& fixture) -> std::vector<std::shared_ptr<caller>>
{
    std::vector<std::shared_ptr<caller>> callers;
    callers.push_back(fixture.ask("/once/x", {{"Reedramp-Key", "key-of-other"}}));
    for (int i = 0; i < 30; ++i) {
        callers.push_back(fixture.ask("/once/x"));
    }
    fixture.core->shares.note_refused(
        common::service_name{"engines"}, common::organisation_id{"org"}, 1e6, fixture.now);
    fixture.advance(milliseconds{100});
    return callers;
}

} // namespace

TEST_CASE(
    "an organisation beyond its share is one step less urgent, at any rank", "[organisations]")
{
    // An organisation of the highest rank that overloads a service must not take it from all.
    const log_capture log;
    router_fixture fixture;
    fixture.core->apply_rules(rules_with_priority(2, 0U, 0));
    fixture.core->overload_control.note_stated_speed();
    const auto held = overload(fixture);
    CHECK(fixture.core->pressure(common::service_name{"engines"}) >= 1.0);
    const auto before = fixture.core->counters.beyond_share_requests.value();
    const auto beyond = fixture.ask("/once/x");
    CHECK(fixture.last().header("Reedramp-Urgency") == "5");
    CHECK(contains(log.find("sent request="), " excess="));
    CHECK(fixture.core->counters.beyond_share_requests.value() == before + 1);
    const auto within = fixture.ask("/once/x", {{"Reedramp-Key", "key-of-other"}});
    CHECK(fixture.last().header("Reedramp-Urgency") == "4");
    CHECK_FALSE(contains(log.find("sent request="), " excess="));
    CHECK(fixture.core->counters.beyond_share_requests.value() == before + 1);
    CHECK_FALSE(fixture.core->make_usage_reports().empty());
    CHECK(fixture.core->counters.beyond_share.value() == 1);
}

TEST_CASE("without overload control, no organisation gives way", "[organisations]")
{
    // A deployment that does not call for overload control must behave as before.
    const log_capture log;
    router_fixture fixture;
    const auto held = overload(fixture);
    const auto beyond = fixture.ask("/once/x");
    CHECK(fixture.last().header("Reedramp-Urgency") == "4");
    CHECK(log.find(" excess=").empty());
    CHECK(fixture.core->counters.beyond_share_requests.value() == 0);
    CHECK(fixture.core->make_usage_reports().empty());
}

} // namespace reedramp::router::testing
