#include "routing/first_event_estimator.hpp"

#include <algorithm>
#include <cstdint>

namespace reedramp::routing {

namespace {

/// Largest work of the first size class. Each further class reaches to twice the previous one.
constexpr double first_class_work = 128.0;
/// Weight of the newest sample once a class has enough of them.
constexpr double newest_weight = 0.1;
/// Samples that a class needs. A single one may have waited behind a long prompt.
constexpr unsigned min_samples = 3;

} // namespace

auto first_event_estimator::class_of(double prompt_work) -> std::size_t
{
    std::size_t index = 0;
    for (auto limit = first_class_work; prompt_work > limit && index + 1 < class_count;
         limit *= 2.0) {
        index += 1;
    }
    return index;
}

auto first_event_estimator::note(double prompt_work, std::chrono::milliseconds took) -> void
{
    auto& to = this->classes[class_of(prompt_work)];
    to.samples += 1;
    const auto weight = std::max(newest_weight, 1.0 / static_cast<double>(to.samples));
    to.mean_work += weight * (prompt_work - to.mean_work);
    to.mean_ms += weight * (static_cast<double>(took.count()) - to.mean_ms);
}

auto first_event_estimator::expected(double prompt_work) const -> std::chrono::milliseconds
{
    for (auto index = class_of(prompt_work) + 1; index > 0; --index) {
        const auto& known = this->classes[index - 1];
        if (known.samples >= min_samples && known.mean_work > 0.0) {
            const auto scale = std::max(1.0, prompt_work / known.mean_work);
            return std::chrono::milliseconds{static_cast<std::int64_t>(known.mean_ms * scale)};
        }
    }
    return std::chrono::milliseconds{0};
}

} // namespace reedramp::routing
