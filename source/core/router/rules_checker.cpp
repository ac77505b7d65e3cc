#include "router/rules_checker.hpp"

#include <utility>

namespace reedramp::router {

namespace {

/// Interval of peer reports, which may make a check unnecessary.
constexpr std::chrono::milliseconds poll_interval{100};

} // namespace

rules_checker::rules_checker(
    std::shared_ptr<router_core> core_to_ask,
    std::shared_ptr<rules_follower> follower_to_check,
    std::function<auto()->reader_rank> rank_of_this)
    : core(std::move(core_to_ask)), follower(std::move(follower_to_check)),
      rank(std::move(rank_of_this))
{
}

auto rules_checker::check_when_due() -> void
{
    const auto now = this->core->hooks.clock();
    const auto own = this->rank();
    if (now >= this->next_check &&
        this->core->rules_freshness.is_due(own.rank, now, own.is_reader)) {
        this->next_check = now + this->core->options.rules_freshness.period;
        this->follower->check();
    }
    this->core->hooks.timer(
        now + poll_interval, [self = this->shared_from_this()] { self->check_when_due(); });
}

} // namespace reedramp::router
