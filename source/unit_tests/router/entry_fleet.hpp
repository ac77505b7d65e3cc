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
#include "router/rules_checker.hpp"
#include "router/servers_follower.hpp"
#include "router_fixture.hpp"

/// Simulates many entries in several data centres that share one server list, with the real
/// followers, broadcasters and peer groups, over a store and a network controlled by the test.
namespace reedramp::router::testing {

struct fleet_options {
    std::size_t entries = 26;
    std::size_t data_centres = 3;
    /// Share of datagrams that are lost.
    double loss = 0.0;
    std::uint64_t seed = 1;
    /// All entries know only the address of the first one; otherwise each knows all.
    bool knows_first_only = false;
    /// If false, each entry reads every change from the store itself.
    bool shares_updates = true;
    /// Interval at which servers register again, as the entries know it; 0 if they do not.
    milliseconds registration_period{0};
    placement::retry_budget_settings retries = ample_retries().retries;
};

class entry_fleet {
public:
    explicit entry_fleet(const fleet_options& options);

    struct entry {
        router_fixture own;
        std::unique_ptr<router_program::peer_group> peers;
        std::shared_ptr<servers_list> list;
        std::shared_ptr<list_broadcaster> list_updates;
        std::shared_ptr<crash_broadcaster> crash_updates;
        std::shared_ptr<servers_follower> follower;
        std::shared_ptr<rules_follower> rules;
        std::shared_ptr<rules_checker> rules_check;
        http::endpoint where;
        std::size_t data_centre = 0;
        bool is_dead = false;
        bool is_frozen = false;
        bool is_refused_by_store = false;
    };

    auto run(milliseconds time) -> void;

    /// Starts a new process on an entry's host, without the state of the former one.
    auto restart(std::size_t number) -> void;

    /// Writes a server's registration, with a leaving flag, or its end.
    auto write(const std::string& server, bool is_leaving = false, std::uint64_t started_at = 0)
        -> void;
    auto remove(const std::string& server) -> void;

    /// Numbers the server's next registration and does not write it: the store performs it later,
    /// or never. Returns the number.
    auto take_sequence(const std::string& server, std::uint64_t started_at = 0) -> std::uint64_t;

    /// Performs a write of the server that has an earlier number.
    auto write_late(const std::string& server, std::uint64_t sequence, std::uint64_t started_at = 0)
        -> void;

    /// Restores the store from a copy without its newest `records`, whose positions are assigned
    /// again.
    auto restore_older_copy(std::size_t records) -> void;

    /// Orders the evacuation of a data centre, or revokes it.
    auto evacuate(const std::string& data_centre) -> void;
    auto revoke_evacuation(const std::string& data_centre) -> void;

    /// Restores the operators' stream from a copy without its newest `records`.
    auto restore_older_orders(std::size_t records) -> void;

    /// Live entries to which the data centre is evacuated.
    [[nodiscard]] auto count_evacuated_at(const std::string& data_centre) const -> std::size_t;

    /// Number of live entries.
    [[nodiscard]] auto live_count() const -> std::size_t;

    /// Runs until the data centre is evacuated at all live entries, or at none. Returns how long
    /// that took.
    auto time_until_evacuated(const std::string& data_centre, bool all, milliseconds limit)
        -> milliseconds;

    /// Number of live entries that would send requests to the server.
    [[nodiscard]] auto using_server(const std::string& server) const -> std::size_t;

    /// Runs until no live entry would send requests to the server. Returns how long that took, at
    /// most `limit`.
    auto time_until_unused(const std::string& server, milliseconds limit) -> milliseconds;

    /// The two readers of a data centre, as most of its entries see it.
    [[nodiscard]] auto readers_of(std::size_t data_centre) const -> std::vector<std::size_t>;

    /// Delivers a datagram from any sender.
    auto deliver(std::size_t to, const std::string& bytes) -> void;

    std::vector<std::unique_ptr<entry>> entries;
    common::time_point now{seconds{1000}};
    /// Reads that the store served or refused.
    std::size_t calls = 0;
    /// Reads of the operators' stream, answered or not, and those of them that do not wait.
    std::size_t rules_calls = 0;
    std::size_t rules_checks = 0;
    /// While set, reads of the operators' stream get no answer, also later.
    bool is_operators_stream_silent = false;
    /// Makes the reads that wait at the operators' stream get no answer.
    auto lose_waiting_reads() -> void;
    /// The longest time since a live entry knew the operators' stream to its end.
    [[nodiscard]] auto oldest_rules_knowledge() const -> milliseconds;
    /// Records before this position are trimmed.
    std::uint64_t trimmed_to = 0;
    /// The same for the operators' stream.
    std::uint64_t orders_trimmed_to = 0;
    /// Whether a server accepts connections. If empty, all do.
    std::function<auto(const common::server_id& server)->bool> listens;
    /// Whether the link from one data centre to another is cut.
    std::function<auto(std::size_t from, std::size_t to)->bool> is_cut;
    /// Sent datagrams, recorded if `records_sent` is set, for tests that repeat or delay them.
    std::vector<std::pair<http::endpoint, std::string>> sent;
    bool records_sent = false;

private:
    struct datagram {
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;
    };

    /// A read of the operators' stream that waits for new records.
    struct waiting_reader {
        entry* by = nullptr;
        stream_position from;
        common::time_point until;
        answer_hook<stream_reading<rules_document>> done;
    };

    auto make_entry(std::size_t number) -> void;
    auto make_rules(entry& one) -> void;
    /// Gives the entry its rank among all and a clock offset.
    auto set_send_slots(entry& one) -> void;
    auto read_rules(waiting_reader reader, bool is_first) -> void;
    [[nodiscard]] auto orders_from(const waiting_reader& reader, bool is_first) const
        -> common::result<stream_reading<rules_document>>;
    auto answer_waiting() -> void;
    /// The client gives up a read that gets no answer.
    auto give_up(waiting_reader reader) -> void;
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

    [[nodiscard]] auto follower_settings() const -> follower_options;

    fleet_options options;
    std::vector<std::unique_ptr<entry>> ended;
    std::mt19937_64 random;
    std::vector<routing::registration_change> log;
    /// Number of the last registration of each server and start.
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> sequences;
    std::uint64_t era = 0;
    std::vector<routing::evacuation_order> orders;
    std::uint64_t orders_era = 0;
    std::vector<waiting_reader> waiting;
    std::multimap<common::time_point, datagram> in_transit;
    std::multimap<common::time_point, std::function<auto()->void>> answers;
    std::map<http::endpoint, std::size_t> numbers;
};

} // namespace reedramp::router::testing
