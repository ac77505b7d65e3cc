#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"
#include "inventory/record.hpp"
#include "inventory/state.hpp"

/// Import of backend servers from an asset register, a CSV file (RFC 4180) that operators already
/// maintain.
namespace reedramp::inventory {

/// Names of the register's columns, which differ between companies.
struct register_columns {
    std::string id = "asset";
    std::string host = "host";
    std::string data_centre = "data_centre";
    std::string region = "region";
    /// "engine" or "service"; rows of other kinds are not backend servers and are skipped.
    std::string kind = "kind";
    /// Versions of an engine, separated by ';'.
    std::string versions = "versions";
    /// Name of the service that the server runs, for rows of kind "service".
    std::string service = "service";
    /// "yes" or "no".
    std::string checks_fencing = "checks_fencing";
};

struct register_import {
    /// Puts for new and changed servers, and removals of those that the register no longer lists.
    std::vector<change> changes;
    std::size_t unchanged = 0;
    std::size_t skipped = 0;
};

/// Returns the changes that bring the inventory's servers in line with the register. The error is
/// `invalid_record` and lists all problems with their line numbers.
auto import_register(std::string_view csv, const register_columns& columns, const state& current)
    -> common::result<register_import>;

} // namespace reedramp::inventory
