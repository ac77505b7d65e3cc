#include "peer_group.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "common/log.hpp"

namespace reedramp::router_program {

namespace {

/// Peers told at a time. At a message of some 300 bytes each 100 ms, 12 KB a second go out.
constexpr std::size_t told_at_once = 4;
/// Addresses of others in a message, another few each time: of a hundred entries that start at once
/// and know one of them, each has met nearly all others 5 s later.
constexpr std::size_t named_peers = 8;
/// Least time of silence after which a peer is not counted among the living, and the rounds of
/// messages that it may miss.
constexpr common::duration least_silence = std::chrono::seconds{2};
constexpr int missed_rounds = 3;
/// After an order, all peers are told in this time which sessions are on an old version, and not in
/// turn: the first ones are moved 0.6 s after it, and a round of a hundred entries takes 2.6 s. So
/// they are of a server that says in an answer that it leaves, or what it takes.
constexpr common::duration hurried_round = std::chrono::milliseconds{500};
/// One entry alone has such a word of a server. Told once, two in a hundred lack it until the next
/// round of messages, ten seconds later among 390.
constexpr int rounds_of_server_words = 3;
/// Entries of a data centre that read the store for all of it, and pass news on in it: with one,
/// its death costs all of them the time until that shows.
constexpr std::size_t readers_in_each = 2;
/// A reader of this entry's data centre that has been silent for so long is not relied on. Two
/// news of the list, which it passes on each second.
constexpr common::duration near_reader_silence = std::chrono::milliseconds{2200};
/// One of another data centre speaks once a round.
constexpr double far_reader_rounds = 1.25;
/// An entry that has just started has not heard the others yet, and would read as if it were alone.
constexpr common::duration finds_peers_within = std::chrono::seconds{1};
/// An entry that others read for reads the list seldom; one that nobody reads for, each two seconds
/// or sooner.
constexpr common::duration reads_alone_for = std::chrono::seconds{3};
/// A peer's load counts for this many rounds: it is gone soon after its entry.
constexpr int trusted_rounds = 5;
/// From the end of an entry's process until callers reach the next one: the platform's pause of
/// half a second or more, the start, and the second after which the balancer asks again. Before
/// that it sends callers to those that still leave.
constexpr common::duration restart_time = std::chrono::seconds{2};
/// One that has been silent for this long is forgotten; if it lives, it will speak first.
constexpr common::duration forgotten_after = std::chrono::seconds{20};

/// What a process has seen of a new version stays true when it ends. Under its host's name alone,
/// the next process' empty words took the place of it: after a restart of all entries in turn
/// nothing was known against a bad version, and all callers were moved to it.
auto process_name(const router::peer_report& words) -> common::host_id
{
    return common::host_id{words.host.value() + "#" + std::to_string(words.process)};
}

} // namespace

peer_group::peer_group(
    std::shared_ptr<router::router_core> core_to_tell_of,
    common::host_id own_host,
    http::endpoint address,
    std::chrono::milliseconds tell_period,
    send_hook send_datagram,
    newer_rules_hook newer_rules,
    newer_list_hook newer_list)
    : core(std::move(core_to_tell_of)), self(std::move(own_host)),
      place(router::data_centre_hash(this->core->options.data_centre)),
      process(this->core->hooks.random()), own_address(std::move(address)),
      send(std::move(send_datagram)), on_newer_rules(std::move(newer_rules)),
      on_newer_list(std::move(newer_list)), started(this->core->hooks.clock()),
      spread(this->newest_news()), period(tell_period)
{
}

auto peer_group::add(const http::endpoint& where) -> void
{
    if (where != this->own_address) {
        this->peers.try_emplace(where, peer{this->core->hooks.clock(), {}, 0});
    }
}

auto peer_group::calls_per_round() const -> std::size_t
{
    return std::max<std::size_t>(1, (this->peers.size() + told_at_once - 1) / told_at_once);
}

auto peer_group::round() const -> std::chrono::milliseconds
{
    return this->period * static_cast<int>(this->calls_per_round());
}

auto peer_group::silence() const -> common::duration
{
    return std::max<common::duration>(least_silence, this->round() * missed_rounds);
}

auto peer_group::lives(const peer& known, common::time_point now) const -> bool
{
    return now - known.heard < this->silence();
}

auto peer_group::own_words(common::time_point now, std::size_t most_named) const
    -> router::peer_report
{
    router::peer_report words;
    words.host = this->self;
    words.process = this->process;
    words.address = http::to_string(this->own_address);
    words.place = this->place;
    words.rules_version = this->core->rules_version();
    words.loads = this->core->loads.make_reports();
    words.rollouts = this->core->rollouts.make_reports(now);
    words.freshness = this->core->freshness.make_report(now);
    words.outcomes = this->core->health.make_reports(now);
    words.leaving = this->core->servers.leaving();
    words.ended = this->core->servers.ended(now);
    words.evacuations = this->core->evacuations.make_report();
    words.limits = this->core->intake.limits().make_reports(now);
    if (this->core->leaves_at() != common::never) {
        words.ends_in =
            std::chrono::duration_cast<std::chrono::milliseconds>(this->core->leaves_at() - now);
    }
    words.peers = this->some_living(most_named);
    return words;
}

auto peer_group::tell() -> void
{
    this->spread_news();
    const auto now = this->core->hooks.clock();
    std::erase_if(
        this->peers, [now](const auto& item) { return now - item.second.heard > forgotten_after; });
    const auto bytes = router::encode(this->own_words(now, named_peers));
    const auto count = this->told_now(now);
    auto next = this->peers.upper_bound(this->told_last);
    for (std::size_t i = 0; i < count; ++i) {
        if (next == this->peers.end()) {
            next = this->peers.begin();
        }
        this->send(next->first, bytes);
        this->told_last = next->first;
        ++next;
    }
}

auto peer_group::some_living(std::size_t most) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    if (this->peers.empty()) {
        return names;
    }
    const auto now = this->core->hooks.clock();
    const auto skipped = this->core->hooks.random() % this->peers.size();
    auto next = std::next(this->peers.begin(), static_cast<std::ptrdiff_t>(skipped));
    for (std::size_t i = 0; i < this->peers.size() && names.size() < most; ++i) {
        if (this->lives(next->second, now)) {
            names.push_back(http::to_string(next->first));
        }
        ++next;
        next = next == this->peers.end() ? this->peers.begin() : next;
    }
    return names;
}

