#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"
#include "common/units.hpp"
#include "inventory/state.hpp"
#include "platform/hooks.hpp"

/// Formats answers of the administration API as tables for terminals. With `--json` the program
/// prints the answers unchanged.
namespace reedramp::operators {

/// Tables of all entities, or of one kind ("version"); the JSON of one entity if `id` is given too.
/// Errors: `not_found`.
auto state_text(
    const inventory::state& current, const std::string& kind = {}, const std::string& id = {})
    -> common::result<std::string>;

/// The newest `max_records` records in log order, then the newest `max_records` refused or
/// unreadable ones.
auto history_text(std::string_view history, std::size_t max_records) -> std::string;

auto bills_text(std::string_view bills) -> std::string;

auto explanation_text(std::string_view explanation) -> std::string;

/// Answer of one entry to `status`, or the error that occurred instead.
struct entry_status {
    /// "IP:port".
    std::string entry;
    common::result<std::string> status;
};

/// A row of the host list, with the health that the process itself reports (see `health_text`): the
/// list may be out of date.
struct host_status {
    platform::host_entry row;
    std::string health;
};

/// Data that `status` shows. Parts that could not be fetched are empty.
struct system_status {
    std::vector<entry_status> entries;
    std::optional<inventory::state> state;
    std::optional<std::vector<host_status>> hosts;
    /// Body of the answer to `bills`.
    std::optional<std::string> bills;
};

auto status_text(const system_status& report) -> std::string;
auto status_json(const system_status& report) -> std::string;

} // namespace reedramp::operators
