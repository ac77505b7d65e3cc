#include "wire/rpc_client.hpp"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "wire/client_connection.hpp"
#include "wire/client_loop.hpp"
#include "wire/client_run.hpp"
#include "wire/codec.hpp"
#include "wire/loop_thread.hpp"
#include "wire/payload.hpp"

namespace reedramp::wire {

namespace {

/// A call with one answer. Whatever becomes of it, its hook is called exactly once: dropped without
/// an answer, it gives an error.
template <typename Answer>
class pending_answer {
public:
    explicit pending_answer(messages::answer_hook<Answer> hook) : done(std::move(hook)) {}

    pending_answer(const pending_answer&) = delete;
    auto operator=(const pending_answer&) -> pending_answer& = delete;

    ~pending_answer() { this->settle(tl::unexpected(dropped_error(this->sent))); }

    auto settle(common::result<Answer> answer) -> void
    {
        const auto hook = std::exchange(this->done, nullptr);
        if (hook) {
            hook(std::move(answer));
        }
    }

    bool sent = false;

private:
    messages::answer_hook<Answer> done;
};

/// Reads the answer of one method.
template <typename Answer, typename Results>
auto read_answer(const Results& results, common::time_point now) -> common::result<Answer>
{
    if (results.hasError()) {
        return tl::unexpected(decode(results.getError(), now));
    }
    if constexpr (std::is_same_v<Answer, messages::accepted>) {
        return Answer{};
    }
    else if constexpr (requires { decode(results.getAnswer(), now); }) {
        return decode(results.getAnswer(), now);
    }
    else {
        return decode(results.getAnswer());
    }
}

/// One thread of a client, as its hooks see it. They may outlive it.
struct loop_link {
    std::shared_ptr<task_queue> queue;
    /// Locked on the loop's thread only, so that it also goes there.
    std::weak_ptr<client_loop> loop;
    std::shared_ptr<client_core> core;
};

/// Picks the thread that an address belongs to.
struct loop_links {
    std::vector<loop_link> all;

