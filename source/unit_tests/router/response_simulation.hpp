#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "../retry_allowance.hpp"
#include "entry_fleet.hpp"

/// Simulates entries, servers that state directives in their responses, and callers, without a
/// network.
namespace reedramp::router::testing {

struct response_simulation_options {
    std::size_t entries = 4;
    std::size_t servers = 12;
    /// Requests per second, over all entries.
    std::size_t per_second = 100;
    /// Share of datagrams that are lost.
    double loss = 0.0;
    std::uint64_t seed = 1;
    placement::retry_budget_settings retries = ample_retries().retries;
};

/// A request that has arrived at a server.
struct arrival {
    common::time_point at;
    std::size_t entry = 0;
    std::string server;
    /// How often the entry had been restarted.
    std::size_t process = 0;
    std::string attempt = {};
};

/// A response that has arrived at an entry.
struct received_response {
    common::time_point at;
    arrival of;
    std::uint16_t status = 0;
};

/// A server's response.
struct server_response {
    std::uint16_t status = 200;
    std::vector<http::header> headers = {};
};

/// Callers send requests to random entries. Each server responds after a while, as the test
/// defines.
class response_simulation {
public:
    explicit response_simulation(const response_simulation_options& options);

    auto run(milliseconds time) -> void;

    /// Starts a new process on an entry's host.
    auto restart(std::size_t entry) -> void;

    /// All entries stand still until `resume_entries`; callers go on meanwhile.
    auto stop_entries() -> void;
    auto resume_entries() -> void;

    [[nodiscard]] auto now() const -> common::time_point { return this->fleet.now; }

    [[nodiscard]] auto server_name(std::size_t server) const -> std::string;

    /// Whether the process that sent this request had received a response of its server by `time`.
    [[nodiscard]] auto had_response(const arrival& one, common::time_point time) const -> bool;

    /// Maximum number of requests within any `window` that arrived at the server after `from`,
    /// among those for which `counts` is true.
    [[nodiscard]] auto max_count_within(
        const std::string& server,
        milliseconds window,
        common::time_point from,
        const std::function<auto(const arrival& one)->bool>& counts = {}) const -> std::size_t;

    /// Requests that arrived at the server from `from` on.
    [[nodiscard]] auto arrivals_at(const std::string& server, common::time_point from) const
        -> std::size_t;

    /// All requests, and the arrivals beyond the first one of each.
    [[nodiscard]] auto history() const -> reedramp::testing::service_history;

    /// Number of callers that got this status.
    [[nodiscard]] auto with_status(int status) const -> std::size_t;

    entry_fleet fleet;
    std::mt19937_64 random;
    /// Without it, all requests are served.
    std::function<auto(const arrival& one)->server_response> respond;
    std::vector<arrival> arrivals;
    std::vector<received_response> responses;
    std::vector<std::shared_ptr<caller>> callers;
    /// When each caller sent its request.
    std::vector<common::time_point> asked_at;

private:
    struct pending_call {
        std::shared_ptr<sent_request> call;
        arrival arrived;
        common::time_point ends_at;
    };

    auto ask() -> void;
    /// Gives a caller's request to an entry that runs.
    auto deliver() -> void;
    auto collect_sends() -> void;
    auto respond_due() -> void;

    response_simulation_options options;
    std::vector<std::size_t> collected;
    std::vector<std::size_t> processes;
    std::vector<pending_call> in_flight;
    common::time_point next_request;
    bool are_entries_stopped = false;
    /// Requests that were sent to entries which stand still.
    std::size_t unread = 0;
};

} // namespace reedramp::router::testing
