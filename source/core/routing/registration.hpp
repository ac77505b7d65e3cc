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

/// One start of a backend server, as it has registered itself.
struct registration {
    common::server_id id;
    common::service_name service;
    /// "IP:port".
    std::string address;
    common::data_centre_id data_centre;
    /// Version of its software.
    common::version_id version;
    unsigned slots = 1;
    bool is_leaving = false;
    /// It has just started, and is slower than it will be for so long after this was written.
    std::chrono::milliseconds cold_for{0};
    /// The same as a deadline of this process; whoever reads the list sets it.
    common::time_point cold_until{};
    start_time born{0};
    /// Its start lies ahead of this host's time of day by more than clocks differ; whoever reads
    /// the list sets it.
    bool is_born_ahead = false;
    /// `hash_of` the id, so that ranking hundreds of servers hashes no text; the table sets it.
    std::uint64_t id_hash = 0;

    [[nodiscard]] auto start() const -> server_instance { return {this->id, this->born}; }

    [[nodiscard]] auto is_cold(time_point now) const -> bool { return this->cold_until > now; }
};

/// A change of the servers' list: a registration, or the end of one.
struct registration_change {
    common::server_id id;
    /// None when the registration is gone.
    std::optional<registration> now;
    /// Why the record under that id is no registration; empty if it is one, or is gone.
    std::string problem{};
};

} // namespace reedramp::routing
