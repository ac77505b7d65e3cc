#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/client.hpp"
#include "http/message.hpp"

/// Closed-loop load generator: sends chat requests over keep-alive connections to measure whole
/// processes.
namespace reedramp::bench {

/// A server's address and the name of the model there.
struct chat_target {
    http::endpoint where;
    std::string model;
};

struct loop_settings {
    /// Each worker cycles through the targets, so that load from other processes on the machine
    /// affects all of them equally.
    std::vector<chat_target> targets;
    std::string api_key;
    std::size_t workers = 1;
    std::size_t requests = 1000;
    /// Requests that are sent first and not counted, while connections and caches are cold.
    std::size_t warm_up = 0;
    std::size_t tokens = 1;
    bool stream = false;
};

/// Results of one target: latencies in microseconds, completion tokens and failed requests.
struct target_result {
    std::vector<double> micros;
    std::uint64_t tokens = 0;
    std::size_t failed = 0;
};

struct loop_result {
    std::vector<target_result> targets;
    double seconds = 0.0;
};

/// Runs the loop on the clients' threads; blocks until the last answer has arrived.
auto run_loop(
    const loop_settings& wanted, const std::vector<std::shared_ptr<http::client>>& clients)
    -> loop_result;

} // namespace reedramp::bench
