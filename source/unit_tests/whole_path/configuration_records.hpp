#pragma once

#include <cstdint>
#include <string>

/// Configuration records of the tests, as JSON text.
namespace reedramp::whole_path {

auto record_text(const std::string& id, std::uint64_t base, const std::string& changes)
    -> std::string;

/// Record that creates all models, servers, services and organisations of `fleet`.
auto initial_record() -> std::string;

/// Change that sets the prompt and completion price of a version.
auto put_price(const std::string& version, int price) -> std::string;

} // namespace reedramp::whole_path
