#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/units.hpp"

namespace reedramp::routing {

/// One life of a backend server, as it has registered itself. A restarted server has another id.
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
};

/// Hash of a server's id, equal in all processes.
auto hash_of(const common::server_id& server) -> std::uint64_t;

/// A change of the servers' list: a registration, or the end of one.
struct registration_change {
    common::server_id id;
    /// None when the registration is gone.
    std::optional<registration> now;
};

/// The backend servers that may get work.
///
/// Leaving is final for an id. A list that lags, or is read again after an outage, may show a
/// server that has already said that it leaves; taking it back would send it work after the time
/// that it granted. Gone is not: a registration lapses also when only the store was away, and then
/// returns.
class server_table {
public:
    /// Applies a change that came in the order of the store.
    auto apply(const registration_change& change) -> void;

    /// `id` leaves.
    auto retire(const common::server_id& id) -> void;

    /// Hashes of the servers that have said that they leave, the newest ones, for the peers.
    [[nodiscard]] auto leaving() const -> std::vector<std::uint64_t>;

    /// A peer has read that these leave; a server is named by `hash_of` its id. Gives those that
    /// had work until now.
    auto retire_named(const std::vector<std::uint64_t>& hashes) -> std::vector<common::server_id>;

    /// All that may get work.
    [[nodiscard]] auto ids() const -> std::vector<common::server_id>;

    /// Servers of a service that may get new work.
    [[nodiscard]] auto usable(const common::service_name& service) const
        -> std::vector<const registration*>;

    [[nodiscard]] auto find(const common::server_id& id) const -> const registration*;

    [[nodiscard]] auto is_retired(const common::server_id& id) const -> bool
    {
        return this->retired.contains(id);
    }

    [[nodiscard]] auto size() const -> std::size_t { return this->live.size(); }

private:
    std::map<common::server_id, registration> live;
    /// Ids are never used again, and some hundred bytes for each restart of a server are less than
    /// what its connections cost.
    std::set<common::server_id> retired;
    /// The newest of them, the newest last.
    std::deque<std::uint64_t> newest_retired;
};

} // namespace reedramp::routing
