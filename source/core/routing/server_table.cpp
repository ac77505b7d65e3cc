#include "routing/server_table.hpp"

#include <algorithm>
#include <utility>

namespace reedramp::routing {

namespace {

/// An instance without a registration for this time is over: servers register every 1.2 s, lapse
/// after three times that, and their registrations may arrive some seconds late.
constexpr std::chrono::seconds silent_after{10};

/// A registration may be read up to a second late, which shifts the end of its cold time by as
/// much.
constexpr std::chrono::seconds warmth_read_late{1};

} // namespace

auto to_string(server_state state) -> std::string_view
{
    switch (state) {
    case server_state::usable:
        return "usable";
    case server_state::lapsed:
        return "lapsed";
    case server_state::unreadable:
        return "unreadable";
    case server_state::leaving:
        return "leaving";
    }
    return "unknown";
}

auto to_string(table_event event) -> std::string_view
{
    switch (event) {
    case table_event::none:
        return "none";
    case table_event::usable:
        return "usable";
    case table_event::restarted:
        return "restarted";
    case table_event::leaving:
        return "leaving";
    case table_event::lapsed:
        return "lapsed";
    case table_event::unreadable:
        return "unreadable";
    case table_event::cold:
        return "cold";
    case table_event::warm:
        return "warm";
    case table_event::late:
        return "late";
    case table_event::written_before_end:
        return "written_before_end";
    case table_event::unconfirmed:
        return "unconfirmed";
    }
    return "unknown";
}

auto server_table::is_late(const registration& read, const known_server& known, time_point now)
    -> bool
{
    const bool is_recent = now - known.last_report_at <= silent_after;
    if (is_of_earlier_instance(read, known)) {
        return is_recent;
    }
    // Without a start, the server's next run is the same instance and counts anew.
    return is_overtaken(read, known) && (is_recent || read.started_at != start_time{0});
}

auto server_table::is_of_earlier_instance(const registration& read, const known_server& known)
    -> bool
{
    // An instance that starts in the future precedes none: its server's clock was wrong.
    return read.started_at < known.last.started_at && !known.last.starts_in_future;
}

auto server_table::is_overtaken(const registration& read, const known_server& known) -> bool
{
    const bool is_numbered = read.sequence != 0 && known.last.sequence != 0;
    if (read.started_at != known.last.started_at || !is_numbered || read.is_leaving) {
        return false;
    }
    // The same registration, read again, is no sign that a server whose registration ended is back.
    return known.state == server_state::lapsed ? read.sequence <= known.last.sequence
                                               : read.sequence < known.last.sequence;
}

auto server_table::apply_registration(
    const registration& read,
    time_point now,
    record_source source,
    std::optional<time_point> written_after) -> table_event
{
    const auto found = this->servers.find(read.id);
    if (found == this->servers.end()) {
        // That it leaves is true whenever it was written.
        const bool is_over = !read.is_leaving && this->end_after(read, now, source);
        return is_over ? table_event::written_before_end : this->begin(read, now, written_after);
    }
    auto& known = found->second;
    const bool says_no_start =
        read.started_at == start_time{0} && known.last.started_at != start_time{0};
    if (says_no_start) {
        return this->mark_unreadable(read.id);
    }
    if (is_late(read, known, now)) {
        return std::exchange(known.has_late_report, true) ? table_event::none : table_event::late;
    }
    known.has_late_report = false;
    known.last_report_at = now;
    if (read.started_at != known.last.started_at) {
        const bool had_work = known.gets_work();
        this->note_ended(known, {0, true}, now);
        const auto began = this->begin(read, now, written_after);
        if (began == table_event::usable) {
            return table_event::restarted;
        }
        return had_work ? began : table_event::none;
    }
    if (read.is_leaving) {
        return this->set_leaving(known, now);
    }
    if (known.state == server_state::leaving) {
        return table_event::none;
    }
    const bool had_work = known.gets_work();
    const bool has_moved =
        known.last.service != read.service || known.last.data_centre != read.data_centre;
    if (!had_work || has_moved) {
        this->forget_usable();
    }
    const auto hash = known.last.id_hash;
    const auto sequence = read.sequence == 0 ? known.last.sequence : read.sequence;
    const auto warmth = note_warmth(known, read, now);
    const auto cold_until = std::max(read.cold_until, known.cold_at_least);
    known.last = read;
    known.last.id_hash = hash;
    known.last.sequence = sequence;
    known.last.cold_until = cold_until;
    known.written_after = written_after;
    known.end = {};
    known.state = server_state::usable;
    return had_work ? warmth : table_event::usable;
}

auto server_table::note_warmth(known_server& known, const registration& read, time_point now)
    -> table_event
{
    const auto before = std::max(known.last.cold_until, now);
    const auto after = std::max({read.cold_until, known.cold_at_least, now});
    if (after > before + warmth_read_late) {
        return table_event::cold;
    }
    return after + warmth_read_late < before ? table_event::warm : table_event::none;
}

auto server_table::set_evacuated(const std::set<common::data_centre_id>& evacuated) -> void
{
    this->evacuated_centres = evacuated;
    this->forget_usable();
}

auto server_table::assume_cold(const common::data_centre_id& data_centre, time_point until) -> void
{
    for (auto& [id, known] : this->servers) {
        if (known.last.data_centre == data_centre) {
            known.cold_at_least = until;
            known.last.cold_until = std::max(known.last.cold_until, until);
        }
    }
}

auto server_table::begin(
    const registration& read, time_point now, std::optional<time_point> written_after)
    -> table_event
{
    auto& known = this->servers[read.id];
    known = {read, server_state::usable, now, written_after, {}, {}};
    known.last.id_hash = hash_of(read.id);
    this->forget_usable();
    return read.is_leaving ? this->set_leaving(known, now) : table_event::usable;
}

auto server_table::set_leaving(known_server& server, time_point now) -> table_event
{
    server.left_at = now;
    if (server.state == server_state::leaving) {
        return table_event::none;
    }
    const bool had_work = server.gets_work();
    server.state = server_state::leaving;
    this->forget_usable();
    this->departures.note_leaving(server.last.instance(), now);
    return had_work ? table_event::leaving : table_event::none;
}

auto server_table::note_ended(const known_server& server, registration_end end, time_point now)
    -> void
{
    end.last_sequence = std::max(end.last_sequence, server.last.sequence);
    this->departures.note_ended(hash_of(server.last.instance()), end, now);
}

auto server_table::lapse(const common::server_id& id, const registration_end& end, time_point now)
    -> table_event
{
    const auto found = this->servers.find(id);
    if (found == this->servers.end()) {
        return table_event::none;
    }
    if (found->second.state == server_state::unreadable) {
        this->note_ended(found->second, end, now);
        this->servers.erase(found);
        return table_event::none;
    }
    if (found->second.state != server_state::usable) {
        return table_event::none;
    }
    found->second.state = server_state::lapsed;
    found->second.end = {std::max(end.last_sequence, found->second.last.sequence), end.has_left};
    return table_event::lapsed;
}

auto server_table::mark_unreadable(const common::server_id& id) -> table_event
{
    const auto found = this->servers.find(id);
    if (found == this->servers.end()) {
        return this->begin_unreadable(id);
    }
    if (!found->second.gets_work()) {
        return table_event::none;
    }
    found->second.state = server_state::unreadable;
    this->forget_usable();
    return table_event::unreadable;
}

auto server_table::begin_unreadable(const common::server_id& id) -> table_event
{
    // Kept only so that it is reported once; invalid records must not use up memory.
    if (this->servers.size() >= max_left) {
        return table_event::none;
    }
    auto& known = this->servers[id];
    known.last.id = id;
    known.state = server_state::unreadable;
    return table_event::unreadable;
}

auto server_table::mark_leaving(const server_instance& instance, time_point now) -> void
{
    auto& known = this->servers[instance.id];
    if (known.last.id != instance.id) {
        known.last.id = instance.id;
        known.last.started_at = instance.started_at;
    }
    if (known.last.started_at == instance.started_at) {
        this->set_leaving(known, now);
    }
}

auto server_table::remove_lapsed(std::uint64_t read_to, time_point now)
    -> std::vector<server_instance>
{
    std::vector<server_instance> ended;
    std::erase_if(this->servers, [&](const auto& item) {
        const auto& server = item.second;
        if (server.state != server_state::lapsed) {
            return false;
        }
        ended.push_back(server.last.instance());
        this->departures.note_end_read(ended.back(), server.end, read_to, now);
        return true;
    });
    if (!ended.empty()) {
        this->forget_usable();
    }
    return ended;
}

auto server_table::remove_replaced(const server_instance& instance, time_point now) -> void
{
    const auto found = this->servers.find(instance.id);
    const bool is_meant = found != this->servers.end() && found->second.gets_work() &&
                          found->second.last.instance() == instance;
    if (is_meant) {
        this->note_ended(found->second, {}, now);
        this->servers.erase(found);
        this->forget_usable();
    }
}

auto server_table::expire_left(time_point now) -> void
{
    std::vector<std::pair<time_point, common::server_id>> left;
    for (const auto& [id, known] : this->servers) {
        if (known.state == server_state::leaving) {
            left.emplace_back(known.left_at, id);
        }
    }
    std::ranges::sort(left);
    this->departures.expire(now);
    const auto surplus = left.size() > max_left ? left.size() - max_left : 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        if (i < surplus || now - left[i].first > left_retention) {
            this->servers.erase(left[i].second);
        }
    }
}

