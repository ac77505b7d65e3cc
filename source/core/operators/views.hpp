#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"
#include "common/units.hpp"
#include "inventory/state.hpp"
#include "platform/hooks.hpp"

/// Answers of the administration API as tables for people. With `--json` the program prints the
/// answers themselves.
namespace reedramp::operators {

/// All tables, or those of one kind ("version"), or one entity's JSON if an id is given too.
/// Errors: `not_found`.
auto state_text(
    const inventory::state& current, const std::string& kind = {}, const std::string& id = {})
    -> common::result<std::string>;

/// The newest `most` records, newest last, then what was refused.
auto history_text(std::string_view history, std::size_t most) -> std::string;

auto bills_text(std::string_view bills) -> std::string;

auto explanation_text(std::string_view explanation) -> std::string;

/// What one entry says of itself.
struct entry_report {
    /// "IP:port".
    std::string entry;
    common::result<std::string> status;
};

/// A row of the host list, with the process's own word (as of `health_word`): the list lags.
struct host_report {
    platform::host_entry row;
    std::string health;
};

/// What `status` shows; parts that could not be had are missing.
struct system_report {
    std::vector<entry_report> entries;
    std::optional<inventory::state> state;
    std::optional<std::vector<host_report>> hosts;
    /// Answer of `bills`.
    std::optional<std::string> bills;
};

auto status_text(const system_report& report) -> std::string;
auto status_json(const system_report& report) -> std::string;

} // namespace reedramp::operators
