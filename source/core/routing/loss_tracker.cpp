#include "routing/loss_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace reedramp::routing {

namespace {

/// Losses this close together may have one cause: connections to servers that die at once end
/// within some hundred milliseconds, as the next packet or probe finds out.
constexpr std::chrono::seconds together{1};

/// The losses of one version in one moment, and what it had under way.
struct version_losses {
    std::vector<loss_tracker::loss> all;
    unsigned under_way = 0;
};

/// Adds the losses of a version that are left when the other one's are set off, each by the
/// requests under way here for one on the other; by one at the least.
auto add_left_over(
    std::vector<loss_tracker::loss>& to, const version_losses& own, const version_losses& other)
    -> void
{
    const auto ratio =
        static_cast<double>(own.under_way) / std::max(1.0, static_cast<double>(other.under_way));
    const auto set_off = std::ceil(static_cast<double>(other.all.size()) * std::max(1.0, ratio));
    for (auto i = static_cast<std::size_t>(set_off); i < own.all.size(); ++i) {
        to.push_back(own.all[i]);
    }
}

} // namespace

auto loss_tracker::settled(time_point now) -> std::vector<loss>
{
    std::vector<loss> counted;
    while (!this->losses.empty() && now - this->losses.front().at > together) {
        const auto first = this->losses.front();
        version_losses on_new{{}, first.under_way_new};
        version_losses on_old{{}, first.under_way_old};
        while (!this->losses.empty() && this->losses.front().at - first.at <= together) {
            auto& side = this->losses.front().side == version_side::new_one ? on_new : on_old;
            side.all.push_back(std::move(this->losses.front()));
            this->losses.pop_front();
        }
        add_left_over(counted, on_new, on_old);
        add_left_over(counted, on_old, on_new);
    }
    return counted;
}

} // namespace reedramp::routing
