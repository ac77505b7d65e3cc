#include "operators/text_table.hpp"
#include "operators/views.hpp"

#include "inventory/entity_json.hpp"
#include "inventory/record.hpp"
#include "inventory/rules.hpp"

namespace reedramp::operators {

using common::failure;
using common::result_code;
using inventory::entity_kind;

namespace {

template <typename Ids>
auto join_ids(const Ids& ids) -> std::string
{
    std::string result;
    for (const auto& id : ids) {
        result += (result.empty() ? "" : " ") + id.value();
    }
    return result;
}

auto status_name(inventory::rollout_status status) -> std::string
{
    switch (status) {
    case inventory::rollout_status::running:
        return "running";
    case inventory::rollout_status::paused:
        return "paused";
    case inventory::rollout_status::aborted:
        return "aborted";
    case inventory::rollout_status::completed:
        return "completed";
    }
    return "unknown";
}

auto stage_name(const inventory::state& current, const inventory::version& item) -> std::string
{
    if (current.is_withdrawn(item.id)) {
        return "withdrawn";
    }
    return item.stage == inventory::version_stage::rollout ? "rollout" : "stable";
}

auto models_table(const inventory::state& current) -> std::string
{
    text_table table({"model", "changed"});
    for (const auto& [id, item] : current.models) {
        table.add({id.value(), std::to_string(item.changed.value())});
    }
    return table.text();
}

auto versions_table(const inventory::state& current) -> std::string
{
    text_table table({"version", "model", "stage", "prompt price", "completion price", "changed"});
    for (const auto& [id, item] : current.versions) {
        table.add(
            {id.value(),
             item.model.value(),
             stage_name(current, item),
             money_text(item.prompt_price.value()),
             money_text(item.completion_price.value()),
             std::to_string(item.changed.value())});
    }
    return table.text();
}

auto servers_table(const inventory::state& current) -> std::string
{
    text_table table({"server", "host", "data centre", "region", "kind", "serves", "changed"});
    for (const auto& [id, item] : current.servers) {
        const auto is_engine = item.kind == inventory::server_kind::engine;
        table.add(
            {id.value(),
             item.host.value(),
             item.data_centre.value(),
             item.region.value(),
             is_engine ? "engine" : "service",
             is_engine ? join_ids(item.versions) : item.service.value(),
             std::to_string(item.changed.value())});
    }
    return table.text();
}

auto services_table(const inventory::state& current) -> std::string
{
    text_table table({"service", "idempotent", "at most once", "changed"});
    const auto words = [](const std::vector<std::string>& methods) {
        std::string result;
        for (const auto& method : methods) {
            result += (result.empty() ? "" : " ") + method;
        }
        return result;
    };
    for (const auto& [name, item] : current.services) {
        table.add(
            {name.value(),
             words(item.idempotent_methods),
             words(item.at_most_once_methods),
             std::to_string(item.changed.value())});
    }
    return table.text();
}

auto organisations_table(const inventory::state& current) -> std::string
{
    text_table table(
        {"organisation", "keys", "models", "versions", "services", "requests/min", "changed"});
    for (const auto& [id, item] : current.organisations) {
        table.add(
            {id.value(),
             std::to_string(item.key_hashes.size()),
             join_ids(item.models),
             join_ids(item.versions),
             join_ids(item.services),
             item.limits.requests == 0 ? "any" : std::to_string(item.limits.requests),
             std::to_string(item.changed.value())});
    }
    return table.text();
}

auto rollouts_table(const inventory::state& current) -> std::string
{
    text_table table({"roll-out", "model", "from", "to", "share", "step", "status", "changed"});
    for (const auto& [id, item] : current.rollouts) {
        table.add(
            {id,
             item.model.value(),
             item.from.value(),
             item.to.value(),
             percent_text(item.share.value()),
             std::to_string(item.step),
             status_name(item.status),
             std::to_string(item.changed.value())});
    }
    return table.text();
}

auto table_of(const inventory::state& current, entity_kind kind) -> std::string
{
    switch (kind) {
    case entity_kind::model:
        return models_table(current);
    case entity_kind::version:
        return versions_table(current);
    case entity_kind::server:
        return servers_table(current);
    case entity_kind::service:
        return services_table(current);
    case entity_kind::organisation:
        return organisations_table(current);
    case entity_kind::rollout:
        return rollouts_table(current);
    }
    return {};
}

auto all_tables(const inventory::state& current) -> std::string
{
    auto result = "revision " + std::to_string(current.offset.value()) + "\n";
    for (const auto kind :
         {entity_kind::model,
          entity_kind::version,
          entity_kind::server,
          entity_kind::service,
          entity_kind::organisation,
          entity_kind::rollout}) {
        const auto table = table_of(current, kind);
        result += table.empty() ? "" : "\n" + table;
    }
    return result;
}

} // namespace

auto state_text(const inventory::state& current, const std::string& kind, const std::string& id)
    -> common::result<std::string>
{
    if (kind.empty()) {
        return all_tables(current);
    }
    const auto known = inventory::kind_from_text(kind);
    if (!known) {
        return failure(result_code::not_found, "unknown kind of entity " + kind);
    }
    if (id.empty()) {
        return table_of(current, *known);
    }
    auto text = inventory::entity_text(current, {*known, id});
    if (text.empty()) {
        return failure(result_code::not_found, "unknown " + kind + " " + id);
    }
    return text + "\n";
}

} // namespace reedramp::operators
