#include "entry/version_chooser.hpp"

#include <algorithm>

#include "entry/callers_api.hpp"
#include "entry/prices.hpp"
#include "inventory/rules.hpp"

namespace reedramp::entry {

namespace rules = inventory::rules;

namespace {

auto matches_model_name(const version_query& query, const inventory::version& version) -> bool
{
    const auto& name = query.model;
    return name == any_model || name == version.model.value() || name == version.id.value();
}

auto was_refused(const version_query& query, const common::version_id& id) -> bool
{
    const auto& refused = query.refused;
    return std::find(refused.begin(), refused.end(), id) != refused.end();
}

} // namespace

auto eligible_versions(const inventory::state& current, const version_query& query)
    -> common::result<std::vector<const inventory::version*>>
{
    std::vector<const inventory::version*> found;
    const auto* owner = rules::find_organisation(current, query.organisation);
    auto why = common::make_error(common::result_code::unknown_model, "no model " + query.model);
    if (owner == nullptr) {
        return tl::unexpected(why);
    }
    for (const auto& [id, version] : current.versions) {
        if (!matches_model_name(query, version) || !rules::allowed(current, *owner, version)) {
            continue;
        }
        if (was_refused(query, id)) {
            why = common::make_error(common::result_code::version_withdrawn, id.value());
            continue;
        }
        const auto serving = rules::serving(current, id, {query.current_until, query.now});
        if (serving) {
            found.push_back(&version);
        }
        else {
            why = serving.error();
        }
    }
    if (found.empty()) {
        return tl::unexpected(why);
    }
    return found;
}

auto cheapest_version(const inventory::state& current, const version_query& query)
    -> common::result<version_decision>
{
    const auto found = eligible_versions(current, query);
    if (!found) {
        return tl::unexpected(found.error());
    }
    const messages::usage expected{query.prompt_tokens, query.max_tokens};
    auto ranked = *found;
    std::stable_sort(ranked.begin(), ranked.end(), [&](const auto* left, const auto* right) {
        return cost_of(current, left->id, expected) < cost_of(current, right->id, expected);
    });
    version_decision decision;
    decision.model = ranked.front()->model;
    decision.version = ranked.front()->id;
    decision.reason = "cheapest";
    if (ranked.size() > 1) {
        decision.runner_up = ranked[1]->id;
    }
    return decision;
}

} // namespace reedramp::entry
