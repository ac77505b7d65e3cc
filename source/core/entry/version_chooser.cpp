#include "entry/version_chooser.hpp"

#include <algorithm>

#include "entry/callers_api.hpp"
#include "entry/prices.hpp"
#include "inventory/rules.hpp"

namespace reedramp::entry {

namespace rules = inventory::rules;

namespace {

auto is_meant(const version_question& question, const inventory::version& version) -> bool
{
    const auto& name = question.model;
    return name == any_model || name == version.model.value() || name == version.id.value();
}

auto was_refused(const version_question& question, const common::version_id& id) -> bool
{
    const auto& refused = question.refused;
    return std::find(refused.begin(), refused.end(), id) != refused.end();
}

} // namespace

auto eligible_versions(const inventory::state& current, const version_question& question)
    -> common::result<std::vector<const inventory::version*>>
{
    std::vector<const inventory::version*> found;
    const auto* owner = rules::find_organisation(current, question.organisation);
    auto why = common::make_error(common::result_code::unknown_model, "no model " + question.model);
    if (owner == nullptr) {
        return tl::unexpected(why);
    }
    for (const auto& [id, version] : current.versions) {
        if (!is_meant(question, version) || !rules::allowed(current, *owner, version)) {
            continue;
        }
        if (was_refused(question, id)) {
            why = common::make_error(common::result_code::version_withdrawn, id.value());
            continue;
        }
        const auto serving = rules::serving(current, id, {question.current_until, question.now});
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

auto cheapest_version(const inventory::state& current, const version_question& question)
    -> common::result<version_decision>
{
    const auto found = eligible_versions(current, question);
    if (!found) {
        return tl::unexpected(found.error());
    }
    const messages::usage expected{question.prompt_tokens, question.max_tokens};
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
