#include "network.hpp"

#include <algorithm>
#include <variant>

namespace reedramp::whole_path {

using common::failure;
using common::result_code;

namespace {

constexpr common::duration shortest_trip = std::chrono::microseconds(200);
constexpr std::uint64_t trip_spread_us = 1800;
/// A doubled or cut call happens within this time.
constexpr std::uint64_t fault_spread_us = 300'000;

auto broken() -> messages::run_event
{
    return messages::failed_event{common::make_error(result_code::server_lost), {}};
}

/// A run seen by the entry. Its events come in order; a copy or an event that comes after the
/// connection was lost may still reach the entry.
class run_call final : public messages::run_handle, public std::enable_shared_from_this<run_call> {
public:
    run_call(network& wires, life_ptr caller, messages::run_sink reader)
        : net(wires), from(std::move(caller)), sink(std::move(reader)),
          passes_late(wires.chance(500))
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
        const auto copies = is_tokens && this->net.chance(this->net.faults.doubled) ? 2 : 1;
        this->next_event = std::max(this->next_event, this->net.time.now() + this->net.delay());
        for (auto copy = 0; copy < copies; ++copy) {
            this->from->at(
                this->next_event, [self = this->shared_from_this(), event] { self->pass(event); });
        }
    }

    auto take(const endpoint_ptr& to, const messages::run_request& request) -> void
    {
        to->connections.push_back([weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->deliver(broken());
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

    /// The connection is lost for both sides.
    auto cut() -> void
    {
        this->deliver(broken());
        this->is_cut = true;
        if (this->remote != nullptr) {
            this->remote->cancel();
        }
    }

private:
    template <typename Action>
    auto forward(Action action) -> void
    {
        this->next_order = std::max(this->next_order, this->net.time.now() + this->net.delay());
        this->net.time.at(this->next_order, [self = this->shared_from_this(), action] {
            if (self->remote != nullptr) {
                action(*self->remote);
            }
        });
    }

    auto pass(const messages::run_event& event) -> void
    {
        if (this->has_ended && !this->passes_late) {
            return;
        }
        this->has_ended = this->has_ended || !std::holds_alternative<messages::tokens_event>(event);
        this->sink(event);
    }

    network& net;
    life_ptr from;
    messages::run_sink sink;
    const bool passes_late;
    bool has_ended = false;
    bool is_cut = false;
    std::shared_ptr<messages::run_handle> remote;
    common::time_point next_event{};
    common::time_point next_order{};
};

auto some_time(const network& net) -> common::duration
{
    return std::chrono::microseconds(net.random() % fault_spread_us);
}

auto late_by(const network& net) -> common::duration
{
    const auto most = static_cast<std::uint64_t>(net.faults.longest_delay.count());
    return net.chance(net.faults.late) ? common::duration(net.random() % most) : common::duration{};
}

auto arrive(
    network& net,
    const std::shared_ptr<run_call>& call,
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
    call->take(target, request);
}

/// Sends the run, with what goes wrong on its way.
auto send_run(
    network& net,
    const life_ptr& from,
    const messages::rpc_address& to,
    const messages::run_request& request,
    messages::run_sink sink) -> std::shared_ptr<messages::run_handle>
{
    const auto call = std::make_shared<run_call>(net, from, std::move(sink));
    const auto on_arrival = [&net, call, to, request] {
        arrive(net, call, to, request);
    };
    const auto now = net.time.now();
    const auto trip = now + net.delay() + late_by(net);
    if (net.chance(net.faults.lost)) {
        // The entry sees a lost connection; the call may still arrive long after, or never.
        net.time.at(now + some_time(net), [call] { call->deliver(broken()); });
        if (net.chance(500)) {
            net.time.at(trip + some_time(net), on_arrival);
        }
        return call;
    }
    net.time.at(trip, on_arrival);
    if (net.chance(net.faults.lost)) {
        net.time.at(trip + some_time(net), [call] { call->cut(); });
    }
    if (net.chance(net.faults.doubled)) {
        const auto copy = std::make_shared<run_call>(net, from, [](const auto&) {});
        net.time.at(
            trip + some_time(net), [&net, copy, to, request] { arrive(net, copy, to, request); });
    }
    return call;
}

/// One question and its answer, of which each may be lost, late or doubled.
template <typename Query, typename Answer, typename Service>
auto send_query(
    network& net,
    const life_ptr& from,
    const messages::rpc_address& to,
    const Query& query,
    messages::answer_hook<Answer> done,
    Service service) -> void
{
    using answered = common::result<Answer>;
    const auto once = std::make_shared<messages::answer_hook<Answer>>(std::move(done));
    const auto give = [&net, from, once](answered answer) {
        from->at(net.time.now() + net.delay(), [once, answer = std::move(answer)] {
            if (*once) {
                std::exchange(*once, nullptr)(answer);
            }
        });
    };
    const auto lost = failure(result_code::server_lost);
    const auto arrival = [&net, to, query, service, give, lost] {
        const auto target = net.find(to);
        if (!target || !service(*target)) {
            give(failure(result_code::peer_unavailable));
            return;
        }
        const auto is_lost = net.chance(net.faults.lost);
        if (is_lost) {
            give(lost);
        }
        target->connections.push_back([give, lost] { give(lost); });
        target->owner->post([target, query, service, give, is_lost] {
            service (*target)(query, [give, is_lost](answered answer) {
                if (!is_lost) {
                    give(std::move(answer));
                }
            });
        });
    };
    const auto trip = net.time.now() + net.delay() + late_by(net);
    if (net.chance(net.faults.lost)) {
        give(lost);
        return;
    }
    net.time.at(trip, arrival);
    if (net.chance(net.faults.doubled)) {
        net.time.at(trip + some_time(net), arrival);
    }
}

} // namespace

auto life::suspend(common::duration span) -> void
{
    this->suspended_until = std::max(this->suspended_until, this->time.now() + span);
    this->time.at(this->suspended_until, [self = this->shared_from_this()] { self->wake(); });
}

/// What came first runs first; else pieces of one answer would change their order.
auto life::wake() -> void
{
    while (!this->ended && !this->put_off.empty() && this->time.now() >= this->suspended_until) {
        const auto action = std::move(this->put_off.front());
        this->put_off.pop_front();
        action();
    }
}

auto life::at(common::time_point when, std::function<auto()->void> action) -> void
{
    this->time.at(when, [self = this->shared_from_this(), action = std::move(action)]() mutable {
        if (self->ended) {
            return;
        }
        self->put_off.push_back(std::move(action));
        self->wake();
    });
}

auto life::timers() -> common::timer_hook
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
    return shortest_trip + std::chrono::microseconds(this->random() % trip_spread_us);
}

auto network::agents_for(const life_ptr& from) -> messages::agent_calls
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

auto network::peers_for(const life_ptr& from) -> messages::peer_calls
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