auto server_table::apply(const registration_change& change) -> void
{
    if (change.now) {
        this->apply_registration(*change.now, {});
    }
    else if (!change.problem.empty()) {
        this->mark_unreadable(change.id);
    }
    else if (this->lapse(change.id) == table_event::lapsed) {
        this->servers.erase(change.id);
        this->forget_usable();
    }
}

auto server_table::mark_leaving_by_hash(const std::vector<std::uint64_t>& hashes, time_point now)
    -> std::vector<server_instance>
{
    // There are forty messages per second, and most contain none.
    if (hashes.empty()) {
        return {};
    }
    std::vector<server_instance> named;
    for (auto& [id, known] : this->servers) {
        const auto instance = known.last.instance();
        if (std::ranges::find(hashes, hash_of(instance)) == hashes.end()) {
            continue;
        }
        if (this->set_leaving(known, now) == table_event::leaving) {
            named.push_back(instance);
        }
    }
    return named;
}

auto server_table::end_by_hash(
    const std::vector<ended_report>& ends, std::uint64_t read_to, time_point now)
    -> std::vector<server_instance>
{
    if (ends.empty()) {
        return {};
    }
    std::vector<server_instance> ended;
    std::erase_if(this->servers, [&](const auto& item) {
        const auto& server = item.second;
        const auto hash = hash_of(server.last.instance());
        const auto found = std::ranges::find(ends, hash, &ended_report::server);
        if (found == ends.end() || !server.gets_work()) {
            return false;
        }
        const auto last = found->end.last_sequence;
        const bool is_from_before =
            server.last.sequence != 0 && last != 0 && server.last.sequence <= last;
        if (found->read_to <= read_to && !is_from_before) {
            return false;
        }
        ended.push_back(server.last.instance());
        this->note_ended(server, found->end, now);
        return true;
    });
    // Also of instances that this entry does not know: it may read their last record yet.
    for (const auto& end : ends) {
        this->departures.note_ended(end.server, end.end, now);
    }
    if (!ended.empty()) {
        this->forget_usable();
    }
    return ended;
}

