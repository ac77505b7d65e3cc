#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "settings/schema.hpp"

namespace reedramp::standin {

/// Reads one JSON object of nested settings and collects all problems with their JSON paths: values
/// of the wrong type, numbers out of range and, in `finish`, unknown keys. A missing key leaves the
/// default. Used because the flat schema of the `settings` library has no lists of objects.
class object_reader {
public:
    object_reader(
        const boost::json::object& object,
        std::string object_path,
        std::vector<settings::problem>& problem_list);

    auto text(std::string_view key, std::string& result) -> void;
    auto flag(std::string_view key, bool& result) -> void;
    auto real(std::string_view key, double& result, double lowest, double highest) -> void;
    auto texts(std::string_view key, std::vector<std::string>& result) -> void;

    template <typename Number>
    auto number(std::string_view key, Number& result, std::uint64_t lowest, std::uint64_t highest)
        -> void
    {
        std::uint64_t parsed = result;
        if (this->read_number(key, parsed, lowest, highest)) {
            result = static_cast<Number>(parsed);
        }
    }

    using read_hook = std::function<auto(object_reader& inner)->void>;

    /// Calls `read` with a reader of the object at `key`, if there is one, and then `finish` on
    /// that reader.
    auto object(std::string_view key, const read_hook& read) -> void;

    /// Does the same for each object of the list at `key`.
    auto objects(std::string_view key, const read_hook& read) -> void;

    /// Calls `read` for each member of the object at `key`; the members may have any name.
    auto each(
        std::string_view key,
        const std::function<auto(std::string_view name, const boost::json::value& item)->void>&
            read) -> void;

    /// Adds a problem at `key` of this object.
    auto problem(std::string_view key, std::string message) -> void;

    /// Adds a problem for each key of the object that no call has read.
    auto finish() -> void;

private:
    auto find(std::string_view key) -> const boost::json::value*;
    auto read_number(
        std::string_view key, std::uint64_t& result, std::uint64_t lowest, std::uint64_t highest)
        -> bool;
    auto
    read_inner(const boost::json::value& item, const std::string& item_path, const read_hook& read)
        -> void;

    const boost::json::object& source;
    std::string path;
    std::vector<settings::problem>& problems;
    std::set<std::string, std::less<>> requested_keys;
};

} // namespace reedramp::standin
