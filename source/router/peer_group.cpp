#include "peer_group.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "common/log.hpp"

namespace reedramp::router_program {

namespace {

/// Peers that get each report. At some 300 bytes every 100 ms, 12 KB per second are sent.
constexpr std::size_t reports_per_call = 4;
/// Addresses of other peers in a report, chosen anew each time. If a hundred entries start at once
/// and know one of them, each knows nearly all others 5 s later.
constexpr std::size_t max_named_peers = 8;
/// A peer counts as alive until it has been silent for this long, and for this many rounds of
/// reports.
constexpr common::duration min_alive_silence = std::chrono::seconds{2};
constexpr int alive_rounds = 3;
/// After an order, all peers learn within this time which sessions are on an old version: the first
/// sessions are moved 0.6 s after the order, while a normal round of a hundred entries takes 2.6 s.
/// The same holds for a server that states in a response that it leaves, or its limit.
constexpr common::duration urgent_round = std::chrono::milliseconds{500};
/// A server's statement is known to one entry only, so it is sent in several rounds. Sent once, two
/// of a hundred entries miss it until the next round of reports, which comes ten seconds later
/// among 390.
constexpr int server_directive_rounds = 3;
/// Rounds for which a peer's load report counts, so that it expires soon after its entry.
constexpr int load_report_rounds = 5;
/// Time from the end of an entry's process until callers reach the next one: the platform's pause
/// of half a second or more, the start, and the second until the balancer asks again. Until then
/// the balancer sends callers to entries that are still leaving.
constexpr common::duration restart_time = std::chrono::seconds{2};
/// A peer that has been silent for this long is removed; if it is alive, its next report adds it
/// again.
constexpr common::duration removal_silence = std::chrono::seconds{20};

/// Longest report that is sent as it is; earlier releases receive no more than 16 KB. The lists in
/// a report are bounded one by one to some 15 KB, unless names are very long.
constexpr std::size_t max_report_bytes = 16'000;

/// Name under which a process' evidence about versions is kept. The evidence stays valid after the
/// process ends. Under the host name alone, the next process' empty report would replace it: after
/// a rolling restart of all entries nothing was known against a bad version, and all callers were
/// moved to it.
auto evidence_source(const router::peer_report& report) -> common::host_id
{
    return common::host_id{report.host.value() + "#" + std::to_string(report.process)};
}

} // namespace

peer_group::peer_group(
    std::shared_ptr<router::router_core> core_to_use,
    common::host_id own_host,
    http::endpoint address,
    std::chrono::milliseconds report_period,
    send_hook send_datagram,
    newer_rules_hook newer_rules,
    newer_list_hook newer_list)
    : core(std::move(core_to_use)), self(std::move(own_host)),
      own_data_centre(router::data_centre_hash(this->core->options.data_centre)),
      process(this->core->hooks.random()), own_address(std::move(address)),
      send(std::move(send_datagram)), on_newer_rules(std::move(newer_rules)),
      on_newer_list(std::move(newer_list)), last_reported_speed(this->process),
      started(this->core->hooks.clock()), sent_revisions(this->current_revisions()),
      period(report_period)
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
    return std::max<std::size_t>(1, (this->peers.size() + reports_per_call - 1) / reports_per_call);
}

auto peer_group::round() const -> std::chrono::milliseconds
{
    return this->period * static_cast<int>(this->calls_per_round());
}

auto peer_group::silence() const -> common::duration
{
    return std::max<common::duration>(min_alive_silence, this->round() * alive_rounds);
}

auto peer_group::is_alive(const peer& known, common::time_point now) const -> bool
{
    return now - known.last_heard < this->silence();
}

auto peer_group::make_report(common::time_point now, std::size_t max_named) const
    -> router::peer_report
{
    router::peer_report report;
    report.host = this->self;
    report.process = this->process;
    report.address = http::to_string(this->own_address);
    report.data_centre = this->own_data_centre;
    report.rules_version = this->core->rules_version();
    report.loads = this->core->loads.make_reports();
    report.rollouts = this->core->rollouts.make_reports(now);
    report.freshness = this->core->freshness.make_report(now);
    report.rules_freshness = this->core->rules_freshness.make_report(now);
    report.outcomes = this->core->health.make_reports(now);
    report.leaving = this->core->servers.leaving();
    report.ended = this->core->servers.ended(now);
    report.evacuations = this->core->evacuations.make_report();
    report.limits = this->core->limiter.limits().make_reports(now);
    report.usage = this->core->make_usage_reports();
    if (this->core->is_overload_controlled()) {
        report.slowdowns = this->core->stated_loads.make_reports(now);
        report.speeds = this->speeds_to_report;
    }
    if (this->core->process_ends_at() != common::never) {
        report.ends_in = std::chrono::duration_cast<std::chrono::milliseconds>(
            this->core->process_ends_at() - now);
    }
    report.peers = this->random_live_peers(max_named);
    return report;
}

