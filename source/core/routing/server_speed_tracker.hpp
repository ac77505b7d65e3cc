#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <unordered_map>

#include "routing/server_instance.hpp"

namespace reedramp::routing {

/// How slow a server is relative to the median server of its service, from the sender's own
/// samples, as sent to peers. `server` is a hash of the server instance.
struct speed_report {
    std::uint64_t server = 0;
    double slowness = 1.0;
    std::uint32_t samples = 0;
};

/// Estimates how slow each server is relative to the others, from the time that work takes there.
///
/// Servers of one service differ by a third, and a server that degrades slowly takes several times
/// as long while its status check succeeds. Equal shares of work would give it the longest queue;
/// shares in proportion to speed keep the waits equal, and leave little work for a degrading
/// server.
class server_speed_tracker {
public:
    /// Records that a server's first answer took `took`, with `work` to do before it.
    auto note(const server_instance& server, std::chrono::milliseconds took, double work) -> void;

    /// Returns the time for the same work relative to the median server; 1 for an unknown server.
    [[nodiscard]] auto slowness(const server_instance& server) const -> double;

    /// Returns the expected time for `work`, queued work included, at a server of mean speed. Zero
    /// before the first sample.
    [[nodiscard]] auto expected(double work) const -> std::chrono::milliseconds;

    /// Returns the time that `queued` work takes before a request behind it begins, at a server of
    /// mean speed. Unlike `expected`, without the fixed time of the request itself.
    [[nodiscard]] auto expected_queueing(double queued) const -> std::chrono::milliseconds;

    /// Removes the servers for which `is_gone` returns true.
    auto forget_if(const std::function<auto(const server_instance& server)->bool>& is_gone) -> void;

private:
    struct record {
        double time_per_work = 0.0;
        unsigned samples = 0;
    };

    auto update_median() -> void;
    static auto add_sample(record& to, double sample, double weight_of_newest) -> void;

    std::unordered_map<server_instance, record> servers;
    /// The median server's time per unit of work. Not the mean: one server that is ten times as
    /// slow would make all others look fast.
    double median = 0.0;
    /// Exponentially weighted sums over all samples. Their ratio is valid for long work too,
    /// whereas a mean of the samples is dominated by the many short requests.
    double time_sum = 0.0;
    double work_sum = 0.0;
};

} // namespace reedramp::routing
