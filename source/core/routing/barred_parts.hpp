#pragma once

#include <cstdint>

#include "routing/prompt_parts.hpp"
#include "routing/request_fingerprint.hpp"

namespace reedramp::routing {

/// Parts of prompts that are barred: requests to the service that have all of them.
struct barred_parts {
    std::uint64_t service = 0;
    part_set parts;

    auto operator==(const barred_parts&) const -> bool = default;
};

/// Identifies barred parts among barred requests.
auto fingerprint_of(const barred_parts& barred) -> request_fingerprint;

} // namespace reedramp::routing
