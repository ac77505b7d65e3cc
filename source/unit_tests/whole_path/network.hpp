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

/// Connections between processes that all live in one test, on virtual time.
namespace reedramp::whole_path {

/// One life of one process. What it waits for is dropped when it is killed, and put off while its
/// host is suspended.
class life : public std::enable_shared_from_this<life> {
public:
    explicit life(platform::fake_time& clock) : time(clock) {}

    auto kill() -> void { this->ended = true; }

    /// For the end of a test: lets a killed process let go of what it still held.
    auto revive() -> void { this->ended = false; }

    [[nodiscard]] auto is_ended() const -> bool { return this->ended; }

    auto suspend(common::duration span) -> void;
    auto at(common::time_point when, std::function<auto()->void> action) -> void;

    auto post(std::function<auto()->void> action) -> void
    {
        this->at(this->time.now(), std::move(action));
    }

    auto timers() -> common::timer_hook;

private:
    auto wake() -> void;

    platform::fake_time& time;
    bool ended = false;
    common::time_point suspended_until{};
    std::deque<std::function<auto()->void>> put_off;
};

using life_ptr = std::shared_ptr<life>;

/// What a process offers at its address.
struct endpoint {
    life_ptr owner;
    messages::agent_service agent;
    messages::peer_service peer;
    /// Calls under way that lose their connection when the process ends.
    std::vector<std::function<auto()->void>> connections = {};
};

using endpoint_ptr = std::shared_ptr<endpoint>;

/// Chances in thousandths.
struct network_faults {
    /// A call loses its connection before or after it was taken.
    std::uint64_t lost = 0;
    /// A call, or a piece of an answer, comes twice.
    std::uint64_t doubled = 0;
    /// A call arrives up to `longest_delay` later than others.
    std::uint64_t late = 0;
    common::duration longest_delay = std::chrono::seconds(2);
};

class network {
public:
    network(platform::fake_time& clock, common::random_hook bits)
        : time(clock), random(std::move(bits))
    {
    }

    auto open(const messages::rpc_address& at, endpoint_ptr offered) -> void
    {
        this->endpoints[at] = std::move(offered);
    }

    /// The process behind this address has ended: its connections break.
    auto close(const messages::rpc_address& at) -> void;

    auto agents_for(const life_ptr& from) -> messages::agent_calls;
    auto peers_for(const life_ptr& from) -> messages::peer_calls;

    [[nodiscard]] auto chance(std::uint64_t permille) const -> bool
    {
        return this->random() % 1000 < permille;
    }

    /// One way of one message.
    [[nodiscard]] auto delay() const -> common::duration;

    [[nodiscard]] auto find(const messages::rpc_address& at) const -> endpoint_ptr;

    platform::fake_time& time;
    common::random_hook random;
    network_faults faults;
    /// Sees each run that arrives at an agent.
    std::function<auto(const messages::rpc_address& at, const messages::run_request& run)->void>
        on_run = nullptr;

private:
    std::map<messages::rpc_address, endpoint_ptr> endpoints;
};

} // namespace reedramp::whole_path
