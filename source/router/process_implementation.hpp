#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "common/log_limiter.hpp"
#include "daemon/stall_monitor.hpp"
#include "daemon/timer_queue.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "peer_group.hpp"
#include "router/barred_records.hpp"
#include "router/crash_broadcaster.hpp"
#include "router/list_broadcaster.hpp"
#include "router/rollout_writer.hpp"
#include "router/rules_checker.hpp"
#include "router/servers_follower.hpp"
#include "router_process.hpp"

/// Implementation of `router_process`, shared by its source files.
namespace reedramp::router_program {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Path where an entry serves its rules to peers.
inline constexpr std::string_view rules_path = "/rules";
/// Path where it serves the server list, whole or after a position.
inline constexpr std::string_view list_path = "/servers";
inline constexpr std::string_view list_since = "/servers?since=";
/// Path where it serves the rest of what a starting neighbour needs: all peers, roll-outs, and in a
/// response header whether the store has the neighbour's record.
inline constexpr std::string_view start_path = "/start?address=";
inline constexpr std::string_view recorded_header = "Reedramp-Recorded";
/// Interval of checks whether the start is complete.
inline constexpr milliseconds start_check{5};
/// Receive buffer for datagrams: the longest that UDP carries, so that none is cut.
inline constexpr std::size_t max_datagram_bytes = 65'536;

struct router_process::implementation {
    implementation(router_settings settings_to_use, platform_parts parts_of_platform);

    ~implementation() { this->timers->clear(); }

    implementation(const implementation&) = delete;
    implementation(implementation&&) = delete;
    auto operator=(const implementation&) -> implementation& = delete;
    auto operator=(implementation&&) -> implementation& = delete;

    // router_process.cpp: the process and its sockets.
    auto listen() -> common::result<void>;
    auto accept_when_ready(common::time_point latest) -> void;
    auto answer_peer(const http::request& request) -> http::response;
    auto lift_barred(std::string_view print) -> http::response;
    /// Opens the socket on which peers' datagrams arrive.
    auto open_datagrams() -> common::result<void>;
    auto open_peers() -> void;
    auto open_crash_updates() -> void;
    [[nodiscard]] auto own_address() const -> http::endpoint;
    auto send_datagram(const http::endpoint& to, const std::string& bytes) -> void;
    auto answer_ready(const http::request& request, http::responder& out) const -> void;
    auto receive() -> void;
    /// Counts and logs a datagram that the system did not send.
    auto
    note_unsent(const http::endpoint& to, std::size_t size, const boost::system::error_code& why)
        -> void;
    auto every(milliseconds period, std::function<auto()->void> action) -> void;
    auto follow_store() -> void;
    /// Logs and counts that the process stood still.
    auto note_stall() -> void;
    /// Waits for the next event and runs the handlers that are due. False once the process is to
    /// end.
    auto run_handlers() -> bool;

    // process_shutdown.cpp: from SIGTERM until the last response is out.
    auto shut_down() -> void;
    auto check_shutdown(common::time_point balancer_done, common::time_point last) -> void;

    // process_neighbours.cpp: HTTP between entries, at the start and later.
    auto fetch_rules(const http::endpoint& from) -> void;
    auto query_list(
        const http::endpoint& of,
        std::optional<std::uint64_t> since,
        router::answer_hook<std::string> done) -> void;
    [[nodiscard]] auto serve_list(std::string_view target) const -> http::response;
    auto open_list_updates() -> void;
    auto serve_start(std::string_view target) -> http::response;
    /// Whether this entry helps one more starting entry in this second; counts it if so.
    auto may_serve_start() -> bool;
    auto query_neighbours() -> void;
    auto on_start_response(const common::result<http::response>& answer) -> void;
    auto start_when_neighbours_respond(common::time_point latest) -> void;
    auto start_followers() -> void;
    auto wait_for_barred() -> void;
    auto on_new_era() -> void;
    /// Writes the records of live entries that the store lacks.
    auto restore_records(const std::vector<router::entry_record>& known) -> void;
    /// Reads the entries' records once.
    auto read_entries(std::function<auto(bool is_read)->void> done) -> void;
    auto restore_lost_records() -> void;
    /// Reads the entries' records now and then periodically.
    auto find_entries() -> void;
    auto schedule_find_entries(milliseconds wait) -> void;
    auto record_entry() -> void;
    auto apply_entry_records(const router::stream_reading<router::entry_document>& entries) -> void;

    router_settings settings;
    platform_parts platform;
    asio::io_context context{1};
    std::shared_ptr<daemon::timer_queue> timers;
    daemon::stall_monitor stalls;
    asio::ip::udp::socket datagrams;
    std::array<char, max_datagram_bytes> datagram{};
    store_clients store_http;
    std::shared_ptr<router::router_core> core;
    router::shared_store store;
    std::unique_ptr<peer_group> peers;
    std::shared_ptr<router::servers_list> list;
    std::shared_ptr<router::list_broadcaster> list_updates;
    std::shared_ptr<router::crash_broadcaster> crash_updates;
    std::shared_ptr<router::rules_follower> rules;
    std::shared_ptr<router::rules_checker> rules_check;
    std::shared_ptr<router::servers_follower> servers;
    std::shared_ptr<router::rollout_writer> rollouts;
    std::shared_ptr<router::barred_records> barred;
    std::unique_ptr<http::server> callers_server;
    std::unique_ptr<http::server> balancer_server;
    std::unique_ptr<http::server> peers_server;
    /// On datagrams that the system did not send.
    common::log_limiter unsent_lines{std::chrono::seconds{5}};
    bool is_leaving = false;
    bool has_ended_requests = false;
    bool is_fetching_rules = false;
    /// The store has this entry's record.
    bool is_recorded = false;
    /// The store may have lost entries' records since the last reading.
    bool may_lack_records = false;
    /// Start requests to neighbours that are still in flight.
    std::size_t pending_neighbours = 0;
    /// One of the neighbours has responded with its state.
    bool has_start_response = false;
    /// The followers of the store have been started.
    bool has_started = false;
    /// Entries that this one has helped to start since `starts_counted_since`.
    std::size_t starts_served = 0;
    common::time_point starts_counted_since{};
};

} // namespace reedramp::router_program
