#include "network.hpp"

#include <algorithm>
#include <variant>

namespace reedramp::whole_path {

using common::failure;
using common::result_code;

namespace {

constexpr common::duration min_one_way_delay = std::chrono::microseconds(200);
constexpr std::uint64_t one_way_delay_spread_us = 1800;
/// Duplicates and lost connections follow within this time.
constexpr std::uint64_t fault_spread_us = 300'000;

auto connection_lost() -> messages::run_event
{
    return messages::failed_event{common::make_error(result_code::server_lost), {}};
}

/// A run as the entry sees it. Events arrive in order; a duplicate, or an event that arrives after
/// the connection was lost, may still reach the entry.
class simulated_run final : public messages::run_handle,
                            public std::enable_shared_from_this<simulated_run> {
public:
    simulated_run(network& simulated_network, process_ptr caller, messages::run_sink reader)
        : net(simulated_network), from(std::move(caller)), sink(std::move(reader)),
          passes_late_events(simulated_network.chance(500))
    {
    }

    auto cancel() -> void override
    {
        this->forward([](messages::run_handle& to) { to.cancel(); });
    }

    auto pause() -> void override
    {
        this->forward([](messages::run_handle& to) { to.pause(); });
    }

    auto resume() -> void override
    {
        this->forward([](messages::run_handle& to) { to.resume(); });
    }

    auto deliver(messages::run_event event) -> void
    {
        const auto is_tokens = std::holds_alternative<messages::tokens_event>(event);
        const auto copies = is_tokens && this->net.chance(this->net.faults.duplicated) ? 2 : 1;
        this->next_event_time =
            std::max(this->next_event_time, this->net.time.now() + this->net.delay());
        for (auto copy = 0; copy < copies; ++copy) {
            this->from->at(this->next_event_time, [self = this->shared_from_this(), event] {
                self->pass_to_sink(event);
            });
        }
    }

    auto start_on(const endpoint_ptr& to, const messages::run_request& request) -> void
    {
        to->connections.push_back([weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->deliver(connection_lost());
            }
        });
        to->owner->post([self = this->shared_from_this(), to, request] {
            self->remote = to->agent.run(
                request, [self](messages::run_event event) { self->deliver(std::move(event)); });
            if (self->is_cut) {
                self->remote->cancel();
            }
        });
    }

    /// Breaks the connection for both sides.
    auto cut() -> void
    {
        this->deliver(connection_lost());
        this->is_cut = true;
        if (this->remote != nullptr) {
            this->remote->cancel();
        }
    }

private:
    template <typename Action>
    auto forward(Action action) -> void
    {
        this->next_control_time =
            std::max(this->next_control_time, this->net.time.now() + this->net.delay());
        this->net.time.at(this->next_control_time, [self = this->shared_from_this(), action] {
            if (self->remote != nullptr) {
                action(*self->remote);
            }
        });
    }

    auto pass_to_sink(const messages::run_event& event) -> void
    {
        if (this->has_ended && !this->passes_late_events) {
            return;
        }
        this->has_ended = this->has_ended || !std::holds_alternative<messages::tokens_event>(event);
        this->sink(event);
    }

    network& net;
    process_ptr from;
    messages::run_sink sink;
    const bool passes_late_events;
    bool has_ended = false;
    bool is_cut = false;
    std::shared_ptr<messages::run_handle> remote;
    common::time_point next_event_time{};
    common::time_point next_control_time{};
};

auto random_fault_delay(const network& net) -> common::duration
{
    return std::chrono::microseconds(net.random() % fault_spread_us);
}

auto random_extra_delay(const network& net) -> common::duration
{
    const auto max_extra_delay = static_cast<std::uint64_t>(net.faults.max_delay.count());
    return net.chance(net.faults.delayed) ? common::duration(net.random() % max_extra_delay)
                                          : common::duration{};
}

auto deliver_run(
    network& net,
    const std::shared_ptr<simulated_run>& call,
    const messages::rpc_address& to,
    const messages::run_request& request) -> void
{
    const auto target = net.find(to);
    if (!target || !target->agent.run) {
        auto why = common::make_error(result_code::peer_unavailable);
        why.run = common::execution::not_run;
        call->deliver(messages::failed_event{why, {}});
        return;
    }
    if (net.on_run) {
        net.on_run(to, request);
    }
    call->start_on(target, request);
}

/// Sends the run and injects the network faults.
auto send_run(
    network& net,
    const process_ptr& from,
    const messages::rpc_address& to,
    const messages::run_request& request,
    messages::run_sink sink) -> std::shared_ptr<messages::run_handle>
{
    const auto call = std::make_shared<simulated_run>(net, from, std::move(sink));
    const auto on_arrival = [&net, call, to, request] {
        deliver_run(net, call, to, request);
    };
    const auto now = net.time.now();
    const auto arrival_time = now + net.delay() + random_extra_delay(net);
    if (net.chance(net.faults.lost)) {
        // The entry sees a lost connection; the call may still arrive much later, or never.
        net.time.at(now + random_fault_delay(net), [call] { call->deliver(connection_lost()); });
        if (net.chance(500)) {
            net.time.at(arrival_time + random_fault_delay(net), on_arrival);
        }
        return call;
    }
    net.time.at(arrival_time, on_arrival);
    if (net.chance(net.faults.lost)) {
        net.time.at(arrival_time + random_fault_delay(net), [call] { call->cut(); });
    }
    if (net.chance(net.faults.duplicated)) {
        const auto copy = std::make_shared<simulated_run>(net, from, [](const auto&) {});
        net.time.at(arrival_time + random_fault_delay(net), [&net, copy, to, request] {
            deliver_run(net, copy, to, request);
        });
    }
    return call;
}

/// Sends a query and returns its answer. Either may be lost; the query may also be delayed or
/// duplicated.
template <typename Query, typename Answer, typename Service>
auto send_query(
    network& net,
    const process_ptr& from,
    const messages::rpc_address& to,
    const Query& query,
    messages::answer_hook<Answer> done,
    Service service) -> void
{
    using answered = common::result<Answer>;
    const auto pending_hook = std::make_shared<messages::answer_hook<Answer>>(std::move(done));
    const auto reply = [&net, from, pending_hook](answered answer) {
        from->at(net.time.now() + net.delay(), [pending_hook, answer = std::move(answer)] {
            if (*pending_hook) {
                std::exchange(*pending_hook, nullptr)(answer);
            }
        });
    };
    const auto lost = failure(result_code::server_lost);
    const auto arrival = [&net, to, query, service, reply, lost] {
        const auto target = net.find(to);
        if (!target || !service(*target)) {
            reply(failure(result_code::peer_unavailable));
            return;
        }
        const auto is_lost = net.chance(net.faults.lost);
        if (is_lost) {
            reply(lost);
        }
        target->connections.push_back([reply, lost] { reply(lost); });
        target->owner->post([target, query, service, reply, is_lost] {
            service (*target)(query, [reply, is_lost](answered answer) {
                if (!is_lost) {
                    reply(std::move(answer));
                }
            });
        });
    };
    const auto arrival_time = net.time.now() + net.delay() + random_extra_delay(net);
    if (net.chance(net.faults.lost)) {
        reply(lost);
        return;
    }
    net.time.at(arrival_time, arrival);
    if (net.chance(net.faults.duplicated)) {
        net.time.at(arrival_time + random_fault_delay(net), arrival);
    }
}

} // namespace

