#include "placement/retry_budget.hpp"

#include <algorithm>

namespace reedramp::placement {

retry_budget::retry_budget(retry_budget_settings initial)
    : settings(initial), saved(initial.max_saved)
{
}

auto retry_budget::update_settings(retry_budget_settings changed) -> void
{
    const std::lock_guard guard(this->lock);
    this->settings = changed;
    this->saved = std::min(this->saved, changed.max_saved);
}

auto retry_budget::record_first_attempt() -> void
{
    const std::lock_guard guard(this->lock);
    this->saved =
        std::min(this->saved + this->settings.retries_per_first_try, this->settings.max_saved);
}

auto retry_budget::try_acquire_retry(double reserve) -> bool
{
    const std::lock_guard guard(this->lock);
    if (this->saved < 1.0 + reserve) {
        return false;
    }
    this->saved -= 1.0;
    return true;
}

} // namespace reedramp::placement
