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

/// What is known of a server, and whether it gets work.
enum class server_state : std::uint8_t {
    /// Registered: gets work.
    usable,
    /// Its registration has ended soon after an outage of the store, in which registrations lapse
    /// of servers that work on: gets work until that is known.
    lapsed,
    /// The record under its id is no registration. Another writer's, as a rule; the next one that
    /// the server writes brings it back. Until then its address may be anybody's: no work.
    unreadable,
    /// It has said that it leaves, here or to a peer: no work for this start of it, whatever is
    /// read of it later.
    leaving,
};

auto to_string(server_state state) -> std::string_view;

/// What a word of a server did.
enum class table_event : std::uint8_t {
    /// Nothing that concerns who gets work.
    none,
    /// It gets work from now on.
    usable,
    /// The same, and it is a later start under its id.
    restarted,
    leaving,
    lapsed,
    unreadable,
    /// It has turned cold, or stays so for longer than was known.
    cold,
    /// It is warm sooner than was known.
    warm,
    /// The word was of an earlier start, and changed nothing.
    late,
};

auto to_string(table_event event) -> std::string_view;

/// The backend servers, what state each is in, and so which may get work.
///
///     take, ready:    (none) | lapsed | unreadable -> usable;  a later start: any state -> usable
///     take, leaving:  any state -> leaving
///     lapse:          usable -> lapsed;  unreadable -> (none)
///     spoil:          (none) | usable | lapsed -> unreadable
///     retire:         any state -> leaving
///     end_lapsed:     lapsed -> (none)
///     drop:           usable | lapsed -> (none)
///     forget_left:    leaving -> (none)
///
/// Leaving is final for a start. A list that lags, or is read again after an outage, may show a
/// server that has already said that it leaves; taking it back would send it work after the time
/// that it granted. Words of an earlier start than the known one change nothing: a registration
/// that was read out of order, a write that came late, or a peer's message that was long on its
/// way. Only a start that has fallen silent gives way to whatever comes: its server's clock was set
/// back before it started again, and what it says now has to count, leaving above all.
class server_table {
public:
    /// A registration was read.
    auto take(const registration& read, time_point now) -> table_event;

    /// The registration under an id has ended.
    auto lapse(const common::server_id& id) -> table_event;

    /// The record under an id is no registration.
    auto spoil(const common::server_id& id) -> table_event;

    /// This start leaves.
    auto retire(const server_instance& start, time_point now = {}) -> void;

    /// Takes out the servers whose registrations have ended; gives them. `read_to` as in
    /// `ended_report`.
    auto end_lapsed(std::uint64_t read_to, time_point now) -> std::vector<server_instance>;

    /// These data centres get no work.
    auto close(const std::set<common::data_centre_id>& evacuated) -> void;

    /// Servers of the data centre may be cold, and have not said so yet: they count as cold until
    /// `until`, whatever is read of them.
    auto doubt_warmth(const common::data_centre_id& data_centre, time_point until) -> void;

    /// Another server answers at its address.
    auto drop(const server_instance& start, time_point now = {}) -> void;

    /// Forgets servers that left long ago, and what peers need not be told any more.
    auto forget_left(time_point now) -> void;

    /// Applies a change that came in the order of the store, and believes an end at once.
    auto apply(const registration_change& change) -> void;

    /// Hashes of the starts that have said that they leave, the newest ones, for the peers.
    [[nodiscard]] auto leaving() const -> std::vector<std::uint64_t>
    {
        return this->gone.leaving();
    }

    /// A peer has read that these leave. Gives those that had work until now.
    auto retire_named(const std::vector<std::uint64_t>& hashes, time_point now = {})
        -> std::vector<server_instance>;

    /// Registrations that ended in the last seconds, for the peers.
    [[nodiscard]] auto ended(time_point now) const -> std::vector<ended_report>
    {
        return this->gone.ended(now);
    }

    /// Whether this start ended in the last minutes, as far as this entry knows.
    [[nodiscard]] auto has_ended(const server_instance& start) const -> bool
    {
        return this->gone.has_ended(start);
    }

    /// A peer has read that these registrations ended. Those that this entry, which has read the
    /// list up to `read_to`, cannot know of yet are taken out; gives them. They may return.
    auto
    end_named(const std::vector<ended_report>& ends, std::uint64_t read_to, time_point now = {})
        -> std::vector<server_instance>;

    /// All that may get work.
    [[nodiscard]] auto ids() const -> std::vector<common::server_id>;

    /// Ids that a reading of the whole list would name, if nothing had changed.
    [[nodiscard]] auto listed() const -> std::vector<common::server_id>;

    /// What a reading of the whole list would give, for a neighbour that has none.
    [[nodiscard]] auto registrations(time_point now) const -> std::vector<registration_change>;

    /// Servers of a service that may get new work. Kept from one look to the next while nothing
    /// changes in who gets work; valid until the table changes.
    [[nodiscard]] auto usable(const common::service_name& service) const
        -> const std::vector<const registration*>&;

    /// Null unless it may get work.
    [[nodiscard]] auto find(const common::server_id& id) const -> const registration*;

    /// The start with this hash, if it may get work; looks at all.
    [[nodiscard]] auto find_named(std::uint64_t hash) const -> std::optional<server_instance>;

    [[nodiscard]] auto state_of(const common::server_id& id) const -> std::optional<server_state>;

    [[nodiscard]] auto is_retired(const common::server_id& id) const -> bool
    {
        return this->state_of(id) == server_state::leaving;
    }

    [[nodiscard]] auto has_lapsed() const -> bool;

    /// Combined hash of the starts that may get work; equal where the same ones do.
    [[nodiscard]] auto digest() const -> std::uint64_t;

    /// How many may get work.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct known_server {
        registration last;
        server_state state = server_state::usable;
        /// When a word of this start was read last.
        time_point heard_at{};
        /// When it was last heard that it leaves.
        time_point left_at{};
        /// A word of an earlier start was read, and no other since.
        bool has_late_word = false;
        /// Counts as cold until then, whatever it says.
        time_point cold_at_least{};

        [[nodiscard]] auto gets_work() const -> bool
        {
            return this->state == server_state::usable || this->state == server_state::lapsed;
        }
    };

    auto set_leaving(known_server& server, time_point now) -> table_event;
    static auto note_warmth(known_server& known, const registration& read, time_point now)
        -> table_event;
    auto begin(const registration& read, time_point now) -> table_event;
    auto begin_unreadable(const common::server_id& id) -> table_event;
    [[nodiscard]] static auto
    is_late(const registration& read, const known_server& known, time_point now) -> bool;

    /// Who gets work has changed, or whose service.
    auto forget_usable() -> void { this->usable_by_service.clear(); }

    std::map<common::server_id, known_server> servers;
    /// Data centres that get no work.
    std::set<common::data_centre_id> closed;
    /// What `usable` has found; each request asks.
    mutable std::map<common::service_name, std::vector<const registration*>> usable_by_service;
    departure_tracker gone;
};

} // namespace reedramp::routing
