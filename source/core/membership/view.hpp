#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "messages/channel.hpp"
#include "messages/run.hpp"
#include "platform/hooks.hpp"

/// Tracks which hosts and backend servers may get work. The platform's list of hosts lags: it can
/// remove a server, but never make one usable again that has announced that it is leaving.
namespace reedramp::membership {

/// A backend server in the inventory; its address comes from the list of hosts.
struct server_row {
    common::server_id server;
    common::host_id host;
    common::data_centre_id data_centre;
    common::region_id region;
    std::vector<common::version_id> versions;
    std::vector<common::service_name> services;
};

/// A backend server that may get new work.
struct server_view {
    common::server_id server;
    common::host_id host;
    common::data_centre_id data_centre;
    common::region_id region;
    messages::rpc_address rpc;
    /// Last incarnation that answered a probe; 0 if none has.
    common::incarnation_id incarnation;
};

/// How many of the inventory's servers are in the list of hosts.
struct server_coverage {
    /// Whether the list was read at least once.
    bool list_was_read = false;
    std::size_t servers = 0;
    std::size_t listed = 0;
};

/// An entry or agent process that can be called.
struct peer_view {
    common::host_id host;
    common::data_centre_id data_centre;
    common::region_id region;
    platform::host_role role = platform::host_role::entry;
    messages::rpc_address rpc;
    std::string http;
};

enum class availability : std::uint8_t {
    usable,
    /// Did not respond; gets no work until the suspension ends.
    suspended,
    /// Takes no new work, by its own announcement or by the list.
    leaving,
    /// Not in the list of hosts, or not in the inventory.
    absent
};

auto to_string(availability value) -> std::string_view;

struct server_status {
    server_view server;
    availability state = availability::absent;
    /// Consecutive failures that led to a suspension.
    std::uint32_t failures = 0;
    /// End of the suspension.
    common::time_point suspended_until{};
};

struct view_config {
    /// Suspension after the first failure; doubles with each further failure up to
    /// `max_suspension`.
    common::duration first_suspension = std::chrono::milliseconds{200};
    common::duration max_suspension = std::chrono::seconds{5};
};

/// Combines the inventory's servers, the list of hosts, probe answers, closed connections and
/// announcements into one view of the members. Thread-safe; calls no hook.
class view {
public:
    explicit view(view_config settings = {}) : config(settings) {}

    /// Replaces the list of hosts. An empty list is ignored if hosts are known: a list service that
    /// has lost its data must not remove all servers.
    auto update_hosts(std::vector<platform::host_entry> rows) -> void;

    /// Replaces the inventory's backend servers with those of a new configuration.
    auto update_servers(std::vector<server_row> rows) -> void;

    /// Applies the answer to a probe: ends the suspension, and sets the server's incarnation and,
    /// where the answer says so, that it is leaving. Answers of earlier incarnations are ignored.
    auto on_probe_answer(const messages::probe_answer& answer) -> void;

    /// Suspends the server after a probe or call without a response or a closed connection.
    auto on_failure(const common::server_id& server, common::time_point now) -> void;

    /// Applies an agent's refusal of work. The codes `server_leaving` and `shutting_down` mark the
    /// incarnation as leaving.
    auto on_refusal(
        const common::server_id& server,
        common::incarnation_id incarnation,
        common::result_code code) -> void;

    /// Servers that may get new work for this version or service, sorted by id.
    [[nodiscard]] auto servers_for(const common::version_id& version, common::time_point now) const
        -> std::vector<server_view>;
    [[nodiscard]] auto
    servers_for(const common::service_name& service, common::time_point now) const
        -> std::vector<server_view>;

    /// A server's address and last incarnation, whether or not it may get new work: a leaving
    /// server is still asked for the outcome of an earlier run.
    [[nodiscard]] auto find(const common::server_id& server) const -> std::optional<server_view>;

    /// All servers of the inventory with their states, for operators.
    [[nodiscard]] auto statuses(common::time_point now) const -> std::vector<server_status>;

    [[nodiscard]] auto coverage() const -> server_coverage;

    /// Entries and agents of the list that are not leaving.
    [[nodiscard]] auto peers(platform::host_role role) const -> std::vector<peer_view>;

    /// Increases with each change that can affect which servers are usable, except the passing of
    /// time.
    [[nodiscard]] auto generation() const -> std::uint64_t;

private:
    struct server_state {
        server_row row;
        common::incarnation_id incarnation;
        /// Earlier incarnations, oldest first, at most `max_incarnations`.
        std::vector<common::incarnation_id> earlier;
        /// Incarnations that are leaving, oldest first, at most `max_incarnations`.
        std::vector<common::incarnation_id> leaving;
        std::uint32_t failures = 0;
        common::time_point suspended_until{};
        bool in_inventory = false;
    };

    [[nodiscard]] auto state_of(const server_state& server, common::time_point now) const
        -> availability;
    [[nodiscard]] auto describe(const server_state& server) const -> server_view;
    [[nodiscard]] auto host_of(const server_state& server) const -> const platform::host_entry*;
    auto purge_removed_servers() -> void;
    auto mark_leaving(server_state& server, common::incarnation_id incarnation) -> void;

    template <typename Matches>
    auto select(Matches matches, common::time_point now) const -> std::vector<server_view>;

    view_config config;
    mutable std::mutex lock;
    std::map<common::server_id, server_state> servers;
    std::map<common::host_id, platform::host_entry> hosts;
    bool list_was_read = false;
    std::uint64_t changes = 0;
};

} // namespace reedramp::membership
