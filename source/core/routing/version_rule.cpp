#include "routing/version_rule.hpp"

#include <algorithm>
#include <cmath>

namespace reedramp::routing {

auto keep_allowed(std::vector<const registration*>& usable, const version_rule& rule) -> void
{
    std::erase_if(usable, [&rule](const auto* server) { return rule.bars(server->version); });
    if (!rule.preferred) {
        return;
    }
    const auto is_preferred = [&rule](const auto* server) {
        return server->version == *rule.preferred;
    };
    if (std::ranges::any_of(usable, is_preferred)) {
        std::erase_if(
            usable, [&is_preferred](const auto* server) { return !is_preferred(server); });
    }
}

auto keep_canaries(
    std::vector<const registration*>& usable,
    double spread,
    const std::function<auto(const registration&)->bool>& is_out) -> void
{
    const auto wanted = static_cast<std::size_t>(
        std::ceil(std::clamp(spread, 0.0, 1.0) * static_cast<double>(usable.size())));
    const auto kept = std::max<std::size_t>(wanted, 1);
    auto fit = usable;
    std::erase_if(fit, [&is_out](const auto* server) { return is_out(*server); });
    if (fit.size() <= kept) {
        usable = fit.empty() ? usable : fit;
        return;
    }
    const auto middle = fit.begin() + static_cast<std::ptrdiff_t>(kept);
    std::ranges::nth_element(
        fit, middle, {}, [](const auto* server) { return id_hash_of(*server); });
    fit.erase(middle, fit.end());
    usable = std::move(fit);
}

auto load_test_server(
    const std::vector<const registration*>& usable,
    const std::function<auto(const registration&)->bool>& is_out) -> const registration*
{
    const registration* first = nullptr;
    for (const auto* server : usable) {
        const bool is_before = first == nullptr || id_hash_of(*server) < id_hash_of(*first);
        if (is_before && !is_out(*server)) {
            first = server;
        }
    }
    return first;
}

} // namespace reedramp::routing
