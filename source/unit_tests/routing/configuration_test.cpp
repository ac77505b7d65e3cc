#include "routing/configuration.hpp"

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

auto route_of(const char* name, const char* host, const char* prefix) -> route
{
    route made;
    made.name = route_name{name};
    made.host = host;
    made.path_prefix = prefix;
    made.targets = {{common::service_name{"engines"}, 90}, {common::service_name{"plain"}, 10}};
    return made;
}

auto name_at(const route_table& table, const char* host, const char* path) -> std::string
{
    const auto* found = table.find(host, path);
    return found == nullptr ? "" : found->name.value();
}

} // namespace

TEST_CASE("a path belongs to the longest prefix of its host", "[configuration]")
{
    configuration rules;
    rules.routes = {
        route_of("all", "a.example", "/"),
        route_of("drafts", "a.example", "/drafts/"),
        route_of("final", "a.example", "/drafts/final/"),
        route_of("other", "b.example", "/drafts/")};
    const route_table table{rules};
    CHECK(name_at(table, "a.example", "/drafts/final/1") == "final");
    CHECK(name_at(table, "a.example", "/drafts/1?next=/final/") == "drafts");
    CHECK(name_at(table, "a.example", "/draftsman") == "all");
    CHECK(name_at(table, "A.Example:8080", "/drafts/1") == "drafts");
    CHECK(name_at(table, "b.example", "/") == "");
    CHECK(name_at(table, "c.example", "/drafts/1") == "");
}

TEST_CASE("a key names its organisation", "[configuration]")
{
    configuration rules;
    rules.organisations = {{common::organisation_id{"org-1"}, {"k1", "k2"}}};
    const route_table table{rules};
    REQUIRE(table.owner_of("k2") != nullptr);
    CHECK(table.owner_of("k2")->name.value() == "org-1");
    CHECK(table.owner_of("k3") == nullptr);
    CHECK(table.owner_of("") == nullptr);
}

TEST_CASE("an organisation's priority takes precedence over its route's", "[configuration]")
{
    // Guards against an organisation whose tags are as urgent as its drafts, and against tags of an
    // urgent organisation that come after drafts of a less urgent one.
    auto tags = route_of("r", "h", "/");
    tags.priority = 2;
    auto drafts = tags;
    drafts.priority = 0;
    organisation urgent;
    CHECK(effective_priority(tags, nullptr) == 2);
    CHECK(effective_priority(tags, &urgent) == 2);
    urgent.priority = 0;
    auto other = urgent;
    other.priority = 1;
    CHECK(effective_priority(drafts, &urgent) == 0);
    CHECK(effective_priority(drafts, &urgent) < effective_priority(tags, &urgent));
    CHECK(effective_priority(tags, &urgent) < effective_priority(drafts, &other));
    tags.priority = 9;
    CHECK(effective_priority(tags, &urgent) < effective_priority(drafts, &other));
}

TEST_CASE("weights split a route's requests", "[configuration]")
{
    const auto from = route_of("r", "h", "/");
    CHECK(choose_service(from, 0.0).value() == "engines");
    CHECK(choose_service(from, 0.899).value() == "engines");
    CHECK(choose_service(from, 0.901).value() == "plain");
    CHECK(choose_service(from, 0.999).value() == "plain");
}

} // namespace reedramp::routing
