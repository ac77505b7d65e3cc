#pragma once

#include <string>
#include <vector>

#include "routing/rollout_manager.hpp"

/// Names and times that the tests of roll-outs share.
namespace reedramp::routing {

inline const common::service_name engines{"engines"};
inline const common::version_id old_version{"v1"};
inline const common::version_id new_version{"v2"};
inline const route_name drafts{"drafts"};
inline const time_point start{std::chrono::seconds{100}};
inline constexpr std::chrono::milliseconds allowed{20000};

/// Each manager reports to each other one.
inline auto exchange_reports(std::vector<rollout_manager>& managers, time_point now) -> void
{
    for (std::size_t from = 0; from < managers.size(); ++from) {
        const common::host_id name{"host-" + std::to_string(from)};
        const auto reports = managers[from].make_reports(now);
        for (std::size_t to = 0; to < managers.size(); ++to) {
            if (from != to) {
                managers[to].apply_reports(name, reports, now);
            }
        }
    }
}

} // namespace reedramp::routing
