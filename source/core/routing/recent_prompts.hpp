#pragma once

#include <cstddef>
#include <vector>

#include "routing/prompt_parts.hpp"

namespace reedramp::routing {

/// The shared parts of the newest requests to one service: how common a set of parts is.
class recent_prompts {
public:
    auto note(const part_set& parts) -> void;

    /// Share of the requests that have all of `parts`, counted as if one more had come.
    [[nodiscard]] auto share_of(const part_set& parts) const -> double;

    /// The same, but rather too low than too high; 0 for rare parts.
    [[nodiscard]] auto min_share_of(const part_set& parts) const -> double;

private:
    [[nodiscard]] auto count(const part_set& parts) const -> double;

    std::vector<part_set> newest;
    std::size_t next = 0;
};

} // namespace reedramp::routing