    [[nodiscard]] auto of(const messages::rpc_address& address) const -> const loop_link&
    {
        return this->all[std::hash<messages::rpc_address>{}(address) % this->all.size()];
    }
};

/// Makes one call on the loop's thread. `make(connection)` builds the request.
template <typename Answer, typename Make>
auto start_call(
    const std::shared_ptr<client_core>& core,
    client_loop& loop,
    const messages::rpc_address& address,
    std::shared_ptr<pending_answer<Answer>> pending,
    Make make) -> void
{
    auto connection = loop.connection(address);
    auto& timer = loop.timer();
    const auto limit = core->options.call_timeout.count() * kj::MILLISECONDS;
    auto asked = connection->ready().then([core, connection, pending, make, limit, &timer] {
        auto request = make(*connection);
        pending->sent = true;
        auto answered = request.send().then(
            [core](auto response) { return read_answer<Answer>(response, core->options.now()); });
        return timer.timeoutAfter(limit, kj::mv(answered));
    });
    auto settled = asked.then(
        [pending](common::result<Answer> answer) { pending->settle(std::move(answer)); },
        [pending, connection](kj::Exception&& why) {
            connection->note_failure(why);
            pending->settle(tl::unexpected(call_error(why, pending->sent)));
        });
    loop.keep(settled.attach(client_connection::call_mark(connection)));
}

/// A hook for a method with one answer. `make(connection, query)` builds the request.
template <typename Answer, typename Query, typename Make>
auto call_hook(std::shared_ptr<const loop_links> links, Make make)
{
    return [links, make](
               const messages::rpc_address& to, Query query, messages::answer_hook<Answer> done) {
        const auto& link = links->of(to);
        if (payload_bytes(query) > link.core->options.message_limit_bytes) {
            done(common::failure(common::result_code::body_too_large, "message"));
            return;
        }
        auto pending = std::make_shared<pending_answer<Answer>>(std::move(done));
        link.queue->post([link, to, make, pending, query = std::move(query)] {
            const auto loop = link.loop.lock();
            if (loop == nullptr) {
                return;
            }
            auto build = [make, query](client_connection& connection) {
                return make(connection, query);
            };
            start_call<Answer>(link.core, *loop, to, pending, build);
        });
    };
}

auto start_run(
    const loop_link& link,
    const messages::rpc_address& to,
    messages::run_request request,
    const std::shared_ptr<client_run>& run) -> void
{
    const auto loop = link.loop.lock();
    if (loop == nullptr) {
        run->drop();
        return;
    }
    if (payload_bytes(request) > link.core->options.message_limit_bytes) {
        run->fail(common::make_error(common::result_code::body_too_large, "message"));
        return;
    }
    loop->keep(run->start(loop->connection(to), std::move(request)));
}

auto make_agent_calls(std::shared_ptr<const loop_links> links) -> messages::agent_calls
{
    messages::agent_calls calls;
    calls.run = [links](
                    const messages::rpc_address& to,
                    messages::run_request request,
                    messages::run_sink sink) -> std::shared_ptr<messages::run_handle> {
        const auto& link = links->of(to);
        auto run = make_loop_owned<client_run>(
            link.queue, link.queue, link.core->options.now, std::move(sink));
        const bool posted = link.queue->post(
            [link, to, run, request = std::move(request)] { start_run(link, to, request, run); });
        if (!posted) {
            run->drop();
        }
        return run;
    };
    calls.ask = call_hook<messages::outcome_answer, messages::outcome_query>(
        links, [](client_connection& connection, const messages::outcome_query& query) {
            auto request = connection.agent().askRequest();
            encode(query, request.initQuery());
            return request;
        });
    calls.probe = call_hook<messages::probe_answer, messages::probe_request>(
        links, [](client_connection& connection, const messages::probe_request& query) {
            auto request = connection.agent().probeRequest();
            encode(query, request.initRequest());
            return request;
        });
    return calls;
}

auto make_peer_calls(std::shared_ptr<const loop_links> links) -> messages::peer_calls
{
    messages::peer_calls calls;
    calls.pull = call_hook<messages::configuration_push, messages::configuration_pull>(
        links, [](client_connection& connection, const messages::configuration_pull& query) {
            auto request = connection.peer().pullRequest();
            encode(query, request.initPull());
            return request;
        });
    calls.claim = call_hook<messages::claim_answer, messages::claim_request>(
        links, [](client_connection& connection, const messages::claim_request& query) {
            auto request = connection.peer().claimRequest();
            encode(query, request.initClaim());
            return request;
        });
    calls.hand_over = call_hook<messages::accepted, messages::bill_handover>(
        links, [](client_connection& connection, const messages::bill_handover& bills) {
            auto request = connection.peer().handoverRequest();
            encode(bills, request.initBills());
            return request;
        });
    calls.talk = call_hook<messages::gossip, messages::gossip>(
        links, [](client_connection& connection, const messages::gossip& news) {
            auto request = connection.peer().talkRequest();
            encode(news, request.initNews());
            return request;
        });
    return calls;
}

class rpc_client_impl final : public rpc_client {
public:
    explicit rpc_client_impl(client_options options)
    {
        this->core->options = std::move(options);
        const auto count = std::max<std::size_t>(this->core->options.threads, 1);
        auto made = std::make_shared<loop_links>();
        for (std::size_t index = 0; index < count; ++index) {
            auto& thread = *this->threads.emplace_back(std::make_unique<loop_thread>());
            auto loop = thread.run(
                [this, &thread] { return std::make_shared<client_loop>(this->core, thread.io()); });
            made->all.push_back({thread.queue(), loop, this->core});
            this->loops.push_back(std::move(loop));
        }
        this->links = std::move(made);
    }

    rpc_client_impl(const rpc_client_impl&) = delete;
    auto operator=(const rpc_client_impl&) -> rpc_client_impl& = delete;

    ~rpc_client_impl() noexcept override
    {
        for (std::size_t index = 0; index < this->threads.size(); ++index) {
            this->threads[index]->run([this, index] { this->loops[index] = nullptr; });
        }
    }

    [[nodiscard]] auto agents() -> messages::agent_calls override
    {
        return make_agent_calls(this->links);
    }

    [[nodiscard]] auto peers() -> messages::peer_calls override
    {
        return make_peer_calls(this->links);
    }

    [[nodiscard]] auto connections() const -> std::size_t override
    {
        return this->core->connections;
    }

private:
    std::shared_ptr<client_core> core = std::make_shared<client_core>();
    std::vector<std::unique_ptr<loop_thread>> threads;
    std::vector<std::shared_ptr<client_loop>> loops;
    std::shared_ptr<const loop_links> links;
};

} // namespace

auto rpc_client::create(client_options options) -> std::unique_ptr<rpc_client>
{
    return std::make_unique<rpc_client_impl>(std::move(options));
}

} // namespace reedramp::wire