auto server_table::ids() const -> std::vector<common::server_id>
{
    std::vector<common::server_id> all;
    for (const auto& [id, known] : this->servers) {
        if (known.gets_work()) {
            all.push_back(id);
        }
    }
    return all;
}

auto server_table::listed() const -> std::vector<common::server_id>
{
    std::vector<common::server_id> all;
    for (const auto& [id, known] : this->servers) {
        const bool is_listed =
            known.state == server_state::usable || known.state == server_state::unreadable;
        if (is_listed) {
            all.push_back(id);
        }
    }
    return all;
}

auto server_table::registrations(time_point now) const -> std::vector<registration_change>
{
    std::vector<registration_change> all;
    for (const auto& [id, known] : this->servers) {
        if (known.state == server_state::unreadable) {
            all.push_back({id, std::nullopt, "unreadable at a neighbour"});
            continue;
        }
        // A server that is only reported to be leaving has no registration to forward.
        if (known.state == server_state::lapsed || known.last.address.empty()) {
            continue;
        }
        registration_change one{id, known.last};
        one.now->is_leaving = known.state == server_state::leaving;
        one.now->cold_for = std::max(
            std::chrono::duration_cast<std::chrono::milliseconds>(known.last.cold_until - now),
            std::chrono::milliseconds{0});
        all.push_back(std::move(one));
    }
    return all;
}

auto server_table::usable(const common::service_name& service) const
    -> const std::vector<const registration*>&
{
    const auto [found, is_new] = this->usable_by_service.try_emplace(service);
    if (is_new) {
        for (const auto& [id, known] : this->servers) {
            const bool is_open = !this->evacuated_centres.contains(known.last.data_centre);
            if (is_open && known.gets_work() && known.last.service == service) {
                found->second.push_back(&known.last);
            }
        }
    }
    return found->second;
}

auto server_table::find(const common::server_id& id) const -> const registration*
{
    const auto found = this->servers.find(id);
    const bool gets_work = found != this->servers.end() && found->second.gets_work();
    return gets_work ? &found->second.last : nullptr;
}

auto server_table::find_by_hash(std::uint64_t hash) const -> std::optional<server_instance>
{
    for (const auto& [id, known] : this->servers) {
        if (known.gets_work() && hash_of(known.last.instance()) == hash) {
            return known.last.instance();
        }
    }
    return std::nullopt;
}

auto server_table::state_of(const common::server_id& id) const -> std::optional<server_state>
{
    const auto found = this->servers.find(id);
    return found == this->servers.end() ? std::nullopt : std::optional{found->second.state};
}

auto server_table::last_registration_of(const common::server_id& id) const -> last_registration
{
    const auto found = this->servers.find(id);
    return found == this->servers.end()
               ? last_registration{}
               : last_registration{found->second.last.sequence, found->second.written_after};
}

auto server_table::has_lapsed() const -> bool
{
    return std::ranges::any_of(
        this->servers, [](const auto& item) { return item.second.state == server_state::lapsed; });
}

auto server_table::digest() const -> std::uint64_t
{
    std::uint64_t sum = 0;
    for (const auto& [id, known] : this->servers) {
        sum += known.gets_work() ? hash_of(known.last.instance()) : 0;
    }
    return sum;
}

auto server_table::size() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->servers, [](const auto& item) { return item.second.gets_work(); }));
}

} // namespace reedramp::routing
