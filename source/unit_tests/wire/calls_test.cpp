#include <array>
#include <memory>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loopback.hpp"

namespace reedramp::wire {

namespace {

using namespace testing;
using common::execution;
using common::result_code;

/// A plain socket, for a peer that does not speak RPC.
struct plain_socket {
    plain_socket() : number(::socket(AF_INET, SOCK_STREAM, 0)) {}

    plain_socket(const plain_socket&) = delete;
    auto operator=(const plain_socket&) -> plain_socket& = delete;

    ~plain_socket() { ::close(this->number); }

    auto listen() const -> messages::rpc_address
    {
        sockaddr_in where = loopback(0);
        socklen_t size = sizeof(where);
        auto* generic = reinterpret_cast<sockaddr*>(&where);
        REQUIRE(::bind(this->number, generic, size) == 0);
        REQUIRE(::listen(this->number, 4) == 0);
        REQUIRE(::getsockname(this->number, generic, &size) == 0);
        return messages::rpc_address{"127.0.0.1:" + std::to_string(ntohs(where.sin_port))};
    }

    auto connect(const messages::rpc_address& to) const -> void
    {
        const auto& text = to.value();
        sockaddr_in where =
            loopback(static_cast<std::uint16_t>(std::stoi(text.substr(text.rfind(':') + 1))));
        REQUIRE(::connect(this->number, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0);
    }

    static auto loopback(std::uint16_t port) -> sockaddr_in
    {
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_port = htons(port);
        where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return where;
    }

    int number;
};

auto probe(rpc_client& client, const messages::rpc_address& to)
    -> common::result<messages::probe_answer>
{
    return call<messages::probe_answer>(
        client.agents().probe, to, messages::probe_request{common::version_id{"v"}, 0});
}

auto require_not_reached(const common::result<messages::probe_answer>& answer) -> void
{
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == result_code::peer_unavailable);
    CHECK(answer.error().run == execution::not_run);
}

} // namespace

TEST_CASE("each call of a peer reaches its hook and brings its answer back")
{
    messages::peer_service peer;
    peer.pull = [](const messages::configuration_pull& pull, const auto& done) {
        messages::configuration_push push;
        push.offset = pull.have;
        push.checkpoint = "checkpoint";
        done(push);
    };
    peer.claim = [](const messages::claim_request& claim, const auto& done) {
        messages::claim_answer answer;
        answer.state = messages::claim_state::won;
        answer.holder = claim;
        // From another thread, as a keeper that waits for the log does.
        std::thread([done, answer] { done(answer); }).join();
    };
    peer.hand_over = [](const messages::bill_handover& bills, const auto& done) {
        if (bills.bills.size() == 1) {
            done(messages::accepted{});
        }
    };
    peer.talk = [](const messages::gossip& /*news*/, const auto& done) {
        done(common::failure(result_code::shutting_down, "leaving"));
    };
    const auto server = start_server(messages::agent_service{}, peer);
    const auto client = rpc_client::create(client_defaults());
    const auto calls = client->peers();
    const auto to = server->address();

    const auto push = call<messages::configuration_push>(
        calls.pull, to, messages::configuration_pull{common::log_offset{9}, {}});
    REQUIRE(push);
    CHECK(push->offset == common::log_offset{9});
    CHECK(push->checkpoint == "checkpoint");
    messages::claim_request claim;
    claim.key = {1, 2};
    const auto won = call<messages::claim_answer>(calls.claim, to, claim);
    REQUIRE(won);
    CHECK(won->holder == claim);
    CHECK(call<messages::accepted>(calls.hand_over, to, messages::bill_handover{{{}}}));
    const auto talk = call<messages::gossip>(calls.talk, to, messages::gossip{});
    REQUIRE_FALSE(talk);
    CHECK(talk.error() == common::make_error(result_code::shutting_down, "leaving"));
}

TEST_CASE("a hook that is not offered answers that it is not")
{
    const auto server = start_server(messages::agent_service{});
    const auto client = rpc_client::create(client_defaults());
    require_not_reached(probe(*client, server->address()));
    reader caller;
    client->agents().run(server->address(), {}, caller.sink());
    CHECK(failure_of(caller.wait_end()).run == execution::not_run);
}

TEST_CASE("a hook that throws or never answers gives an error and spoils no other call")
{
    messages::agent_service agent;
    agent.ask = [](const messages::outcome_query& query, const auto& /*done*/) {
        if (query.refuse_if_unknown) {
            throw std::runtime_error("thrown by the test");
        }
    };
    agent.probe = [](const messages::probe_request& /*request*/, const auto& done) {
        done(messages::probe_answer{});
    };
    const auto server = start_server(agent);
    const auto client = rpc_client::create(client_defaults());
    for (const bool throws : {true, false}) {
        const auto answer = call<messages::outcome_answer>(
            client->agents().ask, server->address(), messages::outcome_query{{}, throws});
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == result_code::internal_error);
        CHECK(answer.error().run == execution::unknown);
    }
    CHECK(probe(*client, server->address()));
}

