#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "entry_fleet.hpp"

/// Simulates entries, servers that some requests crash, and callers, without a network.
namespace reedramp::router::testing {

/// Entries in contact for this long know what the others have observed.
inline constexpr seconds contact{3};
/// Arrivals at servers after that time which the operators accept.
inline constexpr std::size_t max_late = 3;

struct crash_simulation_options {
    std::size_t entries = 4;
    std::size_t servers = 16;
    /// Share of datagrams that are lost.
    double loss = 0.0;
    std::uint64_t seed = 1;
    /// A crashed server restarts under its id with a new start time; otherwise another one starts.
    bool restarts_under_id = false;
};

/// Caller and path of a request.
struct request_options {
    std::string path = "/stream/1";
    std::string key = "key";
    std::vector<http::header> headers = {};
};

/// A caller's request and its response.
struct simulated_request {
    common::time_point at;
    std::size_t entry = 0;
    std::string attempt;
    std::string body;
    /// The body or the part of the prompt that crashes servers; empty for a harmless request.
    std::string cause;
    std::shared_ptr<caller> out;
};

/// The arrival of a request at a server.
struct simulated_send {
    common::time_point at;
    std::size_t entry = 0;
    std::string server;
    std::string attempt;
    std::string body;
    /// As `simulated_request::cause`.
    std::string cause;
};

/// Servers respond to each request after a while. A request with a marked body, or with one of the
/// crashing parts in its prompt, crashes the server that starts it, together with all that this
/// server has in flight. A crashed server refuses connections; its registration lapses, and another
/// server starts in its place.
class crash_simulation {
public:
    explicit crash_simulation(const crash_simulation_options& options);

    /// Sends a request to an entry, with a new attempt id.
    auto ask(std::size_t entry, const std::string& body, const request_options& how = {})
        -> std::shared_ptr<caller>;

    /// Sends a request to a random live entry.
    auto ask_random_entry(const std::string& body, const request_options& how = {})
        -> std::shared_ptr<caller>;

    /// When the last of the entries that are neither dead nor frozen had barred the request;
    /// `never` while one has not.
    [[nodiscard]] auto barred_everywhere_at(const std::string& body) const -> common::time_point;

    /// Starts a new process on an entry's host.
    auto restart(std::size_t entry) -> void;

    /// Crashes a server without a request as the cause.
    auto crash(const std::string& server) -> void;

    auto run(milliseconds time) -> void;

    /// Body of a request that crashes servers. Different names give different requests.
    static auto crashing_body(const std::string& name) -> std::string;

    /// When the request had crashed its third server; `never` if it has not.
    [[nodiscard]] auto third_crash(const std::string& body) const -> common::time_point;

    /// When the body or part had crashed its server `number`, from 1; `never` if it has not.
    [[nodiscard]] auto crash_number(std::size_t number, const std::string& cause) const
        -> common::time_point;

    /// Number of servers that the body or part has crashed.
    [[nodiscard]] auto crashes_of(const std::string& cause) const -> std::size_t;

    /// Number of arrivals of requests with that body or part at servers after `time`.
    [[nodiscard]] auto arrivals_after(const std::string& cause, common::time_point time) const
        -> std::size_t;

    /// Number of harmless or crashing requests that were refused as ones that crash servers.
    [[nodiscard]] auto refused(bool crashing) const -> std::size_t;

    /// Live servers.
    [[nodiscard]] auto live_servers() const -> std::vector<std::string>;

    [[nodiscard]] auto now() const -> common::time_point;

    entry_fleet fleet;
    /// Parts of prompts that crash servers.
    std::set<std::string> crashing_parts;
    std::vector<simulated_request> requests;
    std::vector<simulated_send> sends;
    std::mt19937_64 random;

private:
    struct pending_call {
        std::shared_ptr<sent_request> call;
        std::string server;
        std::string cause;
        common::time_point ends_at;
    };

    /// The cause of crashes that a request with that body and these parts holds; empty if none.
    [[nodiscard]] auto cause_in(const std::string& body, std::string_view parts) const
        -> std::string;

    auto collect_sends() -> void;
    auto respond_due() -> void;
    auto replace_due() -> void;
    auto crash_now(const std::string& server) -> void;
    auto start_server(const std::string& id) -> void;
    auto note_barred() -> void;

    crash_simulation_options options;
    std::vector<std::size_t> collected;
    std::map<std::string, common::time_point> barred_at;
    std::vector<pending_call> in_flight;
    std::set<std::string> alive;
    /// When the registration of a crashed server ends, and when a replacement starts.
    std::multimap<common::time_point, std::string> to_remove;
    std::multimap<common::time_point, std::string> to_start;
    std::map<std::string, std::vector<common::time_point>> crashes_by_cause;
    std::size_t started = 0;
    std::size_t attempts = 0;
};

/// A reason for which servers crash whatever they run, applied once in each round.
struct crash_fault {
    const char* name;
    std::function<auto(crash_simulation& simulation, int round)->void> apply;
};

auto independent_faults() -> std::vector<crash_fault>;

} // namespace reedramp::router::testing