auto peer_group::send_reports() -> void
{
    this->broadcast_urgent();
    const auto now = this->core->hooks.clock();
    std::erase_if(this->peers, [now](const auto& item) {
        return now - item.second.last_heard > removal_silence;
    });
    this->begin_round_when_due();
    const auto bytes = this->encode_report(this->make_report(now, max_named_peers));
    const auto count = this->recipient_count(now);
    auto next = this->peers.upper_bound(this->last_recipient);
    for (std::size_t i = 0; i < count; ++i) {
        if (next == this->peers.end()) {
            next = this->peers.begin();
        }
        this->send(next->first, bytes);
        this->last_recipient = next->first;
        ++next;
    }
}

auto peer_group::begin_round_when_due() -> void
{
    this->calls_in_round += 1;
    const bool is_due = this->calls_in_round >= this->calls_per_round();
    if (is_due) {
        this->calls_in_round = 0;
        this->core->rollouts.begin_report_round();
    }
    const bool has_speeds = !this->speeds_to_report.empty();
    if (this->core->is_overload_controlled() && (is_due || !has_speeds)) {
        this->choose_speeds_to_report();
    }
}

auto peer_group::encode_report(router::peer_report report) -> std::string
{
    auto bytes = router::encode(report);
    if (bytes.size() <= max_report_bytes) {
        return bytes;
    }
    // Without the rows that the next reports repeat or replace.
    const auto full = bytes.size();
    for (auto& rollout : report.rollouts) {
        rollout.evidence.clear();
    }
    report.outcomes.clear();
    report.peers.clear();
    bytes = router::encode(report);
    this->core->counters.reports_shortened.add();
    if (this->size_lines.may_log(this->core->hooks.clock())) {
        common::log(
            common::log_part::members,
            common::log_level::warning,
            "report to peers shortened bytes=" + std::to_string(full) +
                " to=" + std::to_string(bytes.size()));
    }
    return bytes;
}

auto peer_group::choose_speeds_to_report() -> void
{
    this->speeds_to_report =
        routing::next_speed_reports(this->core->speeds, this->last_reported_speed);
    if (!this->speeds_to_report.empty()) {
        this->last_reported_speed = this->speeds_to_report.back().server;
    }
}

auto peer_group::random_live_peers(std::size_t max_count) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    if (this->peers.empty()) {
        return names;
    }
    const auto now = this->core->hooks.clock();
    const auto skipped = this->core->hooks.random() % this->peers.size();
    auto next = std::next(this->peers.begin(), static_cast<std::ptrdiff_t>(skipped));
    for (std::size_t i = 0; i < this->peers.size() && names.size() < max_count; ++i) {
        if (this->is_alive(next->second, now)) {
            names.push_back(http::to_string(next->first));
        }
        ++next;
        next = next == this->peers.end() ? this->peers.begin() : next;
    }
    return names;
}

auto peer_group::recipient_count(common::time_point now) const -> std::size_t
{
    const auto usual = std::min(reports_per_call, this->peers.size());
    if (now >= this->urgent_until) {
        return usual;
    }
    const auto calls = static_cast<std::size_t>(urgent_round / this->period);
    return std::max(usual, (this->peers.size() + calls - 1) / std::max<std::size_t>(calls, 1));
}

auto peer_group::current_revisions() const -> urgent_revisions
{
    return {
        this->core->rules_version(),
        this->core->rollouts.orders_applied(),
        this->core->evacuation_revision(),
        this->core->server_directive_revision()};
}

auto peer_group::broadcast_urgent() -> void
{
    const auto newest = this->current_revisions();
    if (newest == this->sent_revisions) {
        return;
    }
    const auto now = this->core->hooks.clock();
    if (newest.orders != this->sent_revisions.orders) {
        this->urgent_until = std::max(this->urgent_until, now + urgent_round);
    }
    if (newest.servers != this->sent_revisions.servers) {
        this->urgent_until = now + urgent_round * server_directive_rounds;
    }
    this->sent_revisions = newest;
    const auto to = this->recipients();
    if (!to.forwards_updates) {
        return;
    }
    const auto bytes = this->encode_report(this->make_report(now, max_named_peers));
    for (const auto& where : to.same_data_centre) {
        this->send(where, bytes);
    }
    for (const auto& where : to.other_data_centres) {
        this->send(where, bytes);
    }
}

auto peer_group::make_start_report() const -> std::string
{
    return router::encode(this->make_report(this->core->hooks.clock(), this->peers.size()));
}

