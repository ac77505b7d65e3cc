#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/ids.hpp"

/// Routing of requests directly to backend servers: selects the route, service, version, model and
/// server, decides which requests may be resent, and judges a version by its answers. Uses no
/// sockets.
namespace reedramp::routing {

using route_name = common::strong<struct route_tag, std::string>;

/// Whether a request whose outcome is unknown may be sent again.
enum class request_kind : std::uint8_t {
    /// May be executed more than once.
    idempotent,
    /// May be executed at most once.
    non_idempotent,
    /// Answered by an event stream. Treated as `non_idempotent` unless its route is resumable.
    stream,
};

struct weighted_service {
    common::service_name service;
    std::uint32_t weight = 1;
};

struct route {
    route_name name;
    std::string host;
    /// Starts and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::non_idempotent;
    /// Maximum time that a caller waits.
    std::chrono::milliseconds timeout{0};
    /// An answer (for a stream, its first event) within this time is on time.
    std::chrono::milliseconds target{0};
    /// Maximum pause between two events of a stream that counts as on time.
    std::chrono::milliseconds longest_pause{0};
    /// 0 is the highest priority.
    unsigned priority = 0;
    /// Maximum number of backend servers to which one request may be sent.
    unsigned max_attempts = 1;
    /// Accepts requests without a key.
    bool is_open = false;
    /// Whether a stream may be continued by another server after the last event that the caller
    /// received.
    bool is_resumable = false;
    std::vector<weighted_service> targets;
    /// Models that may answer, smallest first. Empty if the caller names the model.
    std::vector<common::model_id> models;
    /// Regions in which requests may be executed; all if none are configured. An empty list allows
    /// none: an operator who takes the last region out opens no other one.
    std::optional<std::vector<common::region_id>> homes;
};

struct priced_model {
    common::model_id name;
    /// Price of 1,000 generated tokens. Prompt tokens cost a quarter of that.
    double cost = 0.0;
};

struct service {
    common::service_name name;
    /// Maximum number of connections to one server, from all callers together.
    unsigned max_connections = 0;
    /// Requests that one model engine processes concurrently; 0 for a plain service.
    unsigned engine_slots = 0;
    std::uint64_t memory_tokens = 0;
    std::vector<priced_model> models;
    /// Requests per second that a cold server can handle; 0 if it needs no limit.
    double cold_per_second = 0.0;
    /// Path of the status check of its servers; empty if they have none.
    std::string health_path;
};

struct organisation {
    common::organisation_id name;
    std::vector<std::string> keys;
    /// As for a route. Both restrictions apply.
    std::optional<std::vector<common::region_id>> homes{};
    /// Takes precedence over that of the route. Empty if the operators set none.
    std::optional<unsigned> priority{};
};

/// Priorities of routes that count apart within one priority of an organisation.
inline constexpr unsigned route_priorities = 3;

/// Priority of the route's requests of `owner`, which may be null; 0 is the highest. The
/// organisation's priority comes first, and the route's orders the requests within it: an
/// organisation's most urgent requests still go before its least urgent ones.
inline auto effective_priority(const route& on, const organisation* owner) -> unsigned
{
    if (owner == nullptr || !owner->priority) {
        return on.priority;
    }
    return *owner->priority * route_priorities + std::min(on.priority, route_priorities - 1);
}

/// Limits on callers' requests and connections.
struct caller_limits {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4UL * 1024UL * 1024UL;
    std::chrono::milliseconds idle{15000};
};

/// One complete version of the operators' rules.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    /// Whether requests need the key of an organisation, on routes that are not open. It does not
    /// follow from `organisations`: once the last one has been taken out, no key is known.
    bool requires_keys = false;
    std::vector<organisation> organisations;
    caller_limits limits;
};

/// A configuration with lookup indexes. Immutable; shared by the requests that started under it.
class route_table {
public:
    explicit route_table(configuration content);

    [[nodiscard]] auto version() const -> std::uint64_t { return this->content.version; }

    [[nodiscard]] auto rules() const -> const configuration& { return this->content; }

    /// Returns the route of `host` with the longest matching prefix of `path`, or null. Ignores a
    /// port in `host` and the case of `host`.
    [[nodiscard]] auto find(std::string_view host, std::string_view path) const -> const route*;

    /// Returns the organisation that holds `key`, or null.
    [[nodiscard]] auto owner_of(const std::string& key) const -> const organisation*;

    [[nodiscard]] auto find_service(const common::service_name& name) const -> const service*;

private:
    configuration content;
    /// Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> by_host;
    std::unordered_map<std::string, const organisation*> by_key;
};

/// Whether the route's requests may be executed more than once.
auto is_repeatable(const route& on) -> bool;

/// Chooses the service of a request by the weights. `draw` is uniform in [0, 1).
auto choose_service(const route& from, double draw) -> const common::service_name&;

} // namespace reedramp::routing
