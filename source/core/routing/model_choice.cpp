#include "routing/model_choice.hpp"

#include <algorithm>
#include <cmath>

namespace reedramp::routing {

auto first_model(const route& /*on*/) -> std::size_t
{
    return 0;
}

auto is_accepted(
    const route& on, std::size_t model, int confidence, const model_options& options) -> bool
{
    const bool is_largest = model + 1 >= on.models.size();
    return is_largest || confidence < 0 ||
           confidence >= static_cast<int>(options.accepted_confidence);
}

auto next_model(const route& on) -> std::size_t
{
    return on.models.size() - 1;
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
