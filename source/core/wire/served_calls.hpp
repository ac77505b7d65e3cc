#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

#include <kj/async.h>

#include "messages/channel.hpp"
#include "wire/generated/reedramp.capnp.h"
#include "wire/loop_thread.hpp"
#include "wire/rpc_server.hpp"

namespace reedramp::wire {

/// What all connections of one server share.
struct server_core {
    server_options options;
    messages::agent_service agent;
    messages::peer_service peer;
    std::shared_ptr<task_queue> queue;
    std::atomic<std::size_t> running{0};
};

/// Where a connection stands. Its objects note here what the connection itself acts on.
struct login_state {
    bool proved = false;
    bool challenged = false;
    /// Closes the connection.
    kj::Own<kj::PromiseFulfiller<void>> close;
};

/// The first object of a connection, which gives the others away for a proof of the key.
auto make_process(std::shared_ptr<server_core> core, std::shared_ptr<login_state> login)
    -> capnp::Capability::Client;

} // namespace reedramp::wire
