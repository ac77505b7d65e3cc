#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/ids.hpp"

/// Requests that are routed straight to backend servers: which route, service, version, model and
/// server, what may be sent again, and what a version's answers say about it. No sockets.
namespace reedramp::routing {

using route_name = common::strong<struct route_tag, std::string>;

/// What may happen to a request whose outcome is unknown.
enum class request_kind : std::uint8_t {
    /// May run more than once.
    idempotent,
    /// May run at most once.
    non_idempotent,
    /// An answer of events; as `non_idempotent` unless its route says that it may be resumed.
    stream,
};

struct weighted_service {
    common::service_name service;
    std::uint32_t weight = 1;
};

struct route {
    route_name name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::non_idempotent;
    /// The longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout{0};
    /// An answer (of a stream: its first event) is on time within this.
    std::chrono::milliseconds target{0};
    /// The longest pause between two events of a stream that is on time.
    std::chrono::milliseconds longest_pause{0};
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Most backend servers that one request may be sent to.
    unsigned most_attempts = 1;
    /// Needs no key.
    bool is_open = false;
    /// A stream that may go on at another server after the last event that the caller has.
    bool is_resumable = false;
    std::vector<weighted_service> targets;
    /// Models that may answer, smallest first; empty when the caller names the model.
    std::vector<common::model_id> models;
    /// Regions in which its requests may run; empty: all.
    std::vector<common::region_id> homes;
};

struct priced_model {
    common::model_id name;
    /// Price of 1,000 generated tokens; tokens read cost a quarter.
    double cost = 0.0;
};

struct service {
    common::service_name name;
    /// Connections that one server takes from all callers together.
    unsigned most_connections = 0;
    /// Requests that one model engine works on at once; 0 for a plain service.
    unsigned engine_slots = 0;
    std::uint64_t memory_tokens = 0;
    std::vector<priced_model> models;
    /// Requests a second that a server bears while it is cold; 0 if it bears all.
    double cold_per_second = 0.0;
};

struct organisation {
    common::organisation_id name;
    std::vector<std::string> keys;
    /// As of a route; both bind.
    std::vector<common::region_id> homes{};
};

/// What callers may send, and how long they may take.
struct caller_limits {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4UL * 1024UL * 1024UL;
    std::chrono::milliseconds idle{15000};
};

/// One version of the operators' rules, whole.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<organisation> organisations;
    caller_limits limits;

    /// With organisations, a request needs a key unless its route is open.
    [[nodiscard]] auto asks_for_keys() const -> bool { return !this->organisations.empty(); }
};

/// A configuration with its look-ups. Immutable, shared by the requests that began under it.
class route_table {
public:
    explicit route_table(configuration content);

    [[nodiscard]] auto version() const -> std::uint64_t { return this->content.version; }

    [[nodiscard]] auto rules() const -> const configuration& { return this->content; }

    /// The route with the longest prefix of `path` among those of `host`; null without one. A port
    /// behind the host's name is ignored, and the name's case.
    [[nodiscard]] auto find(std::string_view host, std::string_view path) const -> const route*;

    /// The organisation that holds `key`; null if none does.
    [[nodiscard]] auto owner_of(const std::string& key) const -> const organisation*;

    [[nodiscard]] auto find_service(const common::service_name& name) const -> const service*;

private:
    configuration content;
    /// Host to routes, longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> by_host;
    std::unordered_map<std::string, const organisation*> by_key;
};

/// Takes the service of a request by the weights. `draw` is uniform in [0, 1).
auto choose_service(const route& from, double draw) -> const common::service_name&;

} // namespace reedramp::routing
