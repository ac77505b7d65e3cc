#include "parts.hpp"

namespace reedramp::bench {
auto exposure_bench() -> void {}
} // namespace reedramp::bench
