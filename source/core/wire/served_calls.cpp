#include "wire/served_calls.hpp"

#include <string>
#include <type_traits>
#include <utility>

#include "common/log.hpp"
#include "wire/codec.hpp"
#include "wire/codec_values.hpp"
#include "wire/payload.hpp"
#include "wire/proof.hpp"
#include "wire/require.hpp"
#include "wire/served_run.hpp"

namespace reedramp::wire {

namespace {

/// Counts a call as running while it lives.
class running_call {
public:
    explicit running_call(std::shared_ptr<server_core> of) : core(std::move(of))
    {
        ++this->core->running;
    }

    running_call(const running_call&) = delete;
    running_call(running_call&&) = default;
    auto operator=(const running_call&) -> running_call& = delete;
    auto operator=(running_call&&) -> running_call& = delete;

    ~running_call()
    {
        if (this->core != nullptr) {
            --this->core->running;
        }
    }

private:
    std::shared_ptr<server_core> core;
};

/// Cancels a run when its call is dropped: the caller cancelled it, or the connection is lost.
class run_guard {
public:
    explicit run_guard(std::shared_ptr<served_run> of) : run(std::move(of)) {}

    run_guard(const run_guard&) = delete;
    run_guard(run_guard&&) = default;
    auto operator=(const run_guard&) -> run_guard& = delete;
    auto operator=(run_guard&&) -> run_guard& = delete;

    ~run_guard()
    {
        if (this->run != nullptr) {
            this->run->abandon();
        }
    }

private:
    std::shared_ptr<served_run> run;
};

/// The answer that a hook gives, on whichever thread, as a promise of the loop. A hook that is
/// dropped without an answer breaks the promise.
template <typename Answer, typename Hook, typename Query>
auto await_answer(const std::shared_ptr<task_queue>& queue, const Hook& hook, Query query)
    -> kj::Promise<common::result<Answer>>
{
    using fulfiller = kj::PromiseFulfiller<common::result<Answer>>;
    auto pair = kj::newPromiseAndFulfiller<common::result<Answer>>();
    auto waiting = make_loop_owned<kj::Own<fulfiller>>(queue, kj::mv(pair.fulfiller));
    hook(std::move(query), [queue, waiting](common::result<Answer> answer) {
        queue->post([waiting, given = std::move(answer)]() mutable {
            (*waiting)->fulfill(std::move(given));
        });
    });
    return kj::mv(pair.promise);
}

template <typename Answer, typename Results>
auto put_answer(Results results, const Answer& answer, common::time_point now) -> void
{
    if constexpr (std::is_same_v<Answer, messages::accepted>) {
        return;
    }
    else if constexpr (requires { encode(answer, now, results.initAnswer()); }) {
        encode(answer, now, results.initAnswer());
    }
    else {
        encode(answer, results.initAnswer());
    }
}

/// Serves one call that has one answer.
template <typename Answer, typename Context, typename Hook, typename Query>
auto serve_call(
    const std::shared_ptr<server_core>& core, Context context, const Hook& hook, Query query)
    -> kj::Promise<void>
{
    context.releaseParams();
    if (!hook) {
        const auto why = common::make_error(common::result_code::peer_unavailable, "not offered");
        encode(why, core->options.now(), context.getResults().initError());
        return kj::READY_NOW;
    }
    context.allowCancellation();
    running_call running(core);
    auto answered = await_answer<Answer>(core->queue, hook, std::move(query));
    return answered
        .then([core, context](common::result<Answer> answer) mutable {
            if (answer && payload_bytes(*answer) > core->options.message_limit_bytes) {
                answer = common::failure(common::result_code::body_too_large, "answer");
            }
            const auto now = core->options.now();
            if (answer) {
                put_answer(context.getResults(), *answer, now);
            }
            else {
                encode(answer.error(), now, context.getResults().initError());
            }
        })
        .attach(std::move(running));
}

class agent_server final : public schema::Agent::Server {
public:
    explicit agent_server(std::shared_ptr<server_core> of) : core(std::move(of)) {}

    virtual ~agent_server() = default;

    auto run(RunContext context) -> kj::Promise<void> override
    {
        if (!this->core->agent.run) {
            auto why = common::make_error(common::result_code::peer_unavailable, "no agent");
            this->put_end(context, {messages::failed_event{std::move(why), {}}, 0});
            return kj::READY_NOW;
        }
        auto request = decode(context.getParams().getRequest());
        auto served = make_loop_owned<served_run>(
            this->core->queue,
            this->core->queue,
            context.getParams().getSink(),
            this->core->options.stream_window_bytes);
        context.releaseParams();
        context.allowCancellation();
        running_call running(this->core);
        auto ended = served->start(this->core->agent.run, std::move(request));
        return ended
            .then(
                [this, context](served_end end) mutable { this->put_end(context, std::move(end)); })
            .attach(run_guard(std::move(served)), std::move(running), this->thisCap());
    }

