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

#include "peer_group.hpp"
#include "router/crash_broadcaster.hpp"
#include "router/list_broadcaster.hpp"
#include "router/servers_follower.hpp"
#include "world.hpp"

/// Many entries in some data centres that follow one servers' list, with the real followers,
/// couriers and peer groups, over a store and a network that a test plays.
namespace reedramp::router::testing {

struct fleet_shape {
    std::size_t entries = 26;
    std::size_t data_centres = 3;
    /// Part of the datagrams that are lost.
    double loss = 0.0;
    std::uint64_t seed = 1;
    /// All know the address of the first entry alone; else each knows all.
    bool knows_first_only = false;
    /// Without, each entry reads every change from the store itself.
    bool hands_on = true;
};

class entry_fleet {
public:
    explicit entry_fleet(const fleet_shape& shape);

    struct entry {
        world own;
        std::unique_ptr<router_program::peer_group> peers;
        std::shared_ptr<servers_list> list;
        std::shared_ptr<list_broadcaster> courier;
        std::shared_ptr<crash_broadcaster> crashes;
        std::shared_ptr<servers_follower> follower;
        std::shared_ptr<rules_follower> rules;
        http::endpoint where;
        std::size_t data_centre = 0;
        bool is_dead = false;
        bool is_frozen = false;
        bool is_turned_away = false;
    };

    auto run(milliseconds time) -> void;

    /// A new process on an entry's host, which knows nothing of before.
    auto start_anew(std::size_t number) -> void;

    /// A server registers, says that it leaves, or its registration ends.
    auto write(const std::string& server, bool is_leaving = false, std::uint64_t started_at = 0)
        -> void;
    auto remove(const std::string& server) -> void;

    /// The store comes back without its newest `records`, which are given out again.
    auto come_back_older(std::size_t records) -> void;

    /// The operators evacuate a data centre, or take it back.
    auto evacuate(const std::string& data_centre) -> void;
    auto take_back(const std::string& data_centre) -> void;

    /// The operators' stream comes back without its newest `records`.
    auto orders_come_back_older(std::size_t records) -> void;

    /// Living entries that would send nothing to the data centre.
    [[nodiscard]] auto sparing(const std::string& data_centre) const -> std::size_t;

    /// Living entries.
    [[nodiscard]] auto living() const -> std::size_t;

    /// Runs until all living entries spare the data centre, or none does; how long that took.
    auto time_until_sparing(const std::string& data_centre, bool all, milliseconds limit)
        -> milliseconds;

    /// Entries that would send work to the server.
    [[nodiscard]] auto using_server(const std::string& server) const -> std::size_t;

    /// Runs until no living entry sends work to the server; how long that took, `limit` at most.
    auto time_until_unused(const std::string& server, milliseconds limit) -> milliseconds;

    /// The two that read for a data centre, as most of its entries see it.
    [[nodiscard]] auto readers_of(std::size_t data_centre) const -> std::vector<std::size_t>;

    /// A datagram as it may come from anybody.
    auto deliver(std::size_t to, const std::string& bytes) -> void;

    std::vector<std::unique_ptr<entry>> entries;
    common::time_point now{seconds{1000}};
    /// Readings that the store answered or refused.
    std::size_t calls = 0;
    /// Records before this position are gone.
    std::uint64_t trimmed_to = 0;
    /// Of the operators' stream.
    std::uint64_t orders_trimmed_to = 0;
    /// Whether somebody listens at a server. Without, all servers live.
    std::function<auto(const common::server_id& server)->bool> listens;
    /// Whether nothing passes from one data centre to another.
    std::function<auto(std::size_t from, std::size_t to)->bool> is_cut;
    /// Each datagram as it is sent; for tests that repeat or hold them.
    std::vector<std::pair<http::endpoint, std::string>> sent;
    bool keeps_sent = false;

private:
    struct letter {
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;
    };

    /// A reading of the operators' stream that waits for news.
    struct waiting_reader {
        entry* by = nullptr;
        stream_position from;
        common::time_point until;
        answer_hook<stream_reading<rules_document>> done;
    };

    auto make_entry(std::size_t number) -> void;
    auto make_rules(entry& one) -> void;
    /// Gives it its place among all, and a time of day of its own.
    auto take_turns(entry& one) -> void;
    auto read_rules(waiting_reader asked, bool is_first) -> void;
    [[nodiscard]] auto orders_from(const waiting_reader& asked, bool is_first) const
        -> common::result<stream_reading<rules_document>>;
    auto answer_waiting() -> void;
    auto store_of(entry& of) -> shared_store;
    auto read(entry& by, std::optional<stream_position> from)
        -> common::result<stream_reading<routing::registration_change>>;
    auto send(std::size_t from, const http::endpoint& to, std::string bytes) -> void;
    auto
    ask(std::size_t from,
        const http::endpoint& of,
        std::optional<std::uint64_t> since,
        answer_hook<std::string> done) -> void;
    auto step() -> void;
    auto deliver_due() -> void;
    [[nodiscard]] auto passes(std::size_t from, std::size_t to) const -> bool;
    [[nodiscard]] auto number_of(const http::endpoint& where) const -> std::optional<std::size_t>;

    fleet_shape shape;
    std::vector<std::unique_ptr<entry>> ended;
    std::mt19937_64 random;
    std::vector<routing::registration_change> log;
    std::uint64_t era = 0;
    std::vector<routing::evacuation_order> orders;
    std::uint64_t orders_era = 0;
    std::vector<waiting_reader> waiting;
    std::multimap<common::time_point, letter> letters;
    std::multimap<common::time_point, std::function<auto()->void>> answers;
    std::map<http::endpoint, std::size_t> numbers;
};

} // namespace reedramp::router::testing
