#pragma once

#include <chrono>
#include <functional>
#include <unordered_map>

#include "routing/server_instance.hpp"

namespace reedramp::routing {

/// How slow each server is against the others, learned from the time that work takes there.
///
/// Servers of one service differ by a third, and one that fails slowly takes several times as long
/// while its status check is good. Equal shares of work would make its queue the longest; shares by
/// pace keep the waits equal, and leave a failing server little.
class server_speed_tracker {
public:
    /// A server's first answer came after `took`, with `work` to do before it.
    auto note(const server_instance& server, std::chrono::milliseconds took, double work) -> void;

    /// Time for the same work against that of the middle one of all servers; 1 for an unknown one.
    [[nodiscard]] auto slowness(const server_instance& server) const -> double;

    /// Time that `work` takes at a server of mean pace, the work before it included. Zero before
    /// the first sample.
    [[nodiscard]] auto expected(double work) const -> std::chrono::milliseconds;

    /// Forgets those that `is_gone`.
    auto forget_if(const std::function<auto(const server_instance& server)->bool>& is_gone) -> void;

private:
    struct record {
        double time_per_work = 0.0;
        unsigned samples = 0;
    };

    auto find_usual() -> void;
    static auto add_sample(record& to, double sample, double weight_of_newest) -> void;

    std::unordered_map<server_instance, record> servers;
    /// The middle one's time for a unit of work. Not the mean: one server that is ten times as slow
    /// would make all others look fast.
    double usual = 0.0;
    /// Sums over all samples, newest weighted most. Their ratio holds for long work too, while a
    /// mean of the samples follows the many short requests.
    double time_sum = 0.0;
    double work_sum = 0.0;
};

} // namespace reedramp::routing
