#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"
#include "inventory/record.hpp"
#include "inventory/state.hpp"

/// Makes changes of the inventory from an asset register, a CSV file (RFC 4180) that operators
/// already keep.
namespace reedramp::inventory {

/// Names of the register's columns, since each firm has its own.
struct register_columns {
    std::string id = "asset";
    std::string host = "host";
    std::string data_centre = "data_centre";
    std::string region = "region";
    /// "engine" or "service"; rows with another kind are not backend servers and are passed over.
    std::string kind = "kind";
    /// Versions of an engine, split by ';'.
    std::string versions = "versions";
    /// Name of a plain service.
    std::string service = "service";
    /// "yes" or "no".
    std::string checks_fencing = "checks_fencing";
};

struct register_import {
    /// Puts for new and changed servers, removes for those that the register no longer lists.
    std::vector<change> changes;
    std::size_t unchanged = 0;
    std::size_t passed_over = 0;
};

/// Errors: `invalid_record` with all problems, each with its line.
auto import_register(std::string_view csv, const register_columns& columns, const state& current)
    -> common::result<register_import>;

} // namespace reedramp::inventory
