#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "loopback.hpp"

namespace reedramp::wire {

namespace {

using namespace testing;
using common::execution;
using common::result_code;

} // namespace

TEST_CASE("a run's request arrives whole, and its events in order with one end")
{
    fake_agent agent;
    const auto server = start_server(agent.service());
    const auto client = rpc_client::create(client_defaults());
    messages::run_request request;
    request.key = {{1, 2}, common::attempt_number{3}, common::incarnation_id{4}};
    request.version = common::version_id{"v"};
    request.time_left = std::chrono::seconds{9};
    request.body = std::string("body\0with a zero", 16);
    reader caller;
    client->agents().run(server->address(), request, caller.sink());
    const auto run = *agent.runs.take();
    CHECK(run->request == request);

    for (std::uint64_t index = 0; index < 1000; ++index) {
        run->sink(tokens(index, "t" + std::to_string(index) + " "));
    }
    run->sink(finished(1000));
    run->sink(finished(7)); // late, dropped
    run->sink(tokens(1000, "late"));
    const auto end = caller.wait_end();
    REQUIRE(end);
    CHECK(*end == messages::run_event{finished(1000)});
    CHECK(caller.in_order);
    CHECK(caller.next_index == 1000);
    CHECK(caller.text.substr(caller.text.size() - 10) == "t998 t999 ");
}

TEST_CASE("a refusal with a time for a new try reaches the caller as it was given")
{
    fake_agent agent;
    const auto server = start_server(agent.service());
    const auto client = rpc_client::create(client_defaults());
    reader caller;
    client->agents().run(server->address(), {}, caller.sink());
    auto why = common::make_error(result_code::queue_full, "full");
    why.retry_at = test_now + std::chrono::seconds{3};
    const messages::run_event refusal = messages::refused_event{why, std::chrono::seconds{3}};
    (*agent.runs.take())->sink(refusal);
    CHECK(caller.wait_end() == refusal);
}

TEST_CASE("many runs at once, fed by several threads, stay apart and whole")
{
    constexpr int runs = 64;
    constexpr int feeders = 4;
    constexpr std::uint64_t count = 300;
    fake_agent agent;
    const auto server = start_server(agent.service());
    auto options = client_defaults();
    options.threads = 2;
    const auto client = rpc_client::create(std::move(options));
    std::vector<reader> callers(runs);
    for (int index = 0; index < runs; ++index) {
        messages::run_request request;
        request.body = std::to_string(index);
        client->agents().run(server->address(), request, callers[index].sink());
    }
    std::vector<std::thread> threads;
    threads.reserve(feeders);
    for (int feeder = 0; feeder < feeders; ++feeder) {
        threads.emplace_back([&agent] {
            std::vector<std::shared_ptr<fake_run>> mine;
            mine.reserve(runs / feeders);
            for (int index = 0; index < runs / feeders; ++index) {
                mine.push_back(*agent.runs.take());
            }
            for (std::uint64_t index = 0; index < count; ++index) {
                for (const auto& run : mine) {
                    run->sink(tokens(index, run->request.body + " "));
                }
            }
            for (const auto& run : mine) {
                run->sink(finished(count));
            }
        });
    }
    for (int index = 0; index < runs; ++index) {
        auto& caller = callers[index];
        CHECK(caller.wait_end() == messages::run_event{finished(count)});
        CHECK(caller.in_order);
        CHECK(caller.next_index == count);
        CHECK(caller.text.size() == count * (std::to_string(index).size() + 1));
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(server->running_calls() == 0);
}

TEST_CASE("a caller that leaves cancels the run on the server's side")
{
    // The caller hangs up in the middle of a stream. The entry cancels the run, which drops the
    // call; the agent's handle hears of it, so that the engine stops. Nothing more reaches the
    // caller, also not what the engine still sends.
    fake_agent agent;
    const auto server = start_server(agent.service());
    const auto client = rpc_client::create(client_defaults());
    reader caller;
    const auto handle = client->agents().run(server->address(), {}, caller.sink());
    const auto run = *agent.runs.take();
    run->sink(tokens(0, "first"));
    REQUIRE(caller.events->take());
    handle->cancel();
    CHECK(run->signals.take() == signal::cancelled);
    run->sink(tokens(1, "late"));
    run->sink(finished(2));
    // A second call on the same connection comes after what the first might still have sent.
    REQUIRE(call<messages::probe_answer>(
        client->agents().probe, server->address(), messages::probe_request{}));
    CHECK(caller.events->size() == 0);
}

TEST_CASE("a slow reader pauses the engine, and memory stays bounded")
{
    // The caller stops reading. The entry pauses the run and holds the answer of the last message
    // back; the window fills, then the agent's inbox, and the agent pauses the engine. What the
    // engine could send until then is bounded, whatever it has left. When the caller reads on, the
    // engine resumes and nothing is missing.
    constexpr std::size_t window = 16'384;
    constexpr std::size_t bound = 8 * window;
    fake_agent agent;
    auto options = server_defaults();
    options.stream_window_bytes = window;
    const auto server = start_server(options, agent.service());
    const auto client = rpc_client::create(client_defaults());
    reader caller;
    const auto handle = client->agents().run(server->address(), {}, caller.sink());
    const auto run = *agent.runs.take();
    handle->pause();
    // The pause has reached the client's loop once a later call has been answered.
    REQUIRE(call<messages::probe_answer>(
        client->agents().probe, server->address(), messages::probe_request{}));
    const std::string piece(1000, 'x');
    std::uint64_t sent = 0;
    while (run->signals.size() == 0 && sent * piece.size() < 100 * bound) {
        run->sink(tokens(sent, piece));
        ++sent;
        // As an engine that makes its tokens one by one, and hears of a pause between two of them.
        REQUIRE(call<messages::probe_answer>(
            client->agents().probe, server->address(), messages::probe_request{}));
    }
    CHECK(sent * piece.size() <= bound);
    CHECK(run->signals.take() == signal::paused);
    handle->resume();
    CHECK(run->signals.take() == signal::resumed);
    run->sink(finished(sent));
    CHECK(caller.wait_end() == messages::run_event{finished(sent)});
    CHECK(caller.in_order);
    CHECK(caller.text.size() == sent * piece.size());
}

TEST_CASE("the end waits for the tokens before it, also when the engine ignores a pause")
{
    // A paused reader has not taken all tokens when the end arrives. Handed over first, the end
    // would make the answer look whole without them. The engine here does not stop when it is
    // paused: what gathers is sent in messages of one window each, under the limit of the reader.
    constexpr std::uint64_t count = 400;
    fake_agent agent;
    auto served = server_defaults();
    served.stream_window_bytes = 16'384;
    const auto server = start_server(served, agent.service());
    auto options = client_defaults();
    options.message_limit_bytes = 100'000;
    const auto client = rpc_client::create(options);
    reader caller;
    const auto handle = client->agents().run(server->address(), {}, caller.sink());
    const auto run = *agent.runs.take();
    const auto settle = [&] {
        REQUIRE(call<messages::probe_answer>(
            client->agents().probe, server->address(), messages::probe_request{}));
    };
    handle->pause();
    settle();
    run->sink(tokens(0, "first"));
    settle();
    run->sink(tokens(1, "second"));
    settle();
    for (std::uint64_t index = 2; index < count; ++index) {
        run->sink(tokens(index, std::string(1000, 'x')));
    }
    run->sink(finished(count));
    settle();
    CHECK(caller.events->size() == 1);
    handle->resume();
    CHECK(caller.wait_end() == messages::run_event{finished(count)});
    CHECK(caller.in_order);
    CHECK(caller.next_index == count);
}

TEST_CASE("the end of a paused run comes when all tokens have gone, not with the answer alone")
{
    // Here all tokens fit the window, so that the call's answer is there while the reader still
    // holds back the second message.
    fake_agent agent;
    const auto server = start_server(agent.service());
    const auto client = rpc_client::create(client_defaults());
    reader caller;
    const auto handle = client->agents().run(server->address(), {}, caller.sink());
    const auto run = *agent.runs.take();
    const auto settle = [&] {
        REQUIRE(call<messages::probe_answer>(
            client->agents().probe, server->address(), messages::probe_request{}));
    };
    handle->pause();
    settle();
    for (std::uint64_t index = 0; index < 3; ++index) {
        run->sink(tokens(index, "t"));
        settle();
    }
    run->sink(finished(3));
    settle();
    CHECK(caller.events->size() == 1);
    handle->resume();
    CHECK(caller.wait_end() == messages::run_event{finished(3)});
    CHECK(caller.text == "ttt");
}

TEST_CASE("a server that dies during a run ends it once, as lost and unknown")
{
    // The agent's process goes away in the middle of a stream. The entry's connection closes; the
    // run may have had any effect, so its end says `unknown`, and there is one end only.
    fake_agent agent;
    auto server = start_server(agent.service());
    mailbox<messages::rpc_address> lost;
    auto options = client_defaults();
    options.on_connection_lost = [&lost](const auto& address) {
        lost.put(address);
    };
    const auto client = rpc_client::create(options);
    reader caller;
    client->agents().run(server->address(), {}, caller.sink());
    const auto run = *agent.runs.take();
    run->sink(tokens(0, "first"));
    REQUIRE(caller.events->take());
    const auto address = server->address();
    server = nullptr;
    CHECK(run->signals.take() == signal::cancelled);
    run->sink(finished(1)); // nobody hears it
    const auto why = failure_of(caller.wait_end());
    CHECK(why.code == result_code::server_lost);
    CHECK(why.run == execution::unknown);
    CHECK(lost.take() == address);

    // The next run opens a new connection, to whoever listens there now.
    auto again = server_defaults();
    again.port = static_cast<std::uint16_t>(
        std::stoi(address.value().substr(address.value().rfind(':') + 1)));
    server = start_server(again, agent.service());
    reader second;
    client->agents().run(address, {}, second.sink());
    (*agent.runs.take())->sink(finished(0));
    CHECK(second.wait_end() == messages::run_event{finished(0)});
    CHECK(caller.events->size() == 0);
}

TEST_CASE("a client that ends gives each run its end first")
{
    fake_agent agent;
    const auto server = start_server(agent.service());
    auto client = rpc_client::create(client_defaults());
    const auto calls = client->agents();
    reader caller;
    const auto handle = calls.run(server->address(), {}, caller.sink());
    const auto run = *agent.runs.take();
    client = nullptr;
    CHECK(caller.events->size() == 1);
    CHECK(failure_of(caller.wait_end()).run == execution::unknown);
    CHECK(run->signals.take() == signal::cancelled);
    handle->cancel();

    reader late;
    calls.run(server->address(), {}, late.sink());
    const auto why = failure_of(late.wait_end());
    CHECK(why.code == result_code::peer_unavailable);
    CHECK(why.run == execution::not_run);
}

TEST_CASE("a service that drops its sink ends the run as failed")
{
    fake_agent agent;
    const auto server = start_server(agent.service());
    const auto client = rpc_client::create(client_defaults());
    reader caller;
    client->agents().run(server->address(), {}, caller.sink());
    (*agent.runs.take())->sink = nullptr;
    CHECK(failure_of(caller.wait_end()).code == result_code::internal_error);
}

TEST_CASE("messages over the limit fail alone, and the connection stays")
{
    // A body that the other side would not read closes the connection under all its calls. So the
    // sender refuses it: a request as `not_run`, an answer as `ran`.
    fake_agent agent;
    auto served = server_defaults();
    served.message_limit_bytes = 100'000;
    const auto server = start_server(served, agent.service());
    auto options = client_defaults();
    options.message_limit_bytes = 100'000;
    std::atomic<int> lost = 0;
    options.on_connection_lost = [&lost](const auto&) {
        ++lost;
    };
    const auto client = rpc_client::create(options);

    reader large_answer;
    client->agents().run(server->address(), {}, large_answer.sink());
    auto end = finished(1);
    end.body = std::string(100'000, 'x');
    (*agent.runs.take())->sink(end);
    CHECK(failure_of(large_answer.wait_end()).run == execution::ran);

    reader large_request;
    messages::run_request request;
    request.body = std::string(100'000, 'x');
    client->agents().run(server->address(), request, large_request.sink());
    CHECK(failure_of(large_request.wait_end()).run == execution::not_run);

    reader last;
    client->agents().run(server->address(), {}, last.sink());
    (*agent.runs.take())->sink(finished(0));
    CHECK(last.wait_end() == messages::run_event{finished(0)});
    CHECK(lost == 0);
}

TEST_CASE("a drain closes the listener, cuts no run, and tells when the last one is done")
{
    // The agent is told to leave while a run is under way. New connections are refused as
    // `not_run`; the run goes on to its end, and only then the process is told that it may exit.
    fake_agent agent;
    auto server = start_server(agent.service());
    const auto client = rpc_client::create(client_defaults());
    reader caller;
    client->agents().run(server->address(), {}, caller.sink());
    const auto run = *agent.runs.take();
    mailbox<bool> drained;
    server->drain([&drained] { drained.put(true); });
    const auto latecomer = rpc_client::create(client_defaults());
    reader late;
    latecomer->agents().run(server->address(), {}, late.sink());
    CHECK(failure_of(late.wait_end()).run == execution::not_run);
    CHECK(drained.size() == 0);
    run->sink(tokens(0, "first"));
    run->sink(finished(1));
    REQUIRE(drained.take());
    server = nullptr;
    CHECK(caller.wait_end() == messages::run_event{finished(1)});
    CHECK(caller.text == "first");
}

} // namespace reedramp::wire
