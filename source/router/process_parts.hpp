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

#include "daemon/timer_queue.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "peer_group.hpp"
#include "router/barred_records.hpp"
#include "router/crash_broadcaster.hpp"
#include "router/list_broadcaster.hpp"
#include "router/rollout_writer.hpp"
#include "router/servers_follower.hpp"
#include "router_process.hpp"

/// The inside of `router_process`, for the files that it is written in.
namespace reedramp::router_program {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Path under which an entry gives its rules to peers.
inline constexpr std::string_view rules_path = "/rules";
/// Path under which it gives the servers' list, whole or behind a position.
inline constexpr std::string_view list_path = "/servers";
inline constexpr std::string_view list_since = "/servers?since=";
/// What a neighbour that starts needs besides: all peers, roll-outs, and whether the store has its
/// record, which a header of that answer says.
inline constexpr std::string_view start_path = "/start?address=";
inline constexpr std::string_view recorded_header = "Reedramp-Recorded";
/// Between two looks at whether a start is over.
inline constexpr milliseconds start_check{5};
/// A message to a peer has some hundred bytes; a roll-out adds 100 for each of its routes.
inline constexpr std::size_t largest_datagram = 16384;

struct router_process::parts_of_process {
    parts_of_process(router_settings wanted, platform_parts parts_of_platform);

    ~parts_of_process() { this->timers->clear(); }

    parts_of_process(const parts_of_process&) = delete;
    parts_of_process(parts_of_process&&) = delete;
    auto operator=(const parts_of_process&) -> parts_of_process& = delete;
    auto operator=(parts_of_process&&) -> parts_of_process& = delete;

    // router_process.cpp: the process and its sockets.
    auto listen() -> common::result<void>;
    auto accept_when_ready(common::time_point latest) -> void;
    auto answer_peer(const http::request& asked) -> http::response;
    auto open_peers() -> void;
    auto open_crashes() -> void;
    [[nodiscard]] auto own_address() const -> http::endpoint;
    auto send_datagram(const http::endpoint& to, const std::string& bytes) -> void;
    auto answer_ready(const http::request& asked, http::responder& out) const -> void;
    auto receive() -> void;
    auto every(milliseconds period, std::function<auto()->void> action) -> void;
    auto follow_store() -> void;
    auto shut_down() -> void;
    auto check_shutdown(common::time_point balancer_done, common::time_point last) -> void;

    // process_neighbours.cpp: what entries give each other by HTTP, at a start and later.
    auto fetch_rules(const http::endpoint& from) -> void;
    auto ask_for_list(
        const http::endpoint& of,
        std::optional<std::uint64_t> since,
        router::answer_hook<std::string> done) -> void;
    [[nodiscard]] auto give_list(std::string_view target) const -> http::response;
    auto open_list() -> void;
    auto help_start(std::string_view target) -> http::response;
    /// Whether this entry helps one more of those that start now; counts it if so.
    auto may_help_another() -> bool;
    auto ask_neighbours() -> void;
    auto on_neighbour(const common::result<http::response>& answer) -> void;
    auto start_when_helped(common::time_point latest) -> void;
    auto start_followers() -> void;
    auto await_barred() -> void;
    auto on_new_era() -> void;
    /// Writes the records that the store lacks of entries that live.
    auto record_again(const std::vector<router::entry_record>& known) -> void;
    /// Reads the entries' records once.
    auto read_entries(std::function<auto(bool is_read)->void> done) -> void;
    auto look_for_lost_records() -> void;
    /// Reads them now, and from then on in turn.
    auto find_entries() -> void;
    auto find_entries_later(milliseconds wait) -> void;
    auto record_entry() -> void;
    auto meet(const router::stream_reading<router::entry_document>& entries) -> void;

    router_settings settings;
    platform_parts platform;
    asio::io_context context{1};
    std::shared_ptr<daemon::timer_queue> timers;
    asio::ip::udp::socket datagrams;
    std::array<char, largest_datagram> datagram{};
    store_clients to_store;
    std::shared_ptr<router::router_core> core;
    router::shared_store store;
    std::unique_ptr<peer_group> peers;
    std::shared_ptr<router::servers_list> list;
    std::shared_ptr<router::list_broadcaster> courier;
    std::shared_ptr<router::crash_broadcaster> crashes;
    std::shared_ptr<router::rules_follower> rules;
    std::shared_ptr<router::servers_follower> servers;
    std::shared_ptr<router::rollout_writer> rollouts;
    std::shared_ptr<router::barred_records> barred;
    std::unique_ptr<http::server> for_callers;
    std::unique_ptr<http::server> for_balancer;
    std::unique_ptr<http::server> for_peers;
    bool is_leaving = false;
    bool has_ended_requests = false;
    bool is_fetching_rules = false;
    /// The store has this entry's record.
    bool is_recorded = false;
    /// The store may have lost entries' records since they were read last.
    bool may_lack_records = false;
    /// Neighbours that have not answered yet, at the start.
    std::size_t neighbours_asked = 0;
    /// One of them has told what it knows.
    bool is_helped = false;
    /// The store is followed.
    bool has_started = false;
    /// Entries that this one has helped to start since then.
    std::size_t helped = 0;
    common::time_point helped_since{};
};

} // namespace reedramp::router_program
