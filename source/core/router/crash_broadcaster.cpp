#include "router/crash_broadcaster.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "router/log_fields.hpp"

namespace reedramp::router {

namespace {

/// Maximum barred requests sent to peers, the most recently seen first; usually there are none. At
/// most 600 bytes every 100 ms.
constexpr std::size_t max_barred_reported = 16;

/// Adds the events first sent `ago`, to repeat them once with their present ages.
auto append_repeated(crash_update& to, const crash_update& sent, std::chrono::milliseconds ago)
    -> void
{
    for (auto one : sent.lost) {
        one.age += ago;
        one.sent_age += ago;
        to.lost.push_back(one);
    }
    for (auto one : sent.served) {
        one.age += ago;
        to.served.push_back(one);
    }
}

} // namespace

crash_broadcaster::crash_broadcaster(
    std::shared_ptr<router_core> core_to_use,
    common::host_id own_host,
    crash_broadcaster_hooks hooks_to_use)
    : core(std::move(core_to_use)), self(std::move(own_host)), hooks(std::move(hooks_to_use))
{
}

auto crash_broadcaster::tick() -> void
{
    const auto now = this->core->hooks.clock();
    this->check_suspects();
    this->send_events(now);
    this->bar_requests(now);
    this->send_barred_to_next();
}

auto crash_broadcaster::send_events(time_point now) -> void
{
    crash_update update{
        this->self,
        this->core->crashes.take_losses(now),
        this->core->crashes.take_served(now),
        {},
        this->core->era(),
        this->core->crashes.take_served_parts(now)};
    const auto before = std::exchange(this->last_sent, update);
    const auto ago =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - this->last_sent_at);
    this->last_sent_at = now;
    append_repeated(update, before, ago);
    this->broadcast(update);
}

auto crash_broadcaster::broadcast(const crash_update& update) const -> void
{
    const auto datagrams = encode_datagrams(update);
    if (datagrams.empty()) {
        return;
    }
    for (const auto& to : this->hooks.live_peers()) {
        for (const auto& bytes : datagrams) {
            this->hooks.send(to, bytes);
        }
    }
}

auto crash_broadcaster::make_barred_update(time_point now) const -> crash_update
{
    return {
        this->self,
        {},
        {},
        this->core->crashes.make_barred_reports(max_barred_reported, now),
        this->core->era()};
}

auto crash_broadcaster::send_barred(const http::endpoint& to) const -> void
{
    for (const auto& bytes :
         encode_datagrams(this->make_barred_update(this->core->hooks.clock()))) {
        this->hooks.send(to, bytes);
    }
}

auto crash_broadcaster::send_barred_to_next() -> void
{
    if (!this->core->crashes.has_barred()) {
        return;
    }
    const auto all = this->hooks.live_peers();
    if (all.empty()) {
        return;
    }
    const auto next = std::ranges::upper_bound(all, this->last_recipient);
    this->last_recipient = next == all.end() ? all.front() : *next;
    this->send_barred(this->last_recipient);
}

auto crash_broadcaster::check_suspects() -> void
{
    for (const auto& start : this->core->crashes.take_unconfirmed()) {
        const auto* known = this->core->servers.find(start.id);
        if (known == nullptr || known->instance() != start) {
            continue;
        }
        this->hooks.is_reachable(*known, [weak = this->weak_from_this(), start](bool listens) {
            const auto broadcaster = weak.lock();
            if (broadcaster == nullptr) {
                return;
            }
            if (listens) {
                broadcaster->core->crashes.note_alive(start);
            }
            else {
                broadcaster->core->crashes.note_down(start, broadcaster->core->hooks.clock());
            }
        });
    }
}

auto crash_broadcaster::bar_requests(time_point now) -> void
{
    bool is_own = false;
    for (const auto& one : this->core->crashes.find_barred(now)) {
        is_own = is_own || one.is_own;
        this->core->counters.barred.add();
        common::log(
            common::log_part::place,
            common::log_level::warning,
            barred_text(one.fingerprint, one.what) + " crashes=" + std::to_string(one.crashes) +
                (one.what.parts.empty() ? " others=" + std::to_string(one.others)
                                        : " evidence=" + std::to_string(one.evidence)));
        this->core->withdraw_barred();
    }
    if (is_own) {
        this->broadcast(this->make_barred_update(now));
    }
}

auto crash_broadcaster::receive(std::string_view datagram) -> void
{
    const auto update = decode_crash_update(datagram);
    if (!update) {
        return;
    }
    const auto now = this->core->hooks.clock();
    this->core->crashes.apply_losses(update->lost, now);
    this->core->crashes.apply_served(update->served, now);
    this->core->crashes.apply_served_parts(update->served_parts, now);
    for (auto one : update->barred) {
        // A record written in an earlier era of the store no longer exists.
        one.is_recorded = one.is_recorded && update->era == this->core->era();
        this->core->apply_barred_report(one, update->host.value());
    }
}

} // namespace reedramp::router
