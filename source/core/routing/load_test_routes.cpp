#include "routing/load_test_routes.hpp"

#include <algorithm>

namespace reedramp::routing {

auto load_test_routes::note(
    const common::service_name& service, const route_name& route, double prompt, double answer)
    -> void
{
    const double work = prompt + answer;
    if (work <= 0.0) {
        return;
    }
    constexpr double memory = 50.0;
    this->answer_parts[service][route].add(answer / work, memory);
}

auto load_test_routes::level_of(const common::service_name& service, const route_name& route) const
    -> fill_level
{
    const auto known = this->answer_parts.find(service);
    if (known == this->answer_parts.end()) {
        return fill_level::most;
    }
    const auto own = known->second.find(route);
    if (own == known->second.end()) {
        return fill_level::little;
    }
    double best = 0.0;
    for (const auto& [name, part] : known->second) {
        best = std::max(best, part.mean());
    }
    constexpr double most_from = 0.5;
    constexpr double some_from = 0.1;
    const auto part = own->second.mean();
    if (part >= most_from * best) {
        return fill_level::most;
    }
    return part >= some_from * best ? fill_level::some : fill_level::little;
}

} // namespace reedramp::routing
