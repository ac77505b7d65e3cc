#include "claim_route.hpp"

#include <utility>

namespace reedramp::entry_program {

namespace {

/// Keepers asked to decide on a name.
constexpr std::size_t name_tries = 2;

} // namespace

auto claim_route::ask_arbiter(
    std::size_t rank,
    messages::claim_request wanted,
    messages::answer_hook<messages::claim_answer> done) -> void
{
    const auto order = this->with.claim_arbiters->ranked_entries(wanted, rank + 1);
    if (rank >= order.size()) {
        done(common::failure(common::result_code::peer_unavailable, "no further entry"));
        return;
    }
    const auto& arbiter = order[rank];
    if (arbiter == this->with.self) {
        this->with.claim_arbiters->claim(std::move(wanted), std::move(done));
        return;
    }
    const auto address = this->with.hosts->address_of(arbiter);
    if (address.value().empty()) {
        done(common::failure(common::result_code::peer_unavailable, "no address of the arbiter"));
        return;
    }
    this->with.peers.claim(address, std::move(wanted), std::move(done));
}

auto claim_route::ask_agent(
    const common::server_id& server,
    const messages::outcome_query& query,
    messages::answer_hook<messages::outcome_answer> done) -> void
{
    const auto found = this->with.members->find(server);
    if (!found || found->rpc.value().empty()) {
        done(common::failure(common::result_code::not_found, "no address of the agent"));
        return;
    }
    this->with.agents.ask(found->rpc, query, std::move(done));
}

auto claim_route::claim_key(
    messages::claim_request wanted,
    common::time_point deadline,
    std::function<auto(claims::claim_result end)->void> done) -> void
{
    claims::claim_client_hooks hooks;
    hooks.now = this->with.now;
    hooks.timer = this->with.timer;
    hooks.claim = [self = this->shared_from_this()](
                      std::size_t rank,
                      messages::claim_request claim,
                      messages::answer_hook<messages::claim_answer> answer) {
        self->ask_arbiter(rank, std::move(claim), std::move(answer));
    };
    hooks.query_outcome = [self = this->shared_from_this()](
                              const common::server_id& server,
                              const messages::outcome_query& query,
                              messages::answer_hook<messages::outcome_answer> answer) {
        self->ask_agent(server, query, std::move(answer));
    };
    claims::claim_key({}, hooks, std::move(wanted), deadline, std::move(done));
}

auto claim_route::claim_name(
    messages::claim_request wanted, messages::answer_hook<messages::claim_answer> done) -> void
{
    this->name_from(0, std::move(wanted), std::move(done));
}

auto claim_route::name_from(
    std::size_t rank,
    messages::claim_request wanted,
    messages::answer_hook<messages::claim_answer> done) -> void
{
    this->ask_arbiter(
        rank,
        wanted,
        [self = this->shared_from_this(), rank, wanted, done = std::move(done)](
            common::result<messages::claim_answer> answer) {
            if (answer) {
                done(std::move(answer));
                return;
            }
            if (rank + 1 < name_tries) {
                self->name_from(rank + 1, wanted, done);
                return;
            }
            done(common::failure(common::result_code::claims_unavailable));
        });
}

} // namespace reedramp::entry_program
