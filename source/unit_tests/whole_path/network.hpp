#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/hooks.hpp"
#include "messages/channel.hpp"
#include "platform/fake_time.hpp"

/// Simulated connections between the processes of a test, on virtual time.
namespace reedramp::whole_path {

/// Execution context of one process. Its scheduled actions are dropped when the process is killed,
/// and deferred while its host is suspended.
class simulated_process : public std::enable_shared_from_this<simulated_process> {
public:
    explicit simulated_process(platform::fake_time& clock) : time(clock) {}

    auto kill() -> void { this->ended = true; }

    /// Lets actions of a killed process run again, so that it can release its resources at the end
    /// of a test.
    auto resume_actions() -> void { this->ended = false; }

    [[nodiscard]] auto is_ended() const -> bool { return this->ended; }

    auto suspend(common::duration span) -> void;
    auto at(common::time_point when, std::function<auto()->void> action) -> void;

    auto post(std::function<auto()->void> action) -> void
    {
        this->at(this->time.now(), std::move(action));
    }

    auto timers() -> common::timer_hook;

private:
    auto run_deferred() -> void;

    platform::fake_time& time;
    bool ended = false;
    common::time_point suspended_until{};
    std::deque<std::function<auto()->void>> deferred_actions;
};

using process_ptr = std::shared_ptr<simulated_process>;

/// Services of a process at its address.
struct endpoint {
    process_ptr owner;
    messages::agent_service agent;
    messages::peer_service peer;
    /// Callbacks that fail the calls in flight when the process ends.
    std::vector<std::function<auto()->void>> connections = {};
};

using endpoint_ptr = std::shared_ptr<endpoint>;

/// Fault probabilities, in thousandths.
struct network_faults {
    /// The connection breaks before or after the call is accepted.
    std::uint64_t lost = 0;
    /// A call, or a chunk of an answer, is delivered twice.
    std::uint64_t duplicated = 0;
    /// A call is delayed by up to `max_delay` in addition to the usual delay.
    std::uint64_t delayed = 0;
    common::duration max_delay = std::chrono::seconds(2);
};

class network {
public:
    network(platform::fake_time& clock, common::random_hook bits)
        : time(clock), random(std::move(bits))
    {
    }

    auto open(const messages::rpc_address& at, endpoint_ptr new_endpoint) -> void
    {
        this->endpoints[at] = std::move(new_endpoint);
    }

    /// Removes the endpoint of a process that has ended and breaks its connections.
    auto close(const messages::rpc_address& at) -> void;

    auto agent_calls_for(const process_ptr& from) -> messages::agent_calls;
    auto peer_calls_for(const process_ptr& from) -> messages::peer_calls;

    [[nodiscard]] auto chance(std::uint64_t permille) const -> bool
    {
        return this->random() % 1000 < permille;
    }

    /// Random one-way delay of a message.
    [[nodiscard]] auto delay() const -> common::duration;

    [[nodiscard]] auto find(const messages::rpc_address& at) const -> endpoint_ptr;

    platform::fake_time& time;
    common::random_hook random;
    network_faults faults;
    /// Called for each run that arrives at an agent.
    std::function<auto(const messages::rpc_address& at, const messages::run_request& run)->void>
        on_run = nullptr;

private:
    std::map<messages::rpc_address, endpoint_ptr> endpoints;
};

} // namespace reedramp::whole_path
