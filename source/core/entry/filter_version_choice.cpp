#include "common/log.hpp"
#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"
#include "inventory/rules.hpp"

namespace reedramp::entry {

namespace rules = inventory::rules;

namespace {

/// Prompt and completion tokens assumed for comparing versions for a session, whose requests are
/// not known yet.
constexpr common::token_count session_tokens(1000);

auto make_query(const exchange& item) -> version_query
{
    const auto& hooks = item.context->hooks;
    const auto for_session = item.matched_route.kind == route_kind::open_session;
    version_query query;
    query.request = item.id;
    query.organisation = item.organisation;
    query.task = item.headers.task;
    query.model = for_session ? item.requested_session.model : item.chat.model;
    query.prompt_tokens = item.chat.prompt_tokens;
    query.max_tokens = item.chat.max_tokens;
    query.for_session = for_session;
    if (for_session) {
        query.prompt_tokens = session_tokens;
        query.max_tokens = session_tokens;
    }
    query.now = hooks.now();
    query.deadline = item.deadline;
    query.current_until = hooks.current_until();
    query.refused = item.refused_versions;
    return query;
}

/// Checks the chosen version against the rules, which apply regardless of how the chooser weighs
/// cost and quality.
auto check_choice(const exchange& item, const version_decision& decision) -> common::result<void>
{
    const auto& hooks = item.context->hooks;
    const auto version =
        rules::serving(*item.state, decision.version, {hooks.current_until(), hooks.now()});
    if (!version) {
        return tl::unexpected(version.error());
    }
    const auto* owner = rules::find_organisation(*item.state, item.organisation);
    if (owner == nullptr || !rules::allowed(*item.state, *owner, **version)) {
        return common::failure(common::result_code::organisation_not_allowed);
    }
    return {};
}

auto choose_version(const exchange_ptr& item) -> filter_step
{
    if (item->kind == messages::work_kind::service) {
        return filter_step::proceed;
    }
    if (item->pin) {
        item->model = item->pin->model;
        item->version = item->pin->version;
        record_decision(
            *item, common::log_part::policy, {"version", item->version.value(), "pinned", {}});
        return filter_step::proceed;
    }
    const auto decision = item->context->hooks.choose_version(*item->state, make_query(*item));
    if (!decision) {
        refuse(item, decision.error());
        return filter_step::stop;
    }
    if (const auto check_result = check_choice(*item, *decision); !check_result) {
        refuse(item, check_result.error());
        return filter_step::stop;
    }
    item->model = decision->model;
    item->version = decision->version;
    record_decision(
        *item,
        common::log_part::policy,
        {"version", decision->version.value(), decision->reason, decision->runner_up.value()});
    return filter_step::proceed;
}

} // namespace

auto make_version_choice() -> filter
{
    return {filter_names::version_choice, choose_version};
}

} // namespace reedramp::entry
