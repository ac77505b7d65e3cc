#pragma once

#include <optional>
#include <string>

#include "admin_client.hpp"
#include "common/result.hpp"
#include "options.hpp"

namespace reedramp::ctl {

/// Text that a command prints on standard output.
using command_output = common::result<std::string>;

// Commands that only read.
auto show(admin_client& client, const options& opts) -> command_output;
auto history(admin_client& client, const options& opts) -> command_output;
auto bills(admin_client& client, const options& opts) -> command_output;
auto explain(admin_client& client, const options& opts) -> command_output;
auto status(admin_client& client, const options& opts) -> command_output;
auto check(admin_client& client, const options& opts) -> command_output;
auto diff(admin_client& client, const options& opts) -> command_output;

// Commands that change the configuration.
auto publish(admin_client& client, const options& opts) -> command_output;
auto withdraw(admin_client& client, const options& opts) -> command_output;
auto rollout(admin_client& client, const options& opts) -> command_output;
auto import_register(admin_client& client, const options& opts) -> command_output;

// Commands that address individual processes.
auto drain(admin_client& client, const options& opts) -> command_output;
auto watch(admin_client& client, const options& opts) -> command_output;

/// Fetches the configuration state from the first entry that answers.
auto fetch_state(admin_client& client, const options& opts) -> common::result<inventory::state>;

/// Errors: `not_found` if the file cannot be read.
auto read_file(const std::string& path) -> common::result<std::string>;

} // namespace reedramp::ctl
