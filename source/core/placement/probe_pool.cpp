#include "placement/probe_pool.hpp"

#include <algorithm>

namespace reedramp::placement {

namespace {

auto to_probe(
    const messages::probe_answer& answer,
    distance away,
    common::time_point expires,
    std::uint32_t uses) -> probe
{
    probe made;
    made.server = answer.server;
    made.hash = affinity_hash(answer.server.value());
    made.away = away;
    made.in_flight = answer.in_flight + answer.queued;
    made.estimated_wait = answer.estimated_wait;
    if (answer.queued > 0) {
        made.wait_per_request = answer.estimated_wait / (answer.queued + 1);
    }
    made.expires = expires;
    made.uses_left = uses;
    return made;
}

} // namespace

probe_pool::probe_pool(probe_pool_settings initial) : settings(initial) {}

auto probe_pool::add(
    const common::version_id& version,
    const messages::probe_answer& answer,
    distance away,
    common::time_point now) -> void
{
    const auto item = to_probe(answer, away, now + this->settings.lifetime, this->settings.uses);
    const auto usable = answer.serves_version && !answer.leaving;
    this->pools.with_shard(version, [&](auto& shard) {
        auto& probes = shard[version];
        std::erase_if(probes, [&item](const probe& other) { return other.server == item.server; });
        if (!usable) {
            return;
        }
        if (probes.size() >= this->settings.capacity) {
            probes.erase(std::ranges::min_element(probes, {}, &probe::expires));
        }
        probes.push_back(item);
    });
}

auto probe_pool::fresh(const common::version_id& version, common::time_point now)
    -> std::vector<probe>
{
    return this->with_fresh(version, now, [](std::span<const probe> probes) {
        return std::vector<probe>(probes.begin(), probes.end());
    });
}

auto probe_pool::drop_unusable(std::vector<probe>& probes, common::time_point now) -> void
{
    std::erase_if(
        probes, [now](const probe& item) { return item.uses_left == 0 || item.expires < now; });
}

auto probe_pool::note_sent(const common::version_id& version, const common::server_id& server)
    -> void
{
    this->pools.with_shard(version, [&](auto& shard) {
        const auto pool = shard.find(version);
        if (pool == shard.end()) {
            return;
        }
        const auto found = std::ranges::find(pool->second, server, &probe::server);
        if (found == pool->second.end() || found->uses_left == 0) {
            return;
        }
        ++found->in_flight;
        found->estimated_wait += found->wait_per_request;
        --found->uses_left;
    });
}

auto probe_pool::forget(const common::server_id& server) -> void
{
    this->pools.for_each_shard([&server](auto& shard) {
        for (auto& [version, probes] : shard) {
            std::erase_if(probes, [&server](const probe& item) { return item.server == server; });
        }
    });
}

} // namespace reedramp::placement
