#include "placement/retry_window.hpp"

#include <algorithm>

namespace reedramp::placement {

namespace {

/// Bounds what is kept; a retry stays up to one slot longer than a window.
constexpr std::int64_t slots_per_window = 20;

} // namespace

retry_window::retry_window(common::duration length) : window(length) {}

auto retry_window::slot_of(common::time_point latest) const -> std::int64_t
{
    const auto slot = std::max(this->window / slots_per_window, common::duration{1});
    return (latest + this->window).time_since_epoch() / slot + 1;
}

auto retry_window::add(common::time_point latest) -> void
{
    this->leaving[this->slot_of(latest)] += 1;
    this->total += 1;
}

auto retry_window::move(common::time_point assumed, common::time_point latest) -> void
{
    const auto slot = this->leaving.find(this->slot_of(assumed));
    if (slot == this->leaving.end() || slot->second == 0) {
        return; // It has left the count, or the window was changed.
    }
    slot->second -= 1;
    this->leaving[this->slot_of(latest)] += 1;
}

auto retry_window::count(common::time_point now) -> std::size_t
{
    // `slot_of(now - window)` is the first slot that has not begun yet.
    const auto first = this->leaving.begin();
    const auto last = this->leaving.lower_bound(this->slot_of(now - this->window));
    for (auto slot = first; slot != last; ++slot) {
        this->total -= slot->second;
    }
    this->leaving.erase(first, last);
    return this->total;
}

} // namespace reedramp::placement
