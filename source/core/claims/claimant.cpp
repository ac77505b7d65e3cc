#include "claims/claimant.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace reedramp::claims {

using common::failure;
using common::result_code;
using common::time_point;
using messages::claim_state;
using messages::outcome_state;

claimant::claimant(
    claimant_config settings, messages::claim_request initial_claim, time_point until)
    : config(settings), claim(std::move(initial_claim)), deadline(until)
{
}

auto claimant::start() -> claim_step
{
    ++this->claims_made;
    return this->send();
}

auto claimant::on_claim(const common::result<messages::claim_answer>& answer, time_point now)
    -> claim_step
{
    const auto is_undecided =
        !answer || (answer->state == claim_state::refused &&
                    (!answer->why || answer->why->code == result_code::claims_unavailable));
    if (is_undecided) {
        ++this->arbiter_rank;
        if (this->arbiter_rank < this->config.max_arbiter_tries && now < this->deadline) {
            return this->send();
        }
        auto refused = this->refuse(result_code::claims_unavailable);
        if (answer && answer->why) {
            std::get<claim_refused>(refused).why.retry_at = answer->why->retry_at;
        }
        return refused;
    }
    if (answer->state == claim_state::won) {
        return claim_granted{answer->holder, answer->offset};
    }
    if (answer->state == claim_state::refused) {
        return claim_refused{*answer->why};
    }
    this->holder = answer->holder;
    this->holder_offset = answer->offset;
    this->agent_deadline.reset();
    return this->query();
}

auto claimant::on_outcome(const common::result<messages::outcome_answer>& answer, time_point now)
    -> claim_step
{
    if (!answer) {
        const auto code = answer.error().code;
        const auto may_answer_later =
            code == result_code::peer_unavailable || code == result_code::server_lost;
        if (!may_answer_later) {
            return this->refuse(result_code::outcome_unknown);
        }
        if (!this->agent_deadline) {
            this->agent_deadline = now + this->config.unreachable_agent_timeout;
        }
        if (now >= *this->agent_deadline || now >= this->deadline) {
            return this->refuse(result_code::outcome_unknown);
        }
        return this->query_later(now);
    }
    this->agent_deadline.reset();
    switch (answer->state) {
    case outcome_state::refused:
        return this->replace_holder();
    case outcome_state::finished:
    case outcome_state::failed:
        return claim_answered{this->holder, this->holder_offset, *answer};
    case outcome_state::queued:
    case outcome_state::running:
        return now >= this->deadline ? this->refuse(result_code::still_running)
                                     : this->query_later(now);
    case outcome_state::unknown:
        break;
    }
    return this->refuse(result_code::outcome_unknown);
}

auto claimant::on_wait_over(time_point now) -> claim_step
{
    if (now >= this->deadline) {
        const auto is_lost = this->agent_deadline.has_value();
        return this->refuse(is_lost ? result_code::outcome_unknown : result_code::still_running);
    }
    return this->query();
}

auto claimant::send() const -> claim_step
{
    return send_claim{this->arbiter_rank, this->claim};
}

auto claimant::query() const -> claim_step
{
    const messages::run_key key{
        this->holder.request, this->holder.attempt, this->holder.incarnation};
    return query_agent{this->holder.server, {key, true}};
}

auto claimant::query_later(time_point now) -> claim_step
{
    return wait_until{std::min(now + this->config.query_interval, this->deadline)};
}

auto claimant::replace_holder() -> claim_step
{
    // The agent recorded a refusal and refuses every later copy of that run, so nothing can run
    // under the holder's claim. If several entries replace it at once, the log decides.
    if (this->claims_made >= this->config.max_claims) {
        return this->refuse(result_code::claims_unavailable);
    }
    ++this->claims_made;
    this->arbiter_rank = 0;
    this->claim.replaces = this->holder_offset;
    return this->send();
}

auto claimant::refuse(result_code code) const -> claim_step
{
    common::log(
        common::log_part::claims,
        common::log_level::info,
        "key not granted request=" + common::to_string(this->claim.request) +
            " why=" + std::string{common::row_of(code).name});
    claim_refused refused{common::make_error(code)};
    if (this->holder_offset.value() != 0) {
        refused.holder = this->holder;
    }
    return refused;
}

} // namespace reedramp::claims
