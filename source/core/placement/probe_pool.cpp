#include "placement/probe_pool.hpp"

#include <algorithm>

namespace reedramp::placement {

namespace {

auto to_probe(
    const messages::probe_answer& answer,
    server_distance distance,
    common::time_point expires,
    std::uint32_t uses) -> probe_result
{
    probe_result result;
    result.server = answer.server;
    result.hash = affinity_hash(answer.server.value());
    result.distance = distance;
    result.in_flight = answer.in_flight + answer.queued;
    result.estimated_wait = answer.estimated_wait;
    if (answer.queued > 0) {
        result.wait_per_request = answer.estimated_wait / (answer.queued + 1);
    }
    result.expires = expires;
    result.uses_left = uses;
    return result;
}

} // namespace

probe_pool::probe_pool(probe_pool_settings initial) : settings(initial) {}

auto probe_pool::add(
    const common::version_id& version,
    const messages::probe_answer& answer,
    server_distance distance,
    common::time_point now) -> void
{
    const auto item =
        to_probe(answer, distance, now + this->settings.lifetime, this->settings.uses);
    const auto usable = answer.serves_version && !answer.leaving;
    this->pools.with_shard(version, [&](auto& shard) {
        auto& probes = shard[version];
        std::erase_if(
            probes, [&item](const probe_result& other) { return other.server == item.server; });
        if (!usable) {
            return;
        }
        if (probes.size() >= this->settings.capacity) {
            probes.erase(std::ranges::min_element(probes, {}, &probe_result::expires));
        }
        probes.push_back(item);
    });
}

auto probe_pool::fresh(const common::version_id& version, common::time_point now)
    -> std::vector<probe_result>
{
    return this->with_fresh(version, now, [](std::span<const probe_result> probes) {
        return std::vector<probe_result>(probes.begin(), probes.end());
    });
}

auto probe_pool::drop_unusable(std::vector<probe_result>& probes, common::time_point now) -> void
{
    std::erase_if(probes, [now](const probe_result& item) {
        return item.uses_left == 0 || item.expires < now;
    });
}

auto probe_pool::record_send(const common::version_id& version, const common::server_id& server)
    -> void
{
    this->pools.with_shard(version, [&](auto& shard) {
        const auto pool = shard.find(version);
        if (pool == shard.end()) {
            return;
        }
        const auto found = std::ranges::find(pool->second, server, &probe_result::server);
        if (found == pool->second.end() || found->uses_left == 0) {
            return;
        }
        ++found->in_flight;
        found->estimated_wait += found->wait_per_request;
        --found->uses_left;
    });
}

auto probe_pool::remove_server(const common::server_id& server) -> void
{
    this->pools.for_each_shard([&server](auto& shard) {
        for (auto& [version, probes] : shard) {
            std::erase_if(
                probes, [&server](const probe_result& item) { return item.server == server; });
        }
    });
}

} // namespace reedramp::placement
