#pragma once

#include <chrono>
#include <functional>

#include "common/log.hpp"

namespace reedramp::daemon {

using day_clock = std::function<auto()->std::chrono::system_clock::time_point>;

/// Sends the project's log lines to standard output, for programs of one thread that must not wait.
///
/// glog writes each line with a call that waits when a pipe is full: a reader that stops would stop
/// requests. Here lines gather in a bounded buffer, which is written without waiting. What finds no
/// room is dropped, counted, and the count is said in the next line that does.
///
/// A line is "LEVEL SECONDS PART: SENTENCE key=value...", with the time of day of `clock`.
auto start_line_log(common::log_level lowest, day_clock clock = std::chrono::system_clock::now)
    -> void;

/// Writes what has gathered, as far as standard output takes it. Call it when nothing else is to be
/// done, and at the end. What has not been written is lost if the process is killed.
auto flush_line_log() -> void;

} // namespace reedramp::daemon
