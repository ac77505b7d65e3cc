#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "membership/view.hpp"

namespace reedramp::membership {

namespace {

using namespace std::chrono_literals;
using common::incarnation_id;
using common::result_code;
using common::server_id;
using common::time_point;
using platform::host_entry;
using platform::host_role;
using platform::host_state;

const server_id server{"server-1"};
const common::version_id version{"drafts-2"};
const incarnation_id first{11};
const incarnation_id second{22};
constexpr time_point start{1h};

auto row(host_state state = host_state::live, std::string host = "host-1") -> host_entry
{
    host_entry made;
    made.host = common::host_id{std::move(host)};
    made.role = host_role::server;
    made.state = state;
    made.rpc = "10.0.0.1:7000";
    return made;
}

auto inventory() -> std::vector<server_row>
{
    return {
        {server, common::host_id{"host-1"}, {}, {}, {version}, {common::service_name{"quotes"}}}};
}

auto answer(incarnation_id incarnation, bool leaving = false) -> messages::probe_answer
{
    messages::probe_answer made;
    made.server = server;
    made.incarnation = incarnation;
    made.leaving = leaving;
    return made;
}

/// Events on a view that knows one live server of incarnation `first`, and the expected state.
struct view_row {
    std::string what;
    std::function<auto(view& members)->void> apply_events;
    availability state = availability::usable;
    time_point at = start;
};

} // namespace

TEST_CASE(
    "probe answers, refusals, failures and the list decide whether a server gets work",
    "[membership]")
{
    // Requests to a server that leaves or is lost must stop within two seconds, although the
    // platform's list lags by half a minute, and a list that still says "live" must not make the
    // server usable again. An agent's announcement therefore counts at once, and the list can only
    // remove servers.
    const std::vector<view_row> rows = {
        {"no event",
         [](view&) {
         }},
        {"its probe answer says leaving",
         [](view& members) { members.on_probe_answer(answer(first, true)); },
         availability::leaving},
        {"the list later still says live",
         [](view& members) {
             members.on_probe_answer(answer(first, true));
             members.update_hosts({row()});
         },
         availability::leaving},
        {"a late answer from before the announcement",
         [](view& members) {
             members.on_probe_answer(answer(first, true));
             members.on_probe_answer(answer(first));
         },
         availability::leaving},
        {"it refuses work because it is leaving",
         [](view& members) { members.on_refusal(server, first, result_code::server_leaving); },
         availability::leaving},
        {"it refuses work for another reason",
         [](view& members) {
             members.on_refusal(server, first, result_code::queue_full);
         }},
        {"a new incarnation is a new server",
         [](view& members) {
             members.on_probe_answer(answer(first, true));
             members.on_probe_answer(answer(second));
         }},
        {"a late answer of the old incarnation",
         [](view& members) {
             members.on_probe_answer(answer(second));
             members.on_probe_answer(answer(first, true));
         }},
        {"removed from the inventory and added again",
         [](view& members) {
             members.on_probe_answer(answer(first, true));
             members.update_servers({});
             members.update_servers(inventory());
         },
         availability::leaving},
        {"the list says leaving",
         [](view& members) { members.update_hosts({row(host_state::leaving)}); },
         availability::leaving},
        {"the list drops the host",
         [](view& members) { members.update_hosts({row(host_state::live, "host-2")}); },
         availability::absent},
        {"the list is empty",
         [](view& members) {
             members.update_hosts({});
         }},
        {"a failed probe",
         [](view& members) { members.on_failure(server, start); },
         availability::suspended,
         start + 199ms},
        {"the end of the suspension",
         [](view& members) { members.on_failure(server, start); },
         availability::usable,
         start + 200ms},
        {"an answer ends the suspension",
         [](view& members) {
             members.on_failure(server, start);
             members.on_probe_answer(answer(first));
         }},
        {"many calls that fail at once are one failure",
         [](view& members) {
             members.on_failure(server, start);
             members.on_failure(server, start);
             members.on_failure(server, start + 1ms);
         },
         availability::usable,
         start + 200ms},
        {"a second failure after the first suspension",
         [](view& members) {
             members.on_failure(server, start);
             members.on_failure(server, start + 200ms);
         },
         availability::suspended,
         start + 599ms},
    };
    for (const auto& item : rows) {
        INFO(item.what);
        view members;
        members.update_servers(inventory());
        members.update_hosts({row()});
        members.on_probe_answer(answer(first));
        item.apply_events(members);
        const auto statuses = members.statuses(item.at);
        REQUIRE(statuses.size() == 1);
        CHECK(to_string(statuses.front().state) == to_string(item.state));
        const auto is_usable = item.state == availability::usable;
        CHECK(members.servers_for(version, item.at).size() == (is_usable ? 1 : 0));
        CHECK(
            members.servers_for(common::service_name{"quotes"}, item.at).size() ==
            (is_usable ? 1 : 0));
    }
}

TEST_CASE("suspensions grow up to a maximum", "[membership]")
{
    // A server that stays lost is tried less and less often, but at least every five seconds, so
    // that it gets work again soon after it has recovered.
    view members;
    members.update_servers(inventory());
    members.update_hosts({row()});
    auto now = start;
    common::duration longest{};
    for (int failure = 0; failure < 100; ++failure) {
        members.on_failure(server, now);
        const auto until = members.statuses(now).front().suspended_until;
        longest = std::max(longest, until - now);
        CHECK(members.servers_for(version, until).size() == 1);
        now = until;
    }
    CHECK(longest == 5s);
}

TEST_CASE("a leaving server can still be asked about its runs", "[membership]")
{
    view members;
    members.update_servers(inventory());
    members.update_hosts({row()});
    members.on_probe_answer(answer(first, true));
    const auto found = members.find(server);
    REQUIRE(found);
    CHECK(found->rpc.value() == "10.0.0.1:7000");
    CHECK(found->incarnation == first);
    CHECK_FALSE(members.find(server_id{"server-2"}));
}

TEST_CASE("peers are the live hosts of a role", "[membership]")
{
    view members;
    auto entry = row(host_state::live, "entry-1");
    entry.role = host_role::entry;
    auto gone = row(host_state::leaving, "entry-2");
    gone.role = host_role::entry;
    members.update_hosts({row(), entry, gone});
    const auto entries = members.peers(host_role::entry);
    REQUIRE(entries.size() == 1);
    CHECK(entries.front().host.value() == "entry-1");
    CHECK(members.peers(host_role::server).size() == 1);
}

} // namespace reedramp::membership
