#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/client.hpp"
#include "http/message.hpp"

/// A closed loop of chats over kept connections, to measure whole processes.
namespace reedramp::bench {

/// Where chats go, and the name that the server there knows the model by.
struct chat_target {
    http::endpoint where;
    std::string model;
};

struct loop_settings {
    /// Each worker asks them in turn, so that a busy machine slows all of them alike.
    std::vector<chat_target> targets;
    std::string api_key;
    std::size_t workers = 1;
    std::size_t requests = 1000;
    /// Answers that are asked for but not counted: connections and caches are cold at first.
    std::size_t warm_up = 0;
    std::size_t tokens = 1;
    bool stream = false;
};

/// What one target did.
struct target_result {
    std::vector<double> micros;
    std::uint64_t tokens = 0;
    std::size_t failed = 0;
};

struct loop_result {
    std::vector<target_result> targets;
    double seconds = 0.0;
};

/// Runs the loop on the client's threads; gives its result when the last answer is there.
auto run_loop(
    const loop_settings& wanted, const std::vector<std::shared_ptr<http::client>>& clients)
    -> loop_result;

} // namespace reedramp::bench
