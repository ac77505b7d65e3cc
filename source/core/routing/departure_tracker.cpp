#include "routing/departure_tracker.hpp"

#include <algorithm>

namespace reedramp::routing {

namespace {

/// Maximum number of leaving, and of ended, servers in one report (128 and 256 bytes): more than
/// leave within some seconds.
constexpr std::size_t max_reported = 16;

/// How long a leaving server is reported to peers. Without a limit, the newest sixteen would take a
/// quarter of each message. A list that lags, or a peer that was paused, is only seconds behind.
constexpr std::chrono::seconds leaving_reported_for{30};

/// How long an ended registration is reported to peers: a hundred messages, or ten with hundreds of
/// peers. A peer that misses all of them has lost contact with everyone, and reads the list when it
/// is back.
constexpr std::chrono::seconds ends_reported_for{10};

} // namespace

auto departure_tracker::note_leaving(const server_instance& instance, time_point now) -> void
{
    this->newest_leaving.push_back({hash_of(instance), now});
    if (this->newest_leaving.size() > max_reported) {
        this->newest_leaving.pop_front();
    }
}

auto departure_tracker::note_ended(const server_instance& instance, time_point now) -> void
{
    this->ended_instances.push_back({hash_of(instance), now});
    while (this->ended_instances.size() > max_left ||
           now - this->ended_instances.front().at > left_retention) {
        this->ended_instances.pop_front();
    }
}

auto departure_tracker::note_end_read(
    const server_instance& instance, std::uint64_t read_to, time_point now) -> void
{
    this->note_ended(instance, now);
    this->newest_ended.push_back({{hash_of(instance), read_to}, now});
    if (this->newest_ended.size() > max_reported) {
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
        if (now - one.at < ends_reported_for) {
            newest.push_back(one.report);
        }
    }
    return newest;
}

auto departure_tracker::has_ended(const server_instance& instance) const -> bool
{
    return std::ranges::find(this->ended_instances, hash_of(instance), &left_server::hash) !=
           this->ended_instances.end();
}

auto departure_tracker::expire_reports(time_point now) -> void
{
    std::erase_if(this->newest_leaving, [now](const auto& one) {
        return now - one.at > leaving_reported_for;
    });
}

} // namespace reedramp::routing