auto peer_group::told_now(common::time_point now) const -> std::size_t
{
    const auto usual = std::min(told_at_once, this->peers.size());
    if (now >= this->hurries_until) {
        return usual;
    }
    const auto calls = static_cast<std::size_t>(hurried_round / this->period);
    return std::max(usual, (this->peers.size() + calls - 1) / std::max<std::size_t>(calls, 1));
}

auto peer_group::newest_news() const -> urgent_news
{
    return {
        this->core->rules_version(),
        this->core->rollouts.orders_applied(),
        this->core->evacuations_changed(),
        this->core->words_of_servers()};
}

auto peer_group::spread_news() -> void
{
    const auto newest = this->newest_news();
    if (newest == this->spread) {
        return;
    }
    const auto now = this->core->hooks.clock();
    if (newest.orders != this->spread.orders) {
        this->hurries_until = std::max(this->hurries_until, now + hurried_round);
    }
    if (newest.servers != this->spread.servers) {
        this->hurries_until = now + hurried_round * rounds_of_server_words;
    }
    this->spread = newest;
    const auto to = this->audience();
    if (!to.passes_on) {
        return;
    }
    const auto bytes = router::encode(this->own_words(now, named_peers));
    for (const auto& where : to.near) {
        this->send(where, bytes);
    }
    for (const auto& where : to.far) {
        this->send(where, bytes);
    }
}

auto peer_group::words_for_start() const -> std::string
{
    return router::encode(this->own_words(this->core->hooks.clock(), this->peers.size()));
}