auto simulated_process::suspend(common::duration span) -> void
{
    this->suspended_until = std::max(this->suspended_until, this->time.now() + span);
    this->time.at(
        this->suspended_until, [self = this->shared_from_this()] { self->run_deferred(); });
}

/// Runs deferred actions in order of arrival, so that the chunks of an answer stay in order.
auto simulated_process::run_deferred() -> void
{
    while (!this->ended && !this->deferred_actions.empty() &&
           this->time.now() >= this->suspended_until) {
        const auto action = std::move(this->deferred_actions.front());
        this->deferred_actions.pop_front();
        action();
    }
}

auto simulated_process::at(common::time_point when, std::function<auto()->void> action) -> void
{
    this->time.at(when, [self = this->shared_from_this(), action = std::move(action)]() mutable {
        if (self->ended) {
            return;
        }
        self->deferred_actions.push_back(std::move(action));
        self->run_deferred();
    });
}

auto simulated_process::timers() -> common::timer_hook
{
    return [self = this->shared_from_this()](
               common::time_point when, std::function<auto()->void> action) {
        self->at(when, std::move(action));
    };
}

auto network::close(const messages::rpc_address& at) -> void
{
    const auto found = this->find(at);
    this->endpoints.erase(at);
    if (!found) {
        return;
    }
    for (const auto& connection : found->connections) {
        connection();
    }
    found->connections.clear();
}

auto network::find(const messages::rpc_address& at) const -> endpoint_ptr
{
    const auto found = this->endpoints.find(at);
    return found == this->endpoints.end() ? nullptr : found->second;
}

auto network::delay() const -> common::duration
{
    return min_one_way_delay + std::chrono::microseconds(this->random() % one_way_delay_spread_us);
}

auto network::agent_calls_for(const process_ptr& from) -> messages::agent_calls
{
    messages::agent_calls calls;
    calls.run = [this, from](const auto& to, messages::run_request request, auto sink) {
        return send_run(*this, from, to, request, std::move(sink));
    };
    calls.ask = [this, from](const auto& to, messages::outcome_query query, auto done) {
        send_query<messages::outcome_query, messages::outcome_answer>(
            *this, from, to, query, std::move(done), [](const endpoint& at) {
                return at.agent.ask;
            });
    };
    calls.probe = [this, from](const auto& to, messages::probe_request query, auto done) {
        send_query<messages::probe_request, messages::probe_answer>(
            *this, from, to, query, std::move(done), [](const endpoint& at) {
                return at.agent.probe;
            });
    };
    return calls;
}

auto network::peer_calls_for(const process_ptr& from) -> messages::peer_calls
{
    messages::peer_calls calls;
    calls.pull = [this, from](const auto& to, messages::configuration_pull query, auto done) {
        send_query<messages::configuration_pull, messages::configuration_push>(
            *this, from, to, query, std::move(done), [](const endpoint& at) {
                return at.peer.pull;
            });
    };
    calls.claim = [this, from](const auto& to, messages::claim_request query, auto done) {
        send_query<messages::claim_request, messages::claim_answer>(
            *this, from, to, query, std::move(done), [](const endpoint& at) {
                return at.peer.claim;
            });
    };
    calls.hand_over = [this, from](const auto& to, messages::bill_handover query, auto done) {
        send_query<messages::bill_handover, messages::accepted>(
            *this, from, to, query, std::move(done), [](const endpoint& at) {
                return at.peer.hand_over;
            });
    };
    calls.talk = [this, from](const auto& to, messages::gossip query, auto done) {
        send_query<messages::gossip, messages::gossip>(
            *this, from, to, query, std::move(done), [](const endpoint& at) {
                return at.peer.talk;
            });
    };
    return calls;
}

} // namespace reedramp::whole_path
