#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "common/hooks.hpp"
#include "messages/channel.hpp"

namespace reedramp::wire {

struct client_options {
    /// The same key as the servers'. A server that cannot prove it is sent no work.
    std::string shared_key;
    /// The decision clock: points in time travel as the time left until them.
    common::clock_hook now;
    /// Threads with an event loop each; an address always belongs to the same one.
    std::size_t threads = 1;
    /// For the connection and the proof of the key together.
    std::chrono::milliseconds connect_timeout{1000};
    /// The longest wait for the answer of a call other than `run`; then it fails with
    /// `server_lost`, `unknown`. A run has its caller's deadline.
    std::chrono::milliseconds call_timeout{10000};
    /// A connection without calls is closed after this time.
    std::chrono::milliseconds idle_timeout{60000};
    /// The largest message that is read; a larger one closes its connection.
    std::size_t message_limit_bytes = std::size_t{32} * 1024 * 1024;
    /// Told when an established connection is lost (not when it is closed as idle). May be empty.
    /// Called on a client's thread.
    std::function<auto(const messages::rpc_address& of)->void> on_connection_lost;
};

/// Calls other processes of the system. It keeps one connection for each address and opens it on
/// demand.
class rpc_client {
public:
    static auto create(client_options options) -> std::unique_ptr<rpc_client>;

    /// Ends all calls: those under way get their error before this returns. Not to be destroyed on
    /// one of its own threads.
    virtual ~rpc_client() = default;

    /// Hooks that may be called from any thread, and kept: once the client is gone they answer
    /// `peer_unavailable`. Events and answers come on the client's threads, which a receiver must
    /// not block.
    [[nodiscard]] virtual auto agents() -> messages::agent_calls = 0;
    [[nodiscard]] virtual auto peers() -> messages::peer_calls = 0;

    /// Connections that are open or being opened. Any thread.
    [[nodiscard]] virtual auto connections() const -> std::size_t = 0;
};

} // namespace reedramp::wire
