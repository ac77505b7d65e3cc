#include "overload/organisation_shares.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <string>
#include <utility>

#include "placement/affinity.hpp"

namespace reedramp::overload {

namespace {

using seconds = std::chrono::duration<double>;

/// The present work counts as room when divided by the pressure, by at most this. It matters when
/// load starts after a quiet time, of which the long window says nothing.
constexpr double max_overshoot = 1.5;
/// Weight of one request in the mean work of a request.
constexpr double mean_weight = 0.02;
/// No fair rate limits anybody.
constexpr double unlimited = std::numeric_limits<double>::infinity();
/// Rows below this many units of work a second are not worth their bytes.
constexpr double min_reported = 1.0;

/// Names of the totals of a service. No organisation has a name with a zero byte.
constexpr std::string_view now_name{"\0now", 4};
constexpr std::string_view lately_name{"\0lately", 7};

} // namespace

auto usage_key(const common::service_name& service, std::string_view organisation) -> std::uint32_t
{
    auto text = service.value();
    text += '\0';
    text += organisation;
    return static_cast<std::uint32_t>(placement::affinity_hash(text));
}

auto work_meter::add(double work, time_point now, seconds window) -> void
{
    if (!this->started) {
        this->started = now;
    }
    this->sum = this->rate(now, window) * window.count() + work;
    this->updated = now;
}

auto work_meter::rate(time_point now, seconds window) const -> double
{
    const seconds passed = now - this->updated;
    return this->sum * std::exp(-std::max(passed, seconds::zero()) / window) / window.count();
}

auto work_meter::rate_since_start(time_point now, seconds window) const -> double
{
    constexpr seconds min_age{1.0};
    if (!this->started) {
        return 0.0;
    }
    const seconds age = now - *this->started;
    return this->rate(now, window) / (1.0 - std::exp(-std::max(age, min_age) / window));
}

organisation_shares::organisation_shares(share_options options_to_use) : options(options_to_use) {}

auto organisation_shares::set_rules(const routing::configuration& rules) -> void
{
    this->keys.clear();
    for (const auto& route : rules.routes) {
        for (const auto& target : route.targets) {
            auto& all = this->keys[target.service];
            if (!all.empty()) {
                continue;
            }
            all.push_back(usage_key(target.service, ""));
            for (const auto& one : rules.organisations) {
                all.push_back(usage_key(target.service, one.name.value()));
            }
        }
    }
    // Meters of services and organisations that no longer exist would accumulate.
    this->known_keys.clear();
    for (const auto& [service, all] : this->keys) {
        this->known_keys.insert(all.begin(), all.end());
    }
    std::erase_if(
        this->ours, [this](const auto& item) { return !this->known_keys.contains(item.first); });
    std::erase_if(
        this->services, [this](const auto& item) { return !this->keys.contains(item.first); });
}

auto organisation_shares::totals_of(const common::service_name& service) -> service_totals&
{
    const auto [found, is_new] = this->services.try_emplace(service);
    if (is_new) {
        found->second.now_key = usage_key(service, now_name);
        found->second.lately_key = usage_key(service, lately_name);
    }
    return found->second;
}

auto organisation_shares::note_sent(
    const common::service_name& service,
    const common::organisation_id& organisation,
    double work,
    bool is_first,
    time_point now) -> void
{
    auto& own = this->ours[usage_key(service, organisation.value())];
    own.asked.add(work, now, this->options.window);
    own.request = is_first ? work : own.request + work;
    auto& total = this->totals_of(service);
    total.sent_now.add(work, now, this->options.window);
    total.sent_lately.add(work, now, this->options.room_window);
    total.mean_request += mean_weight * (work - total.mean_request);
}

auto organisation_shares::note_refused(
    const common::service_name& service,
    const common::organisation_id& organisation,
    double work,
    time_point now) -> void
{
    this->ours[usage_key(service, organisation.value())].asked.add(work, now, this->options.window);
}

auto organisation_shares::apply_reports(
    const common::host_id& peer, std::vector<usage_report> rows, time_point trusted_until) -> void
{
    if (rows.empty()) {
        this->peers.erase(peer);
        return;
    }
    this->peers[peer] = {std::move(rows), trusted_until};
}

auto organisation_shares::make_reports(time_point now) const -> std::vector<usage_report>
{
    std::vector<usage_report> rows;
    for (const auto& [key, own] : this->ours) {
        const auto rate = own.asked.rate(now, this->options.window);
        if (rate >= min_reported) {
            rows.push_back({key, rate});
        }
    }
    const auto count = std::min(rows.size(), this->options.max_reported);
    std::ranges::partial_sort(
        rows,
        rows.begin() + static_cast<std::ptrdiff_t>(count),
        std::ranges::greater{},
        &usage_report::rate);
    rows.resize(count);
    for (const auto& [service, total] : this->services) {
        const auto lately = total.sent_lately.rate_since_start(now, this->options.room_window);
        if (lately >= min_reported) {
            rows.push_back({total.now_key, total.sent_now.rate(now, this->options.window)});
            rows.push_back({total.lately_key, lately});
        }
    }
    return rows;
}

auto organisation_shares::refresh_sums(time_point now) -> void
{
    if (now < this->sums_valid_until) {
        return;
    }
    std::erase_if(
        this->peers, [now](const auto& item) { return item.second.trusted_until <= now; });
    this->peer_sums.clear();
    this->truncated = {};
    for (const auto& [peer, report] : this->peers) {
        const auto is_named = [this](const usage_report& row) {
            return this->known_keys.contains(row.key);
        };
        const auto named = static_cast<std::size_t>(std::ranges::count_if(report.rows, is_named));
        const bool is_truncated = named >= this->options.max_reported;
        auto least = unlimited;
        for (const auto& row : report.rows) {
            auto& sum = this->peer_sums[row.key];
            sum.rate += row.rate;
            sum.truncated += is_truncated ? 1 : 0;
            least = is_named(row) ? std::min(least, row.rate) : least;
        }
        this->truncated.reports += is_truncated ? 1 : 0;
        this->truncated.least_rates += is_truncated ? least : 0.0;
    }
    this->sums_valid_until = now + this->options.refresh;
}

auto organisation_shares::rate_of(std::uint32_t key, time_point now) const -> double
{
    const auto own = this->ours.find(key);
    const auto sum = this->peer_sums.find(key);
    return (own == this->ours.end() ? 0.0 : own->second.asked.rate(now, this->options.window)) +
           (sum == this->peer_sums.end() ? 0.0 : sum->second.rate);
}

auto organisation_shares::unreported_rate_of(std::uint32_t key, time_point now) const -> double
{
    const auto own = this->ours.find(key);
    if (own == this->ours.end() || this->truncated.reports == 0) {
        return 0.0;
    }
    const auto sum = this->peer_sums.find(key);
    const auto named = sum == this->peer_sums.end() ? 0 : sum->second.truncated;
    // The rates left out lie between 0 and the least reported one.
    const auto mean_least =
        this->truncated.least_rates / static_cast<double>(this->truncated.reports);
    return static_cast<double>(this->truncated.reports - named) *
           std::min(own->second.asked.rate(now, this->options.window), mean_least / 2.0);
}

auto organisation_shares::usages_of(const common::service_name& service, time_point now) const
    -> std::vector<usage>
{
    std::vector<usage> all;
    const auto known = this->keys.find(service);
    if (known == this->keys.end()) {
        return all;
    }
    for (const auto key : known->second) {
        const auto rate = this->rate_of(key, now);
        if (rate > 0.0) {
            all.push_back({key, rate, rate + this->unreported_rate_of(key, now)});
        }
    }
    return all;
}

auto organisation_shares::fair_rate(
    const service_totals& totals,
    const std::vector<usage>& usages,
    double pressure,
    time_point now) const -> double
{
    const auto from_peers = [this](std::uint32_t key) {
        const auto sum = this->peer_sums.find(key);
        return sum == this->peer_sums.end() ? 0.0 : sum->second.rate;
    };
    const auto lately = totals.sent_lately.rate_since_start(now, this->options.room_window) +
                        from_peers(totals.lately_key);
    const auto present =
        totals.sent_now.rate(now, this->options.window) + from_peers(totals.now_key);
    auto room = std::max(lately, present / std::min(pressure, max_overshoot));
    if (room <= 0.0) {
        return unlimited;
    }
    std::vector<double> rates;
    std::ranges::transform(usages, std::back_inserter(rates), &usage::estimate);
    std::ranges::sort(rates);
    // Max-min: each gets an equal part of the room; what one leaves unused goes to the others.
    for (std::size_t i = 0; i < rates.size(); ++i) {
        const auto share = room / static_cast<double>(rates.size() - i);
        if (rates[i] > share) {
            return share;
        }
        room -= rates[i];
    }
    return unlimited;
}

auto organisation_shares::excess_of(
    const usage& one, const service_totals& totals, double fair_rate) const -> double
{
    const auto own = this->ours.find(one.key);
    const auto request =
        std::max(own == this->ours.end() ? 0.0 : own->second.request, totals.mean_request);
    const auto rate = one.rate - request / seconds{this->options.window}.count();
    return std::max(1.0, rate / fair_rate);
}

auto organisation_shares::excess(
    const common::service_name& service,
    const common::organisation_id& organisation,
    double pressure,
    time_point now) -> double
{
    if (pressure < 1.0) {
        return 1.0;
    }
    this->refresh_sums(now);
    const auto all = this->usages_of(service, now);
    const auto one = std::ranges::find(all, usage_key(service, organisation.value()), &usage::key);
    if (all.size() < 2 || one == all.end()) {
        return 1.0;
    }
    const auto& totals = this->totals_of(service);
    return this->excess_of(*one, totals, this->fair_rate(totals, all, pressure, now));
}

auto organisation_shares::count_beyond(
    const common::service_name& service, double pressure, time_point now) -> std::size_t
{
    if (pressure < 1.0) {
        return 0;
    }
    this->refresh_sums(now);
    const auto all = this->usages_of(service, now);
    const auto& totals = this->totals_of(service);
    const auto fair = this->fair_rate(totals, all, pressure, now);
    const auto count = std::ranges::count_if(all, [this, &totals, fair](const usage& one) {
        return this->excess_of(one, totals, fair) > 1.0;
    });
    return all.size() < 2 ? 0 : static_cast<std::size_t>(count);
}

} // namespace reedramp::overload
