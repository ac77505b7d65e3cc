#include "routing/recent_prompts.hpp"

#include <algorithm>

namespace reedramp::routing {

namespace {

/// Requests kept: enough to tell one in a hundred from one in ten.
constexpr std::size_t max_requests = 256;

/// Requests with rare parts that may have come by chance.
constexpr double by_chance = 4.0;

} // namespace

auto recent_prompts::note(const part_set& parts) -> void
{
    if (this->newest.size() < max_requests) {
        this->newest.push_back(parts);
        return;
    }
    this->newest[this->next] = parts;
    this->next = (this->next + 1) % max_requests;
}

auto recent_prompts::count(const part_set& parts) const -> double
{
    return static_cast<double>(std::ranges::count_if(
        this->newest, [&parts](const part_set& one) { return has_all(one, parts); }));
}

auto recent_prompts::share_of(const part_set& parts) const -> double
{
    return (this->count(parts) + 1.0) / (static_cast<double>(this->newest.size()) + 1.0);
}

auto recent_prompts::min_share_of(const part_set& parts) const -> double
{
    return std::max(this->count(parts) - by_chance, 0.0) /
           (static_cast<double>(this->newest.size()) + 1.0);
}

} // namespace reedramp::routing
