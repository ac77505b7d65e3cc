#pragma once

#include <cstdint>

namespace reedramp::overload {

/// Work per second that an organisation gets through the sender, in the load tracker's unit, as
/// sent to peers. `organisation` is a hash of its name.
struct usage_report {
    std::uint32_t organisation = 0;
    double rate = 0.0;
};

} // namespace reedramp::overload
