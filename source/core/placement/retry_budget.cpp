#include "placement/retry_budget.hpp"

#include <algorithm>

namespace reedramp::placement {

retry_budget::retry_budget(retry_budget_settings initial)
    : settings(initial), saved(initial.most_saved)
{
}

auto retry_budget::change(retry_budget_settings changed) -> void
{
    const std::lock_guard guard(this->lock);
    this->settings = changed;
    this->saved = std::min(this->saved, changed.most_saved);
}

auto retry_budget::note_first_try() -> void
{
    const std::lock_guard guard(this->lock);
    this->saved =
        std::min(this->saved + this->settings.retries_per_first_try, this->settings.most_saved);
}

auto retry_budget::take_retry(double reserve) -> bool
{
    const std::lock_guard guard(this->lock);
    if (this->saved < 1.0 + reserve) {
        return false;
    }
    this->saved -= 1.0;
    return true;
}

} // namespace reedramp::placement
