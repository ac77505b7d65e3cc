#include "membership/host_watcher.hpp"

#include <algorithm>
#include <utility>

#include "membership/rendezvous.hpp"

namespace reedramp::membership {

namespace {

constexpr common::duration min_list_period = std::chrono::seconds(1);
constexpr auto tailer_key = "configuration/";

} // namespace

auto tailer_count(std::size_t processes, std::size_t min_tailers) -> std::size_t
{
    const auto share = (processes + processes_per_tailer - 1) / processes_per_tailer;
    return std::max(share, min_tailers);
}

host_watcher::host_watcher(
    location here,
    std::size_t wanted_tailers,
    host_watcher_hooks given,
    std::shared_ptr<view> known)
    : self(std::move(here)), min_tailers(wanted_tailers), hooks(std::move(given)),
      members(std::move(known))
{
}

auto list_period(std::size_t rows) -> common::duration
{
    return std::max<common::duration>(min_list_period, rows * list_period_per_row);
}

auto host_watcher::start() -> void
{
    this->read_list();
}

auto host_watcher::read_list() -> void
{
    this->hooks.list.list(
        [weak = this->weak_from_this()](common::result<std::vector<platform::host_entry>> rows) {
            const auto watcher = weak.lock();
            if (!watcher) {
                return;
            }
            auto period = min_list_period;
            if (rows) {
                period = list_period(rows->size());
                watcher->apply_list(std::move(*rows));
            }
            watcher->hooks.timer(watcher->hooks.now() + period, [weak] {
                if (const auto next = weak.lock()) {
                    next->read_list();
                }
            });
        });
}

auto host_watcher::apply_list(std::vector<platform::host_entry> rows) -> void
{
    this->members->update_hosts(std::move(rows));
    auto next = this->find_configuration_sources();
    {
        const std::lock_guard guard(this->lock);
        this->sources = std::move(next);
    }
    if (this->hooks.entries_changed) {
        this->hooks.entries_changed(this->entry_hosts());
    }
}

auto host_watcher::find_configuration_sources() const -> configuration_sources
{
    configuration_sources made;
    std::vector<peer_view> near;
    std::vector<common::host_id> near_hosts;
    for (const auto role : {platform::host_role::entry, platform::host_role::server}) {
        for (auto& peer : this->members->peers(role)) {
            if (peer.host != this->self.host && !peer.rpc.value().empty()) {
                made.peers.push_back(peer.rpc);
            }
            if (peer.data_centre == this->self.data_centre) {
                near_hosts.push_back(peer.host);
                near.push_back(std::move(peer));
            }
        }
    }
    auto first = rank(tailer_key + this->self.data_centre.value(), near_hosts);
    first.resize(std::min(first.size(), tailer_count(first.size(), this->min_tailers)));
    const auto reads_log = [&first](const common::host_id& host) {
        return std::find(first.begin(), first.end(), host) != first.end();
    };
    for (const auto& peer : near) {
        if (peer.host != this->self.host && !peer.rpc.value().empty() && reads_log(peer.host)) {
            made.tailers.push_back(peer.rpc);
        }
    }
    made.reads_log = made.peers.empty() || reads_log(this->self.host);
    return made;
}

auto host_watcher::peers() const -> std::vector<messages::rpc_address>
{
    const std::lock_guard guard(this->lock);
    return this->sources.peers;
}

auto host_watcher::tailers() const -> std::vector<messages::rpc_address>
{
    const std::lock_guard guard(this->lock);
    return this->sources.tailers;
}

auto host_watcher::is_tailer() const -> bool
{
    const std::lock_guard guard(this->lock);
    return this->sources.reads_log;
}

auto host_watcher::entries() const -> std::vector<peer_view>
{
    auto others = this->members->peers(platform::host_role::entry);
    std::erase_if(others, [this](const auto& peer) { return peer.host == this->self.host; });
    return others;
}

auto host_watcher::address_of(const common::host_id& entry) const -> messages::rpc_address
{
    for (const auto& peer : this->entries()) {
        if (peer.host == entry) {
            return peer.rpc;
        }
    }
    return {};
}

auto host_watcher::entry_hosts() const -> std::vector<common::host_id>
{
    std::vector<common::host_id> all{this->self.host};
    for (const auto& peer : this->entries()) {
        all.push_back(peer.host);
    }
    return all;
}

auto host_watcher::rank_of_self(std::string_view key) const -> std::uint32_t
{
    const auto order = rank(key, this->entry_hosts());
    const auto place = std::find(order.begin(), order.end(), this->self.host);
    return static_cast<std::uint32_t>(place - order.begin());
}

} // namespace reedramp::membership
