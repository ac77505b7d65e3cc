#include "routing/crash_tracker.hpp"

#include <algorithm>
#include <utility>

namespace reedramp::routing {

namespace {

/// Interval between removals of expired entries; a late removal costs little.
constexpr std::chrono::seconds sweep_interval{10};

/// Crashes that count within one burst: one burst alone never bars a request, two bursts do.
constexpr std::size_t max_per_burst = 2;

/// Served parts reported at once; those left out are reported when they are served again.
constexpr std::size_t max_served_parts_reported = 32;

auto age_of(time_point at, time_point now) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(at, now) - at);
}

} // namespace

auto crash_tracker::note_lost(
    request_fingerprint fingerprint,
    const server_instance& server,
    time_point sent,
    time_point now,
    const prompt_traits& prompt) -> void
{
    const auto hash = hash_of(server);
    const lost_request how{now, sent, true, prompt};
    this->note(fingerprint, hash, how, now);
    this->unconfirmed.insert(server);
    this->unsent_losses.push_back({fingerprint, hash, how});
}

auto crash_tracker::note_down(const server_instance& server, time_point now) -> void
{
    const auto hash = hash_of(server);
    const auto known = this->crashes.find(hash);
    if (known != this->crashes.end() && known->second.is_down) {
        return;
    }
    const lost_request how{now, now, true};
    this->note(request_fingerprint{}, hash, how, now);
    this->unsent_losses.push_back({request_fingerprint{}, hash, how});
}

auto crash_tracker::note_alive(const server_instance& server) -> void
{
    this->crashes.erase(hash_of(server));
}

auto crash_tracker::take_unconfirmed() -> std::vector<server_instance>
{
    const auto noted = std::exchange(this->unconfirmed, {});
    std::vector<server_instance> servers{noted.begin(), noted.end()};
    std::erase_if(servers, [this](const server_instance& server) {
        const auto known = this->crashes.find(hash_of(server));
        return known == this->crashes.end() || this->is_crash(known->second);
    });
    return servers;
}

auto crash_tracker::note(
    request_fingerprint fingerprint, std::uint64_t server, lost_request how, time_point now) -> void
{
    const auto served_at = this->served.find(fingerprint);
    if (served_at != this->served.end() && served_at->second >= how.at) {
        return;
    }
    auto& one = this->crashes.try_emplace(server, crash{how.at, {}, false}).first->second;
    one.at = std::min(one.at, how.at);
    if (fingerprint == request_fingerprint{}) {
        one.is_down = true;
    }
    else if (!one.suspects.contains(fingerprint)) {
        this->keep_prompt(one, how);
        one.suspects.emplace(fingerprint, how);
    }
    this->new_evidence_at = now;
}

auto crash_tracker::note_served(
    request_fingerprint fingerprint, const server_instance& server, time_point now) -> void
{
    const auto known = this->crashes.find(hash_of(server));
    // An answer that the server sent before it crashed may be read a little later.
    if (known != this->crashes.end() &&
        now - known->second.at > this->settings.correlation_window) {
        this->crashes.erase(known);
    }
    const bool is_suspect = this->barred.contains(fingerprint) ||
                            std::ranges::any_of(this->crashes, [fingerprint](const auto& item) {
                                return item.second.suspects.contains(fingerprint);
                            });
    if (is_suspect) {
        this->clear_suspect(fingerprint, now, now);
        this->unsent_served.emplace_back(fingerprint, now);
    }
}

auto crash_tracker::clear_suspect(request_fingerprint fingerprint, time_point at, time_point now)
    -> void
{
    auto& last = this->served.try_emplace(fingerprint, at).first->second;
    last = std::max(last, at);
    for (auto& [server, one] : this->crashes) {
        const auto found = one.suspects.find(fingerprint);
        if (found != one.suspects.end() && found->second.at <= at) {
            one.suspects.erase(found);
        }
    }
    const auto found = this->barred.find(fingerprint);
    if (found != this->barred.end() && found->second.at <= at) {
        this->unbar(fingerprint);
    }
    this->new_evidence_at = now;
}

auto crash_tracker::has_crashed(const server_instance& server, time_point since) const -> bool
{
    const auto known = this->crashes.find(hash_of(server));
    return known != this->crashes.end() && known->second.at >= since &&
           this->is_crash(known->second);
}

auto crash_tracker::is_crash(const crash& one) const -> bool
{
    if (one.suspects.empty()) {
        return false;
    }
    if (one.is_down) {
        return true;
    }
    std::vector<time_point> times;
    for (const auto& [fingerprint, lost] : one.suspects) {
        times.push_back(lost.at);
    }
    std::ranges::sort(times);
    return std::ranges::adjacent_find(times, [this](time_point first, time_point second) {
               return second - first <= this->settings.correlation_window;
           }) != times.end();
}

auto crash_tracker::is_explained(const crash& one) const -> bool
{
    return this->explanation_of(one).has_value();
}

