#pragma once

#include <optional>
#include <string>

#include "caller.hpp"
#include "common/result.hpp"
#include "options.hpp"

namespace reedramp::ctl {

/// What a command prints on standard output.
using printed = common::result<std::string>;

// Commands that read.
auto show(caller& by, const options& given) -> printed;
auto history(caller& by, const options& given) -> printed;
auto bills(caller& by, const options& given) -> printed;
auto explain(caller& by, const options& given) -> printed;
auto status(caller& by, const options& given) -> printed;
auto check(caller& by, const options& given) -> printed;
auto diff(caller& by, const options& given) -> printed;

// Commands that change the configuration.
auto publish(caller& by, const options& given) -> printed;
auto withdraw(caller& by, const options& given) -> printed;
auto rollout(caller& by, const options& given) -> printed;
auto import_register(caller& by, const options& given) -> printed;

// Commands for processes.
auto drain(caller& by, const options& given) -> printed;
auto watch(caller& by, const options& given) -> printed;

/// The state in force, by the first entry that answers.
auto fetch_state(caller& by, const options& given) -> common::result<inventory::state>;

/// Errors: `not_found`.
auto read_file(const std::string& path) -> common::result<std::string>;

} // namespace reedramp::ctl
