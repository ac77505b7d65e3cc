#include "operators/difference.hpp"

#include <set>
#include <string_view>
#include <utility>

#include "inventory/record.hpp"
#include "platform/json_fields.hpp"

namespace reedramp::operators {

namespace json = boost::json;

namespace {

constexpr auto changed_member = "changed";

auto read_members(const std::string& text) -> json::object
{
    auto members = platform::parse_object(text).value_or(json::object{});
    members.erase(changed_member);
    return members;
}

auto text_of(const json::object& members, const std::string& name) -> std::string
{
    const auto* value = members.if_contains(name);
    return value == nullptr ? std::string{} : json::serialize(*value);
}

auto member_differences(const json::object& before, const json::object& after)
    -> std::vector<member_difference>
{
    std::set<std::string> names;
    for (const auto* side : {&before, &after}) {
        for (const auto& member : *side) {
            names.emplace(member.key().data(), member.key().size());
        }
    }
    std::vector<member_difference> made;
    for (const auto& name : names) {
        auto old_text = text_of(before, name);
        auto new_text = text_of(after, name);
        if (old_text != new_text) {
            made.push_back({name, std::move(old_text), std::move(new_text)});
        }
    }
    return made;
}

auto kind_of(const inventory::difference& row) -> difference_kind
{
    if (row.before.empty()) {
        return difference_kind::added;
    }
    return row.after.empty() ? difference_kind::removed : difference_kind::changed;
}

auto kind_text(difference_kind kind) -> std::string_view
{
    switch (kind) {
    case difference_kind::added:
        return "added";
    case difference_kind::removed:
        return "removed";
    case difference_kind::changed:
        return "changed";
    case difference_kind::withdrawn:
        return "withdrawn";
    }
    return "changed";
}

/// Of a removed entity the name says enough.
auto lists_members(difference_kind kind) -> bool
{
    return kind == difference_kind::added || kind == difference_kind::changed;
}

} // namespace

auto differences(const inventory::state& before, const inventory::state& after)
    -> std::vector<entity_difference>
{
    std::vector<entity_difference> made;
    for (const auto& row : inventory::compare(before, after)) {
        auto members = member_differences(read_members(row.before), read_members(row.after));
        if (!members.empty()) {
            made.push_back({kind_of(row), inventory::to_string(row.entity), std::move(members)});
        }
    }
    for (const auto& [version, offset] : after.withdrawn) {
        if (!before.withdrawn.contains(version)) {
            made.push_back({difference_kind::withdrawn, "version " + version.value(), {}});
        }
    }
    return made;
}

auto difference_text(const std::vector<entity_difference>& rows) -> std::string
{
    if (rows.empty()) {
        return "no difference\n";
    }
    std::string made;
    for (const auto& row : rows) {
        made += std::string(kind_text(row.kind)) + " " + row.entity + "\n";
        if (!lists_members(row.kind)) {
            continue;
        }
        for (const auto& member : row.members) {
            const auto before = member.before.empty() ? "" : member.before + " -> ";
            made += "    " + member.name + ": " + before + member.after + "\n";
        }
    }
    return made;
}

auto difference_json(const std::vector<entity_difference>& rows) -> std::string
{
    json::array made;
    for (const auto& row : rows) {
        json::array members;
        for (const auto& member : row.members) {
            members.push_back(json::object{
                {"name", member.name}, {"before", member.before}, {"after", member.after}});
        }
        const auto kind = kind_text(row.kind);
        made.push_back(json::object{
            {"difference", json::string_view(kind.data(), kind.size())},
            {"entity", row.entity},
            {"members", std::move(members)}});
    }
    return json::serialize(json::object{{"differences", std::move(made)}});
}

} // namespace reedramp::operators