auto crash_tracker::unexplained() const -> std::vector<const crash*>
{
    std::vector<const crash*> all;
    for (const auto& [server, one] : this->crashes) {
        if (this->is_crash(one) && !this->is_explained(one)) {
            all.push_back(&one);
        }
    }
    std::ranges::sort(all, {}, [](const crash* one) { return one->at; });
    return all;
}

auto crash_tracker::count(const std::vector<const crash*>& all) -> crash_counts
{
    crash_counts counts;
    for (const auto* one : all) {
        for (const auto& [fingerprint, lost] : one->suspects) {
            counts[fingerprint] += 1;
        }
    }
    return counts;
}

auto crash_tracker::has_likelier(
    const crash& one, request_fingerprint than, const crash_counts& counts) -> bool
{
    const auto own = counts.at(than);
    return std::ranges::any_of(one.suspects, [&](const auto& item) {
        return item.first != than && counts.at(item.first) >= own;
    });
}

auto crash_tracker::count_evidence(
    request_fingerprint fingerprint,
    const std::vector<const crash*>& all,
    const crash_counts& counts,
    time_point now) const -> barred_request
{
    barred_request found{fingerprint};
    time_point first = common::never;
    time_point burst_at{};
    std::size_t in_burst = 0;
    for (const auto* one : all) {
        const bool is_settled = now - one->at >= this->settings.settle_time;
        const auto lost = one->suspects.find(fingerprint);
        const bool is_there = lost != one->suspects.end();
        if (!is_there || !is_settled || has_likelier(*one, fingerprint, counts)) {
            continue;
        }
        found.is_own = found.is_own || lost->second.is_own;
        first = std::min(first, one->at);
        const bool is_later = one->at - burst_at >= this->settings.burst_window;
        if (is_later || lost->second.sent >= burst_at) {
            burst_at = one->at;
            in_burst = 0;
        }
        found.crashes += in_burst < max_per_burst ? 1 : 0;
        in_burst += 1;
    }
    found.others = static_cast<std::size_t>(std::ranges::count_if(all, [&](const crash* one) {
        const bool has_suspect = std::ranges::any_of(one->suspects, [&](const auto& item) {
            return item.first == fingerprint || counts.at(item.first) >= this->settings.min_crashes;
        });
        return !has_suspect && one->at >= first;
    }));
    return found;
}

auto crash_tracker::find_barred(time_point now) -> std::vector<barred_request>
{
    if (now >= this->next_sweep_at) {
        this->expire(now);
    }
    std::vector<barred_request> found;
    if (this->evaluated_at >= this->new_evidence_at + this->settings.settle_time) {
        return found;
    }
    this->evaluated_at = now;
    const auto all = this->unexplained();
    const auto counts = count(all);
    for (const auto& [fingerprint, crashes_of_it] : counts) {
        if (crashes_of_it < this->settings.min_crashes) {
            continue;
        }
        const auto evidence = this->count_evidence(fingerprint, all, counts, now);
        const auto needed = this->settings.min_crashes +
                            std::min(evidence.others, this->settings.max_extra_crashes);
        if (evidence.crashes >= needed) {
            found.push_back(evidence);
        }
    }
    for (const auto& one : found) {
        this->bar(one.fingerprint, {now, now}, {});
    }
    for (const auto& one : this->bar_parts(now)) {
        found.push_back(one);
    }
    return found;
}

auto crash_tracker::note_refused(request_fingerprint fingerprint, time_point now) -> void
{
    const auto found = this->barred.find(fingerprint);
    if (found != this->barred.end()) {
        found->second.last_seen = now;
        found->second.refused += 1;
    }
}

auto crash_tracker::apply_barred(const barred_report& report, time_point now) -> bool
{
    const auto since = now - report.age;
    const auto served_at = this->served.find(report.fingerprint);
    const bool was_served = served_at != this->served.end() && served_at->second >= since;
    const bool is_old = report.unseen > this->settings.barred_for;
    return !was_served && !is_old &&
           this->bar(
               report.fingerprint,
               {since,
                now - report.unseen,
                report.is_recorded,
                now - std::max(report.suspected_age, report.age)},
               report.what);
}

auto crash_tracker::bar(
    request_fingerprint fingerprint, const barred_entry& how, const barred_parts& what) -> bool
{
    if (!what.parts.empty()) {
        this->barred_sets.insert_or_assign(fingerprint, what);
    }
    const auto [found, is_new] = this->barred.try_emplace(fingerprint, how);
    auto& known = found->second;
    known.last_seen = std::max(known.last_seen, how.last_seen);
    known.is_recorded = known.is_recorded || how.is_recorded;
    return is_new;
}

auto crash_tracker::unbar(request_fingerprint fingerprint) -> void
{
    this->barred.erase(fingerprint);
    const auto set = this->barred_sets.find(fingerprint);
    if (set != this->barred_sets.end()) {
        this->forget_evidence(set->second);
        this->barred_sets.erase(set);
    }
}

auto crash_tracker::lift(request_fingerprint fingerprint, time_point now) -> bool
{
    if (!this->barred.contains(fingerprint)) {
        return false;
    }
    this->clear_suspect(fingerprint, now, now);
    this->unsent_served.emplace_back(fingerprint, now);
    return true;
}

