#include <algorithm>

#include "routing/crash_tracker.hpp"

/// Part of `crash_tracker` that finds parts of prompts which crash servers.
namespace reedramp::routing {

namespace {

/// Interval between reports that the same part was served by the same kind of engine. A part that
/// many requests share is served all the time, and others serve it too.
constexpr std::chrono::seconds served_report_interval{1};
/// Served requests that are kept for each service.
constexpr std::size_t max_served_sends = 256;
/// Parts that may be newly barred at once.
constexpr std::size_t max_barred_at_once = 4;

} // namespace

auto crash_tracker::note_received(const prompt_traits& prompt) -> void
{
    if (!prompt.parts.empty()) {
        this->recent[prompt.service].note(prompt.parts);
    }
}

auto crash_tracker::keep_prompt(crash& of, lost_request& lost) -> void
{
    if (lost.prompt.parts.empty() || of.prompts == this->settings.max_prompts) {
        lost.prompt.parts.clear();
        return;
    }
    of.prompts += 1;
    for (const auto part : lost.prompt.parts) {
        auto& newest = this->suspect_parts.try_emplace(part, lost.at).first->second;
        newest = std::max(newest, lost.at);
    }
}

auto crash_tracker::note_part_served(engine_part which, time_point sent) -> served_part*
{
    const auto suspect = this->suspect_parts.find(which.part);
    if (suspect == this->suspect_parts.end()) {
        return nullptr;
    }
    auto& known = this->served_parts.try_emplace(which).first->second;
    const bool says_more = known.sent < std::min(sent, suspect->second);
    known.sent = std::max(known.sent, sent);
    return says_more ? &known : nullptr;
}

auto crash_tracker::note_parts_served(const prompt_traits& prompt, time_point sent, time_point now)
    -> void
{
    auto& sends = this->served_sends[prompt.service];
    sends.push_back(sent);
    if (sends.size() > max_served_sends) {
        sends.pop_front();
    }
    for (const auto part : prompt.parts) {
        const engine_part which{part, prompt.engine};
        auto* known = this->note_part_served(which, sent);
        if (known != nullptr && now - known->reported_at >= served_report_interval) {
            known->reported_at = now;
            this->unsent_served_parts.push_back(which);
        }
    }
    // A copy that was under way when its parts were barred has been served after all.
    const auto barred_as = this->find_barred_parts(prompt);
    if (barred_as && this->barred.at(*barred_as).suspected_since <= sent) {
        this->clear_suspect(*barred_as, now, now);
        this->unsent_served.emplace_back(*barred_as, now);
    }
}

auto crash_tracker::find_barred_parts(const prompt_traits& prompt) const
    -> std::optional<request_fingerprint>
{
    const auto found = std::ranges::find_if(this->barred_sets, [&prompt](const auto& item) {
        return item.second.service == prompt.service && has_all(prompt.parts, item.second.parts);
    });
    return found == this->barred_sets.end() ? std::nullopt : std::optional{found->first};
}

auto crash_tracker::suspected_parts_of(const lost_request& lost, time_point crashed_at) const
    -> part_set
{
    auto parts = lost.prompt.parts;
    std::erase_if(parts, [&](part_id part) {
        const auto served_since = this->served_parts.find({part, lost.prompt.engine});
        return served_since != this->served_parts.end() && served_since->second.sent >= crashed_at;
    });
    return parts;
}

auto crash_tracker::explanation_of(const crash& one) const -> std::optional<crash_explanation>
{
    for (const auto& [request, lost] : one.suspects) {
        if (const auto barred_as = this->find_barred_parts(lost.prompt)) {
            return crash_explanation{this->barred_sets.at(*barred_as).parts, std::nullopt};
        }
        if (this->barred.contains(request)) {
            return crash_explanation{lost.prompt.parts, request};
        }
    }
    return std::nullopt;
}

auto crash_tracker::evidence_of(const crash& one) const -> crash_evidence
{
    crash_evidence evidence{one.at, {}, this->explanation_of(one)};
    for (const auto& [request, lost] : one.suspects) {
        if (!lost.prompt.parts.empty()) {
            evidence.prompts.push_back(
                {request, this->suspected_parts_of(lost, one.at), lost.is_own});
        }
    }
    return evidence;
}

auto crash_tracker::crashes_by_service(time_point now) const
    -> std::map<std::uint64_t, std::vector<const crash*>>
{
    std::map<std::uint64_t, std::vector<const crash*>> found;
    for (const auto& [server, one] : this->crashes) {
        const bool is_settled = now - one.at >= this->settings.settle_time;
        const auto with_parts = std::ranges::find_if(
            one.suspects, [](const auto& item) { return !item.second.prompt.parts.empty(); });
        if (is_settled && with_parts != one.suspects.end() && this->is_crash(one)) {
            found[with_parts->second.prompt.service].push_back(&one);
        }
    }
    for (auto& [service, all] : found) {
        std::ranges::sort(all, {}, [](const crash* one) { return one->at; });
        const auto excess = all.size() - std::min(all.size(), this->settings.max_judged);
        all.erase(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(excess));
    }
    return found;
}

auto crash_tracker::traffic_of(std::uint64_t service) const -> service_traffic
{
    static const recent_prompts none;
    const auto known = this->recent.find(service);
    const auto& requests = known == this->recent.end() ? none : known->second;
    return {
        [&requests](const part_set& parts) { return requests.share_of(parts); },
        [&requests](const part_set& parts) { return requests.min_share_of(parts); },
        [this, service](time_point later_than) {
            const auto sends = this->served_sends.find(service);
            return sends == this->served_sends.end()
                       ? std::size_t{0}
                       : static_cast<std::size_t>(
                             std::ranges::count_if(sends->second, [later_than](time_point sent) {
                                 return sent > later_than;
                             }));
        }};
}

auto crash_tracker::find_barred_parts_of(
    std::uint64_t service, const std::vector<const crash*>& all, time_point now)
    -> std::optional<barred_request>
{
    std::vector<crash_evidence> evidence;
    evidence.reserve(all.size());
    for (const auto* one : all) {
        evidence.push_back(this->evidence_of(*one));
    }
    const auto blamed =
        find_blamed_parts(evidence, this->traffic_of(service), this->settings.parts);
    if (!blamed) {
        return std::nullopt;
    }
    const barred_parts what{service, blamed->parts};
    const auto fingerprint = fingerprint_of(what);
    barred_entry how{now, now};
    how.suspected_since = blamed->since;
    this->bar(fingerprint, how, what);
    return barred_request{fingerprint, blamed->crashes, 0, blamed->is_own, what, blamed->evidence};
}

auto crash_tracker::bar_parts(time_point now) -> std::vector<barred_request>
{
    std::vector<barred_request> found;
    for (const auto& [service, all] : this->crashes_by_service(now)) {
        auto next = this->find_barred_parts_of(service, all, now);
        while (next && found.size() < max_barred_at_once) {
            found.push_back(*next);
            next = this->find_barred_parts_of(service, all, now);
        }
    }
    return found;
}

auto crash_tracker::forget_evidence(const barred_parts& against) -> void
{
    for (auto& [server, one] : this->crashes) {
        for (auto& [request, lost] : one.suspects) {
            if (lost.prompt.service == against.service &&
                has_all(lost.prompt.parts, against.parts)) {
                lost.prompt.parts.clear();
            }
        }
    }
}

} // namespace reedramp::routing
