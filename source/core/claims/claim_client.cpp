#include "claims/claim_client.hpp"

#include <mutex>
#include <utility>

namespace reedramp::claims {

namespace {

using common::result_code;
using common::time_point;

/// One claim in progress. Kept alive by its timer until the deadline.
class claim_operation : public std::enable_shared_from_this<claim_operation> {
public:
    claim_operation(
        const claimant_config& config,
        claim_client_hooks given,
        messages::claim_request claim,
        time_point until,
        std::function<auto(claim_result result)->void> callback)
        : hooks(std::move(given)), state_machine(config, std::move(claim), until), deadline(until),
          done(std::move(callback))
    {
    }

    auto start() -> void
    {
        // The timer keeps this object alive. An arbiter that is destroyed drops its callbacks
        // without calling them; without the timer the caller would then never get a result.
        this->hooks.timer(
            this->deadline, [self = this->shared_from_this()] { self->on_deadline(); });
        this->advance([](claimant& machine, time_point) { return machine.start(); }, 0);
    }

private:
    /// Passes the result of step `expected_step` to the claimant and executes its next step outside
    /// the lock. Results of an abandoned step are ignored.
    template <typename Event>
    auto advance(Event event, std::uint64_t expected_step) -> void
    {
        const auto now = this->hooks.now();
        std::optional<claim_step> next;
        std::uint64_t step_number = 0;
        {
            const std::lock_guard guard(this->lock);
            if (expected_step != this->current_step) {
                return;
            }
            step_number = ++this->current_step;
            next = event(this->state_machine, now);
            this->awaits_arbiter = std::holds_alternative<send_claim>(*next);
            this->awaits_agent = std::holds_alternative<query_agent>(*next);
        }
        std::visit([this, step_number](auto& step) { this->execute(step, step_number); }, *next);
    }

    auto execute(send_claim& step, std::uint64_t step_number) -> void
    {
        this->hooks.claim(
            step.arbiter_rank,
            std::move(step.claim),
            [self = this->shared_from_this(), step_number](auto answer) {
                self->on_answer(answer, step_number);
            });
    }

    auto execute(query_agent& step, std::uint64_t step_number) -> void
    {
        this->hooks.query_outcome(
            step.server, step.query, [self = this->shared_from_this(), step_number](auto answer) {
                self->on_answer(answer, step_number);
            });
    }

    auto execute(wait_until& step, std::uint64_t step_number) -> void
    {
        this->hooks.timer(step.when, [self = this->shared_from_this(), step_number] {
            self->advance(
                [](claimant& machine, time_point now) { return machine.on_wait_over(now); },
                step_number);
        });
    }

    template <typename Result>
    auto execute(Result& result, std::uint64_t /*step_number*/) -> void
    {
        std::exchange(this->done, nullptr)(std::move(result));
    }

    auto on_answer(const common::result<messages::claim_answer>& answer, std::uint64_t step_number)
        -> void
    {
        this->advance(
            [&answer](claimant& machine, time_point now) { return machine.on_claim(answer, now); },
            step_number);
    }

    auto
    on_answer(const common::result<messages::outcome_answer>& answer, std::uint64_t step_number)
        -> void
    {
        this->advance(
            [&answer](claimant& machine, time_point now) {
                return machine.on_outcome(answer, now);
            },
            step_number);
    }

    /// Treats a missing answer as an unreachable process.
    auto on_deadline() -> void
    {
        std::uint64_t step_number = 0;
        auto from_arbiter = false;
        {
            const std::lock_guard guard(this->lock);
            if (!this->awaits_arbiter && !this->awaits_agent) {
                return;
            }
            step_number = this->current_step;
            from_arbiter = this->awaits_arbiter;
        }
        const auto lost = common::failure(result_code::peer_unavailable, "no answer in time");
        if (from_arbiter) {
            this->on_answer(common::result<messages::claim_answer>{lost}, step_number);
        }
        else {
            this->on_answer(common::result<messages::outcome_answer>{lost}, step_number);
        }
    }

    claim_client_hooks hooks;
    std::mutex lock;
    claimant state_machine;
    const time_point deadline;
    std::function<auto(claim_result result)->void> done;
    /// Number of the current step; an answer to an earlier step is ignored.
    std::uint64_t current_step = 0;
    /// Which answer the current step waits for, if any.
    bool awaits_arbiter = false;
    bool awaits_agent = false;
};

} // namespace

auto claim_key(
    const claimant_config& config,
    const claim_client_hooks& hooks,
    messages::claim_request claim,
    time_point deadline,
    std::function<auto(claim_result result)->void> done) -> void
{
    const auto run = std::make_shared<claim_operation>(
        config, hooks, std::move(claim), deadline, std::move(done));
    run->start();
}

} // namespace reedramp::claims
