#include <algorithm>
#include <iterator>

#include "peer_group.hpp"

/// The part of `peer_group` that tells which entries read the store for the others.
namespace reedramp::router_program {

namespace {

/// Entries of a data centre that read the store for all of it and forward updates in it. With only
/// one, its death would leave the data centre without updates until it is detected.
constexpr std::size_t readers_per_data_centre = 2;
/// Longest silence of a reader in this entry's data centre that is relied on: two updates of the
/// server list, which a reader forwards each second.
constexpr common::duration near_reader_silence = std::chrono::milliseconds{2200};
/// The same for a reader of another data centre, in rounds. It sends one report per round.
constexpr double far_reader_rounds = 1.25;
/// An entry that has just started does not know the others yet, and would read as if it were the
/// only one.
constexpr common::duration discovery_time = std::chrono::seconds{1};
/// An entry with other readers seldom reads the list; one without any reads every two seconds or
/// sooner.
constexpr common::duration sole_reader_time = std::chrono::seconds{3};

} // namespace

auto peer_group::reader_silence(std::uint32_t at) const -> common::duration
{
    if (at == this->own_data_centre) {
        return near_reader_silence;
    }
    return std::max<common::duration>(
        near_reader_silence,
        std::chrono::duration_cast<common::duration>(this->round() * far_reader_rounds));
}

auto peer_group::readers_by_data_centre() const -> std::map<std::uint32_t, std::vector<reader>>
{
    const auto now = this->core->hooks.clock();
    std::map<std::uint32_t, std::vector<reader>> all;
    all[this->own_data_centre].push_back({&this->self, &this->own_address});
    for (const auto& [where, known] : this->peers) {
        const bool is_relied_on = !known.host.value().empty() && known.ends_at == common::never &&
                                  now - known.last_heard < this->reader_silence(known.data_centre);
        if (is_relied_on) {
            all[known.data_centre].push_back({&known.host, &where});
        }
    }
    for (auto& [at, readers] : all) {
        std::ranges::sort(
            readers, {}, [](const reader& one) -> const auto& { return *one.host; });
    }
    return all;
}

auto peer_group::recipients() const -> router::update_recipients
{
    router::update_recipients to;
    const auto now = this->core->hooks.clock();
    for (const auto& [where, known] : this->peers) {
        // Includes all that may be alive: a datagram to a dead entry costs little, while an entry
        // that is left out learns of a leaving server later.
        if (known.data_centre == this->own_data_centre && this->is_alive(known, now)) {
            to.same_data_centre.push_back(where);
        }
    }
    for (const auto& [at, readers] : this->readers_by_data_centre()) {
        const auto count = std::min(readers.size(), readers_per_data_centre);
        const auto end = readers.begin() + static_cast<std::ptrdiff_t>(count);
        if (at == this->own_data_centre) {
            to.forwards_updates =
                std::ranges::find(readers.begin(), end, &this->self, &reader::host) != end;
            continue;
        }
        std::ranges::transform(
            readers.begin(), end, std::back_inserter(to.other_data_centres), [](const reader& one) {
                return *one.where;
            });
    }
    return to;
}

auto peer_group::rank_as_reader() const -> router::reader_rank
{
    const auto all = this->readers_by_data_centre();
    const auto& in_own = all.at(this->own_data_centre);
    const auto own_place = static_cast<std::size_t>(
        std::ranges::find(in_own, &this->self, &reader::host) - in_own.begin());
    std::size_t before = 0;
    for (const auto& [at, readers] : all) {
        before += std::min(readers.size(), own_place);
        const bool goes_first = readers.size() > own_place && at != this->own_data_centre &&
                                *readers[own_place].host < this->self;
        before += goes_first ? 1 : 0;
    }
    const bool knows_peers = this->core->hooks.clock() - this->started >= discovery_time;
    return {before, own_place < readers_per_data_centre && knows_peers};
}

auto peer_group::is_orders_reader() const -> bool
{
    const bool reads_list =
        this->core->hooks.clock() - this->core->freshness.own_reading_at() < sole_reader_time;
    return reads_list || this->rank_as_reader().is_reader;
}

auto peer_group::readers() const -> std::vector<common::host_id>
{
    const auto all = this->readers_by_data_centre();
    const auto& in_own = all.at(this->own_data_centre);
    std::vector<common::host_id> names;
    for (std::size_t i = 0; i < std::min(in_own.size(), readers_per_data_centre); ++i) {
        names.push_back(*in_own[i].host);
    }
    return names;
}

} // namespace reedramp::router_program
