#include "control/evidence_aggregator.hpp"

#include <algorithm>

namespace reedramp::control {

evidence_aggregator::evidence_aggregator(std::size_t source_limit) : limit(source_limit) {}

auto evidence_aggregator::apply_report(const messages::gossip& report) -> bool
{
    const std::lock_guard guard(this->lock);
    auto& known = this->by_source[report.from];
    // A report that arrives after a newer one holds a part of the same totals; adding it would
    // count them twice.
    if (report.sequence <= known.sequence) {
        return false;
    }
    known.sequence = report.sequence;
    known.evidence = report.evidence;
    known.last_report = ++this->reports;
    if (this->by_source.size() > this->limit) {
        this->drop_oldest();
    }
    return true;
}

auto evidence_aggregator::drop_oldest() -> void
{
    const auto oldest =
        std::ranges::min_element(this->by_source, [](const auto& left, const auto& right) {
            return left.second.last_report < right.second.last_report;
        });
    this->by_source.erase(oldest);
}

auto evidence_aggregator::total_of(const common::version_id& version) const -> policy::wealth
{
    const std::lock_guard guard(this->lock);
    policy::wealth total(policy::wealth_size, 0.0);
    for (const auto& [host, known] : this->by_source) {
        for (const auto& each : known.evidence) {
            if (each.version == version) {
                policy::add_wealth(total, each.log_wealth);
            }
        }
    }
    return total;
}

auto evidence_aggregator::counts_of(const common::version_id& version) const
    -> messages::version_evidence
{
    const std::lock_guard guard(this->lock);
    messages::version_evidence total;
    total.version = version;
    for (const auto& [host, known] : this->by_source) {
        for (const auto& each : known.evidence) {
            if (each.version != version) {
                continue;
            }
            total.requests += each.requests;
            total.errors += each.errors;
            total.ratings += each.ratings;
            total.rating_sum += each.rating_sum;
            total.slow += each.slow;
        }
    }
    return total;
}

auto evidence_aggregator::sources() const -> std::size_t
{
    const std::lock_guard guard(this->lock);
    return this->by_source.size();
}

} // namespace reedramp::control
