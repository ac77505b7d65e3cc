#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"
#include "inventory/rules.hpp"

namespace reedramp::entry {

namespace rules = inventory::rules;

namespace {

/// Checks whether the pinned version may still serve this request. A session is never moved to
/// another version, because its next response would not be consistent with the earlier ones.
auto check_pin(const exchange& item, const session::pin& pin) -> common::result<void>
{
    const auto& name = item.chat.model;
    if (name != any_model && name != pin.model.value() && name != pin.version.value()) {
        return common::failure(
            common::result_code::bad_session_token, "the session belongs to another model");
    }
    const auto& hooks = item.context->hooks;
    const rules::freshness fresh{hooks.current_until(), hooks.now()};
    const auto version =
        rules::serving(*item.state, pin.version, fresh, rules::work_origin::pinned_session);
    if (!version && version.error().code == common::result_code::version_withdrawn) {
        return common::failure(
            common::result_code::session_ended, "version " + pin.version.value() + " is withdrawn");
    }
    if (!version) {
        return tl::unexpected(version.error());
    }
    const auto* owner = rules::find_organisation(*item.state, item.organisation);
    if (owner == nullptr || !rules::allowed(*item.state, *owner, **version)) {
        return common::failure(
            common::result_code::organisation_not_allowed, "version " + pin.version.value());
    }
    return {};
}

/// Verifies the session token, if present, and pins the request to its version.
auto apply_session_token(const exchange_ptr& item) -> filter_step
{
    if (!item->headers.session_token) {
        return filter_step::proceed;
    }
    const auto& hooks = item->context->hooks;
    auto pin = session::verify(
        *item->headers.session_token, item->organisation, hooks.keys, hooks.wall_now());
    if (!pin) {
        refuse(item, std::move(pin.error()));
        return filter_step::stop;
    }
    if (item->kind == messages::work_kind::service) {
        item->pin = std::move(*pin);
        return filter_step::proceed;
    }
    const auto check_result = check_pin(*item, *pin);
    if (!check_result) {
        refuse(item, check_result.error());
        return filter_step::stop;
    }
    item->pin = std::move(*pin);
    return filter_step::proceed;
}

} // namespace

auto make_session() -> filter
{
    return {"session", apply_session_token};
}

} // namespace reedramp::entry
