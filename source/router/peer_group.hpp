#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/log_limiter.hpp"
#include "http/message.hpp"
#include "router/list_broadcaster.hpp"
#include "router/peer_report.hpp"
#include "router/router_core.hpp"
#include "router/servers_follower.hpp"
#include "router/shared_store.hpp"

namespace reedramp::router_program {

/// The other entries known to this one: sends them this entry's state, and applies their reports.
class peer_group {
public:
    using send_hook = std::function<auto(const http::endpoint& to, std::string bytes)->void>;
    /// Called when a peer has newer rules.
    using newer_rules_hook = std::function<auto(const http::endpoint& from)->void>;
    /// Called when a peer knows a change of the server list that this entry lacks.
    using newer_list_hook = std::function<auto(const http::endpoint& from)->void>;

    peer_group(
        std::shared_ptr<router::router_core> core,
        common::host_id self,
        http::endpoint own_address,
        std::chrono::milliseconds period,
        send_hook send,
        newer_rules_hook on_newer_rules,
        newer_list_hook on_newer_list = {});

    /// Adds an entry's address from the settings, the store or a peer.
    auto add(const http::endpoint& where) -> void;

    /// Sends the present state to the next few peers, so that each gets it in turn. A small group
    /// is reached completely by each call. In a group of hundreds, traffic stays bounded and
    /// reports arrive less often.
    auto send_reports() -> void;

    /// If this entry forwards updates, sends newer rules, orders and evacuations at once to its
    /// data centre and to the forwarding entries of the others. Sent in turn, an order would reach
    /// the last of a hundred entries half a second after the first. By then the first entry would
    /// already move sessions that the last one still serves on the old version.
    auto broadcast_urgent() -> void;

    /// Handles a received datagram.
    auto receive(std::string_view bytes) -> void;

    /// Report for an entry that is starting: this entry's state and all peers that it knows.
    [[nodiscard]] auto make_start_report() const -> std::string;

    /// Notes that the store has the record of the entry at `where`.
    auto note_recorded(const http::endpoint& where) -> void { this->recorded.insert(where); }

    [[nodiscard]] auto is_recorded(const http::endpoint& where) const -> bool
    {
        return this->recorded.contains(where);
    }

    /// Records of the live peers, as the store should hold them.
    [[nodiscard]] auto records() const -> std::vector<router::entry_record>;

    /// Addresses of all peers that may be alive.
    [[nodiscard]] auto live_peers() const -> std::vector<http::endpoint>;

    /// Rank of this entry among the live ones by host name; 0 for the first.
    [[nodiscard]] auto rank() const -> std::size_t;

    [[nodiscard]] auto live_count() const -> std::size_t;

    /// Rank of this entry by address among all that it knows, also those that have just stopped
    /// sending: an entry that is cut off from the others is not the only one.
    [[nodiscard]] auto rank_by_address() const -> routing::entry_rank;

    /// Notes that a peer has sent an update of the server list, and so is alive.
    auto note_list_update(const router::list_update& update, const http::endpoint& from) -> void;

    /// Entries to which updates of the server list are sent.
    [[nodiscard]] auto recipients() const -> router::update_recipients;

    /// Rank of this entry among those that read the store: the first entries of all data centres
    /// come before the second ones, and two of each data centre read for the others. Each entry
    /// uses the reports that it receives. If two entries both assume the first rank, this costs a
    /// few calls but loses no update.
    [[nodiscard]] auto rank_as_reader() const -> router::reader_rank;

    /// Whether this entry reads the operators' stream for the others. So does an entry that has to
    /// read the server list because no other entry does: if the store refuses all readers of a data
    /// centre, the others would not learn of changes.
    [[nodiscard]] auto is_orders_reader() const -> bool;

    /// Hosts that read for this entry's data centre, as far as it knows.
    [[nodiscard]] auto readers() const -> std::vector<common::host_id>;

    /// When a request that this entry can't finish would be accepted elsewhere: now while a live
    /// peer stays, or else when the first of all leaving entries has ended and restarted. If told
    /// to return sooner, callers would use their last attempt on another entry that leaves.
    [[nodiscard]] auto accepted_elsewhere_at(common::time_point now) const -> common::time_point;

private:
    /// Versions of the state that all entries must learn at once.
    struct urgent_revisions {
        std::uint64_t rules_version = 0;
        std::uint64_t orders = 0;
        std::uint64_t evacuations = 0;
        /// Counter of directives that servers sent to this entry.
        std::uint64_t servers = 0;

