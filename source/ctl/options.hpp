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

/// The command line, read and checked.
struct options {
    operators::command_row command;
    /// After the command's name.
    std::vector<std::string> words;

    std::vector<http::endpoint> entries;
    /// The platform's list of hosts.
    std::optional<http::endpoint> hosts;
    /// Empty: the key is in the environment.
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

    /// Logs of routers; "-" for standard input.
    std::vector<std::string> logs;

    /// Empty for none, "-" for standard output.
    std::string out;
    bool publish = false;
    inventory::register_columns columns;
};

/// What the environment says where the command line does not.
struct environment {
    /// Entries, "IP:PORT[,IP:PORT]...".
    std::string entries;
    std::string hosts;
};

/// The options, or the code to exit with; what the operator should read has then been written.
auto read_options(
    int argument_count,
    const char* const* arguments,
    const environment& around,
    std::ostream& out,
    std::ostream& errors) -> std::variant<options, int>;

} // namespace reedramp::ctl
