#pragma once

#include "common/units.hpp"

namespace reedramp::routing {

using common::time_point;

/// Request rate in requests per second, as an exponentially decaying average.
class request_rate {
public:
    auto note(time_point now) -> void;
    [[nodiscard]] auto per_second(time_point now) const -> double;

private:
    double count = 0.0;
    time_point counted_at{};
};

} // namespace reedramp::routing