auto peer_group::hear(std::string_view bytes) -> void
{
    auto words = router::decode_peer_words(bytes);
    const auto from = words ? http::parse_endpoint(words->address) : std::nullopt;
    if (!from || *from == this->own_address) {
        return;
    }
    const auto now = this->core->hooks.clock();
    auto& known = this->peers[*from];
    if (known.host != words->host) {
        common::log(
            common::log_part::members,
            common::log_level::info,
            "peer heard host=" + words->host.value() + " address=" + words->address);
    }
    known.heard = now;
    known.host = words->host;
    known.place = words->place;
    known.ends_at = words->ends_in ? now + *words->ends_in : common::never;
    for (const auto& other : words->peers) {
        if (const auto where = http::parse_endpoint(other)) {
            this->add(*where);
        }
    }
    const router::stream_position told_to{words->freshness.changed};
    this->core->note_era(told_to, words->host.value());
    if (told_to.era() < this->core->era()) {
        // The store that held these states has come back without them, perhaps.
        for (auto& told : words->rollouts) {
            told.is_written = false;
        }
    }
    this->core->learn_evacuations(words->evacuations, words->host.value());
    this->hear_of_servers(*words, now);
    this->core->hear_limits(words->limits, words->host.value());
    const auto trusted_until = now + this->round() * trusted_rounds;
    this->core->loads.apply_reports(words->host, words->loads, trusted_until);
    this->core->freshness.apply_report(words->freshness, now);
    this->core->health.apply_reports(words->host, words->outcomes, trusted_until, now);
    this->core->rollouts.apply_reports(process_name(*words), words->rollouts, now);
    if (words->rules_version > this->core->rules_version()) {
        this->on_newer_rules(*from);
    }
    this->spread_news();
    const bool has_more = words->freshness.changed > this->core->freshness.read_to();
    if (has_more && this->on_newer_list) {
        this->on_newer_list(*from);
    }
}

auto peer_group::note_news(const router::list_update& news, const http::endpoint& from) -> void
{
    auto& known = this->peers[from];
    known.heard = this->core->hooks.clock();
    known.host = news.host;
    known.place = router::data_centre_hash(news.data_centre);
    if (news.rules_version > this->core->rules_version()) {
        this->on_newer_rules(from);
    }
}

auto peer_group::reader_silence(std::uint32_t at) const -> common::duration
{
    if (at == this->place) {
        return near_reader_silence;
    }
    return std::max<common::duration>(
        near_reader_silence,
        std::chrono::duration_cast<common::duration>(this->round() * far_reader_rounds));
}

auto peer_group::by_data_centre() const -> std::map<std::uint32_t, std::vector<reader>>
{
    const auto now = this->core->hooks.clock();
    std::map<std::uint32_t, std::vector<reader>> all;
    all[this->place].push_back({&this->self, &this->own_address});
    for (const auto& [where, known] : this->peers) {
        const bool is_relied_on = !known.host.value().empty() && known.ends_at == common::never &&
                                  now - known.heard < this->reader_silence(known.place);
        if (is_relied_on) {
            all[known.place].push_back({&known.host, &where});
        }
    }
    for (auto& [at, readers] : all) {
        std::ranges::sort(
            readers, {}, [](const reader& one) -> const auto& { return *one.host; });
    }
    return all;
}

auto peer_group::audience() const -> router::update_recipients
{
    router::update_recipients to;
    const auto now = this->core->hooks.clock();
    for (const auto& [where, known] : this->peers) {
        // All that may live: a datagram to one that does not costs little, and one that is left out
        // learns of a leaving server later.
        if (known.place == this->place && this->lives(known, now)) {
            to.near.push_back(where);
        }
    }
    for (const auto& [at, readers] : this->by_data_centre()) {
        const auto count = std::min(readers.size(), readers_in_each);
        const auto end = readers.begin() + static_cast<std::ptrdiff_t>(count);
        if (at == this->place) {
            to.passes_on =
                std::ranges::find(readers.begin(), end, &this->self, &reader::host) != end;
            continue;
        }
        std::ranges::transform(
            readers.begin(), end, std::back_inserter(to.far), [](const reader& one) {
                return *one.where;
            });
    }
    return to;
}

