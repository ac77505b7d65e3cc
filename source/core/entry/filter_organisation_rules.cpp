#include <algorithm>

#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"
#include "inventory/rules.hpp"

namespace reedramp::entry {

namespace rules = inventory::rules;

namespace {

/// Whether a model name given by a caller includes this version.
auto matches_model_name(const std::string& name, const inventory::version& version) -> bool
{
    return name == any_model || name == version.model.value() || name == version.id.value();
}

/// Checks that the organisation may use at least one of the versions that the name includes. Later
/// filters choose the version and check that it is serving.
auto check_model(
    const inventory::state& state, const inventory::organisation& owner, const std::string& name)
    -> common::result<void>
{
    auto is_known = false;
    for (const auto& [id, version] : state.versions) {
        if (!matches_model_name(name, version)) {
            continue;
        }
        if (rules::allowed(state, owner, version)) {
            return {};
        }
        is_known = true;
    }
    if (is_known) {
        return common::failure(common::result_code::organisation_not_allowed, "model " + name);
    }
    return common::failure(common::result_code::unknown_model, "no model " + name);
}

auto check_service(exchange& item, const inventory::organisation& owner) -> common::result<void>
{
    const auto& name = item.matched_route.service;
    const auto* service = rules::find_service(*item.state, name);
    if (service == nullptr) {
        return common::failure(common::result_code::unknown_model, "no service " + name.value());
    }
    if (!rules::allowed(owner, name)) {
        return common::failure(
            common::result_code::organisation_not_allowed, "service " + name.value());
    }
    item.repeat = rules::repeat_rule_of(*service, item.request.method);
    return {};
}

auto check_rules(const exchange_ptr& item) -> filter_step
{
    const auto* owner = rules::find_organisation(*item->state, item->organisation);
    if (owner == nullptr) {
        refuse(item, common::make_error(common::result_code::unauthenticated));
        return filter_step::stop;
    }
    common::result<void> check_result;
    switch (item->matched_route.kind) {
    case route_kind::service:
        check_result = check_service(*item, *owner);
        break;
    case route_kind::open_session:
        check_result = check_model(*item->state, *owner, item->requested_session.model);
        break;
    default:
        check_result = check_model(*item->state, *owner, item->chat.model);
        break;
    }
    if (!check_result) {
        refuse(item, check_result.error());
        return filter_step::stop;
    }
    return filter_step::proceed;
}

} // namespace

auto make_organisation_rules() -> filter
{
    return {"organisation_rules", check_rules};
}

} // namespace reedramp::entry
