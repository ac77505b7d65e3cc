#include "router/crash_broadcaster.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

namespace {

/// Barred requests that peers are told of, those that came last; as a rule there is none. 600 bytes
/// each 100 ms at the most.
constexpr std::size_t most_barred = 16;

/// Adds what was told `ago`, to be told for the second time.
auto add_again(crash_update& to, const crash_update& told, std::chrono::milliseconds ago) -> void
{
    for (auto one : told.lost) {
        one.age += ago;
        one.sent_age += ago;
        to.lost.push_back(one);
    }
    for (auto one : told.served) {
        one.age += ago;
        to.served.push_back(one);
    }
}

} // namespace

crash_broadcaster::crash_broadcaster(
    std::shared_ptr<router_core> core_to_tell_of,
    common::host_id own_host,
    crash_broadcaster_hooks hooks_to_use)
    : core(std::move(core_to_tell_of)), self(std::move(own_host)), hooks(std::move(hooks_to_use))
{
}

auto crash_broadcaster::tick() -> void
{
    const auto now = this->core->hooks.clock();
    this->check_doubtful();
    this->tell(now);
    this->judge(now);
    this->tell_next();
}

auto crash_broadcaster::tell(time_point now) -> void
{
    crash_update news{
        this->self,
        this->core->crashes.take_losses(now),
        this->core->crashes.take_served(now),
        {},
        this->core->era()};
    const auto before = std::exchange(this->told_once, news);
    const auto ago = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->told_at);
    this->told_at = now;
    add_again(news, before, ago);
    this->tell_all(news);
}

auto crash_broadcaster::tell_all(const crash_update& news) const -> void
{
    const auto datagrams = encode_datagrams(news);
    if (datagrams.empty()) {
        return;
    }
    for (const auto& to : this->hooks.everyone()) {
        for (const auto& bytes : datagrams) {
            this->hooks.send(to, bytes);
        }
    }
}

auto crash_broadcaster::barred_news(time_point now) const -> crash_update
{
    return {
        this->self,
        {},
        {},
        this->core->crashes.make_barred_reports(most_barred, now),
        this->core->era()};
}

auto crash_broadcaster::tell_barred(const http::endpoint& to) const -> void
{
    for (const auto& bytes : encode_datagrams(this->barred_news(this->core->hooks.clock()))) {
        this->hooks.send(to, bytes);
    }
}

auto crash_broadcaster::tell_next() -> void
{
    if (!this->core->crashes.has_barred()) {
        return;
    }
    const auto all = this->hooks.everyone();
    if (all.empty()) {
        return;
    }
    const auto next = std::ranges::upper_bound(all, this->told_last);
    this->told_last = next == all.end() ? all.front() : *next;
    this->tell_barred(this->told_last);
}

auto crash_broadcaster::check_doubtful() -> void
{
    for (const auto& start : this->core->crashes.take_unconfirmed()) {
        const auto* known = this->core->servers.find(start.id);
        if (known == nullptr || known->instance() != start) {
            continue;
        }
        this->hooks.check(*known, [weak = this->weak_from_this(), start](bool listens) {
            const auto courier = weak.lock();
            if (courier == nullptr) {
                return;
            }
            if (listens) {
                courier->core->crashes.note_alive(start);
            }
            else {
                courier->core->crashes.note_down(start, courier->core->hooks.clock());
            }
        });
    }
}

auto crash_broadcaster::judge(time_point now) -> void
{
    bool is_own = false;
    for (const auto& one : this->core->crashes.find_barred(now)) {
        is_own = is_own || one.is_own;
        this->core->counters.barred.add();
        common::log(
            common::log_part::place,
            common::log_level::warning,
            "request barred print=" + to_string(one.fingerprint) + " crashes=" +
                std::to_string(one.crashes) + " others=" + std::to_string(one.others));
    }
    if (is_own) {
        this->tell_all(this->barred_news(now));
    }
}

auto crash_broadcaster::hear(std::string_view datagram) -> void
{
    const auto news = decode_crash_news(datagram);
    if (!news) {
        return;
    }
    const auto now = this->core->hooks.clock();
    this->core->crashes.apply_losses(news->lost, now);
    this->core->crashes.apply_served(news->served, now);
    for (auto one : news->barred) {
        // In an era that has ended it was recorded for nothing.
        one.is_recorded = one.is_recorded && news->era == this->core->era();
        this->core->apply_barred(one, news->host.value());
    }
}

} // namespace reedramp::router
