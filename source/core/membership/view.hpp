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

/// Which hosts and backend servers may get work now. The platform's list lags, so it is a hint that
/// can remove a server but never bring one back that said of itself that it is leaving.
namespace reedramp::membership {

/// A backend server as the inventory names it; the list of hosts adds its address.
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
    /// Last incarnation that answered; 0 while none has.
    common::incarnation_id incarnation;
};

/// How many of the inventory's servers the list of hosts shows.
struct server_coverage {
    /// Whether the list was read at least once.
    bool list_was_read = false;
    std::size_t servers = 0;
    std::size_t listed = 0;
};

/// An entry or agent process that can be asked.
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
    /// Did not answer; tried again at a later time.
    suspended,
    /// Said of itself, or the list says, that it takes no new work.
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
    /// First suspension after a failure; it doubles with each further failure up to the longest.
    common::duration first_suspension = std::chrono::milliseconds{200};
    common::duration longest_suspension = std::chrono::seconds{5};
};

/// Merges the inventory's servers, the list of hosts, probe answers, closed connections and
/// announcements into one view. Thread-safe; calls no hook.
class view {
public:
    explicit view(view_config settings = {}) : config(settings) {}

    /// Takes a new list of hosts. An empty one is ignored when hosts were known: a list service
    /// that has lost its data must not take all servers away.
    auto update_hosts(std::vector<platform::host_entry> rows) -> void;

    /// Takes the backend servers of a new configuration.
    auto update_servers(std::vector<server_row> rows) -> void;

    /// An answer to a probe, at `now`. It ends a suspension, tells the incarnation, and counts at
    /// once when it says `leaving`. Answers of earlier incarnations are dropped.
    auto probe_answered(const messages::probe_answer& answer) -> void;

    /// A probe or call got no answer, or the connection was closed: suspend the server.
    auto failed(const common::server_id& server, common::time_point now) -> void;

    /// An agent refused work. `server_leaving` and `shutting_down` mark that incarnation as
    /// leaving.
    auto refused(
        const common::server_id& server,
        common::incarnation_id incarnation,
        common::result_code code) -> void;

    /// Servers that may get new work of this version or service, in order of their ids.
    [[nodiscard]] auto servers_for(const common::version_id& version, common::time_point now) const
        -> std::vector<server_view>;
    [[nodiscard]] auto
    servers_for(const common::service_name& service, common::time_point now) const
        -> std::vector<server_view>;

    /// A server's address and last incarnation, whether or not it may get new work; the outcome of
    /// an earlier run is asked also of a leaving one.
    [[nodiscard]] auto find(const common::server_id& server) const -> std::optional<server_view>;

    /// Every server of the inventory with its state, for operators.
    [[nodiscard]] auto statuses(common::time_point now) const -> std::vector<server_status>;

    [[nodiscard]] auto coverage() const -> server_coverage;

    /// Entries and agents of the list that are not leaving.
    [[nodiscard]] auto peers(platform::host_role role) const -> std::vector<peer_view>;

    /// Grows with each change that can change which servers are usable, apart from time passing.
    [[nodiscard]] auto generation() const -> std::uint64_t;

private:
    struct server_state {
        server_row row;
        common::incarnation_id incarnation;
        /// Earlier incarnations, oldest first, at most `remembered_incarnations`.
        std::vector<common::incarnation_id> earlier;
        /// Incarnations that are leaving, oldest first, at most `remembered_incarnations`.
        std::vector<common::incarnation_id> leaving;
        std::uint32_t failures = 0;
        common::time_point suspended_until{};
        bool in_inventory = false;
    };

    [[nodiscard]] auto state_of(const server_state& server, common::time_point now) const
        -> availability;
    [[nodiscard]] auto describe(const server_state& server) const -> server_view;
    [[nodiscard]] auto host_of(const server_state& server) const -> const platform::host_entry*;
    auto forget_dropped_servers() -> void;
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
