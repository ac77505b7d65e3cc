#include "routing/rollout.hpp"

namespace reedramp::routing {

auto to_string(rollout_state state) -> std::string_view
{
    switch (state) {
    case rollout_state::running:
        return "running";
    case rollout_state::complete:
        return "complete";
    case rollout_state::reverted:
        return "reverted";
    }
    return "unknown";
}

auto share_at(
    const rollout_schedule& schedule,
    std::chrono::milliseconds elapsed,
    std::chrono::milliseconds allowed) -> double
{
    if (elapsed < schedule.begins_after) {
        return 0.0;
    }
    if (allowed.count() <= 0) {
        return schedule.first_share;
    }
    const auto part = static_cast<double>(elapsed.count()) / static_cast<double>(allowed.count());
    if (part < schedule.second_at) {
        return schedule.first_share;
    }
    if (part < schedule.third_at) {
        return schedule.second_share;
    }
    return part < schedule.full_at ? schedule.third_share : 1.0;
}

auto is_in_share(std::uint64_t session_hash, double share) -> bool
{
    constexpr double scale = 1.0 / 18446744073709551616.0; // 2^-64
    // The largest hashes round up to 1 and would otherwise be in no share.
    return share >= 1.0 || static_cast<double>(session_hash) * scale < share;
}

auto is_in_cycle_share(std::chrono::milliseconds elapsed, double share) -> bool
{
    // Long compared with a plain answer and with the time by which entries' views of `elapsed`
    // differ; several cycles fit into the first half of a short roll-out.
    constexpr std::chrono::milliseconds cycle{2000};
    const auto passed = elapsed % cycle;
    return static_cast<double>(passed.count()) < share * static_cast<double>(cycle.count());
}

} // namespace reedramp::routing
