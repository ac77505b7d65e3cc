#include <algorithm>

#include "common/log.hpp"
#include "entry/attempt.hpp"
#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"

namespace reedramp::entry {

namespace {

/// Pause between two attempts to place a session's request while its version has no server.
constexpr auto retry_interval = std::chrono::milliseconds(200);

auto make_query(const exchange& item) -> placement_query
{
    placement_query query;
    query.request = item.id;
    query.kind = item.kind;
    query.version = item.version;
    query.service = item.matched_route.service;
    if (item.pin) {
        query.session = item.pin->session;
    }
    query.prefix_hash = item.chat.prefix_hash;
    query.deadline = item.deadline;
    query.tried_servers = item.tried_servers;
    return query;
}

/// Whether to wait for a server. A session can't move to another version, so its request waits
/// while its version has no server. Any other request is refused immediately.
auto can_wait_for_server(const exchange& item, common::time_point now) -> bool
{
    const auto wait_until = item.arrived + item.context->options.session_wait;
    return item.pin && item.kind == messages::work_kind::chat && item.tried_servers.empty() &&
           now + retry_interval < std::min(wait_until, item.deadline);
}

auto apply_decision(const exchange_ptr& item, const common::result<placement_decision>& decision)
    -> void
{
    if (item->ended) {
        return;
    }
    const auto& hooks = item->context->hooks;
    const auto now = hooks.now();
    if (decision) {
        item->placement = *decision;
        record_decision(
            *item,
            common::log_part::place,
            {"server", decision->server.value(), decision->reason, decision->runner_up.value()});
        item->chain->run(item);
        return;
    }
    if (can_wait_for_server(*item, now)) {
        hooks.timer(now + retry_interval, [weak = std::weak_ptr<exchange>(item)] {
            if (const auto self = weak.lock()) {
                post(self, [](const exchange_ptr& again) {
                    again->chain->restart_at(again, filter_names::placement);
                });
            }
        });
        return;
    }
    // The refusal of the last server tells the caller more than the lack of another server.
    fail_request(item, item->last_failure.value_or(decision.error()));
}

auto place(const exchange_ptr& item) -> filter_step
{
    item->context->hooks.place(
        make_query(*item), [item](common::result<placement_decision> decision) {
            post(item, [decision = std::move(decision)](const exchange_ptr& self) {
                apply_decision(self, decision);
            });
        });
    return filter_step::stop;
}

} // namespace

auto make_placement() -> filter
{
    return {filter_names::placement, place};
}

} // namespace reedramp::entry
