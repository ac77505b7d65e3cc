#include <set>

#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"
#include "inventory/rules.hpp"

namespace reedramp::entry {

namespace rules = inventory::rules;

namespace {

/// Lists the models that the organisation may use and their versions that are not withdrawn.
auto list_models(const exchange_ptr& item) -> filter_step
{
    const auto* owner = rules::find_organisation(*item->state, item->organisation);
    std::set<common::model_id> models;
    std::vector<listed_model> versions;
    for (const auto& [id, version] : item->state->versions) {
        const auto is_listed = owner != nullptr && rules::allowed(*item->state, *owner, version) &&
                               !item->state->is_withdrawn(id);
        if (!is_listed) {
            continue;
        }
        models.insert(version.model);
        versions.push_back({id.value(), "version"});
    }
    std::vector<listed_model> listed;
    listed.reserve(models.size() + versions.size());
    for (const auto& id : models) {
        listed.push_back({id.value(), "model"});
    }
    listed.insert(listed.end(), versions.begin(), versions.end());
    send_response(*item, models_response(listed));
    end_exchange(item, common::result_code::ok, common::execution::ran);
    return filter_step::stop;
}

} // namespace

auto make_list_models() -> filter
{
    return {"list_models", list_models};
}

} // namespace reedramp::entry
