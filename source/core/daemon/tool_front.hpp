#pragma once

#include <string>

namespace reedramp::daemon {

/// Command line of the tools that stand beside the product: stand-in and load tool.
struct tool_command_line {
    std::string settings_file;
    /// Check the settings and end.
    bool check_only = false;
    std::string log_level;
};

/// Reads `--settings FILE [--check-settings] [--log-level LEVEL]`. Ends the process with a message
/// on a mistake, as TCLAP does.
auto read_tool_command_line(const std::string& summary, int argument_count, char** arguments)
    -> tool_command_line;

/// The text of a file; empty if it cannot be read.
auto read_file(const std::string& path) -> std::string;

} // namespace reedramp::daemon
