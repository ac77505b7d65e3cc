#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"

namespace reedramp::entry {

namespace {

/// Refuses new work while bills can't be kept: a request that is not billed is never run.
auto check_room(const exchange_ptr& item) -> filter_step
{
    const auto& context = *item->context;
    if (context.parts.accepts_bills()) {
        return filter_step::go_on;
    }
    auto why = common::make_error(common::result_code::log_unavailable, "no room for bills");
    why.retry_at = context.parts.now() + context.options.retry_after;
    refuse(item, std::move(why));
    return filter_step::stop;
}

/// One bill for each request of which something was sent to a server that did not refuse it, with
/// a line for each attempt.
auto write_bill(exchange& item) -> void
{
    if (item.lines.empty()) {
        return;
    }
    messages::bill bill;
    bill.request = item.billed_as;
    bill.organisation = item.organisation;
    bill.task = item.headers.task;
    bill.lines = item.lines;
    bill.at = item.context->parts.wall_now();
    item.context->parts.bill(std::move(bill));
}

} // namespace

auto make_billing() -> filter
{
    return {"billing", check_room, write_bill};
}

} // namespace reedramp::entry
