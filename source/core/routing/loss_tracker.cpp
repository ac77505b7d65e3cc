#include "routing/loss_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace reedramp::routing {

namespace {

/// Losses within this time may share one cause: connections to servers that fail at the same time
/// end within some hundred milliseconds, as the next packet or probe detects the failure.
constexpr std::chrono::seconds loss_window{1};

/// The losses of one version in one time window, and its requests in flight.
struct version_losses {
    std::vector<loss_tracker::loss> all;
    unsigned in_flight = 0;
};

/// Appends the losses of a version that exceed those of the other version. Each loss of the other
/// version offsets as many as the ratio of requests in flight, at least one.
auto add_excess(
    std::vector<loss_tracker::loss>& to, const version_losses& own, const version_losses& other)
    -> void
{
    const auto ratio =
        static_cast<double>(own.in_flight) / std::max(1.0, static_cast<double>(other.in_flight));
    const auto offset = std::ceil(static_cast<double>(other.all.size()) * std::max(1.0, ratio));
    for (auto i = static_cast<std::size_t>(offset); i < own.all.size(); ++i) {
        to.push_back(own.all[i]);
    }
}

} // namespace

auto loss_tracker::settled(time_point now) -> std::vector<loss>
{
    std::vector<loss> counted;
    while (!this->losses.empty() && now - this->losses.front().at > loss_window) {
        const auto first = this->losses.front();
        version_losses on_new{{}, first.in_flight_new};
        version_losses on_old{{}, first.in_flight_old};
        while (!this->losses.empty() && this->losses.front().at - first.at <= loss_window) {
            auto& side = this->losses.front().side == version_side::new_one ? on_new : on_old;
            side.all.push_back(std::move(this->losses.front()));
            this->losses.pop_front();
        }
        add_excess(counted, on_new, on_old);
        add_excess(counted, on_old, on_new);
    }
    return counted;
}

} // namespace reedramp::routing