auto peer_group::turn() const -> router::reader_rank
{
    const auto all = this->by_data_centre();
    const auto& near = all.at(this->place);
    const auto own_place = static_cast<std::size_t>(
        std::ranges::find(near, &this->self, &reader::host) - near.begin());
    std::size_t before = 0;
    for (const auto& [at, readers] : all) {
        before += std::min(readers.size(), own_place);
        const bool goes_first = readers.size() > own_place && at != this->place &&
                                *readers[own_place].host < this->self;
        before += goes_first ? 1 : 0;
    }
    const bool knows_peers = this->core->hooks.clock() - this->started >= finds_peers_within;
    return {before, own_place < readers_in_each && knows_peers};
}

auto peer_group::follows_operators() const -> bool
{
    const bool reads_list =
        this->core->hooks.clock() - this->core->freshness.own_reading_at() < reads_alone_for;
    return reads_list || this->turn().is_reader;
}

auto peer_group::readers() const -> std::vector<common::host_id>
{
    const auto all = this->by_data_centre();
    const auto& near = all.at(this->place);
    std::vector<common::host_id> names;
    for (std::size_t i = 0; i < std::min(near.size(), readers_in_each); ++i) {
        names.push_back(*near[i].host);
    }
    return names;
}

auto peer_group::hear_of_servers(const router::peer_report& words, common::time_point now) -> void
{
    const auto log = [&words](const char* what, const routing::server_instance& server) {
        common::log(
            common::log_part::members,
            common::log_level::info,
            std::string{what} + " server=" + to_string(server) + " told_by=" + words.host.value());
    };
    auto& servers = this->core->servers;
    for (const auto& server : servers.mark_leaving_by_hash(words.leaving, now)) {
        log("server leaving", server);
    }
    for (const auto& server :
         servers.end_by_hash(words.ended, this->core->freshness.read_to(), now)) {
        log("server gone", server);
    }
}

auto peer_group::everyone() const -> std::vector<http::endpoint>
{
    const auto now = this->core->hooks.clock();
    std::vector<http::endpoint> all;
    for (const auto& [where, known] : this->peers) {
        if (this->lives(known, now)) {
            all.push_back(where);
        }
    }
    return all;
}

auto peer_group::records() const -> std::vector<router::entry_record>
{
    const auto now = this->core->hooks.clock();
    std::vector<router::entry_record> all;
    for (const auto& [where, known] : this->peers) {
        if (this->lives(known, now) && !known.host.value().empty()) {
            all.push_back({known.host, http::to_string(where)});
        }
    }
    return all;
}

auto peer_group::living() const -> std::vector<peer>
{
    const auto now = this->core->hooks.clock();
    std::vector<peer> alive;
    for (const auto& [where, known] : this->peers) {
        if (this->lives(known, now) && !known.host.value().empty()) {
            alive.push_back(known);
        }
    }
    return alive;
}

auto peer_group::rank() const -> std::size_t
{
    const auto alive = this->living();
    return static_cast<std::size_t>(std::ranges::count_if(
        alive, [this](const peer& other) { return other.host < this->self; }));
}

auto peer_group::served_elsewhere_at(common::time_point now) const -> common::time_point
{
    auto first_end = this->core->leaves_at();
    for (const auto& other : this->living()) {
        if (other.ends_at == common::never) {
            return now;
        }
        first_end = std::min(first_end, other.ends_at);
    }
    return first_end == common::never ? now : first_end + restart_time;
}

auto peer_group::place_among_all() const -> routing::entry_rank
{
    const auto before =
        std::distance(this->peers.begin(), this->peers.lower_bound(this->own_address));
    return {static_cast<std::size_t>(before), this->peers.size() + 1};
}

auto peer_group::heard() const -> std::size_t
{
    return this->living().size();
}

} // namespace reedramp::router_program
