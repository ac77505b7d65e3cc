#pragma once

#include "common/units.hpp"

namespace reedramp::common {

/// Lets one log line through in each interval, where a fault outside could cause any number of
/// them.
class log_limiter {
public:
    explicit log_limiter(duration limited_to) : interval(limited_to) {}

    /// Whether a line may be logged now; counts it if so.
    auto may_log(time_point now) -> bool
    {
        if (now < this->next_at) {
            return false;
        }
        this->next_at = now + this->interval;
        return true;
    }

private:
    duration interval;
    time_point next_at{};
};

} // namespace reedramp::common
