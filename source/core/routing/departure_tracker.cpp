#include "routing/departure_tracker.hpp"

#include <algorithm>

namespace reedramp::routing {

namespace {

/// Servers that peers are told of, as leaving or as ended: more than leave within some seconds, in
/// 128 and 256 bytes.
constexpr std::size_t most_told = 16;

/// Peers are told that a server leaves for so long. Told for ever, the newest sixteen would be a
/// quarter of each message; a list that lags and a peer that stood still are seconds behind.
constexpr std::chrono::seconds leaving_told_for{30};

/// Peers are told of an end for so long: a hundred messages, or ten where there are hundreds of
/// peers. Who hears none of them is cut off from all, and reads the list when it is back.
constexpr std::chrono::seconds ends_told_for{10};

} // namespace

auto departure_tracker::note_leaving(const server_instance& start, time_point now) -> void
{
    this->newest_leaving.push_back({hash_of(start), now});
    if (this->newest_leaving.size() > most_told) {
        this->newest_leaving.pop_front();
    }
}

auto departure_tracker::note_ended(const server_instance& start, time_point now) -> void
{
    this->ended_starts.push_back({hash_of(start), now});
    while (this->ended_starts.size() > most_left ||
           now - this->ended_starts.front().at > left_kept_for) {
        this->ended_starts.pop_front();
    }
}

auto departure_tracker::note_end_read(
    const server_instance& start, std::uint64_t read_to, time_point now) -> void
{
    this->note_ended(start, now);
    this->newest_ended.push_back({{hash_of(start), read_to}, now});
    if (this->newest_ended.size() > most_told) {
        this->newest_ended.pop_front();
    }
}

auto departure_tracker::leaving() const -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> hashes;
    for (const auto& one : this->newest_leaving) {
        hashes.push_back(one.hash);
    }
    return hashes;
}

auto departure_tracker::ended(time_point now) const -> std::vector<ended_report>
{
    std::vector<ended_report> newest;
    for (const auto& one : this->newest_ended) {
        if (now - one.at < ends_told_for) {
            newest.push_back(one.word);
        }
    }
    return newest;
}

auto departure_tracker::has_ended(const server_instance& start) const -> bool
{
    return std::ranges::find(this->ended_starts, hash_of(start), &left_server::hash) !=
           this->ended_starts.end();
}

auto departure_tracker::forget_told(time_point now) -> void
{
    std::erase_if(
        this->newest_leaving, [now](const auto& one) { return now - one.at > leaving_told_for; });
}

} // namespace reedramp::routing
