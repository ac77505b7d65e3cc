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

/// What the configuration says of an engine: load what is listed for it and not withdrawn. What is
/// withdrawn is not unloaded: a run under way may need it to its end.
auto plan_for(const inventory::state& current, const common::server_id& server)
    -> control::engine_plan;

/// Connects `control::engine_orders` to the engine, the log and the weight store.
class engine_control : public std::enable_shared_from_this<engine_control> {
public:
    struct parts {
        common::server_id server;
        /// This process's own registration record, as it is in the log.
        std::string registration;
        http::endpoint engine;
        /// Bytes of one version in the weight store.
        std::uint64_t weight_bytes = 0;
        std::shared_ptr<http::client> client;
        platform::log_hooks log;
        platform::weight_hooks weights;
        common::clock_hook now;
    };

    /// `lease` and times as for `control::engine_orders`.
    engine_control(parts given, common::log_offset lease, common::time_point asked_at);

    /// Call it several times a second.
    auto tick(const inventory::state& current) -> void;

private:
    auto carry_out(const control::read_registrations& step) -> void;
    auto carry_out(const control::read_engine& step) -> void;
    auto carry_out(const control::fetch_weights& step) -> void;
    auto carry_out(const control::give_order& step) -> void;
    auto take_registrations(
        const control::read_registrations& step,
        const common::result<platform::read_answer>& answer) -> void;

    const parts with;
    control::engine_orders orders;

    std::mutex lock;
    agent::registration_watcher registrations;
};

} // namespace reedramp::agent_program
