#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "routing/server_instance.hpp"

namespace reedramp::routing {

using common::time_point;

/// A backend server instance, as registered by the server itself.
struct registration {
    common::server_id id;
    common::service_name service;
    /// "IP:port".
    std::string address;
    common::data_centre_id data_centre;
    /// Version of the server's software.
    common::version_id version;
    unsigned slots = 1;
    bool is_leaving = false;
    /// Remaining time, from when this was written, during which the server is still warming up and
    /// slower than later.
    std::chrono::milliseconds cold_for{0};
    /// `cold_for` as a deadline on this process's clock; set by the reader of the list.
    common::time_point cold_until{};
    start_time started_at{0};
    /// Number of this registration among those of its instance, which count up from its start; 0 if
    /// unknown. Tells a late write from a newer one, which the order of arrival does not.
    std::uint64_t sequence = 0;
    /// Whether its start time is ahead of this host's clock by more than clocks may differ; set by
    /// the reader of the list.
    bool starts_in_future = false;
    /// `hash_of` the id, cached so that ranking hundreds of servers hashes no text; set by the
    /// table.
    std::uint64_t id_hash = 0;

    [[nodiscard]] auto instance() const -> server_instance { return {this->id, this->started_at}; }

    [[nodiscard]] auto is_cold(time_point now) const -> bool { return this->cold_until > now; }
};

/// `hash_of` the server's id, without hashing its text again if it is cached.
inline auto id_hash_of(const registration& server) -> std::uint64_t
{
    return server.id_hash == 0 ? hash_of(server.id) : server.id_hash;
}

/// What is known about the end of an instance's registration.
struct registration_end {
    /// Number of the last registration before it; 0 if unknown.
    std::uint64_t last_sequence = 0;
    /// The server left: its registration was removed before it could have lapsed.
    bool has_left = false;

    auto operator==(const registration_end&) const -> bool = default;
};

/// A change of the server list: a new or updated registration, or the end of one.
struct registration_change {
    common::server_id id;
    /// Empty if the registration has ended.
    std::optional<registration> now;
    /// Why the record under that id is not a valid registration; empty if it is valid, or has been
    /// removed.
    std::string problem{};
    /// If the registration has ended: what its reader knew about that.
    registration_end end{};
};

} // namespace reedramp::routing
