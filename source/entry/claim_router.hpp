#pragma once

#include <memory>

#include "claims/claim_arbiter_set.hpp"
#include "claims/claim_client.hpp"
#include "common/hooks.hpp"
#include "membership/host_watcher.hpp"
#include "membership/view.hpp"
#include "messages/channel.hpp"

namespace reedramp::entry_program {

/// Forwards claims to the entry that arbitrates their partition, which may be this one.
class claim_router : public std::enable_shared_from_this<claim_router> {
public:
    struct dependencies {
        common::host_id self;
        std::shared_ptr<claims::claim_arbiter_set> claim_arbiters;
        std::shared_ptr<membership::host_watcher> hosts;
        std::shared_ptr<membership::view> members;
        messages::peer_calls peers;
        messages::agent_calls agents;
        common::clock_hook now;
        common::timer_hook timer;
    };

    explicit claim_router(dependencies given) : deps(std::move(given)) {}

    /// Implements `entry::core_hooks::claim`.
    auto claim_key(
        messages::claim_request request,
        common::time_point deadline,
        std::function<auto(claims::claim_result end)->void> done) -> void;

    /// Implements `entry::core_hooks::claim_name`: the first arbiter that answers decides.
    auto
    claim_name(messages::claim_request request, messages::answer_hook<messages::claim_answer> done)
        -> void;

private:
    auto call_arbiter(
        std::size_t rank,
        messages::claim_request request,
        messages::answer_hook<messages::claim_answer> done) -> void;
    auto query_agent(
        const common::server_id& server,
        const messages::outcome_query& query,
        messages::answer_hook<messages::outcome_answer> done) -> void;
    auto claim_name_from(
        std::size_t rank,
        messages::claim_request request,
        messages::answer_hook<messages::claim_answer> done) -> void;

    const dependencies deps;
};

} // namespace reedramp::entry_program
