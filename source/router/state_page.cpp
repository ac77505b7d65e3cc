#include "state_page.hpp"

#include <algorithm>

#include <boost/json.hpp>

namespace reedramp::router_program {

namespace json = boost::json;

namespace {

auto server_row(
    const router::router_core& core, const routing::registration& server, common::time_point now)
    -> json::object
{
    const auto start = server.instance();
    const auto load = core.loads.total(start, now);
    const auto speeds = core.speeds.find(server.service);
    const auto limit = core.limiter.limits().per_second(start);
    const auto rest = std::max<common::duration>(core.limiter.backoff_until(server) - now, {});
    return {
        {"id", server.id.value()},
        {"started_unix_ms", server.started_at.value()},
        {"state", std::string{to_string(*core.servers.state_of(server.id))}},
        {"service", server.service.value()},
        {"version", server.version.value()},
        {"data_centre", server.data_centre.value()},
        {"requests", load.requests},
        {"work", load.work},
        {"slowness",
         speeds == core.speeds.end() ? 1.0
         : core.is_overload_controlled()
             ? speeds->second.slowness_by_pace(start, core.peer_speeds.pace_of(start, now))
             : speeds->second.slowness(start)},
        {"failures", core.health.failures(start)},
        {"resting", core.health.is_ejected(start, now)},
        {"cold", server.is_cold(now)},
        {"asks_rest_ms", std::chrono::duration_cast<std::chrono::milliseconds>(rest).count()},
        {"takes_per_second", limit ? json::value(*limit) : json::value(nullptr)}};
}

auto rollout_row(const routing::rollout_progress& one) -> json::object
{
    return {
        {"service", one.status.service.value()},
        {"target", one.status.target.value()},
        {"state", std::string{to_string(one.status.state)}},
        {"share", one.share},
        {"elapsed_ms", one.elapsed.count()},
        {"left_on_old", one.left_on_old},
        {"held_target",
         one.held_target ? json::value(one.held_target->value()) : json::value(nullptr)}};
}

auto list_row(
    const router::router_core& core,
    const peer_group& peers,
    const router::list_broadcaster& list_updates,
    common::time_point now) -> json::object
{
    json::array readers;
    for (const auto& reader : peers.readers()) {
        readers.emplace_back(reader.value());
    }
    const auto freshness = core.freshness.make_report(now);
    return {
        {"read_to", core.freshness.read_to()},
        {"age_ms", freshness.age.count()},
        {"told_by", list_updates.source()},
        {"lacks_change", core.freshness.lacks_change()},
        {"readers", std::move(readers)},
        {"reads", peers.rank_as_reader().is_reader}};
}

auto barred_row(const routing::barred_state& one) -> json::object
{
    return {
        {"print", to_string(one.report.fingerprint)},
        {"parts", to_string(one.report.what.parts)},
        {"barred_ms", one.report.age.count()},
        {"unseen_ms", one.report.unseen.count()},
        {"refused", one.refused}};
}

} // namespace

auto state_page(
    const router::router_core& core,
    const peer_group& peers,
    const router::list_broadcaster& list_updates,
    const common::host_id& host) -> std::string
{
    const auto now = core.hooks.clock();
    json::array evacuated;
    for (const auto& data_centre : core.evacuations.evacuated()) {
        evacuated.emplace_back(data_centre.value());
    }
    json::array servers;
    for (const auto& id : core.servers.ids()) {
        servers.push_back(server_row(core, *core.servers.find(id), now));
    }
    json::array rollouts;
    for (const auto& one : core.rollouts.states(now)) {
        rollouts.push_back(rollout_row(one));
    }
    json::array barred;
    for (const auto& one : core.crashes.states(now)) {
        barred.push_back(barred_row(one));
    }
    return json::serialize(json::object{
        {"host", host.value()},
        {"ready", core.is_ready()},
        {"rules_version", core.rules_version()},
        {"under_way", core.in_flight()},
        {"wait_level", core.waits.level()},
        {"peers", peers.live_count()},
        {"list", list_row(core, peers, list_updates, now)},
        {"evacuated", std::move(evacuated)},
        {"barred", std::move(barred)},
        {"servers", std::move(servers)},
        {"rollouts", std::move(rollouts)}});
}

} // namespace reedramp::router_program
