#include "common/log.hpp"
#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"
#include "inventory/rules.hpp"

namespace reedramp::entry {

namespace rules = inventory::rules;

namespace {

/// Tokens of each kind by which versions are compared for a session, whose requests are not known.
constexpr common::token_count session_tokens(1000);

auto question_of(const exchange& item) -> version_question
{
    const auto& parts = item.context->parts;
    const auto for_session = item.where.kind == route_kind::open_session;
    version_question question;
    question.request = item.id;
    question.organisation = item.organisation;
    question.task = item.headers.task;
    question.model = for_session ? item.wanted_session.model : item.chat.model;
    question.prompt_tokens = item.chat.prompt_tokens;
    question.max_tokens = item.chat.max_tokens;
    question.for_session = for_session;
    if (for_session) {
        question.prompt_tokens = session_tokens;
        question.max_tokens = session_tokens;
    }
    question.now = parts.now();
    question.deadline = item.deadline;
    question.current_until = parts.current_until();
    question.refused = item.refused_versions;
    return question;
}

/// The chooser is a matter of cost and quality; the rules hold whatever it says.
auto check_choice(const exchange& item, const version_decision& decision) -> common::result<void>
{
    const auto& parts = item.context->parts;
    const auto version =
        rules::serving(*item.state, decision.version, {parts.current_until(), parts.now()});
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
        return filter_step::go_on;
    }
    if (item->pin) {
        item->model = item->pin->model;
        item->version = item->pin->version;
        note_decision(
            *item, common::log_part::policy, {"version", item->version.value(), "pinned", {}});
        return filter_step::go_on;
    }
    const auto decision = item->context->parts.choose_version(*item->state, question_of(*item));
    if (!decision) {
        refuse(item, decision.error());
        return filter_step::stop;
    }
    if (const auto verdict = check_choice(*item, *decision); !verdict) {
        refuse(item, verdict.error());
        return filter_step::stop;
    }
    item->model = decision->model;
    item->version = decision->version;
    note_decision(
        *item,
        common::log_part::policy,
        {"version", decision->version.value(), decision->reason, decision->runner_up.value()});
    return filter_step::go_on;
}

} // namespace

auto make_version_choice() -> filter
{
    return {filter_names::version_choice, choose_version};
}

} // namespace reedramp::entry
