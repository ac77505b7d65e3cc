#include <string>
#include <utility>

#include "common/log.hpp"
#include "router/log_fields.hpp"
#include "router/relay.hpp"

/// Part of `relay` that decides whether a request is sent again.
namespace reedramp::router {

using common::result_code;

auto relay::retries() -> placement::retry_budget&
{
    return this->core->retries_of(this->service);
}

auto relay::acquire_retry(std::string_view why, placement::retry_need need) -> bool
{
    this->next_permit = this->retries().try_acquire_retry(need, this->give_up_at);
    if (this->next_permit) {
        this->core->counters.count_retry(this->service.value(), std::string{why});
        return true;
    }
    this->core->counters.count_denied_retry(this->service.value(), std::string{why});
    common::log(
        common::log_part::place,
        common::log_level::info,
        "retry denied request=" + this->request.caller.attempt +
            " service=" + this->service.value() + " why=" + std::string{why} +
            retry_budget_fields(this->retries().state()));
    return false;
}

auto relay::settle_retry(std::optional<placement::retry_permit>& permit) -> void
{
    const auto settled = std::exchange(permit, std::nullopt);
    // Servers count whichever send arrives last as the retry.
    if (settled && !this->has_silent_send) {
        this->retries().note_arrived(*settled);
    }
}

auto relay::retry(result_code why) -> void
{
    if (this->ended) {
        return;
    }
    if (this->give_up_if_barred()) {
        return;
    }
    if (this->may_send_again() && this->acquire_retry(common::row_of(why).name)) {
        if (this->is_refused_again(why)) {
            return;
        }
        this->core->counters.resumed.add(this->is_streaming ? 1 : 0);
        this->send_next();
        return;
    }
    this->give_up(why);
}

} // namespace reedramp::router
