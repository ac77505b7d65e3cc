#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "common/result.hpp"
#include "inventory/record.hpp"
#include "inventory/state.hpp"

/// JSON form of entities and outcomes. Include it in .cpp files only: Boost.JSON is heavy.
namespace reedramp::inventory {

/// Reads the members of one JSON object and remembers the first problem, so that a reader asks for
/// all members in a row and looks at `problem()` once. Members that nobody asked for are a problem.
class object_reader {
public:
    object_reader(const boost::json::value& source, std::string path);

    /// Letters, digits and ._:/@+- only, 1 to 128 of them.
    auto id(std::string_view name) -> std::string;
    /// As `id`, but empty if the member is missing or empty.
    auto id_or_empty(std::string_view name) -> std::string;
    auto text_or_empty(std::string_view name) -> std::string;
    /// A whole number from 0 to `greatest`; `fallback` if the member is missing.
    auto number_or(std::string_view name, std::uint64_t fallback, std::uint64_t greatest)
        -> std::uint64_t;
    auto flag_or(std::string_view name, bool fallback) -> bool;
    auto ids(std::string_view name) -> std::vector<std::string>;
    /// Null if the member is missing.
    auto member(std::string_view name) -> const boost::json::value*;
    /// Elements of an array; empty if the member is missing.
    auto elements(std::string_view name) -> const boost::json::array&;

    auto fail(std::string_view name, std::string_view what) -> void;
    [[nodiscard]] auto path_of(std::string_view name) const -> std::string;
    /// Takes over the problem of a reader of something inside.
    auto adopt(const std::string& inner_problem) -> void;

    /// Empty if all is well. Call it after all members have been asked for.
    auto problem() -> std::string;

private:
    const boost::json::object* object = nullptr;
    std::string path;
    std::string first_problem;
    std::vector<std::string> known;
};

inline constexpr std::uint64_t greatest_integer = 0x7fffffffffffffffULL;

auto entity_to_json(const entity& item, bool with_changed) -> boost::json::object;

/// Errors: `invalid_record` with the path of the member.
auto entity_from_json(entity_kind kind, const boost::json::value& source, const std::string& path)
    -> common::result<entity>;

auto kind_from_text(std::string_view text) -> std::optional<entity_kind>;

auto outcome_to_json(const record_outcome& item) -> boost::json::object;
auto outcome_from_json(const boost::json::value& source, const std::string& path)
    -> common::result<record_outcome>;

auto state_to_json(const state& current) -> boost::json::object;
auto state_from_json(const boost::json::value& source) -> common::result<state>;

} // namespace reedramp::inventory
