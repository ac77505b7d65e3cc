#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "common/result.hpp"
#include "inventory/record.hpp"
#include "inventory/state.hpp"

/// JSON format of entities and outcomes. Include it only in .cpp files, since Boost.JSON is slow to
/// compile.
namespace reedramp::inventory {

/// Reads the members of one JSON object and keeps the first problem, so that the caller can read
/// all members in sequence and check `problem()` once. A member that was not read is a problem.
class object_reader {
public:
    object_reader(const boost::json::value& source, std::string path);

    /// A text of 1 to 128 letters, digits or ._:/@+- characters.
    auto id(std::string_view name) -> std::string;
    /// As `id`, but empty if the member is missing or empty.
    auto id_or_empty(std::string_view name) -> std::string;
    auto text_or_empty(std::string_view name) -> std::string;
    /// An integer from 0 to `max_value`; `fallback` if the member is missing.
    auto number_or(std::string_view name, std::uint64_t fallback, std::uint64_t max_value)
        -> std::uint64_t;
    auto flag_or(std::string_view name, bool fallback) -> bool;
    auto ids(std::string_view name) -> std::vector<std::string>;
    /// Null if the member is missing.
    auto member(std::string_view name) -> const boost::json::value*;
    /// Elements of an array; empty if the member is missing.
    auto elements(std::string_view name) -> const boost::json::array&;

    auto fail(std::string_view name, std::string_view what) -> void;
    [[nodiscard]] auto path_of(std::string_view name) const -> std::string;
    /// Adopts the problem of the reader of a nested value.
    auto adopt(const std::string& inner_problem) -> void;

    /// The first problem; empty if there is none. Call it after all members have been read.
    auto problem() -> std::string;

private:
    const boost::json::object* object = nullptr;
    std::string path;
    std::string first_problem;
    std::vector<std::string> known;
};

inline constexpr std::uint64_t max_integer = 0x7fffffffffffffffULL;

auto entity_to_json(const entity& item, bool with_changed) -> boost::json::object;

/// Parses an entity. The error is `invalid_record`, with the path of the invalid member.
auto entity_from_json(entity_kind kind, const boost::json::value& source, const std::string& path)
    -> common::result<entity>;

auto kind_from_text(std::string_view text) -> std::optional<entity_kind>;

auto outcome_to_json(const record_outcome& item) -> boost::json::object;
auto outcome_from_json(const boost::json::value& source, const std::string& path)
    -> common::result<record_outcome>;

auto state_to_json(const state& current) -> boost::json::object;
auto state_from_json(const boost::json::value& source) -> common::result<state>;

} // namespace reedramp::inventory
