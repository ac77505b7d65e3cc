#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routing/server_instance.hpp"

namespace reedramp::routing {

/// How slow a server is relative to the median server of its service, from the sender's own
/// samples, as sent to peers. `server` is a hash of the server instance.
struct speed_report {
    std::uint64_t server = 0;
    double slowness = 1.0;
    std::uint32_t samples = 0;
};

/// Slowness of a server by the pauses between the events of its streams: the logarithm of their
/// ratio to the mean pause, and the number of samples that it is worth.
struct pace {
    double log_ratio = 0.0;
    double samples = 0.0;
};

/// Samples that one mean of pauses counts for at most; older ones have lost their weight.
constexpr double max_pace_samples = 8.0;

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

    /// Records a stream's mean pause between events. Models beyond the first `max_models` are
    /// ignored, since callers may choose their names.
    auto note_pause(const server_instance& server, std::string_view model, double pause_ms) -> void;

    /// Returns the server's pace relative to the mean pause of the same models over all servers.
    [[nodiscard]] auto own_pace(const server_instance& server) const -> pace;

    /// Returns the time for the same work relative to the mean server by the pauses between events,
    /// from this tracker's samples and those of peers, shrunk towards 1 by a prior of a few
    /// samples. Servers without any such samples are judged by their waits.
    [[nodiscard]] auto
    slowness_by_pace(const server_instance& server, const pace& of_peers = {}) const -> double;

    /// Adds a report to send to peers for each server with samples of pauses.
    auto add_reports(std::vector<speed_report>& to) const -> void;

    /// Returns the time for the same work relative to the median server, judged by the waits for
    /// first answers; 1 for an unknown server.
    [[nodiscard]] auto slowness(const server_instance& server) const -> double;

    /// Returns the expected time for `work`, queued work included, at a server of mean speed. Zero
    /// before the first sample.
    [[nodiscard]] auto expected(double work) const -> std::chrono::milliseconds;

    /// Returns the time that `queued` work takes before a request behind it begins, at a server of
    /// mean speed. Unlike `expected`, without the fixed time of the request itself.
    [[nodiscard]] auto expected_queueing(double queued) const -> std::chrono::milliseconds;

    /// Records that a first event took `took_ms`, with `cost` of the choice of its server.
    auto note_cost(double took_ms, double cost) -> void;

    /// Returns the expected milliseconds until the first event, by the cost of the choice of its
    /// server. Zero before the first event.
    [[nodiscard]] auto expected_ms(double cost) const -> double;

    /// Removes the servers for which `is_gone` returns true.
    auto forget_if(const std::function<auto(const server_instance& server)->bool>& is_gone) -> void;

private:
    /// Logarithms of pauses are averaged, so that one very slow server or stream moves a mean
    /// little.
    struct pause_mean {
        double log_ms = 0.0;
        unsigned samples = 0;
    };

    struct record {
        double time_per_work = 0.0;
        unsigned samples = 0;
        /// By the model's index in `models`.
        std::vector<pause_mean> pauses;
    };

    /// Sum of the servers' mean pauses of one model.
    struct model_pauses {
        std::string model;
        double log_ms_sum = 0.0;
        unsigned servers = 0;
    };

    /// Index of the model in `models`; `max_models` if there are too many.
    auto index_of(std::string_view model) -> std::size_t;
    auto update_median() -> void;
    static auto add_sample(record& to, double sample, double weight_of_newest) -> void;

    static constexpr std::size_t max_models = 16;

    std::unordered_map<server_instance, record> servers;
    std::vector<model_pauses> models;
    /// The median server's time per unit of work. Not the mean: one server that is ten times as
    /// slow would make all others look fast.
    double median = 0.0;
    /// Exponentially weighted sums over all samples. Their ratio is valid for long work too,
    /// whereas a mean of the samples is dominated by the many short requests.
    double time_sum = 0.0;
    double work_sum = 0.0;
    /// The same for the costs of choices.
    double cost_time_sum = 0.0;
    double cost_sum = 0.0;
};

} // namespace reedramp::routing
