#include "routing/part_evidence.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace reedramp::routing {

namespace {

/// Share of the crashes that blamed parts are taken to cause; the others have other causes.
constexpr double caused_share = 0.5;
/// Another set with this part of the evidence may be the cause as well.
constexpr double rival_evidence_share = 0.25;

using part_counts = std::map<part_id, std::size_t>;

auto has_any_with(const crash_evidence& crash, const part_set& parts) -> bool
{
    return std::ranges::any_of(
        crash.prompts, [&parts](const lost_prompt& one) { return has_all(one.parts, parts); });
}

/// Whether the crash says anything about the parts: it is unexplained, or explained by them
/// together with others, which may have been there by chance.
auto concerns(const crash_evidence& crash, const part_set& parts) -> bool
{
    return !crash.explanation || has_all(crash.explanation->parts, parts);
}

auto parts_of(const crash_evidence& crash) -> std::set<part_id>
{
    std::set<part_id> parts;
    for (const auto& one : crash.prompts) {
        parts.insert(one.parts.begin(), one.parts.end());
    }
    return parts;
}

auto count_crashes(const std::vector<crash_evidence>& crashes) -> part_counts
{
    part_counts counts;
    for (const auto& crash : crashes) {
        for (const auto part : parts_of(crash)) {
            counts[part] += 1;
        }
    }
    return counts;
}

/// The parts that all lost requests with the part have.
auto always_together(part_id part, const std::vector<crash_evidence>& crashes) -> part_set
{
    part_set together;
    for (const auto& crash : crashes) {
        for (const auto& one : crash.prompts) {
            if (std::ranges::binary_search(one.parts, part)) {
                together = together.empty() ? one.parts : common_parts(together, one.parts);
            }
        }
    }
    return together;
}

/// Parts that may be the cause, each with those that are always together with it.
auto find_candidates(
    const std::vector<crash_evidence>& crashes, const part_evidence_options& options)
    -> std::set<part_set>
{
    std::set<part_set> candidates;
    for (const auto& [part, count] : count_crashes(crashes)) {
        if (count >= options.min_crashes) {
            candidates.insert(always_together(part, crashes));
        }
    }
    return candidates;
}

/// Chance that a crash with so many lost requests involves parts with that share of all requests.
auto chance_of(std::size_t lost, double share) -> double
{
    return 1.0 - std::pow(1.0 - std::min(share, 1.0), static_cast<double>(lost));
}

/// A set of parts with the evidence against it.
struct candidate {
    blamed_parts found;
    /// Enough of the evidence comes from crashes that no barred parts explain.
    bool has_unexplained = false;
};

/// Sums up what crashes say about a set of parts.
class evidence_sum {
public:
    evidence_sum(
        const part_set& parts, double share_of_parts, const part_evidence_options& options_to_use)
        : sum{parts}, share(share_of_parts), options(options_to_use)
    {
    }

    auto add(const crash_evidence& crash) -> void
    {
        if (crash.prompts.empty() || !concerns(crash, this->sum.parts)) {
            return;
        }
        if (!has_any_with(crash, this->sum.parts)) {
            this->subtract_other_crash();
            return;
        }
        const auto request = this->attribute(crash);
        if (this->by_request[request] == this->options.max_crashes_per_request) {
            return;
        }
        this->by_request[request] += 1;
        const auto chance =
            std::max(chance_of(crash.prompts.size(), this->share), this->options.min_chance);
        const auto gain = std::log(caused_share / chance + 1.0 - caused_share);
        const bool is_explained = crash.explanation && !crash.explanation->request;
        this->unexplained += is_explained ? 0.0 : gain;
        this->sum.evidence += gain;
        this->sum.crashes += 1;
        this->sum.since = std::min(this->sum.since, crash.at);
    }

    [[nodiscard]] auto total(const service_traffic& traffic) const -> candidate
    {
        auto found = this->sum;
        if (found.crashes == 0) {
            return {found};
        }
        const auto served = static_cast<double>(traffic.served_since(found.since));
        const auto from_served = -served * std::log(1.0 - traffic.min_share_of(found.parts));
        const auto counted = std::min(from_served, this->options.max_served_evidence);
        found.evidence += counted;
        return {found, this->unexplained + counted >= this->options.min_unexplained_evidence};
    }

private:
    /// Begins anew whenever crashes speak against the parts, so that earlier crashes for other
    /// reasons don't delay finding parts that become harmful.
    auto subtract_other_crash() -> void
    {
        this->sum.evidence += std::log(1.0 - caused_share);
        if (this->sum.evidence <= 0.0) {
            this->sum = blamed_parts{this->sum.parts};
            this->by_request.clear();
            this->unexplained = 0.0;
        }
    }

    /// The request with the parts to which the crash is attributed.
    auto attribute(const crash_evidence& crash) -> request_fingerprint
    {
        if (crash.explanation && crash.explanation->request) {
            return *crash.explanation->request;
        }
        std::optional<request_fingerprint> least;
        for (const auto& one : crash.prompts) {
            if (!has_all(one.parts, this->sum.parts)) {
                continue;
            }
            this->sum.is_own = this->sum.is_own || one.is_own;
            if (!least || this->by_request[one.request] < this->by_request[*least]) {
                least = one.request;
            }
        }
        return least.value_or(request_fingerprint{});
    }

    blamed_parts sum;
    double share;
    const part_evidence_options& options;
    std::map<request_fingerprint, std::size_t> by_request;
    double unexplained = 0.0;
};

auto weigh(
    const part_set& parts,
    const std::vector<crash_evidence>& crashes,
    const service_traffic& traffic,
    const part_evidence_options& options) -> candidate
{
    evidence_sum sum{parts, traffic.share_of(parts), options};
    for (const auto& crash : crashes) {
        sum.add(crash);
    }
    return sum.total(traffic);
}

/// Whether `other` may have caused all crashes that `one` is blamed for. A part that is common to
/// many requests is in them too, but has little evidence, and is soon served.
auto is_rival(
    const blamed_parts& other, const blamed_parts& one, const std::vector<crash_evidence>& crashes)
    -> bool
{
    const bool is_nested = has_all(one.parts, other.parts) || has_all(other.parts, one.parts);
    const bool is_as_likely =
        other.crashes >= one.crashes && other.evidence >= rival_evidence_share * one.evidence;
    return !is_nested && is_as_likely &&
           std::ranges::all_of(crashes, [&one, &other](const crash_evidence& crash) {
               return crash.at < one.since || !has_any_with(crash, one.parts) ||
                      has_any_with(crash, other.parts);
           });
}

} // namespace

auto find_blamed_parts(
    const std::vector<crash_evidence>& crashes,
    const service_traffic& traffic,
    const part_evidence_options& options) -> std::optional<blamed_parts>
{
    std::vector<candidate> all;
    for (const auto& parts : find_candidates(crashes, options)) {
        all.push_back(weigh(parts, crashes, traffic, options));
    }
    std::ranges::sort(all, std::greater{}, [](const candidate& one) { return one.found.evidence; });
    for (const auto& [one, has_unexplained] : all) {
        const bool is_enough = has_unexplained && one.evidence >= options.min_evidence &&
                               one.crashes >= options.min_crashes;
        const bool has_rival =
            is_enough &&
            std::ranges::any_of(all, [&crashes, &blamed = one](const candidate& other) {
                return is_rival(other.found, blamed, crashes);
            });
        if (is_enough && !has_rival) {
            return one;
        }
    }
    return std::nullopt;
}

} // namespace reedramp::routing