        auto operator==(const urgent_revisions&) const -> bool = default;
    };

    /// Addresses of live peers, starting at a random one. If each message named the same first few,
    /// entries that started together would never learn of most others.
    [[nodiscard]] auto random_live_peers(std::size_t max_count) const -> std::vector<std::string>;
    [[nodiscard]] auto current_revisions() const -> urgent_revisions;
    /// How many peers get this report.
    [[nodiscard]] auto recipient_count(common::time_point now) const -> std::size_t;
    /// How many calls it takes until each peer has been sent a report.
    [[nodiscard]] auto calls_per_round() const -> std::size_t;
    /// Time until each peer has been sent a report.
    [[nodiscard]] auto round() const -> std::chrono::milliseconds;
    /// Silence after which a peer does not count as alive.
    [[nodiscard]] auto silence() const -> common::duration;
    /// Removes the servers that the sender reports as leaving or ended.
    auto apply_server_reports(const router::peer_report& report, common::time_point now) -> void;
    /// Chooses what is reported in turn, of that which does not fit into one report. All peers get
    /// the same before the next is chosen; otherwise a peer whose turn always comes with the same
    /// part would never learn of the others.
    auto begin_round_when_due() -> void;
    auto choose_speeds_to_report() -> void;
    /// Encodes a report, shortened if it is too long for peers.
    auto encode_report(router::peer_report report) -> std::string;
    /// Counts and logs a datagram that is no report.
    auto reject(std::size_t size, const std::string& why) -> void;
    [[nodiscard]] auto make_report(common::time_point now, std::size_t max_named) const
        -> router::peer_report;

    struct peer {
        common::time_point last_heard{};
        common::host_id host;
        /// Hash of its data centre; 0 until known.
        std::uint32_t data_centre = 0;
        /// `never` while it stays.
        common::time_point ends_at = common::never;
    };

    [[nodiscard]] auto is_alive(const peer& known, common::time_point now) const -> bool;

    /// A candidate to read the store for others: a peer or this entry. It points to the group's own
    /// data, since hundreds are examined some twenty times a second.
    struct reader {
        const common::host_id* host = nullptr;
        const http::endpoint* where = nullptr;
    };

    /// Peers that have sent a report recently enough.
    [[nodiscard]] auto reporting_peers() const -> std::vector<peer>;
    /// Longest silence of a peer that is still relied on to read for others.
    [[nodiscard]] auto reader_silence(std::uint32_t data_centre) const -> common::duration;
    /// Candidates to read, by data centre, in the order of their ranks.
    [[nodiscard]] auto readers_by_data_centre() const
        -> std::map<std::uint32_t, std::vector<reader>>;

    std::shared_ptr<router::router_core> core;
    common::host_id self;
    /// Hash of this entry's data centre.
    std::uint32_t own_data_centre;
    /// Random id of this process, by which peers tell its reports from those of its predecessor.
    std::uint64_t process;
    http::endpoint own_address;
    send_hook send;
    newer_rules_hook on_newer_rules;
    newer_list_hook on_newer_list;
    /// Hash of the server whose speed was chosen last for reports. The first one is random, so that
    /// peers do not all report the same servers at the same time.
    std::uint64_t last_reported_speed;
    std::vector<routing::speed_report> speeds_to_report;
    /// Calls of `send_reports` since the last round began.
    std::size_t calls_in_round = 0;
    /// On reports that are too long, and on datagrams that are no reports.
    common::log_limiter size_lines{std::chrono::seconds{5}};
    common::log_limiter rejection_lines{std::chrono::seconds{5}};
    common::time_point started;
    urgent_revisions sent_revisions;
    /// Until then all peers get reports within `urgent_round`, whatever their number.
    common::time_point urgent_until{};
    std::map<http::endpoint, peer> peers;
    /// Addresses of entries whose records the store has.
    std::set<http::endpoint> recorded;
    /// The peer to which a report was sent last.
    http::endpoint last_recipient;
    std::chrono::milliseconds period;
};

} // namespace reedramp::router_program
