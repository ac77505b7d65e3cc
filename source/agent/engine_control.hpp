#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "agent/registration_watcher.hpp"
#include "common/hooks.hpp"
#include "common/ids.hpp"
#include "control/orders.hpp"
#include "http/client.hpp"
#include "inventory/state.hpp"
#include "platform/hooks.hpp"
#include "platform/http_weights.hpp"

namespace reedramp::agent_program {

/// Derives an engine's plan from the configuration: it should load the versions listed for it that
/// are not withdrawn. Withdrawn versions are not unloaded, since runs in flight may still use them.
auto plan_for(const inventory::state& current, const common::server_id& server)
    -> control::engine_plan;

/// Connects `control::engine_orders` to the engine, the log and the weight store. Kept alive by its
/// pending callbacks.
class engine_control : public std::enable_shared_from_this<engine_control> {
public:
    struct collaborators {
        common::server_id server;
        /// Text of this process's own registration record in the log.
        std::string registration;
        http::endpoint engine;
        /// Size of one version's weights.
        std::uint64_t weight_bytes = 0;
        std::shared_ptr<http::client> client;
        platform::log_hooks log;
        platform::weight_hooks weights;
        common::clock_hook now;
    };

    /// `lease` and `asked_at`: see `control::engine_orders`.
    engine_control(collaborators given, common::log_offset lease, common::time_point asked_at);

    /// Executes the next steps for the plan of this engine. Call several times a second.
    auto tick(const inventory::state& current) -> void;

private:
    auto execute(const control::read_registrations& step) -> void;
    auto execute(const control::read_engine& step) -> void;
    auto execute(const control::fetch_weights& step) -> void;
    auto execute(const control::send_order& step) -> void;
    auto on_registrations(
        const control::read_registrations& step,
        const common::result<platform::read_answer>& answer) -> void;

    const collaborators parts;
    control::engine_orders orders;

    std::mutex lock;
    agent::registration_watcher registrations;
};

} // namespace reedramp::agent_program
