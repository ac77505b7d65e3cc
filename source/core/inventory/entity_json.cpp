#include "inventory/entity_json.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <span>
#include <utility>

namespace reedramp::inventory {

namespace json = boost::json;
using common::failure;
using common::result_code;

namespace {

constexpr std::uint64_t max_permille = 1000;
constexpr std::uint64_t max_uint32 = 0xffffffffULL;
constexpr std::size_t hash_digits = 64;

/// An enumeration's value and its name in JSON.
template <typename Value>
struct named_value {
    Value value;
    std::string_view name;
};

constexpr auto kind_names = std::to_array<named_value<entity_kind>>({
    {entity_kind::model, "model"},
    {entity_kind::version, "version"},
    {entity_kind::server, "server"},
    {entity_kind::service, "service"},
    {entity_kind::organisation, "organisation"},
    {entity_kind::rollout, "rollout"},
});

/// Lacks `withdrawn`: a version can only be withdrawn by a withdrawal.
constexpr auto stage_names = std::to_array<named_value<version_stage>>({
    {version_stage::stable, "stable"},
    {version_stage::rollout, "rollout"},
});

constexpr auto stale_names = std::to_array<named_value<stale_rule>>({
    {stale_rule::by_stage, "by_stage"},
    {stale_rule::serve, "serve"},
    {stale_rule::refuse, "refuse"},
});

constexpr auto server_kind_names = std::to_array<named_value<server_kind>>({
    {server_kind::engine, "engine"},
    {server_kind::service, "service"},
});

constexpr auto status_names = std::to_array<named_value<rollout_status>>({
    {rollout_status::running, "running"},
    {rollout_status::paused, "paused"},
    {rollout_status::aborted, "aborted"},
    {rollout_status::completed, "completed"},
});

template <typename Value, std::size_t Count>
auto name_of(const std::array<named_value<Value>, Count>& names, Value value) -> std::string_view
{
    const auto* found = std::ranges::find(names, value, &named_value<Value>::value);
    return found == names.end() ? std::string_view("unknown") : found->name;
}

template <typename Value, std::size_t Count>
auto enum_or(
    object_reader& from,
    std::string_view name,
    const std::array<named_value<Value>, Count>& names,
    Value fallback) -> Value
{
    const auto text = from.text_or_empty(name);
    if (text.empty()) {
        return fallback;
    }
    const auto* found = std::ranges::find(names, text, &named_value<Value>::name);
    if (found == names.end()) {
        from.fail(name, "has an unknown value");
        return fallback;
    }
    return found->value;
}

auto view(std::string_view text) -> json::string_view
{
    return {text.data(), text.size()};
}

template <typename Strong>
auto id_array(const std::vector<Strong>& items) -> json::array
{
    json::array made;
    made.reserve(items.size());
    for (const auto& item : items) {
        made.emplace_back(view(item.value()));
    }
    return made;
}

template <typename Strong>
auto strong_ids(object_reader& from, std::string_view name) -> std::vector<Strong>
{
    std::vector<Strong> made;
    for (auto& text : from.ids(name)) {
        made.emplace_back(std::move(text));
    }
    return made;
}

auto money_or_zero(object_reader& from, std::string_view name) -> common::micro_money
{
    return common::micro_money{static_cast<std::int64_t>(from.number_or(name, 0, max_integer))};
}

auto permille_or(object_reader& from, std::string_view name, std::uint32_t fallback)
    -> common::permille
{
    return common::permille{
        static_cast<std::uint32_t>(from.number_or(name, fallback, max_permille))};
}

auto offset_or_zero(object_reader& from, std::string_view name) -> common::log_offset
{
    return common::log_offset{from.number_or(name, 0, max_integer)};
}

auto write(const model& item) -> json::object
{
    return {{"id", item.id.value()}};
}

auto write(const version& item) -> json::object
{
    return {
        {"id", item.id.value()},
        {"model", item.model.value()},
        {"prompt_price", item.prompt_price.value()},
        {"completion_price", item.completion_price.value()},
        {"stage", view(name_of(stage_names, item.stage))},
        {"sensitive", item.sensitive},
        {"when_stale", view(name_of(stale_names, item.when_stale))},
        {"prior", json::object{{"mean", item.prior.mean.value()}, {"weight", item.prior.weight}}},
    };
}

auto write(const backend_server& item) -> json::object
{
    return {
        {"id", item.id.value()},
        {"host", item.host.value()},
        {"data_centre", item.data_centre.value()},
        {"region", item.region.value()},
        {"kind", view(name_of(server_kind_names, item.kind))},
        {"versions", id_array(item.versions)},
        {"service", item.service.value()},
        {"checks_fencing", item.checks_fencing},
    };
}

auto method_array(const std::vector<std::string>& methods) -> json::array
{
    return json::array(methods.begin(), methods.end());
}

auto write(const service& item) -> json::object
{
    return {
        {"name", item.name.value()},
        {"idempotent_methods", method_array(item.idempotent_methods)},
        {"at_most_once_methods", method_array(item.at_most_once_methods)},
    };
}

auto write(const organisation& item) -> json::object
{
    json::array tasks;
    for (const auto& rule : item.tasks) {
        tasks.push_back(json::object{
            {"task", rule.task.value()},
            {"quality_target", rule.quality_target.value()},
            {"price_ceiling", rule.price_ceiling.value()},
        });
    }
    return {
        {"id", item.id.value()},
        {"key_hashes", method_array(item.key_hashes)},
        {"models", id_array(item.models)},
        {"versions", id_array(item.versions)},
        {"services", id_array(item.services)},
        {"tasks", std::move(tasks)},
        {"limits",
         json::object{
             {"requests", item.limits.requests},
             {"tokens", item.limits.tokens.value()},
             {"money", item.limits.money.value()},
         }},
    };
}

auto write(const rollout& item) -> json::object
{
    return {
        {"id", item.id},
        {"model", item.model.value()},
        {"from", item.from.value()},
        {"to", item.to.value()},
        {"share", item.share.value()},
        {"step", item.step},
        {"status", view(name_of(status_names, item.status))},
    };
}

auto read_model(object_reader& from) -> model
{
    return {common::model_id{from.id("id")}, {}};
}

auto read_prior(object_reader& from) -> quality_prior
{
    quality_prior made;
    const auto* source = from.member("prior");
    if (source == nullptr) {
        return made;
    }
    object_reader inner(*source, from.path_of("prior"));
    made.mean = permille_or(inner, "mean", made.mean.value());
    made.weight = static_cast<std::uint32_t>(inner.number_or("weight", made.weight, max_uint32));
    from.adopt(inner.problem());
    return made;
}

auto read_version(object_reader& from) -> version
{
    version made;
    made.id = common::version_id{from.id("id")};
    made.model = common::model_id{from.id("model")};
    made.prompt_price = money_or_zero(from, "prompt_price");
    made.completion_price = money_or_zero(from, "completion_price");
    made.stage = enum_or(from, "stage", stage_names, made.stage);
    made.sensitive = from.flag_or("sensitive", made.sensitive);
    made.when_stale = enum_or(from, "when_stale", stale_names, made.when_stale);
    made.prior = read_prior(from);
    return made;
}

auto read_server(object_reader& from) -> backend_server
{
    backend_server made;
    made.id = common::server_id{from.id("id")};
    made.host = common::host_id{from.id("host")};
    made.data_centre = common::data_centre_id{from.id("data_centre")};
    made.region = common::region_id{from.id("region")};
    made.kind = enum_or(from, "kind", server_kind_names, made.kind);
    made.versions = strong_ids<common::version_id>(from, "versions");
    made.service = common::service_name{from.id_or_empty("service")};
    made.checks_fencing = from.flag_or("checks_fencing", made.checks_fencing);
    if (made.kind == server_kind::engine && !made.service.value().empty()) {
        from.fail("service", "must be empty for an engine");
    }
    if (made.kind == server_kind::service && made.service.value().empty()) {
        from.fail("service", "is missing");
    }
    if (made.kind == server_kind::service && !made.versions.empty()) {
        from.fail("versions", "must be empty for a service");
    }
    return made;
}

auto read_service(object_reader& from) -> service
{
    service made;
    made.name = common::service_name{from.id("name")};
    made.idempotent_methods = from.ids("idempotent_methods");
    made.at_most_once_methods = from.ids("at_most_once_methods");
    for (const auto& method : made.at_most_once_methods) {
        if (std::ranges::find(made.idempotent_methods, method) != made.idempotent_methods.end()) {
            from.fail("at_most_once_methods", "must not repeat an idempotent method: " + method);
        }
    }
    return made;
}

auto is_key_hash(const std::string& text) -> bool
{
    const auto is_digit = [](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
    };
    return text.size() == hash_digits && std::ranges::all_of(text, is_digit);
}

auto read_task_rule(object_reader& from) -> task_rule
{
    task_rule made;
    made.task = common::task_name{from.id_or_empty("task")};
    made.quality_target = permille_or(from, "quality_target", 0);
    made.price_ceiling = money_or_zero(from, "price_ceiling");
    return made;
}

auto read_limits(object_reader& from) -> minute_limits
{
    minute_limits made;
    const auto* source = from.member("limits");
    if (source == nullptr) {
        return made;
    }
    object_reader inner(*source, from.path_of("limits"));
    made.requests = inner.number_or("requests", 0, max_integer);
    made.tokens = common::token_count{inner.number_or("tokens", 0, max_integer)};
    made.money = money_or_zero(inner, "money");
    from.adopt(inner.problem());
    return made;
}

auto read_organisation(object_reader& from) -> organisation
{
    organisation made;
    made.id = common::organisation_id{from.id("id")};
    made.key_hashes = from.ids("key_hashes");
    if (!std::ranges::all_of(made.key_hashes, is_key_hash)) {
        from.fail("key_hashes", "must hold SHA-256 as 64 lower-case hexadecimal digits");
    }
    made.models = strong_ids<common::model_id>(from, "models");
    made.versions = strong_ids<common::version_id>(from, "versions");
    made.services = strong_ids<common::service_name>(from, "services");
    for (const auto& element : from.elements("tasks")) {
        object_reader inner(element, from.path_of("tasks"));
        made.tasks.push_back(read_task_rule(inner));
        from.adopt(inner.problem());
    }
    made.limits = read_limits(from);
    return made;
}

auto read_rollout(object_reader& from) -> rollout
{
    rollout made;
    made.id = from.id("id");
    made.model = common::model_id{from.id("model")};
    made.from = common::version_id{from.id("from")};
    made.to = common::version_id{from.id("to")};
    made.share = permille_or(from, "share", 0);
    made.step = static_cast<std::uint32_t>(from.number_or("step", 0, max_uint32));
    made.status = enum_or(from, "status", status_names, made.status);
    if (made.from == made.to) {
        from.fail("to", "must differ from `from`");
    }
    return made;
}

auto read_kind(entity_kind kind, object_reader& from) -> entity
{
    switch (kind) {
    case entity_kind::model:
        return read_model(from);
    case entity_kind::version:
        return read_version(from);
    case entity_kind::server:
        return read_server(from);
    case entity_kind::service:
        return read_service(from);
    case entity_kind::organisation:
        return read_organisation(from);
    case entity_kind::rollout:
        return read_rollout(from);
    }
    return read_model(from);
}

} // namespace

auto to_string(entity_kind kind) -> std::string_view
{
    return name_of(kind_names, kind);
}

auto kind_from_text(std::string_view text) -> std::optional<entity_kind>
{
    const auto* found = std::ranges::find(kind_names, text, &named_value<entity_kind>::name);
    if (found == kind_names.end()) {
        return std::nullopt;
    }
    return found->value;
}

auto entity_to_json(const entity& item, bool with_changed) -> json::object
{
    return std::visit(
        [with_changed](const auto& value) {
            auto made = write(value);
            if (with_changed) {
                made["changed"] = value.changed.value();
            }
            return made;
        },
        item);
}

auto entity_from_json(entity_kind kind, const json::value& source, const std::string& path)
    -> common::result<entity>
{
    object_reader from(source, path);
    auto made = read_kind(kind, from);
    const auto changed = offset_or_zero(from, "changed");
    std::visit([changed](auto& value) { value.changed = changed; }, made);
    auto problem = from.problem();
    if (!problem.empty()) {
        return failure(result_code::invalid_record, std::move(problem));
    }
    return made;
}

} // namespace reedramp::inventory