auto peer_group::receive(std::string_view bytes) -> void
{
    auto report = router::decode_peer_report(bytes);
    const auto from = report ? http::parse_endpoint(report->address) : std::nullopt;
    if (!from) {
        this->reject(bytes.size(), report ? "no address of a peer" : report.error().detail);
        return;
    }
    if (*from == this->own_address) {
        return;
    }
    const auto now = this->core->hooks.clock();
    auto& known = this->peers[*from];
    if (known.host != report->host) {
        common::log(
            common::log_part::members,
            common::log_level::info,
            "peer found host=" + report->host.value() + " address=" + report->address);
    }
    known.last_heard = now;
    known.host = report->host;
    known.data_centre = report->data_centre;
    known.ends_at = report->ends_in ? now + *report->ends_in : common::never;
    for (const auto& other : report->peers) {
        if (const auto where = http::parse_endpoint(other)) {
            this->add(*where);
        }
    }
    const router::stream_position report_position{report->freshness.changed};
    this->core->note_era(report_position, report->host.value());
    if (report_position.era() < this->core->era()) {
        // The restored store may lack these states.
        for (auto& rollout : report->rollouts) {
            rollout.is_written = false;
        }
    }
    this->core->replace_evacuations(report->evacuations, report->host.value());
    this->apply_server_reports(*report, now);
    this->core->apply_limit_reports(report->limits, report->host.value());
    const auto trusted_until = now + this->round() * load_report_rounds;
    this->core->loads.apply_reports(report->host, report->loads, trusted_until);
    this->core->shares.apply_reports(report->host, report->usage, now + this->silence());
    this->core->freshness.apply_report(report->freshness, now);
    this->core->health.apply_reports(report->host, report->outcomes, trusted_until, now);
    if (this->core->is_overload_controlled()) {
        this->core->stated_loads.apply_reports(report->slowdowns, now);
        this->core->peer_speeds.apply_reports(report->host, report->speeds, now);
    }
    this->core->rollouts.apply_reports(evidence_source(*report), report->rollouts, now);
    if (report->rules_version > this->core->rules_version()) {
        this->on_newer_rules(*from);
    }
    this->core->apply_rules_freshness(report->rules_freshness, report->rules_version);
    this->broadcast_urgent();
    const bool has_more = report->freshness.changed > this->core->freshness.read_to();
    if (has_more && this->on_newer_list) {
        this->on_newer_list(*from);
    }
}

auto peer_group::reject(std::size_t size, const std::string& why) -> void
{
    this->core->counters.reports_rejected.add();
    if (!this->rejection_lines.may_log(this->core->hooks.clock())) {
        return;
    }
    common::log(
        common::log_part::members,
        common::log_level::warning,
        "peer report rejected bytes=" + std::to_string(size) + " why=" + why);
}

auto peer_group::note_list_update(const router::list_update& update, const http::endpoint& from)
    -> void
{
    auto& known = this->peers[from];
    known.last_heard = this->core->hooks.clock();
    known.host = update.host;
    known.data_centre = router::data_centre_hash(update.data_centre);
    if (update.rules_version > this->core->rules_version()) {
        this->on_newer_rules(from);
    }
}

auto peer_group::apply_server_reports(const router::peer_report& report, common::time_point now)
    -> void
{
    const auto log = [&report](const char* what, const routing::server_instance& server) {
        common::log(
            common::log_part::members,
            common::log_level::info,
            std::string{what} + " server=" + to_string(server) + " told_by=" + report.host.value());
    };
    auto& servers = this->core->servers;
    for (const auto& server : servers.mark_leaving_by_hash(report.leaving, now)) {
        log("server leaving", server);
    }
    for (const auto& server :
         servers.end_by_hash(report.ended, this->core->freshness.read_to(), now)) {
        log("server gone", server);
    }
}

auto peer_group::live_peers() const -> std::vector<http::endpoint>
{
    const auto now = this->core->hooks.clock();
    std::vector<http::endpoint> all;
    for (const auto& [where, known] : this->peers) {
        if (this->is_alive(known, now)) {
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
        if (this->is_alive(known, now) && !known.host.value().empty()) {
            all.push_back({known.host, http::to_string(where)});
        }
    }
    return all;
}

auto peer_group::reporting_peers() const -> std::vector<peer>
{
    const auto now = this->core->hooks.clock();
    std::vector<peer> alive;
    for (const auto& [where, known] : this->peers) {
        if (this->is_alive(known, now) && !known.host.value().empty()) {
            alive.push_back(known);
        }
    }
    return alive;
}

auto peer_group::rank() const -> std::size_t
{
    const auto alive = this->reporting_peers();
    return static_cast<std::size_t>(std::ranges::count_if(
        alive, [this](const peer& other) { return other.host < this->self; }));
}

auto peer_group::accepted_elsewhere_at(common::time_point now) const -> common::time_point
{
    auto first_end = this->core->process_ends_at();
    for (const auto& other : this->reporting_peers()) {
        if (other.ends_at == common::never) {
            return now;
        }
        first_end = std::min(first_end, other.ends_at);
    }
    return first_end == common::never ? now : first_end + restart_time;
}

auto peer_group::rank_by_address() const -> routing::entry_rank
{
    const auto before =
        std::distance(this->peers.begin(), this->peers.lower_bound(this->own_address));
    return {static_cast<std::size_t>(before), this->peers.size() + 1};
}

auto peer_group::live_count() const -> std::size_t
{
    return this->reporting_peers().size();
}

} // namespace reedramp::router_program
