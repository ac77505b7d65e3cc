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

/// Reads one object of nested settings and notes all problems with their JSON path: a value of
/// another type, a number out of range, and, by `finish`, keys that nothing asked for. An absent
/// key leaves the default. The flat schema of library `settings` has no lists of objects.
class object_reader {
public:
    object_reader(
        const boost::json::object& object,
        std::string object_path,
        std::vector<settings::problem>& found);

    auto text(std::string_view key, std::string& into) -> void;
    auto flag(std::string_view key, bool& into) -> void;
    auto real(std::string_view key, double& into, double lowest, double highest) -> void;
    auto texts(std::string_view key, std::vector<std::string>& into) -> void;

    template <typename Number>
    auto number(std::string_view key, Number& into, std::uint64_t lowest, std::uint64_t highest)
        -> void
    {
        std::uint64_t given = into;
        if (this->read_number(key, given, lowest, highest)) {
            into = static_cast<Number>(given);
        }
    }

    using read_hook = std::function<auto(object_reader& inner)->void>;

    /// Reads an object if there is one; `finish` is called for it.
    auto object(std::string_view key, const read_hook& read) -> void;

    /// Reads each object of a list.
    auto objects(std::string_view key, const read_hook& read) -> void;

    /// Reads an object with keys of any name.
    auto each(
        std::string_view key,
        const std::function<auto(std::string_view name, const boost::json::value& item)->void>&
            read) -> void;

    auto problem(std::string_view key, std::string message) -> void;

    /// Notes the keys that were not asked for.
    auto finish() -> void;

private:
    auto find(std::string_view key) -> const boost::json::value*;
    auto read_number(
        std::string_view key, std::uint64_t& into, std::uint64_t lowest, std::uint64_t highest)
        -> bool;
    auto
    read_inner(const boost::json::value& item, const std::string& item_path, const read_hook& read)
        -> void;

    const boost::json::object& source;
    std::string path;
    std::vector<settings::problem>& problems;
    std::set<std::string, std::less<>> asked;
};

} // namespace reedramp::standin
