#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "routing/departure_tracker.hpp"
#include "routing/registration.hpp"
#include "routing/server_instance.hpp"

namespace reedramp::routing {

/// State of a server, which decides whether it receives requests.
enum class server_state : std::uint8_t {
    /// Registered: receives requests.
    usable,
    /// Its registration ended soon after an outage of the store, in which registrations of running
    /// servers lapse: receives requests until it is known whether it still runs.
    lapsed,
    /// The record under its id is not a valid registration, usually because something else wrote
    /// it. The server's next registration restores it. Until then its address may belong to
    /// anything: receives no requests.
    unreadable,
    /// It announced that it leaves, to this entry or a peer: this instance receives no more
    /// requests, whatever is read about it later.
    leaving,
};

auto to_string(server_state state) -> std::string_view;

/// Effect of a registration, or of its end.
enum class table_event : std::uint8_t {
    /// No change in which servers receive requests.
    none,
    /// The server receives requests from now on.
    usable,
    /// As `usable`, and it is a later instance under its id.
    restarted,
    leaving,
    lapsed,
    unreadable,
    /// It is cold now, or stays cold for longer than was known.
    cold,
    /// It is warm earlier than was known.
    warm,
    /// The registration was of an earlier instance, or was written before one that is known, and
    /// was ignored.
    late,
    /// The registration was written before the end of its instance that is known, and was ignored.
    written_before_end,
    /// The instance ended seconds ago; the server is asked whether it is back.
    unconfirmed,
};

auto to_string(table_event event) -> std::string_view;

/// Table of the backend servers with their states, and so of the servers that may receive requests.
///
///     apply_registration, ready:    (none) | lapsed | unreadable -> usable
///                                   later instance: any state -> usable
///     apply_registration, leaving:  any state -> leaving
///     lapse:                        usable -> lapsed;  unreadable -> (none)
///     mark_unreadable:              (none) | usable | lapsed -> unreadable
///     mark_leaving:                 any state -> leaving
///     remove_lapsed:                lapsed -> (none)
///     remove_replaced:              usable | lapsed -> (none)
///     expire_left:                  leaving -> (none)
///
/// Leaving is final for an instance. A list that lags, or is read again after an outage, may show a
/// server that already announced that it leaves; using it again would send it requests after the
/// time that it granted. Registrations of an earlier instance than the known one are ignored: a
/// registration read out of order, a delayed write, or a delayed message of a peer. The exception
/// is a known instance that has been silent for too long: then the server's clock was set back
/// before it restarted, and its new registrations have to count, above all that it leaves.
///
/// Registrations of one instance are ordered by their numbers, also beyond its end: one that the
/// store performs late does not bring back a server that has gone, while a server whose
/// registration has lapsed is back with its next one.
class server_table {
public:
    /// Applies a registration that was read. `written_after`: a time after which it was written, if
    /// one is known.
    auto apply_registration(
        const registration& read,
        time_point now,
        record_source source = record_source::current,
        std::optional<time_point> written_after = std::nullopt) -> table_event;

    /// Records that the registration under an id has ended, and what others know about that.
    auto lapse(const common::server_id& id, const registration_end& end = {}, time_point now = {})
        -> table_event;

    /// Records that the record under an id is not a valid registration.
    auto mark_unreadable(const common::server_id& id) -> table_event;

    /// Records that this instance leaves.
    auto mark_leaving(const server_instance& instance, time_point now = {}) -> void;

    /// Removes and returns the servers whose registrations have ended. `read_to` as in
    /// `ended_report`.
    auto remove_lapsed(std::uint64_t read_to, time_point now) -> std::vector<server_instance>;

    /// Sets the evacuated data centres, which receive no requests.
    auto set_evacuated(const std::set<common::data_centre_id>& evacuated) -> void;

    /// Treats the data centre's servers as cold until `until`, whatever they report, because they
    /// may be cold and have not reported it yet.
    auto assume_cold(const common::data_centre_id& data_centre, time_point until) -> void;

    /// Removes an instance because another server answers at its address.
    auto remove_replaced(const server_instance& instance, time_point now = {}) -> void;

    /// Removes servers that left long ago, and what need no longer be reported to peers.
    auto expire_left(time_point now) -> void;

    /// Applies a change in the order of the store, and removes a server at once when its
    /// registration ends.
    auto apply(const registration_change& change) -> void;

    /// Hashes of the most recent instances that announced that they leave, for reports to peers.
    [[nodiscard]] auto leaving() const -> std::vector<std::uint64_t>
    {
        return this->departures.leaving();
    }

    /// Applies a peer's report that these instances leave. Returns those that were receiving
    /// requests.
    auto mark_leaving_by_hash(const std::vector<std::uint64_t>& hashes, time_point now = {})
        -> std::vector<server_instance>;

    /// Registrations that ended within the last seconds, for reports to peers.
    [[nodiscard]] auto ended(time_point now) const -> std::vector<ended_report>
    {
        return this->departures.ended(now);
    }

