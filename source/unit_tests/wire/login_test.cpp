#include <atomic>
#include <memory>
#include <string>
#include <utility>

#include <capnp/rpc-twoparty.h>
#include <catch2/catch.hpp>
#include <kj/async.h>

#include "wire/codec_values.hpp"
#include "wire/loop_thread.hpp"
#include "wire/proof.hpp"
#include "wire/served_calls.hpp"
#include "wire/socket.hpp"

#include "loopback.hpp"

namespace reedramp::wire {

namespace {

using namespace testing;

/// A server's first object, called in the test's own loop.
struct doorstep {
    doorstep()
    {
        auto closing = kj::newPromiseAndFulfiller<void>();
        this->login->close = kj::mv(closing.fulfiller);
        this->closed = kj::mv(closing.promise);
        this->core->options = server_defaults();
        this->process = make_process(this->core, this->login).castAs<schema::Process>();
    }

    auto challenge(const std::string& nonce) -> capnp::Response<schema::Process::ChallengeResults>
    {
        auto request = this->process.challengeRequest();
        request.setNonce(as_data(nonce));
        return request.send().wait(this->scope);
    }

    auto log_in(schema::Login::Client into, const std::string& proof) -> void
    {
        auto request = into.loginRequest();
        request.setProof(as_data(proof));
        request.send().wait(this->scope);
    }

    kj::EventLoop loop;
    kj::WaitScope scope{loop};
    std::shared_ptr<server_core> core = std::make_shared<server_core>();
    std::shared_ptr<login_state> login = std::make_shared<login_state>();
    kj::Promise<void> closed = nullptr;
    schema::Process::Client process = nullptr;
};

/// A server without the key that lets everybody in, and counts who comes.
class rogue_login final : public schema::Login::Server {
public:
    explicit rogue_login(std::atomic<int>& counter) : count(counter) {}

    virtual ~rogue_login() = default;

    auto login(LoginContext /*context*/) -> kj::Promise<void> override
    {
        ++this->count;
        return kj::READY_NOW;
    }

private:
    std::atomic<int>& count;
};

class rogue_process final : public schema::Process::Server {
public:
    explicit rogue_process(std::atomic<int>& counter) : count(counter) {}

    virtual ~rogue_process() = default;

    auto challenge(ChallengeContext context) -> kj::Promise<void> override
    {
        const auto theirs = to_string(context.getParams().getNonce());
        const auto ours = make_nonce();
        const auto proof = make_proof("another key", proving_side::server, theirs, ours);
        context.getResults().setNonce(as_data(ours));
        context.getResults().setProof(as_data(proof));
        context.getResults().setLogin(kj::heap<rogue_login>(this->count));
        return kj::READY_NOW;
    }

private:
    std::atomic<int>& count;
};

} // namespace

TEST_CASE("a server gives its calls away for the right proof only, and only one try")
{
    const auto nonce = make_nonce();
    enum class sent { right, other_key, reflected, empty };
    for (const auto kind : {sent::right, sent::other_key, sent::reflected, sent::empty}) {
        INFO(static_cast<int>(kind));
        doorstep door;
        const auto answer = door.challenge(nonce);
        const auto theirs = to_string(answer.getNonce());
        auto proof = make_proof(test_key, proving_side::client, nonce, theirs);
        if (kind == sent::right) {
            door.log_in(answer.getLogin(), proof);
            CHECK(door.login->proved);
            CHECK_THROWS_AS(door.log_in(answer.getLogin(), proof), kj::Exception);
            continue;
        }
        if (kind == sent::other_key) {
            proof = make_proof("another key", proving_side::client, nonce, theirs);
        }
        if (kind == sent::reflected) {
            proof = to_string(answer.getProof());
        }
        if (kind == sent::empty) {
            proof.clear();
        }
        CHECK_THROWS_AS(door.log_in(answer.getLogin(), proof), kj::Exception);
        CHECK_FALSE(door.login->proved);
        CHECK(door.closed.poll(door.scope));
    }
}

TEST_CASE("a challenge is made once a connection, with a nonce of full size")
{
    doorstep door;
    CHECK_THROWS_AS(door.challenge("short"), kj::Exception);
    static_cast<void>(door.challenge(make_nonce()));
    CHECK_THROWS_AS(door.challenge(make_nonce()), kj::Exception);
}

TEST_CASE("a client sends nothing to a server that cannot prove the key")
{
    // Another process listens on an agent's address and lets everybody in. It would read the
    // callers' texts and answer them. The client hangs up before it proves its own key, and the
    // run is reported as `not_run`.
    std::atomic<int> logins = 0;
    loop_thread thread;
    std::unique_ptr<capnp::TwoPartyServer> rogue;
    kj::Own<kj::ConnectionReceiver> listener;
    kj::Promise<void> serving = nullptr;
    const auto port = thread.run([&] {
        rogue = std::make_unique<capnp::TwoPartyServer>(kj::heap<rogue_process>(logins));
        const auto where = make_address("127.0.0.1", 0);
        auto& network = thread.io().getNetwork();
        listener = network.getSockaddr(&where->storage, where->length)->listen();
        serving = rogue->listen(*listener).eagerlyEvaluate(nullptr);
        return listener->getPort();
    });
    const auto client = rpc_client::create(client_defaults());
    reader caller;
    const messages::rpc_address to{"127.0.0.1:" + std::to_string(port)};
    client->agents().run(to, {}, caller.sink());
    const auto why = failure_of(caller.wait_end());
    CHECK(why.code == common::result_code::peer_unavailable);
    CHECK(why.run == common::execution::not_run);
    CHECK(logins == 0);
    thread.run([&] {
        serving = nullptr;
        listener = nullptr;
        rogue = nullptr;
    });
}

} // namespace reedramp::wire
