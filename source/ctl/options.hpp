#pragma once

#include <chrono>
#include <iosfwd>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "http/message.hpp"
#include "inventory/register_import.hpp"
#include "operators/commands.hpp"

namespace reedramp::ctl {

/// The parsed and validated command line.
struct options {
    operators::command_row command;
    /// Arguments after the command's name.
    std::vector<std::string> arguments;

    std::vector<http::endpoint> entries;
    /// Address of the platform's host list.
    std::optional<http::endpoint> hosts;
    /// File with the operator's key; if empty, the key is read from the environment.
    std::string key_file;
    bool as_json = false;

    std::string author;
    std::optional<common::log_offset> base;
    std::chrono::seconds timeout{};
    std::size_t limit = 0;

    std::string model;
    std::string from;
    std::string to;
    std::optional<common::permille> share;

    /// Log files of routers; "-" for standard input.
    std::vector<std::string> logs;

    /// File for the record; empty for none, "-" for standard output.
    std::string out;
    bool publish = false;
    inventory::register_columns columns;
};

/// Values from environment variables, used for options that the command line lacks.
struct environment_defaults {
    /// Entries, "IP:PORT[,IP:PORT]...".
    std::string entries;
    /// The host list, "IP:PORT".
    std::string hosts;
};

/// Parses the command line. Returns the options, or the exit code after a help text has been
/// written to `out` or an error to `errors`.
auto read_options(
    int argument_count,
    const char* const* arguments,
    const environment_defaults& defaults,
    std::ostream& out,
    std::ostream& errors) -> std::variant<options, int>;

} // namespace reedramp::ctl
