#include "common/log.hpp"
#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"
#include "inventory/rules.hpp"
#include "session/named_session.hpp"

namespace reedramp::entry {

namespace rules = inventory::rules;

namespace {

auto send_session(const exchange_ptr& item, session::pin pin) -> void
{
    const auto& context = *item->context;
    const auto life =
        std::chrono::duration_cast<std::chrono::milliseconds>(context.options.session_lifetime);
    pin.expires = common::wall_time_ms(context.hooks.wall_now().value() + life.count());
    const auto token = session::sign(pin, context.hooks.keys);
    record_decision(
        *item,
        common::log_part::session,
        {"session", pin.session.value(), "version " + pin.version.value(), {}});
    send_response(*item, session_response(token, pin.session, pin.version, pin.expires));
    end_exchange(item, common::result_code::ok, common::execution::ran);
}

/// Applies the result of claiming a session name. The first claim decides the session's version,
/// for all entries alike.
auto apply_name_claim(
    const exchange_ptr& item,
    session::pin pin,
    const common::result<messages::claim_answer>& answer) -> void
{
    if (item->ended) {
        return;
    }
    if (!answer) {
        refuse(item, answer.error());
        return;
    }
    if (answer->state == messages::claim_state::refused) {
        refuse(
            item,
            answer->why.value_or(common::make_error(common::result_code::claims_unavailable)));
        return;
    }
    pin.version = answer->holder.version;
    if (item->state->is_withdrawn(pin.version)) {
        refuse(item, common::make_error(common::result_code::session_ended));
        return;
    }
    const auto* version = rules::find_version(*item->state, pin.version);
    const auto* owner = rules::find_organisation(*item->state, item->organisation);
    if (version == nullptr || owner == nullptr || !rules::allowed(*item->state, *owner, *version)) {
        refuse(item, common::make_error(common::result_code::organisation_not_allowed));
        return;
    }
    pin.model = version->model;
    item->version = pin.version;
    send_session(item, std::move(pin));
}

auto open_session(const exchange_ptr& item) -> filter_step
{
    const auto& hooks = item->context->hooks;
    session::pin pin;
    pin.organisation = item->organisation;
    pin.model = item->model;
    pin.version = item->version;
    if (!item->requested_session.name) {
        const common::request_id random_name{hooks.random(), hooks.random()};
        pin.session = common::session_id(common::to_string(random_name));
        send_session(item, std::move(pin));
        return filter_step::stop;
    }
    pin.session = common::session_id(*item->requested_session.name);
    if (!hooks.claim_name) {
        refuse(item, common::make_error(common::result_code::claims_unavailable));
        return filter_step::stop;
    }
    const auto name = session::make_name_claim(item->organisation, pin.session, item->model);
    messages::claim_request claim;
    claim.organisation = item->organisation;
    claim.key = name.key;
    claim.body = name.body;
    claim.request = item->id;
    claim.attempt = common::attempt_number(1);
    claim.version = item->version;
    hooks.claim_name(std::move(claim), [item, pin](common::result<messages::claim_answer> answer) {
        post(item, [pin, answer = std::move(answer)](const exchange_ptr& self) {
            apply_name_claim(self, pin, answer);
        });
    });
    return filter_step::stop;
}

} // namespace

auto make_open_session() -> filter
{
    return {"open_session", open_session};
}

} // namespace reedramp::entry
