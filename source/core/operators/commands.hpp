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
    /// Words after the name.
    std::size_t least_words;
    std::size_t most_words;
    /// Whether at least one --entry, or the host list, is needed.
    bool needs_entry;
    /// Options that it takes besides those that all take, without dashes, split by spaces.
    std::string_view options;
    std::string_view usage;
    std::string_view explanation;
};

/// Options of all commands, split by spaces.
inline constexpr std::string_view common_options = "entry hosts key-file json";

auto command_table() -> std::span<const command_row>;

/// Errors: `malformed_request` with what is wrong, for an unknown command, too few or many words,
/// or an option that the command would ignore: an operator who gives --base to `withdraw` believes
/// that it holds.
auto find_command(const std::vector<std::string>& words, const std::vector<std::string>& options)
    -> common::result<command_row>;

/// Usage of all commands.
auto commands_text() -> std::string;

} // namespace reedramp::operators
