#include "claim_router.hpp"

#include <utility>

namespace reedramp::entry_program {

namespace {

/// Maximum number of arbiters that are asked about a session name.
constexpr std::size_t max_name_attempts = 2;

} // namespace

auto claim_router::call_arbiter(
    std::size_t rank,
    messages::claim_request request,
    messages::answer_hook<messages::claim_answer> done) -> void
{
    const auto order = this->deps.claim_arbiters->ranked_entries(request, rank + 1);
    if (rank >= order.size()) {
        done(common::failure(
            common::result_code::peer_unavailable, "no other entry can arbitrate the claim"));
        return;
    }
    const auto& arbiter = order[rank];
    if (arbiter == this->deps.self) {
        this->deps.claim_arbiters->claim(std::move(request), std::move(done));
        return;
    }
    const auto address = this->deps.hosts->address_of(arbiter);
    if (address.value().empty()) {
        done(common::failure(
            common::result_code::peer_unavailable, "the address of the claim arbiter is unknown"));
        return;
    }
    this->deps.peers.claim(address, std::move(request), std::move(done));
}

auto claim_router::query_agent(
    const common::server_id& server,
    const messages::outcome_query& query,
    messages::answer_hook<messages::outcome_answer> done) -> void
{
    const auto found = this->deps.members->find(server);
    if (!found || found->rpc.value().empty()) {
        done(
            common::failure(common::result_code::not_found, "the address of the agent is unknown"));
        return;
    }
    this->deps.agents.ask(found->rpc, query, std::move(done));
}

auto claim_router::claim_key(
    messages::claim_request request,
    common::time_point deadline,
    std::function<auto(claims::claim_result end)->void> done) -> void
{
    claims::claim_client_hooks hooks;
    hooks.now = this->deps.now;
    hooks.timer = this->deps.timer;
    hooks.claim = [self = this->shared_from_this()](
                      std::size_t rank,
                      messages::claim_request claim,
                      messages::answer_hook<messages::claim_answer> answer) {
        self->call_arbiter(rank, std::move(claim), std::move(answer));
    };
    hooks.query_outcome = [self = this->shared_from_this()](
                              const common::server_id& server,
                              const messages::outcome_query& query,
                              messages::answer_hook<messages::outcome_answer> answer) {
        self->query_agent(server, query, std::move(answer));
    };
    claims::claim_key({}, hooks, std::move(request), deadline, std::move(done));
}

auto claim_router::claim_name(
    messages::claim_request request, messages::answer_hook<messages::claim_answer> done) -> void
{
    this->claim_name_from(0, std::move(request), std::move(done));
}

auto claim_router::claim_name_from(
    std::size_t rank,
    messages::claim_request request,
    messages::answer_hook<messages::claim_answer> done) -> void
{
    this->call_arbiter(
        rank,
        request,
        [self = this->shared_from_this(), rank, request, done = std::move(done)](
            common::result<messages::claim_answer> answer) {
            if (answer) {
                done(std::move(answer));
                return;
            }
            if (rank + 1 < max_name_attempts) {
                self->claim_name_from(rank + 1, request, done);
                return;
            }
            done(common::failure(common::result_code::claims_unavailable));
        });
}

} // namespace reedramp::entry_program
