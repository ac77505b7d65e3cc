#include "host_watch.hpp"

#include <algorithm>
#include <utility>

#include "membership/rendezvous.hpp"

namespace reedramp::entry_program {

namespace {

constexpr common::duration period = std::chrono::seconds(1);
/// The same in agents, so that all agree on who reads the log.
constexpr auto tailer_key = "configuration/";

} // namespace

host_watch::host_watch(
    membership::location here,
    std::size_t tailer_count,
    hooks wanted,
    std::shared_ptr<membership::view> known)
    : self(std::move(here)), tailers(tailer_count), given(std::move(wanted)),
      members(std::move(known))
{
}

auto host_watch::start() -> void
{
    this->ask();
}

auto host_watch::ask() -> void
{
    this->given.list.list(
        [weak = this->weak_from_this()](common::result<std::vector<platform::host_entry>> rows) {
            const auto watch = weak.lock();
            if (!watch) {
                return;
            }
            if (rows) {
                watch->take(std::move(*rows));
            }
            watch->given.timer(watch->given.now() + period, [weak] {
                if (const auto again = weak.lock()) {
                    again->ask();
                }
            });
        });
}

auto host_watch::take(std::vector<platform::host_entry> rows) -> void
{
    this->members->update_hosts(std::move(rows));
    std::vector<common::host_id> entries{this->self.host};
    for (const auto& peer : this->entries()) {
        entries.push_back(peer.host);
    }
    this->given.entries_changed(std::move(entries));
}

auto host_watch::peers() const -> std::vector<messages::rpc_address>
{
    std::vector<messages::rpc_address> found;
    for (const auto role : {platform::host_role::entry, platform::host_role::server}) {
        for (const auto& peer : this->members->peers(role)) {
            if (peer.host != this->self.host && !peer.rpc.value().empty()) {
                found.push_back(peer.rpc);
            }
        }
    }
    return found;
}

auto host_watch::entries() const -> std::vector<membership::peer_view>
{
    auto found = this->members->peers(platform::host_role::entry);
    std::erase_if(found, [this](const auto& peer) { return peer.host == this->self.host; });
    return found;
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

auto host_watch::is_tailer() const -> bool
{
    std::vector<common::host_id> here;
    std::size_t others = 0;
    for (const auto role : {platform::host_role::entry, platform::host_role::server}) {
        for (const auto& peer : this->members->peers(role)) {
            if (peer.data_centre == this->self.data_centre) {
                here.push_back(peer.host);
            }
            others += peer.host != this->self.host ? 1U : 0U;
        }
    }
    auto first = membership::rank(tailer_key + this->self.data_centre.value(), here);
    first.resize(std::min(first.size(), this->tailers));
    const auto is_chosen = std::find(first.begin(), first.end(), this->self.host) != first.end();
    return is_chosen || others == 0;
}

auto host_watch::rank_of_self(std::string_view key) const -> std::uint32_t
{
    std::vector<common::host_id> all{this->self.host};
    for (const auto& peer : this->entries()) {
        all.push_back(peer.host);
    }
    const auto order = membership::rank(key, all);
    const auto place = std::find(order.begin(), order.end(), this->self.host);
    return static_cast<std::uint32_t>(place - order.begin());
}

} // namespace reedramp::entry_program
