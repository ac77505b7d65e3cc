#pragma once

#include <iosfwd>
#include <string>
#include <variant>

#include "common/result.hpp"
#include "settings/schema.hpp"

namespace reedramp::daemon {

/// Exit codes of all programs.
enum class exit_code : int {
    success = 0,
    failure = 1,
    /// The command line or the settings have problems.
    bad_settings = 2,
};

struct program {
    std::string name;
    /// One sentence for `--help`.
    std::string summary;
    settings::schema keys;
};

/// Reads the file that the command line names once more, as at its start. Error `invalid_settings`
/// with all problems in one text.
auto read_settings_again(const program& which, int argument_count, const char* const* arguments)
    -> common::result<settings::values>;

/// Reads the command line `--settings FILE [--check-settings]`, `--version`, `--help`,
/// `--print-settings-table`, and the settings file.
///
/// Gives the settings when the program should go on, else the code to exit with; what an operator
/// should read has then been written to `out` or `errors`: each problem of the settings on a line.
/// A file that is missing or ends inside its JSON may still be being written, and is waited for: a
/// second if it is missing, half a minute if it is incomplete; not with `--check-settings`.
auto read_command_line(
    const program& which,
    int argument_count,
    const char* const* arguments,
    std::ostream& out,
    std::ostream& errors) -> std::variant<settings::values, exit_code>;

} // namespace reedramp::daemon
