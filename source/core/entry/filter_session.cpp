#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"
#include "inventory/rules.hpp"

namespace reedramp::entry {

namespace rules = inventory::rules;

namespace {

/// Whether the pinned version may still serve this request. A session is never moved: on another
/// version, its next answer would not fit the ones before.
auto check_pin(const exchange& item, const session::pin& pin) -> common::result<void>
{
    const auto& name = item.chat.model;
    if (name != any_model && name != pin.model.value() && name != pin.version.value()) {
        return common::failure(
            common::result_code::bad_session_token, "the session is of another model");
    }
    const auto& parts = item.context->parts;
    const rules::freshness fresh{parts.current_until(), parts.now()};
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

/// Reads the session token, if there is one, and takes over its version.
auto take_session(const exchange_ptr& item) -> filter_step
{
    if (!item->headers.session_token) {
        return filter_step::go_on;
    }
    const auto& parts = item->context->parts;
    auto pin = session::verify(
        *item->headers.session_token, item->organisation, parts.keys, parts.wall_now());
    if (!pin) {
        refuse(item, std::move(pin.error()));
        return filter_step::stop;
    }
    if (item->kind == messages::work_kind::service) {
        item->pin = std::move(*pin);
        return filter_step::go_on;
    }
    const auto verdict = check_pin(*item, *pin);
    if (!verdict) {
        refuse(item, verdict.error());
        return filter_step::stop;
    }
    item->pin = std::move(*pin);
    return filter_step::go_on;
}

} // namespace

auto make_session() -> filter
{
    return {"session", take_session};
}

} // namespace reedramp::entry
