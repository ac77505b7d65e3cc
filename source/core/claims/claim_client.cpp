#include "claims/claim_client.hpp"

#include <mutex>
#include <utility>

namespace reedramp::claims {

namespace {

using common::result_code;
using common::time_point;

/// One claim under way. It lives until its deadline.
class claim_run : public std::enable_shared_from_this<claim_run> {
public:
    claim_run(
        const claimant_config& config,
        claim_client_hooks given,
        messages::claim_request wanted,
        time_point until,
        std::function<auto(claim_result end)->void> when_done)
        : hooks(std::move(given)), decisions(config, std::move(wanted), until), deadline(until),
          done(std::move(when_done))
    {
    }

    auto start() -> void
    {
        // The timer holds the run: a keeper that is torn down drops its callbacks uncalled, and
        // with them all else that refers to the run, whose caller would then wait for ever.
        this->hooks.timer(this->deadline, [self = this->shared_from_this()] { self->give_up(); });
        this->step([](claimant& decide, time_point) { return decide.start(); }, 0);
    }

private:
    /// Takes an event of turn `expected`, unless that turn was given up, and carries out what the
    /// claimant decides, outside the lock.
    template <typename Event>
    auto step(Event event, std::uint64_t expected) -> void
    {
        const auto now = this->hooks.now();
        std::optional<claim_step> next;
        std::uint64_t turn = 0;
        {
            const std::lock_guard guard(this->lock);
            if (expected != this->turns) {
                return;
            }
            turn = ++this->turns;
            next = event(this->decisions, now);
            this->awaits_arbiter = std::holds_alternative<send_claim>(*next);
            this->awaits_agent = std::holds_alternative<ask_holder>(*next);
        }
        std::visit([this, turn](auto& wanted) { this->carry_out(wanted, turn); }, *next);
    }

    auto carry_out(send_claim& wanted, std::uint64_t turn) -> void
    {
        this->hooks.claim(
            wanted.arbiter_rank,
            std::move(wanted.claim),
            [self = this->shared_from_this(), turn](auto answer) { self->take(answer, turn); });
    }

    auto carry_out(ask_holder& wanted, std::uint64_t turn) -> void
    {
        this->hooks.query_outcome(
            wanted.server, wanted.query, [self = this->shared_from_this(), turn](auto answer) {
                self->take(answer, turn);
            });
    }

    auto carry_out(wait_until& wanted, std::uint64_t turn) -> void
    {
        this->hooks.timer(wanted.when, [self = this->shared_from_this(), turn] {
            self->step(
                [](claimant& decide, time_point now) { return decide.on_wait_over(now); }, turn);
        });
    }

    template <typename End>
    auto carry_out(End& end, std::uint64_t /*turn*/) -> void
    {
        std::exchange(this->done, nullptr)(std::move(end));
    }

    auto take(const common::result<messages::claim_answer>& answer, std::uint64_t turn) -> void
    {
        this->step(
            [&answer](claimant& decide, time_point now) { return decide.on_claim(answer, now); },
            turn);
    }

    auto take(const common::result<messages::outcome_answer>& answer, std::uint64_t turn) -> void
    {
        this->step(
            [&answer](claimant& decide, time_point now) { return decide.on_outcome(answer, now); },
            turn);
    }

    /// An answer that has not come by the deadline counts as a process that cannot be reached.
    auto give_up() -> void
    {
        std::uint64_t turn = 0;
        auto from_arbiter = false;
        {
            const std::lock_guard guard(this->lock);
            if (!this->awaits_arbiter && !this->awaits_agent) {
                return;
            }
            turn = this->turns;
            from_arbiter = this->awaits_arbiter;
        }
        const auto lost = common::failure(result_code::peer_unavailable, "no answer in time");
        if (from_arbiter) {
            this->take(common::result<messages::claim_answer>{lost}, turn);
        }
        else {
            this->take(common::result<messages::outcome_answer>{lost}, turn);
        }
    }

    claim_client_hooks hooks;
    std::mutex lock;
    claimant decisions;
    const time_point deadline;
    std::function<auto(claim_result end)->void> done;
    /// Numbers the steps, so that an answer that was given up is not taken later.
    std::uint64_t turns = 0;
    /// What the running turn waits for, if it is an answer.
    bool awaits_arbiter = false;
    bool awaits_agent = false;
};

} // namespace

auto claim_key(
    const claimant_config& config,
    const claim_client_hooks& hooks,
    messages::claim_request wanted,
    time_point deadline,
    std::function<auto(claim_result end)->void> done) -> void
{
    const auto run =
        std::make_shared<claim_run>(config, hooks, std::move(wanted), deadline, std::move(done));
    run->start();
}

} // namespace reedramp::claims