TEST_CASE("a call without an answer ends after its time as unknown")
{
    mailbox<messages::answer_hook<messages::probe_answer>> kept;
    messages::agent_service agent;
    agent.probe = [&kept](const messages::probe_request& /*request*/, const auto& done) {
        kept.put(done);
    };
    const auto server = start_server(agent);
    auto options = client_defaults();
    options.call_timeout = std::chrono::milliseconds{50};
    const auto client = rpc_client::create(options);
    const auto answer = probe(*client, server->address());
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == result_code::server_lost);
    CHECK(answer.error().run == execution::unknown);
    (*kept.take())(messages::probe_answer{}); // late, dropped
}

TEST_CASE("who is not reached has not run anything")
{
    // The caller sees `not_run`, which lets it try elsewhere: nobody listens, the address is none,
    // or the connection is accepted by the kernel and the process behind it never answers.
    auto options = client_defaults();
    const plain_socket silent;
    const auto silent_address = silent.listen();
    std::string closed;
    {
        const plain_socket gone;
        closed = gone.listen().value();
    }
    for (const auto& address : {closed, std::string("entry-1:80"), std::string("127.0.0.1")}) {
        INFO(address);
        const auto client = rpc_client::create(options);
        require_not_reached(probe(*client, messages::rpc_address{address}));
    }
    options.connect_timeout = std::chrono::milliseconds{50};
    const auto client = rpc_client::create(options);
    require_not_reached(probe(*client, silent_address));
}

TEST_CASE("connections over the limit are closed, and those within it stay")
{
    fake_agent agent;
    auto options = server_defaults();
    options.connection_limit = 1;
    const auto server = start_server(options, agent.service());
    const auto first = rpc_client::create(client_defaults());
    REQUIRE(probe(*first, server->address()));
    const auto second = rpc_client::create(client_defaults());
    require_not_reached(probe(*second, server->address()));
    CHECK(probe(*first, server->address()));
}

TEST_CASE("without the shared key there is nothing to call")
{
    // One side has another key, say from a settings file of another installation. The client is not
    // given anything to call, and sends no work to a server that cannot prove the key either.
    fake_agent agent;
    const auto server = start_server(agent.service());
    auto options = client_defaults();
    options.shared_key = "another key";
    const auto stranger = rpc_client::create(options);
    require_not_reached(probe(*stranger, server->address()));
    reader caller;
    stranger->agents().run(server->address(), {}, caller.sink());
    CHECK(failure_of(caller.wait_end()).run == execution::not_run);
    CHECK(agent.runs.size() == 0);

    const auto client = rpc_client::create(client_defaults());
    CHECK(probe(*client, server->address()));
}

TEST_CASE("a peer that does not speak RPC loses its connection, and nobody else does")
{
    fake_agent agent;
    auto options = server_defaults();
    options.login_timeout = std::chrono::milliseconds{100};
    const auto server = start_server(options, agent.service());
    const auto client = rpc_client::create(client_defaults());
    REQUIRE(probe(*client, server->address()));
    // Text, a frame of 4 GiB, a frame of many segments, and silence.
    const auto openings = std::array<std::string, 4>{
        "GET / HTTP/1.1\r\n\r\n",
        std::string("\0\0\0\0\xff\xff\xff\x1f", 8),
        std::string("\xff\xff\xff\xff\0\0\0\0", 8),
        std::string()};
    for (const auto& opening : openings) {
        const plain_socket stranger;
        stranger.connect(server->address());
        REQUIRE(
            ::send(stranger.number, opening.data(), opening.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(opening.size()));
        // Reads until the server closes; it may say why first.
        std::array<char, 4096> answer{};
        while (::recv(stranger.number, answer.data(), answer.size(), 0) > 0) {
        }
    }
    CHECK(probe(*client, server->address()));
}

TEST_CASE("an idle connection is closed, and opened again on demand")
{
    fake_agent agent;
    const auto server = start_server(agent.service());
    auto options = client_defaults();
    options.idle_timeout = std::chrono::milliseconds{20};
    std::atomic<int> lost = 0;
    options.on_connection_lost = [&lost](const auto&) {
        ++lost;
    };
    const auto client = rpc_client::create(options);
    REQUIRE(probe(*client, server->address()));
    const auto give_up = std::chrono::steady_clock::now() + patience;
    while (client->connections() != 0 && std::chrono::steady_clock::now() < give_up) {
        std::this_thread::yield();
    }
    CHECK(client->connections() == 0);
    CHECK(lost == 0);
    CHECK(probe(*client, server->address()));
}

TEST_CASE("addresses and settings that cannot be used are refused at the start")
{
    struct row {
        std::string ip;
        std::string key;
    };

    for (const auto& [ip, key] :
         {row{"entry-1", test_key}, row{"127.0.0.1", ""}, row{"203.0.113.1", test_key}}) {
        INFO(ip);
        auto options = server_defaults();
        options.ip = ip;
        options.shared_key = key;
        const auto server = rpc_server::start(options, {}, {});
        REQUIRE_FALSE(server);
        CHECK(server.error().code == result_code::invalid_settings);
    }
}

} // namespace reedramp::wire