    auto ask(AskContext context) -> kj::Promise<void> override
    {
        auto query = decode(context.getParams().getQuery());
        return serve_call<messages::outcome_answer>(
            this->core, context, this->core->agent.ask, query);
    }

    auto probe(ProbeContext context) -> kj::Promise<void> override
    {
        auto request = decode(context.getParams().getRequest());
        return serve_call<messages::probe_answer>(
            this->core, context, this->core->agent.probe, std::move(request));
    }

private:
    auto put_end(RunContext context, served_end end) -> void
    {
        if (payload_bytes(end.event) > this->core->options.message_limit_bytes) {
            auto why = common::make_error(common::result_code::body_too_large, "answer");
            why.run = common::execution::ran;
            const auto used = std::get<messages::finished_event>(end.event).used;
            end.event = messages::failed_event{std::move(why), used};
        }
        const auto size = payload_bytes(end.event) / sizeof(capnp::word);
        auto results = context.getResults(capnp::MessageSize{size, 0});
        results.setMessages(end.messages);
        encode(end.event, this->core->options.now(), results.initEnd());
    }

    std::shared_ptr<server_core> core;
};

class peer_server final : public schema::Peer::Server {
public:
    explicit peer_server(std::shared_ptr<server_core> of) : core(std::move(of)) {}

    virtual ~peer_server() = default;

    auto pull(PullContext context) -> kj::Promise<void> override
    {
        auto query = decode(context.getParams().getPull());
        return serve_call<messages::configuration_push>(
            this->core, context, this->core->peer.pull, std::move(query));
    }

    auto claim(ClaimContext context) -> kj::Promise<void> override
    {
        auto query = decode(context.getParams().getClaim());
        return serve_call<messages::claim_answer>(
            this->core, context, this->core->peer.claim, std::move(query));
    }

    auto handover(HandoverContext context) -> kj::Promise<void> override
    {
        auto bills = decode(context.getParams().getBills());
        return serve_call<messages::accepted>(
            this->core, context, this->core->peer.hand_over, std::move(bills));
    }

    auto talk(TalkContext context) -> kj::Promise<void> override
    {
        auto news = decode(context.getParams().getNews());
        return serve_call<messages::gossip>(
            this->core, context, this->core->peer.talk, std::move(news));
    }

private:
    std::shared_ptr<server_core> core;
};

class login_server final : public schema::Login::Server {
public:
    login_server(
        std::shared_ptr<server_core> of, std::shared_ptr<login_state> state, std::string expected)
        : core(std::move(of)), login_of(std::move(state)), proof(std::move(expected))
    {
    }

    virtual ~login_server() = default;

    auto login(LoginContext context) -> kj::Promise<void> override
    {
        const bool tried = std::exchange(this->used, true);
        const auto offered = to_string(context.getParams().getProof());
        if (tried || !same_proof(offered, this->proof)) {
            common::log(
                common::log_part::wire, common::log_level::warning, "peer has a wrong shared key");
            this->login_of->close->fulfill();
            require(false, "wrong proof");
        }
        this->login_of->proved = true;
        context.getResults().setAgent(kj::heap<agent_server>(this->core));
        context.getResults().setPeer(kj::heap<peer_server>(this->core));
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<server_core> core;
    std::shared_ptr<login_state> login_of;
    std::string proof;
    bool used = false;
};

class process_server final : public schema::Process::Server {
public:
    process_server(std::shared_ptr<server_core> of, std::shared_ptr<login_state> state)
        : core(std::move(of)), login_of(std::move(state))
    {
    }

    virtual ~process_server() = default;

    auto challenge(ChallengeContext context) -> kj::Promise<void> override
    {
        const auto theirs = to_string(context.getParams().getNonce());
        require(theirs.size() == nonce_bytes, "nonce of a wrong size");
        require(!std::exchange(this->login_of->challenged, true), "second challenge");
        const auto ours = make_nonce();
        const std::string_view key = this->core->options.shared_key;
        const auto proof = make_proof(key, proving_side::server, theirs, ours);
        auto expected = make_proof(key, proving_side::client, theirs, ours);
        auto results = context.getResults();
        results.setNonce(as_data(ours));
        results.setProof(as_data(proof));
        results.setLogin(kj::heap<login_server>(this->core, this->login_of, std::move(expected)));
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<server_core> core;
    std::shared_ptr<login_state> login_of;
};

} // namespace

auto make_process(std::shared_ptr<server_core> core, std::shared_ptr<login_state> login)
    -> capnp::Capability::Client
{
    return kj::heap<process_server>(std::move(core), std::move(login));
}

} // namespace reedramp::wire
