#pragma once

#include <functional>
#include <memory>
#include <string>

#include "common/result.hpp"
#include "common/strong.hpp"
#include "messages/peer.hpp"
#include "messages/run.hpp"

namespace reedramp::messages {

/// Address of a process of the system: "IP:port" of its RPC listener.
using rpc_address = common::strong<struct rpc_address_tag, std::string>;

/// A run under way, seen by the side that reads its events.
class run_handle {
public:
    virtual ~run_handle() = default;

    /// The caller has left. The reader gets no further event.
    virtual auto cancel() -> void = 0;

    /// Stops and resumes the flow of `tokens_event`s, all the way back to the engine. Pieces that
    /// are already under way still come after a pause.
    virtual auto pause() -> void = 0;
    virtual auto resume() -> void = 0;
};

/// Receives the events of one run in order: any number of `tokens_event`, then exactly one other.
/// May be called from any thread, but never from inside `run` itself.
using run_sink = std::function<auto(run_event event)->void>;

template <typename Answer>
using answer_hook = std::function<auto(common::result<Answer> answer)->void>;

/// How an entry reaches agents. `wire` implements these over RPC; tests call an agent's core.
///
/// Errors: a connection that could not be made gives `peer_unavailable` with `not_run`; one that
/// was lost after the message was handed to the socket gives `server_lost` with `unknown`. For
/// `run` they come as a `failed_event`.
struct agent_calls {
    std::function<auto(const rpc_address& to, run_request request, run_sink sink)
                      ->std::shared_ptr<run_handle>>
        run;
    std::function<
        auto(const rpc_address& to, outcome_query query, answer_hook<outcome_answer> done)->void>
        ask;
    std::function<
        auto(const rpc_address& to, probe_request request, answer_hook<probe_answer> done)->void>
        probe;
};

struct accepted {};

/// How any process reaches another one of the system. Agents answer only `pull`.
struct peer_calls {
    std::function<
        auto(const rpc_address& to, configuration_pull pull, answer_hook<configuration_push> done)
            ->void>
        pull;
    std::function<
        auto(const rpc_address& to, claim_request claim, answer_hook<claim_answer> done)->void>
        claim;
    std::function<
        auto(const rpc_address& to, bill_handover bills, answer_hook<accepted> done)->void>
        hand_over;
    std::function<auto(const rpc_address& to, gossip news, answer_hook<gossip> done)->void> talk;
};

/// What an agent's core offers to `wire`; the mirror of `agent_calls`.
struct agent_service {
    std::function<auto(run_request request, run_sink sink)->std::shared_ptr<run_handle>> run;
    std::function<auto(outcome_query query, answer_hook<outcome_answer> done)->void> ask;
    std::function<auto(probe_request request, answer_hook<probe_answer> done)->void> probe;
};

/// What a process offers to its peers; the mirror of `peer_calls`. An empty hook is answered with
/// `peer_unavailable`.
struct peer_service {
    std::function<auto(configuration_pull pull, answer_hook<configuration_push> done)->void> pull;
    std::function<auto(claim_request claim, answer_hook<claim_answer> done)->void> claim;
    std::function<auto(bill_handover bills, answer_hook<accepted> done)->void> hand_over;
    std::function<auto(gossip news, answer_hook<gossip> done)->void> talk;
};

} // namespace reedramp::messages
