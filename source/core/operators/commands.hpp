#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"

namespace reedramp::operators {

enum class command_kind : std::uint8_t {
    check,
    publish,
    show,
    diff,
    history,
    withdraw,
    rollout,
    drain,
    watch,
    explain,
    bills,
    status,
    import_register,
    result_codes,
};

/// One command of `reedramp-ctl`.
struct command_row {
    command_kind kind;
    std::string_view name;
    /// Number of arguments after the name.
    std::size_t min_arguments;
    std::size_t max_arguments;
    /// Whether the command requires at least one --entry, or the host list.
    bool needs_entry;
    /// Names of the options accepted besides `common_options`, without dashes, separated by spaces.
    std::string_view options;
    std::string_view usage;
    std::string_view explanation;
};

/// Names of the options that all commands accept, separated by spaces.
inline constexpr std::string_view common_options = "entry hosts key-file json";

auto command_table() -> std::span<const command_row>;

/// Checks a command line and returns its command. `words` starts with the command's name.
/// Errors: `malformed_request` with the reason, for an unknown command, a wrong number of
/// arguments, or an option that the command would ignore. An operator who passes --base to
/// `withdraw` would otherwise assume that it takes effect.
auto find_command(const std::vector<std::string>& words, const std::vector<std::string>& options)
    -> common::result<command_row>;

/// Usage text of all commands.
auto commands_text() -> std::string;

} // namespace reedramp::operators
