#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/strong.hpp"

namespace reedramp::routing {

/// Id of a prompt part as a number: equal for all requests that share the part, whatever their
/// caller, route, model or other parts.
using part_id = common::strong<struct part_id_tag, std::uint64_t>;

/// Distinct parts in ascending order.
using part_set = std::vector<part_id>;

/// Parts of a prompt that are taken into account; further ones are ignored. Prompts have a few. The
/// limit bounds the memory and time that a caller can make an entry spend.
inline constexpr std::size_t max_prompt_parts = 16;

/// Parses an id, a hexadecimal number, so that upper case and leading zeros make no difference. Any
/// other text, or a longer number, is hashed.
auto part_id_of(std::string_view text) -> part_id;

auto make_part_set(std::vector<part_id> parts) -> part_set;

/// Whether `parts` includes all of `needed`.
auto has_all(const part_set& parts, const part_set& needed) -> bool;

/// The parts that both sets have.
auto common_parts(const part_set& one, const part_set& other) -> part_set;

/// Lower-case hexadecimal numbers, separated by commas.
auto to_string(const part_set& parts) -> std::string;
/// Nothing if a part is malformed or there is none.
auto parse_part_set(std::string_view text) -> std::optional<part_set>;

} // namespace reedramp::routing
