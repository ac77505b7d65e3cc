#pragma once

#include <cstdint>
#include <string>

/// The configuration that the tests start with, as JSON text.
namespace reedramp::whole_path {

auto record_text(const std::string& id, std::uint64_t base, const std::string& changes)
    -> std::string;

/// Everything that `fleet` names.
auto first_record() -> std::string;

/// A change of one version's price.
auto put_price(const std::string& version, int price) -> std::string;

} // namespace reedramp::whole_path
