#include <utility>

#include "inventory/entity_json.hpp"
#include "inventory/state_edit.hpp"

namespace reedramp::inventory {

namespace json = boost::json;
using common::failure;
using common::result_code;

namespace {

template <typename Map>
auto write_all(const Map& items) -> json::array
{
    json::array made;
    made.reserve(items.size());
    for (const auto& [id, item] : items) {
        made.push_back(entity_to_json(item, true));
    }
    return made;
}

auto write_outcomes(const std::deque<record_outcome>& items) -> json::array
{
    json::array made;
    made.reserve(items.size());
    for (const auto& item : items) {
        made.push_back(outcome_to_json(item));
    }
    return made;
}

/// Reads the entities of one kind into the map that holds them.
template <typename Entity, typename Map, typename IdOf>
auto read_all(object_reader& from, std::string_view name, entity_kind kind, IdOf id_of, Map& into)
    -> void
{
    for (const auto& element : from.elements(name)) {
        auto read = entity_from_json(kind, element, from.path_of(name));
        if (!read) {
            from.adopt(read.error().detail);
            return;
        }
        auto& item = std::get<Entity>(*read);
        auto id = std::invoke(id_of, item);
        into.insert_or_assign(std::move(id), std::move(item));
    }
}

auto read_outcomes(object_reader& from, std::string_view name, std::deque<record_outcome>& into)
    -> void
{
    for (const auto& element : from.elements(name)) {
        auto read = outcome_from_json(element, from.path_of(name));
        if (!read) {
            from.adopt(read.error().detail);
            return;
        }
        into.push_back(std::move(*read));
    }
}

auto write_ref(const entity_ref& item) -> json::object
{
    const auto kind = to_string(item.kind);
    return {{"kind", json::string_view(kind.data(), kind.size())}, {"id", item.id}};
}

auto read_ref(object_reader& from) -> entity_ref
{
    const auto kind = kind_from_text(from.text_or_empty("kind"));
    if (!kind) {
        from.fail("kind", "has an unknown value");
    }
    return {kind.value_or(entity_kind::model), from.id("id")};
}

auto read_offset(object_reader& from, std::string_view name) -> common::log_offset
{
    return common::log_offset{from.number_or(name, 0, max_integer)};
}

auto read_removed(object_reader& from, state& into) -> void
{
    for (const auto& element : from.elements("removed")) {
        object_reader inner(element, from.path_of("removed"));
        auto ref = read_ref(inner);
        into.removed.insert_or_assign(std::move(ref), read_offset(inner, "offset"));
        from.adopt(inner.problem());
    }
}

auto read_withdrawn(object_reader& from, state& into) -> void
{
    for (const auto& element : from.elements("withdrawn")) {
        object_reader inner(element, from.path_of("withdrawn"));
        common::version_id id{inner.id("version")};
        into.withdrawn.insert_or_assign(std::move(id), read_offset(inner, "offset"));
        from.adopt(inner.problem());
    }
}

} // namespace

auto outcome_to_json(const record_outcome& item) -> json::object
{
    json::array touched;
    touched.reserve(item.touched.size());
    for (const auto& ref : item.touched) {
        touched.push_back(write_ref(ref));
    }
    return {
        {"id", item.id.value()},
        {"offset", item.offset.value()},
        {"author", item.author},
        {"at", item.at.value()},
        {"code", static_cast<std::uint64_t>(item.code)},
        {"why", item.why},
        {"touched", std::move(touched)},
        {"touched_count", item.touched_count},
    };
}

auto outcome_from_json(const json::value& source, const std::string& path)
    -> common::result<record_outcome>
{
    constexpr std::uint64_t max_code = 999;
    object_reader from(source, path);
    record_outcome made;
    made.id = common::record_id{from.id_or_empty("id")};
    made.offset = read_offset(from, "offset");
    made.author = from.text_or_empty("author");
    made.at = common::wall_time_ms{static_cast<std::int64_t>(from.number_or("at", 0, max_integer))};
    made.code = static_cast<result_code>(from.number_or("code", 0, max_code));
    made.why = from.text_or_empty("why");
    for (const auto& element : from.elements("touched")) {
        object_reader inner(element, from.path_of("touched"));
        made.touched.push_back(read_ref(inner));
        from.adopt(inner.problem());
    }
    made.touched_count = from.number_or("touched_count", 0, max_integer);
    auto problem = from.problem();
    if (!problem.empty()) {
        return failure(result_code::invalid_record, std::move(problem));
    }
    return made;
}

auto state_to_json(const state& current) -> json::object
{
    json::array removed;
    for (const auto& [ref, offset] : current.removed) {
        auto row = write_ref(ref);
        row["offset"] = offset.value();
        removed.push_back(std::move(row));
    }
    json::array withdrawn;
    for (const auto& [id, offset] : current.withdrawn) {
        withdrawn.push_back(json::object{{"version", id.value()}, {"offset", offset.value()}});
    }
    return {
        {"offset", current.offset.value()},
        {"checkpoint", current.checkpoint.value()},
        {"base_floor", current.base_floor.value()},
        {"models", write_all(current.models)},
        {"versions", write_all(current.versions)},
        {"servers", write_all(current.servers)},
        {"services", write_all(current.services)},
        {"organisations", write_all(current.organisations)},
        {"rollouts", write_all(current.rollouts)},
        {"removed", std::move(removed)},
        {"withdrawn", std::move(withdrawn)},
        {"recent", write_outcomes(current.recent)},
        {"problems", write_outcomes(current.problems)},
    };
}

auto state_from_json(const json::value& source) -> common::result<state>
{
    object_reader from(source, "state");
    state made;
    made.offset = read_offset(from, "offset");
    made.checkpoint = read_offset(from, "checkpoint");
    made.base_floor = read_offset(from, "base_floor");
    read_all<model>(from, "models", entity_kind::model, &model::id, made.models);
    read_all<version>(from, "versions", entity_kind::version, &version::id, made.versions);
    read_all<backend_server>(
        from, "servers", entity_kind::server, &backend_server::id, made.servers);
    read_all<service>(from, "services", entity_kind::service, &service::name, made.services);
    read_all<organisation>(
        from, "organisations", entity_kind::organisation, &organisation::id, made.organisations);
    read_all<rollout>(from, "rollouts", entity_kind::rollout, &rollout::id, made.rollouts);
    read_removed(from, made);
    read_withdrawn(from, made);
    read_outcomes(from, "recent", made.recent);
    read_outcomes(from, "problems", made.problems);
    auto problem = from.problem();
    if (!problem.empty()) {
        return failure(result_code::invalid_record, std::move(problem));
    }
    index_keys(made);
    return made;
}

} // namespace reedramp::inventory
