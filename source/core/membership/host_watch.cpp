#include "membership/host_watch.hpp"

#include <algorithm>
#include <utility>

#include "membership/rendezvous.hpp"

namespace reedramp::membership {

namespace {

constexpr common::duration shortest_period = std::chrono::seconds(1);
constexpr auto tailer_key = "configuration/";

} // namespace

auto tailer_count(std::size_t processes, std::size_t least) -> std::size_t
{
    const auto share = (processes + processes_per_tailer - 1) / processes_per_tailer;
    return std::max(share, least);
}

host_watch::host_watch(
    location here, std::size_t least, host_watch_hooks given, std::shared_ptr<view> known)
    : self(std::move(here)), least_tailers(least), hooks(std::move(given)),
      members(std::move(known))
{
}

auto list_period(std::size_t rows) -> common::duration
{
    return std::max<common::duration>(shortest_period, rows * period_for_row);
}

auto host_watch::start() -> void
{
    this->ask();
}

auto host_watch::ask() -> void
{
    this->hooks.list.list(
        [weak = this->weak_from_this()](common::result<std::vector<platform::host_entry>> rows) {
            const auto watch = weak.lock();
            if (!watch) {
                return;
            }
            auto pause = shortest_period;
            if (rows) {
                pause = list_period(rows->size());
                watch->take(std::move(*rows));
            }
            watch->hooks.timer(watch->hooks.now() + pause, [weak] {
                if (const auto again = weak.lock()) {
                    again->ask();
                }
            });
        });
}

auto host_watch::take(std::vector<platform::host_entry> rows) -> void
{
    this->members->update_hosts(std::move(rows));
    auto next = this->find_sources();
    {
        const std::lock_guard guard(this->lock);
        this->found = std::move(next);
    }
    if (this->hooks.entries_changed) {
        this->hooks.entries_changed(this->entry_hosts());
    }
}

auto host_watch::find_sources() const -> sources
{
    sources made;
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
    first.resize(std::min(first.size(), tailer_count(first.size(), this->least_tailers)));
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

auto host_watch::peers() const -> std::vector<messages::rpc_address>
{
    const std::lock_guard guard(this->lock);
    return this->found.peers;
}

auto host_watch::tailers() const -> std::vector<messages::rpc_address>
{
    const std::lock_guard guard(this->lock);
    return this->found.tailers;
}

auto host_watch::is_tailer() const -> bool
{
    const std::lock_guard guard(this->lock);
    return this->found.reads_log;
}

auto host_watch::entries() const -> std::vector<peer_view>
{
    auto others = this->members->peers(platform::host_role::entry);
    std::erase_if(others, [this](const auto& peer) { return peer.host == this->self.host; });
    return others;
}

auto host_watch::address_of(const common::host_id& entry) const -> messages::rpc_address
{
    for (const auto& peer : this->entries()) {
        if (peer.host == entry) {
            return peer.rpc;
        }
    }
    return {};
}

auto host_watch::entry_hosts() const -> std::vector<common::host_id>
{
    std::vector<common::host_id> all{this->self.host};
    for (const auto& peer : this->entries()) {
        all.push_back(peer.host);
    }
    return all;
}

auto host_watch::rank_of_self(std::string_view key) const -> std::uint32_t
{
    const auto order = rank(key, this->entry_hosts());
    const auto place = std::find(order.begin(), order.end(), this->self.host);
    return static_cast<std::uint32_t>(place - order.begin());
}

} // namespace reedramp::membership
