#include <cstdio>
#include <cstring>
#include <string_view>

#include "parts.hpp"

using namespace reedramp::bench;

namespace {

struct part {
    std::string_view name;
    void (*run)();
};

constexpr part parts[] = {
    {"policy", policy_bench},
    {"exposure", exposure_bench},
    {"placement", placement_bench},
    {"limits", limits_bench},
};

} // namespace

/// Runs the parts named on the command line, or all of them if none is named.
auto main(int count, char** arguments) -> int
{
    for (const auto& each : parts) {
        bool wanted = count < 2;
        for (int i = 1; i < count; ++i) {
            wanted = wanted || each.name == arguments[i];
        }
        if (wanted) {
            each.run();
            std::fflush(stdout);
        }
    }
    return 0;
}
