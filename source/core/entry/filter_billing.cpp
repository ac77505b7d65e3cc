#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"

namespace reedramp::entry {

namespace {

/// Refuses new work while bills can't be stored, so that no request runs without being billed.
auto check_bill_capacity(const exchange_ptr& item) -> filter_step
{
    const auto& context = *item->context;
    if (context.hooks.accepts_bills()) {
        return filter_step::proceed;
    }
    auto why = common::make_error(
        common::result_code::log_unavailable, "the buffer of unconfirmed bills is full");
    why.retry_at = context.hooks.now() + context.options.retry_after;
    refuse(item, std::move(why));
    return filter_step::stop;
}

/// Emits one bill per request, with a line for each attempt that may have run. Refused attempts are
/// not billed.
auto write_bill(exchange& item) -> void
{
    if (item.bill_lines.empty()) {
        return;
    }
    messages::bill bill;
    bill.request = item.billing_id;
    bill.organisation = item.organisation;
    bill.task = item.headers.task;
    bill.lines = item.bill_lines;
    bill.at = item.context->hooks.wall_now();
    item.context->hooks.add_bill(std::move(bill));
}

} // namespace

auto make_billing() -> filter
{
    return {"billing", check_bill_capacity, write_bill};
}

} // namespace reedramp::entry
