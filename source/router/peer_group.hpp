#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http/message.hpp"
#include "router/list_broadcaster.hpp"
#include "router/peer_message.hpp"
#include "router/router_core.hpp"
#include "router/servers_follower.hpp"
#include "router/shared_store.hpp"

namespace reedramp::router_program {

/// The other entries: whom this one knows, what it tells them, and what it takes from their words.
class peer_group {
public:
    using send_hook = std::function<auto(const http::endpoint& to, std::string bytes)->void>;
    /// A peer has newer rules.
    using newer_rules_hook = std::function<auto(const http::endpoint& from)->void>;
    /// A peer knows a change of the servers' list that this entry lacks.
    using newer_list_hook = std::function<auto(const http::endpoint& from)->void>;

    peer_group(
        std::shared_ptr<router::router_core> core,
        common::host_id self,
        http::endpoint own_address,
        std::chrono::milliseconds period,
        send_hook send,
        newer_rules_hook on_newer_rules,
        newer_list_hook on_newer_list = {});

    /// An address from the settings, the store or a peer.
    auto add(const http::endpoint& where) -> void;

    /// Tells the present state to the next few peers, so that all are told in turn. While they are
    /// few, that is all of them each time; with hundreds, bytes stay bounded and words grow older.
    auto tell() -> void;

    /// Where this entry is one of those that pass news on, tells its data centre, and those of the
    /// other ones that do, of newer rules, orders and evacuations at once. Told in turn, an order
    /// reached the last of a hundred entries half a second after the first, when that one already
    /// moved sessions which the last one still served on the old version.
    auto spread_news() -> void;

    /// Takes a datagram in.
    auto hear(std::string_view bytes) -> void;

    /// All that this entry tells, and all peers that it knows, for one that starts.
    [[nodiscard]] auto words_for_start() const -> std::string;

    /// The store has the record of the entry at `where`.
    auto note_recorded(const http::endpoint& where) -> void { this->recorded.insert(where); }

    [[nodiscard]] auto is_recorded(const http::endpoint& where) const -> bool
    {
        return this->recorded.contains(where);
    }

    /// Records of the peers that live, as the store should have them.
    [[nodiscard]] auto records() const -> std::vector<router::entry_record>;

    /// Where all peers are that may live.
    [[nodiscard]] auto everyone() const -> std::vector<http::endpoint>;

    /// This entry's place among those that are heard, by name; 0 for the first.
    [[nodiscard]] auto rank() const -> std::size_t;

    [[nodiscard]] auto heard() const -> std::size_t;

    /// This entry's place, by address, among those that it knows of, also where they have just
    /// fallen silent. An entry that is cut off is not alone.
    [[nodiscard]] auto place_among_all() const -> routing::entry_rank;

    /// News of the servers' list came from a peer: it lives.
    auto note_news(const router::list_update& news, const http::endpoint& from) -> void;

    /// Whom to hand news of the servers' list on to.
    [[nodiscard]] auto audience() const -> router::update_recipients;

    /// This entry's place among those that read the store. The first of each data centre go first,
    /// then the second ones; two of each read for the others. By what each entry hears itself: two
    /// that both take themselves for the first cost a few calls, and no news.
    [[nodiscard]] auto turn() const -> router::reader_rank;

    /// Whether this entry follows the operators' stream for the others. So does one that has to
    /// read the servers' list, since nobody else does: where the store turns away all that read for
    /// a data centre, the others would learn of no change.
    [[nodiscard]] auto follows_operators() const -> bool;

    /// The hosts that read for this entry's data centre, as far as it knows.
    [[nodiscard]] auto readers() const -> std::vector<common::host_id>;

    /// When a request that this entry can't finish would be taken: now while a living peer stays;
    /// else when the first of all that leave has ended and started anew. Told to come back sooner,
    /// callers spend their last try on another entry that leaves.
    [[nodiscard]] auto served_elsewhere_at(common::time_point now) const -> common::time_point;

private:
    /// What all have to know at once.
    struct urgent_news {
        std::uint64_t rules_version = 0;
        std::uint64_t orders = 0;
        std::uint64_t evacuations = 0;
        /// What servers said in answers to this entry.
        std::uint64_t servers = 0;

        auto operator==(const urgent_news&) const -> bool = default;
    };

    /// Addresses of living peers from a random one on. With the same first few in each message,
    /// entries that started together never heard of most others, and neither told nor heard them.
    [[nodiscard]] auto some_living(std::size_t most) const -> std::vector<std::string>;
    [[nodiscard]] auto newest_news() const -> urgent_news;
    /// How many peers to tell this time.
    [[nodiscard]] auto told_now(common::time_point now) const -> std::size_t;
    /// How many calls of `tell` it takes until each peer has been told.
    [[nodiscard]] auto calls_per_round() const -> std::size_t;
    /// Time until each peer has been told.
    [[nodiscard]] auto round() const -> std::chrono::milliseconds;
    /// A peer that has been silent for this long is not counted among the living.
    [[nodiscard]] auto silence() const -> common::duration;
    /// Takes out the servers that the sender has seen leave or end.
    auto hear_of_servers(const router::peer_report& words, common::time_point now) -> void;
    [[nodiscard]] auto own_words(common::time_point now, std::size_t most_named) const
        -> router::peer_report;

    struct peer {
        common::time_point heard{};
        common::host_id host;
        /// Of its data centre; 0 until it is known.
        std::uint32_t place = 0;
        /// `never` while it stays.
        common::time_point ends_at = common::never;
    };

    [[nodiscard]] auto lives(const peer& known, common::time_point now) const -> bool;

    /// One that may read the store for others: a peer, or this entry. Names what the group holds,
    /// as hundreds are looked at some twenty times a second.
    struct reader {
        const common::host_id* host = nullptr;
        const http::endpoint* where = nullptr;
    };

    /// Peers that have spoken, and not too long ago.
    [[nodiscard]] auto living() const -> std::vector<peer>;
    /// How long ago a peer may have spoken that is relied on to read for others.
    [[nodiscard]] auto reader_silence(std::uint32_t place) const -> common::duration;
    /// Those that may read, by data centre, in the order in which they do.
    [[nodiscard]] auto by_data_centre() const -> std::map<std::uint32_t, std::vector<reader>>;

    std::shared_ptr<router::router_core> core;
    common::host_id self;
    /// Of this entry's data centre.
    std::uint32_t place;
    /// Of this process, so that peers tell its words from its predecessor's.
    std::uint64_t process;
    http::endpoint own_address;
    send_hook send;
    newer_rules_hook on_newer_rules;
    newer_list_hook on_newer_list;
    common::time_point started;
    urgent_news spread;
    /// Until then all peers are told once, whatever their number.
    common::time_point hurries_until{};
    std::map<http::endpoint, peer> peers;
    /// Addresses of entries whose records the store has.
    std::set<http::endpoint> recorded;
    /// The peer that was told last.
    http::endpoint told_last;
    std::chrono::milliseconds period;
};

} // namespace reedramp::router_program