auto crash_tracker::unrecorded(time_point now) const -> std::optional<barred_report>
{
    const auto found = std::ranges::find_if(
        this->barred, [](const auto& item) { return !item.second.is_recorded; });
    if (found == this->barred.end()) {
        return std::nullopt;
    }
    return this->make_barred_report(found->first, found->second, now);
}

auto crash_tracker::make_barred_report(
    request_fingerprint fingerprint, const barred_entry& since, time_point now) const
    -> barred_report
{
    const auto set = this->barred_sets.find(fingerprint);
    return {
        fingerprint,
        age_of(since.at, now),
        age_of(since.last_seen, now),
        since.is_recorded,
        set == this->barred_sets.end() ? barred_parts{} : set->second,
        age_of(since.suspected_since, now)};
}

auto crash_tracker::note_recorded(request_fingerprint fingerprint) -> void
{
    const auto found = this->barred.find(fingerprint);
    if (found != this->barred.end()) {
        found->second.is_recorded = true;
    }
}

auto crash_tracker::forget_recorded() -> void
{
    for (auto& [fingerprint, since] : this->barred) {
        since.is_recorded = false;
    }
}

auto crash_tracker::take_losses(time_point now) -> std::vector<loss_report>
{
    std::vector<loss_report> all;
    for (const auto& [fingerprint, server, how] : std::exchange(this->unsent_losses, {})) {
        all.push_back(
            {fingerprint, server, age_of(how.at, now), age_of(how.sent, now), how.prompt});
    }
    return all;
}

auto crash_tracker::take_served(time_point now) -> std::vector<served_report>
{
    std::vector<served_report> all;
    for (const auto& [fingerprint, at] : std::exchange(this->unsent_served, {})) {
        all.push_back({fingerprint, age_of(at, now)});
    }
    return all;
}

auto crash_tracker::take_served_parts(time_point now) -> std::vector<served_part_report>
{
    std::vector<served_part_report> all;
    for (const auto& which : std::exchange(this->unsent_served_parts, {})) {
        const auto known = this->served_parts.find(which);
        if (known != this->served_parts.end() && all.size() < max_served_parts_reported) {
            all.push_back({which.part, which.engine, age_of(known->second.sent, now)});
        }
    }
    return all;
}

auto crash_tracker::apply_losses(const std::vector<loss_report>& losses, time_point now) -> void
{
    for (const auto& loss : losses) {
        this->note(
            loss.fingerprint,
            loss.server,
            {now - loss.age, now - loss.sent_age, false, loss.prompt},
            now);
    }
}

auto crash_tracker::apply_served(const std::vector<served_report>& reports, time_point now) -> void
{
    for (const auto& one : reports) {
        this->clear_suspect(one.fingerprint, now - one.age, now);
    }
}

auto crash_tracker::apply_served_parts(
    const std::vector<served_part_report>& reports, time_point now) -> void
{
    for (const auto& one : reports) {
        this->note_part_served({one.part, one.engine}, now - one.sent_age);
    }
}

auto crash_tracker::make_barred_reports(std::size_t most, time_point now) const
    -> std::vector<barred_report>
{
    std::vector<barred_report> all;
    for (const auto& [fingerprint, since] : this->barred) {
        all.push_back(this->make_barred_report(fingerprint, since, now));
    }
    std::ranges::sort(all, {}, &barred_report::unseen);
    all.resize(std::min(all.size(), most));
    return all;
}

auto crash_tracker::states(time_point now) const -> std::vector<barred_state>
{
    std::vector<barred_state> all;
    for (const auto& [fingerprint, since] : this->barred) {
        all.push_back({this->make_barred_report(fingerprint, since, now), since.refused});
    }
    return all;
}

auto crash_tracker::expire(time_point now) -> void
{
    this->next_sweep_at = now + sweep_interval;
    const auto oldest = now - this->settings.barred_for;
    std::erase_if(
        this->barred, [oldest](const auto& item) { return item.second.last_seen < oldest; });
    std::erase_if(this->served, [oldest](const auto& item) { return item.second < oldest; });
    std::erase_if(this->crashes, [oldest](const auto& item) { return item.second.at < oldest; });
    std::erase_if(this->suspect_parts, [oldest](const auto& item) { return item.second < oldest; });
    std::erase_if(
        this->served_parts, [oldest](const auto& item) { return item.second.sent < oldest; });
    const auto drop_oldest = [this](auto& items, auto time_of) {
        while (items.size() > this->settings.max_kept) {
            items.erase(std::ranges::min_element(items, {}, time_of));
        }
    };
    drop_oldest(this->barred, [](const auto& item) { return item.second.last_seen; });
    drop_oldest(this->served, [](const auto& item) { return item.second; });
    drop_oldest(this->crashes, [](const auto& item) { return item.second.at; });
    drop_oldest(this->suspect_parts, [](const auto& item) { return item.second; });
    drop_oldest(this->served_parts, [](const auto& item) { return item.second.sent; });
    std::erase_if(
        this->barred_sets, [this](const auto& item) { return !this->barred.contains(item.first); });
}

} // namespace reedramp::routing
