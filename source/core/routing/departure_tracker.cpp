#include "routing/departure_tracker.hpp"

#include <algorithm>

namespace reedramp::routing {

namespace {

/// Maximum number of leaving servers in one report (128 bytes): more than leave within some
/// seconds.
constexpr std::size_t max_leaving_reported = 16;

/// The same of ended servers (240 bytes). Most entries learn of ends from the list.
constexpr std::size_t max_ended_reported = 10;

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
    if (this->newest_leaving.size() > max_leaving_reported) {
        this->newest_leaving.pop_front();
    }
}

auto departure_tracker::note_ended(
    std::uint64_t instance_hash, const registration_end& end, time_point now) -> void
{
    const auto found = this->ended_instances.find(instance_hash);
    if (found != this->ended_instances.end()) {
        // Repeated reports of the same end must not prolong the time for which it counts.
        auto& known = found->second;
        if (end.last_sequence > known.end.last_sequence) {
            known = {end, now};
        }
        known.end.has_left = known.end.has_left || end.has_left;
        return;
    }
    if (this->ended_instances.size() >= max_left) {
        this->ended_instances.erase(std::ranges::min_element(
            this->ended_instances, {}, [](const auto& item) { return item.second.at; }));
    }
    this->ended_instances.emplace(instance_hash, ended_instance{end, now});
}

auto departure_tracker::note_end_read(
    const server_instance& instance,
    const registration_end& end,
    std::uint64_t read_to,
    time_point now) -> void
{
    const auto hash = hash_of(instance);
    this->note_ended(hash, end, now);
    this->ended_instances.at(hash).at = now;
    this->report({hash, read_to, end}, now);
}

auto departure_tracker::report_again(
    const server_instance& instance, std::uint64_t read_to, time_point now) -> void
{
    const auto found = this->ended_instances.find(hash_of(instance));
    if (found != this->ended_instances.end()) {
        this->report({hash_of(instance), read_to, found->second.end}, now);
    }
}

auto departure_tracker::report(const ended_report& end, time_point now) -> void
{
    std::erase_if(this->newest_ended, [&end](const ended_server& one) {
        return one.report.server == end.server;
    });
    this->newest_ended.push_back({end, now});
    if (this->newest_ended.size() > max_ended_reported) {
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

auto departure_tracker::end_after(const registration& read, time_point now, record_source source)
    const -> std::optional<ended_instance>
{
    const auto found = this->ended_instances.find(hash_of(read.instance()));
    if (found == this->ended_instances.end()) {
        return std::nullopt;
    }
    const auto& known = found->second;
    const bool may_be_late =
        source == record_source::older_copy || now - known.at <= late_write_window;
    const bool is_ordered = read.sequence != 0 && known.end.last_sequence != 0;
    if (!is_ordered) {
        const bool is_before =
            source == record_source::older_copy || (may_be_late && known.end.has_left);
        return is_before ? std::optional{known} : std::nullopt;
    }
    if (read.sequence > known.end.last_sequence) {
        // Servers whose registration lapsed may come back. Those that left do not: the record is
        // the last one that they wrote.
        return may_be_late && known.end.has_left ? std::optional{known} : std::nullopt;
    }
    // An instance is told by its start. Without one, its next run counts from the beginning again.
    const bool is_same_run = read.started_at != start_time{0} || may_be_late;
    return is_same_run ? std::optional{known} : std::nullopt;
}

auto departure_tracker::recent_end_of(const server_instance& instance, time_point now) const
    -> std::optional<time_point>
{
    const auto found = this->ended_instances.find(hash_of(instance));
    const bool is_recent =
        found != this->ended_instances.end() && now - found->second.at <= late_write_window;
    return is_recent ? std::optional{found->second.at} : std::nullopt;
}

auto departure_tracker::expire(time_point now) -> void
{
    std::erase_if(this->newest_leaving, [now](const auto& one) {
        return now - one.at > leaving_reported_for;
    });
    std::erase_if(this->ended_instances, [now](const auto& item) {
        return now - item.second.at > left_retention;
    });
}

} // namespace reedramp::routing