    /// What is known about the end of the registration's instance, if that was written before it.
    [[nodiscard]] auto end_after(
        const registration& read,
        time_point now,
        record_source source = record_source::current) const
        -> std::optional<departure_tracker::ended_instance>
    {
        return this->departures.end_after(read, now, source);
    }

    /// When the instance ended, if a registration from before that may still appear.
    [[nodiscard]] auto recent_end_of(const server_instance& instance, time_point now) const
        -> std::optional<time_point>
    {
        return this->departures.recent_end_of(instance, now);
    }

    /// Reports the end of an instance to peers again; `read_to` as in `ended_report`.
    auto report_end_again(const server_instance& instance, std::uint64_t read_to, time_point now)
        -> void
    {
        this->departures.report_again(instance, read_to, now);
    }

    /// Applies a peer's report that these registrations ended. Removes and returns those whose end
    /// this entry, which has read the list up to `read_to`, can't know of yet, and those that it
    /// knows from registrations before their end alone. They may return.
    auto
    end_by_hash(const std::vector<ended_report>& ends, std::uint64_t read_to, time_point now = {})
        -> std::vector<server_instance>;

    /// Ids of all servers that may receive requests.
    [[nodiscard]] auto ids() const -> std::vector<common::server_id>;

    /// Ids that reading the whole list would return if nothing had changed.
    [[nodiscard]] auto listed() const -> std::vector<common::server_id>;

    /// What reading the whole list would return, for a neighbour that has no list.
    [[nodiscard]] auto registrations(time_point now) const -> std::vector<registration_change>;

    /// Returns the servers of a service that may receive new requests. The result is cached and
    /// valid until the table changes.
    [[nodiscard]] auto usable(const common::service_name& service) const
        -> const std::vector<const registration*>&;

    /// Returns the server if it may receive requests, otherwise null.
    [[nodiscard]] auto find(const common::server_id& id) const -> const registration*;

    /// Returns the instance with this hash if it may receive requests. Linear in the number of
    /// servers.
    [[nodiscard]] auto find_by_hash(std::uint64_t hash) const -> std::optional<server_instance>;

    [[nodiscard]] auto state_of(const common::server_id& id) const -> std::optional<server_state>;

    /// Number of the server's last known registration, 0 if unknown, and a time after which it was
    /// written, if known.
    struct last_registration {
        std::uint64_t sequence = 0;
        std::optional<time_point> written_after;
    };

    [[nodiscard]] auto last_registration_of(const common::server_id& id) const -> last_registration;

    [[nodiscard]] auto is_known_leaving(const common::server_id& id) const -> bool
    {
        return this->state_of(id) == server_state::leaving;
    }

    [[nodiscard]] auto has_lapsed() const -> bool;

    /// Combined hash of the instances that may receive requests; equal for equal sets.
    [[nodiscard]] auto digest() const -> std::uint64_t;

    /// Number of servers that may receive requests.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct known_server {
        registration last;
        server_state state = server_state::usable;
        /// When a registration of this instance was last read.
        time_point last_report_at{};
        /// A time after which the last one was written, if known.
        std::optional<time_point> written_after;
        /// What is known about its end, once that was read.
        registration_end end{};
        /// When it was last reported to be leaving.
        time_point left_at{};
        /// Whether the last registration read was of an earlier instance.
        bool has_late_report = false;
        /// Counts as cold until then, whatever it reports.
        time_point cold_at_least{};

        [[nodiscard]] auto gets_work() const -> bool
        {
            return this->state == server_state::usable || this->state == server_state::lapsed;
        }
    };

    auto set_leaving(known_server& server, time_point now) -> table_event;
    static auto note_warmth(known_server& known, const registration& read, time_point now)
        -> table_event;
    auto begin(
        const registration& read,
        time_point now,
        std::optional<time_point> written_after = std::nullopt) -> table_event;
    /// Records an end, so that registrations from before it are known as such.
    auto note_ended(const known_server& server, registration_end end, time_point now) -> void;
    auto begin_unreadable(const common::server_id& id) -> table_event;
    [[nodiscard]] static auto
    is_late(const registration& read, const known_server& known, time_point now) -> bool;
    [[nodiscard]] static auto
    is_of_earlier_instance(const registration& read, const known_server& known) -> bool;
    /// Whether it was written before the last known registration of the same instance.
    [[nodiscard]] static auto is_overtaken(const registration& read, const known_server& known)
        -> bool;

    /// Clears the cache after a change of the servers that receive requests, or of their service.
    auto forget_usable() -> void { this->usable_by_service.clear(); }

    std::map<common::server_id, known_server> servers;
    /// Data centres that receive no requests.
    std::set<common::data_centre_id> evacuated_centres;
    /// Cache for `usable`, which is called for each request.
    mutable std::map<common::service_name, std::vector<const registration*>> usable_by_service;
    departure_tracker departures;
};

} // namespace reedramp::routing
