#include "inventory/record.hpp"

#include <utility>

#include "inventory/entities.hpp"
#include "inventory/entity_json.hpp"
#include "inventory/fold.hpp"
#include "inventory/state_edit.hpp"

namespace reedramp::inventory {

namespace json = boost::json;
using common::failure;
using common::result_code;

namespace {

/// Maximum number of changes in a record; limits the work that one record causes in every process.
constexpr std::size_t max_changes = 10000;

auto read_put(object_reader& from, const std::string& path) -> common::result<change>
{
    const auto kind = kind_from_text(from.text_or_empty("put"));
    const auto* value = from.member("value");
    if (!kind || value == nullptr) {
        return failure(result_code::invalid_record, path + " needs a known kind and a value");
    }
    auto read = entity_from_json(*kind, *value, path + ".value");
    if (!read) {
        return tl::unexpected(read.error());
    }
    return put_change{std::move(*read)};
}

auto read_rollout_change(object_reader& from, const std::string& path) -> common::result<change>
{
    const auto* value = from.member("rollout");
    auto read = entity_from_json(entity_kind::rollout, *value, path + ".rollout");
    if (!read) {
        return tl::unexpected(read.error());
    }
    return put_change{std::move(*read)};
}

auto read_remove(object_reader& from, const std::string& path) -> common::result<change>
{
    const auto kind = kind_from_text(from.text_or_empty("remove"));
    if (!kind) {
        return failure(result_code::invalid_record, path + ".remove needs a known kind");
    }
    return remove_change{{*kind, from.id("id")}};
}

auto read_change_by_verb(object_reader& from, const json::object& source, const std::string& path)
    -> common::result<change>
{
    if (source.contains("put")) {
        return read_put(from, path);
    }
    if (source.contains("remove")) {
        return read_remove(from, path);
    }
    if (source.contains("withdraw")) {
        return withdraw_change{common::version_id{from.id("withdraw")}};
    }
    if (source.contains("rollout")) {
        return read_rollout_change(from, path);
    }
    return failure(result_code::invalid_record, path + " is not a known change");
}

auto read_change(const json::value& source, const std::string& path) -> common::result<change>
{
    if (!source.is_object()) {
        return failure(result_code::invalid_record, path + " must be an object");
    }
    object_reader from(source, path);
    auto made = read_change_by_verb(from, source.get_object(), path);
    auto problem = from.problem();
    if (made && !problem.empty()) {
        return failure(result_code::invalid_record, std::move(problem));
    }
    return made;
}

auto read_changes(object_reader& from) -> common::result<std::vector<change>>
{
    const auto& elements = from.elements("changes");
    if (elements.empty() || elements.size() > max_changes) {
        return failure(result_code::invalid_record, "changes must hold 1 to 10000 changes");
    }
    std::vector<change> made;
    made.reserve(elements.size());
    for (std::size_t index = 0; index < elements.size(); ++index) {
        auto read = read_change(elements[index], "changes[" + std::to_string(index) + "]");
        if (!read) {
            return tl::unexpected(read.error());
        }
        made.push_back(std::move(*read));
    }
    return made;
}

auto write_change(const put_change& item) -> json::object
{
    const auto kind = to_string(ref_of(item.value).kind);
    return {
        {"put", json::string_view(kind.data(), kind.size())},
        {"value", entity_to_json(item.value, false)},
    };
}

auto write_change(const remove_change& item) -> json::object
{
    const auto kind = to_string(item.target.kind);
    return {{"remove", json::string_view(kind.data(), kind.size())}, {"id", item.target.id}};
}

auto write_change(const withdraw_change& item) -> json::object
{
    return {{"withdraw", item.version.value()}};
}

auto to_text(const json::object& source) -> std::string
{
    return json::serialize(source);
}

} // namespace

auto parse_record(std::string_view text) -> common::result<record>
{
    json::error_code failed;
    const auto parsed = json::parse({text.data(), text.size()}, failed);
    if (failed) {
        return failure(result_code::invalid_record, "not JSON: " + failed.message());
    }
    object_reader from(parsed, "");
    record made;
    made.id = common::record_id{from.id("id")};
    made.author = from.id("author");
    made.at = common::wall_time_ms{static_cast<std::int64_t>(from.number_or("at", 0, max_integer))};
    made.base = common::log_offset{from.number_or("base", 0, max_integer)};
    auto changes = read_changes(from);
    auto problem = from.problem();
    if (!problem.empty()) {
        return failure(result_code::invalid_record, std::move(problem));
    }
    if (!changes) {
        return tl::unexpected(changes.error());
    }
    made.changes = std::move(*changes);
    return made;
}

auto format_record(const record& item) -> std::string
{
    json::array changes;
    changes.reserve(item.changes.size());
    for (const auto& entry : item.changes) {
        changes.push_back(std::visit([](const auto& value) { return write_change(value); }, entry));
    }
    return to_text({
        {"id", item.id.value()},
        {"author", item.author},
        {"at", item.at.value()},
        {"base", item.base.value()},
        {"changes", std::move(changes)},
    });
}

auto check_record(const state& base, const record& item) -> common::result<state>
{
    auto trial = base;
    const common::log_offset next{base.offset.value() + 1};
    const auto outcome = apply(trial, {next, format_record(item)});
    if (outcome.step == fold_step::rejected) {
        return failure(outcome.code, outcome.why);
    }
    return trial;
}

auto to_string(const entity_ref& item) -> std::string
{
    return std::string(to_string(item.kind)) + " " + item.id;
}

auto entity_text(const state& current, const entity_ref& item) -> std::string
{
    const auto found = get_entity(current, item);
    return found ? to_text(entity_to_json(*found, true)) : std::string{};
}

auto state_text(const state& current) -> std::string
{
    return to_text(state_to_json(current));
}

auto compare(const state& before, const state& after) -> std::vector<difference>
{
    auto refs = all_refs(before);
    refs.merge(all_refs(after));
    std::vector<difference> rows;
    for (const auto& ref : refs) {
        auto old_text = entity_text(before, ref);
        auto new_text = entity_text(after, ref);
        if (old_text != new_text) {
            rows.push_back({ref, std::move(old_text), std::move(new_text)});
        }
    }
    return rows;
}

} // namespace reedramp::inventory
