#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "membership/rendezvous.hpp"
#include "membership/subset.hpp"

namespace reedramp::membership {

namespace {

using common::data_centre_id;
using common::host_id;
using common::region_id;
using common::server_id;

const location self{host_id{"entry-1"}, data_centre_id{"dc-1"}, region_id{"north"}};

auto server(const std::string& name, const std::string& data_centre, const std::string& region)
    -> server_view
{
    server_view made;
    made.server = server_id{name};
    made.data_centre = data_centre_id{data_centre};
    made.region = region_id{region};
    return made;
}

auto servers(int here, int near, int far) -> std::vector<server_view>
{
    std::vector<server_view> all;
    const auto add = [&all](int count, const std::string& letter, auto data_centre, auto region) {
        for (int index = 0; index < count; ++index) {
            all.push_back(server(letter + std::to_string(index), data_centre, region));
        }
    };
    add(far, "f", "dc-3", "south");
    add(near, "n", "dc-2", "north");
    add(here, "h", "dc-1", "north");
    return all;
}

/// First letters of the chosen servers' names.
auto kinds(const std::vector<server_view>& chosen) -> std::string
{
    std::string letters;
    for (const auto& item : chosen) {
        letters += item.server.value().front();
    }
    return letters;
}

struct subset_row {
    std::string what;
    int here;
    int near;
    int far;
    std::string chosen;
};

} // namespace

TEST_CASE("the subset is bounded, near, and spans data centres where possible", "[membership]")
{
    // The loss of a data centre must cause a short rise in latency rather than an outage: some
    // connections lead to other data centres already, and the next choice replaces the lost ones.
    const std::vector<subset_row> rows = {
        {"enough everywhere", 20, 20, 20, "hhhhhhnn"},
        {"few here", 2, 20, 20, "hhnnnnnn"},
        {"nothing near", 20, 0, 20, "hhhhhhff"},
        {"own data centre lost", 0, 20, 20, "nnnnnnnn"},
        {"own region lost", 0, 0, 20, "ffffffff"},
        {"one elsewhere", 20, 1, 0, "hhhhhhhn"},
        {"only here", 20, 0, 0, "hhhhhhhh"},
        {"fewer than wanted", 2, 1, 1, "hhnf"},
        {"none", 0, 0, 0, ""},
    };
    for (const auto& row : rows) {
        INFO(row.what);
        const auto chosen = choose_subset(self, servers(row.here, row.near, row.far), {});
        CHECK(kinds(chosen) == row.chosen);
    }
}

TEST_CASE("the loss of a server moves one connection", "[membership]")
{
    auto candidates = servers(20, 20, 0);
    const auto before = choose_subset(self, candidates, {});
    const auto lost = before.front().server;
    std::erase_if(candidates, [&](const auto& item) { return item.server == lost; });
    const auto after = choose_subset(self, candidates, {});
    std::set<server_id> kept;
    for (const auto& item : after) {
        kept.insert(item.server);
    }
    const auto is_kept = [&](const auto& item) {
        return kept.contains(item.server);
    };
    CHECK(std::ranges::count_if(before, is_kept) == 7);
}

TEST_CASE("entries spread over the servers", "[membership]")
{
    std::set<server_id> used;
    for (int index = 0; index < 40; ++index) {
        auto other = self;
        other.host = host_id{"entry-" + std::to_string(index)};
        for (const auto& item : choose_subset(other, servers(40, 0, 0), {})) {
            used.insert(item.server);
        }
    }
    CHECK(used.size() == 40);
}

TEST_CASE("a host that leaves moves only its own keys", "[membership]")
{
    const std::vector<host_id> hosts{
        host_id{"a"}, host_id{"b"}, host_id{"c"}, host_id{"d"}, host_id{"e"}};
    const std::vector<host_id> fewer(hosts.begin(), hosts.end() - 1);
    int moved = 0;
    for (int index = 0; index < 500; ++index) {
        const auto key = "key-" + std::to_string(index);
        const auto before = rank(key, hosts);
        const auto after = rank(key, fewer);
        if (before.front() == hosts.back()) {
            ++moved;
            CHECK(after.front() == before[1]);
        }
        else {
            CHECK(after.front() == before.front());
        }
    }
    CHECK(moved > 50);
    CHECK(moved < 150);
}

} // namespace reedramp::membership
