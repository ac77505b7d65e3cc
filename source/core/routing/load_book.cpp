#include "routing/load_book.hpp"

#include <algorithm>

namespace reedramp::routing {

auto load_book::begin(const server_start& server, double work, double reading) -> void
{
    auto& load = this->ours[server];
    load.requests += 1.0;
    load.work += work;
    load.reading += reading;
}

auto load_book::end(const server_start& server, double work, double reading) -> void
{
    const auto found = this->ours.find(server);
    if (found == this->ours.end()) {
        return;
    }
    found->second.requests -= 1.0;
    found->second.work -= work;
    found->second.reading -= reading;
    constexpr double none = 0.5; // Half a request: sums of fractions never end at zero.
    if (found->second.requests < none) {
        this->ours.erase(found);
    }
}

auto load_book::lighten(const server_start& server, double work) -> void
{
    const auto found = this->ours.find(server);
    if (found != this->ours.end()) {
        found->second.work -= work;
        found->second.reading = std::max(0.0, found->second.reading - work);
    }
}

auto load_book::hear(
    const common::host_id& peer, const std::vector<told_load>& loads, time_point trusted_until)
    -> void
{
    auto& words = this->peers[peer];
    words.trusted_until = trusted_until;
    words.loads.clear();
    for (const auto& one : loads) {
        words.loads[one.server] = one.load;
    }
}

auto load_book::total(const server_start& server, time_point now) const -> server_load
{
    auto sum = this->own(server);
    const auto hash = hash_of(server);
    for (const auto& [host, words] : this->peers) {
        const auto found = words.loads.find(hash);
        if (words.trusted_until > now && found != words.loads.end()) {
            sum.requests += found->second.requests;
            sum.work += found->second.work;
            sum.reading += found->second.reading;
        }
    }
    return sum;
}

auto load_book::own(const server_start& server) const -> server_load
{
    const auto found = this->ours.find(server);
    return found == this->ours.end() ? server_load{} : found->second;
}

auto load_book::tell() const -> std::vector<told_load>
{
    std::vector<told_load> all;
    all.reserve(this->ours.size());
    for (const auto& [server, load] : this->ours) {
        all.push_back({hash_of(server), load});
    }
    return all;
}

} // namespace reedramp::routing
