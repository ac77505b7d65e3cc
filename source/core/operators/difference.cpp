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

auto parse_members(const std::string& text) -> json::object
{
    auto members = platform::parse_object(text).value_or(json::object{});
    members.erase(changed_member);
    return members;
}

auto member_text(const json::object& members, const std::string& name) -> std::string
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
    std::vector<member_difference> result;
    for (const auto& name : names) {
        auto old_text = member_text(before, name);
        auto new_text = member_text(after, name);
        if (old_text != new_text) {
            result.push_back({name, std::move(old_text), std::move(new_text)});
        }
    }
    return result;
}

auto difference_kind_of(const inventory::difference& row) -> difference_kind
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

/// For a removed or withdrawn entity only its name is shown.
auto shows_members(difference_kind kind) -> bool
{
    return kind == difference_kind::added || kind == difference_kind::changed;
}

} // namespace

auto differences(const inventory::state& before, const inventory::state& after)
    -> std::vector<entity_difference>
{
    std::vector<entity_difference> result;
    for (const auto& row : inventory::compare(before, after)) {
        auto members = member_differences(parse_members(row.before), parse_members(row.after));
        if (!members.empty()) {
            result.push_back(
                {difference_kind_of(row), inventory::to_string(row.entity), std::move(members)});
        }
    }
    for (const auto& [version, offset] : after.withdrawn) {
        if (!before.withdrawn.contains(version)) {
            result.push_back({difference_kind::withdrawn, "version " + version.value(), {}});
        }
    }
    return result;
}

auto difference_text(const std::vector<entity_difference>& rows) -> std::string
{
    if (rows.empty()) {
        return "no difference\n";
    }
    std::string result;
    for (const auto& row : rows) {
        result += std::string(kind_text(row.kind)) + " " + row.entity + "\n";
        if (!shows_members(row.kind)) {
            continue;
        }
        for (const auto& member : row.members) {
            const auto before = member.before.empty() ? "" : member.before + " -> ";
            result += "    " + member.name + ": " + before + member.after + "\n";
        }
    }
    return result;
}

auto difference_json(const std::vector<entity_difference>& rows) -> std::string
{
    json::array result;
    for (const auto& row : rows) {
        json::array members;
        for (const auto& member : row.members) {
            members.push_back(json::object{
                {"name", member.name}, {"before", member.before}, {"after", member.after}});
        }
        const auto kind = kind_text(row.kind);
        result.push_back(json::object{
            {"difference", json::string_view(kind.data(), kind.size())},
            {"entity", row.entity},
            {"members", std::move(members)}});
    }
    return json::serialize(json::object{{"differences", std::move(result)}});
}

} // namespace reedramp::operators
