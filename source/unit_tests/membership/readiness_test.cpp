#include "membership/readiness.hpp"

#include <vector>

#include <catch2/catch.hpp>

namespace reedramp::membership {

namespace {

using namespace std::chrono_literals;

constexpr common::time_point start{1h};

struct step {
    common::duration at;
    bool has_configuration;
    server_coverage coverage;
    bool ready;
};

struct readiness_row {
    const char* what;
    std::vector<step> steps;
};

const server_coverage unread{false, 3, 0};
const server_coverage none{true, 3, 0};
const server_coverage some{true, 3, 2};
const server_coverage all{true, 3, 3};

auto rows() -> std::vector<readiness_row>
{
    return {
        {"all servers are listed at once", {{0s, true, all, true}}},
        {"no configuration", {{0s, false, all, false}, {1h, false, all, false}}},
        {"the list is down: no address is known, however long it takes",
         {{0s, true, unread, false}, {1h, true, unread, false}, {1h, true, all, true}}},
        {"the first read lacks servers, which are listed later",
         {{0s, true, none, false}, {1s, true, some, false}, {2s, true, all, true}}},
        {"a server of the inventory no longer exists: the entry does not wait for it forever",
         {{0s, true, some, false}, {2999ms, true, some, false}, {3s, true, some, true}}},
        {"the wait begins when both a configuration and a list were read, not before",
         {{0s, true, unread, false}, {1h, true, some, false}, {1h + 3s, true, some, true}}},
        {"a ready entry stays ready",
         {{0s, true, all, true}, {1s, true, some, true}, {2s, true, none, true}}},
        {"an inventory without servers", {{0s, true, {true, 0, 0}, true}}},
    };
}

} // namespace

TEST_CASE("An entry is ready when it knows its servers")
{
    // An entry that has a configuration, but no addresses from the list of hosts, refuses requests
    // with "no capacity". It must not report ready then, so that the balancer sends the requests to
    // other entries.
    for (const auto& row : rows()) {
        INFO(row.what);
        readiness subject;
        for (const auto& one : row.steps) {
            CHECK(subject.update(one.has_configuration, one.coverage, start + one.at) == one.ready);
        }
    }
}

TEST_CASE("The view counts how many servers of the inventory are listed")
{
    view members;
    CHECK_FALSE(members.coverage().list_was_read);
    const common::host_id host{"h"};
    members.update_servers(
        {{common::server_id{"s1"}, host, {}, {}, {}, {}},
         {common::server_id{"s2"}, common::host_id{"other"}, {}, {}, {}, {}}});
    members.update_hosts({});
    CHECK(members.coverage().list_was_read);
    CHECK(members.coverage().listed == 0);
    platform::host_entry row;
    row.host = host;
    row.role = platform::host_role::server;
    members.update_hosts({row});
    CHECK(members.coverage().listed == 1);
    CHECK(members.coverage().servers == 2);
}

} // namespace reedramp::membership
