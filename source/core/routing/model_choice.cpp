#include "routing/model_choice.hpp"

#include <algorithm>
#include <cmath>

namespace reedramp::routing {

auto first_model(const route& /*on*/) -> std::size_t
{
    return 0;
}

auto wait_gauge::note(std::chrono::milliseconds waited, std::chrono::milliseconds target) -> void
{
    if (target.count() <= 0) {
        return;
    }
    // Averages over about one second of requests at one entry.
    constexpr double memory = 0.08;
    // Limits the influence of a single very late stream.
    constexpr double most = 2.0;
    const auto part = static_cast<double>(waited.count()) / static_cast<double>(target.count());
    this->mean += memory * (std::min(part, most) - this->mean);
}

auto required_confidence(
    const model_options& options, unsigned rank, double level, larger_model_timing larger) -> double
{
    if (larger == larger_model_timing::too_slow) {
        return 0.0;
    }
    const auto rank_part = static_cast<double>(options.rank_step) * rank;
    const auto most = std::max(0.0, static_cast<double>(options.accepted_confidence) - rank_part);
    const auto pressure = level * (options.urgent_pressure + options.rank_pressure * rank);
    const auto left =
        (options.scarcity_to - pressure) / (options.scarcity_to - options.scarcity_from);
    return most * std::clamp(left, 0.0, 1.0) *
           (larger == larger_model_timing::late ? options.late_value : 1.0);
}

auto is_accepted(const route& on, std::size_t model, int confidence, double asked) -> bool
{
    const bool is_largest = model + 1 >= on.models.size();
    return is_largest || confidence < 0 || confidence >= asked;
}

auto next_model(const route& on) -> std::size_t
{
    return on.models.size() - 1;
}

auto next_model_in_time(
    const route& on,
    std::size_t model,
    const std::function<auto(std::size_t model)->std::chrono::milliseconds>& reading_time)
    -> std::optional<std::size_t>
{
    const bool has_target = on.target.count() > 0;
    for (auto index = on.models.size(); index > model + 1; --index) {
        if (!has_target || reading_time(index - 1) <= on.target) {
            return index - 1;
        }
    }
    return std::nullopt;
}

auto slowness(const service* of, const std::string& model) -> double
{
    if (of == nullptr || of->models.empty()) {
        return 1.0;
    }
    const auto largest = std::ranges::max_element(of->models, {}, &priced_model::cost);
    const auto found = std::ranges::find_if(
        of->models, [&model](const priced_model& item) { return item.name.value() == model; });
    if (found == of->models.end() || largest->cost <= 0.0) {
        return 1.0;
    }
    constexpr double time_by_price = 0.85;
    return std::pow(found->cost / largest->cost, time_by_price);
}

} // namespace reedramp::routing
