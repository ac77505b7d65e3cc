#include "control/checkpointer.hpp"

namespace reedramp::control {

auto checkpointer::should_append(bool is_due, std::uint32_t rank, common::time_point now) -> bool
{
    const std::lock_guard guard(this->lock);
    if (!is_due) {
        this->due_since = common::never;
        return false;
    }
    if (this->due_since == common::never) {
        this->due_since = now;
    }
    const auto earliest = this->due_since + this->settings.rank_delay * rank;
    if (now < earliest || now < this->not_before) {
        return false;
    }
    this->not_before = now + this->settings.retry_after;
    return true;
}

} // namespace reedramp::control
