#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/hooks.hpp"
#include "common/result.hpp"
#include "messages/channel.hpp"

/// Cap'n Proto RPC between the system's own processes. Only this library knows Cap'n Proto; its
/// public headers speak in terms of `messages`.
namespace reedramp::wire {

struct server_options {
    /// A numeric IPv4 or IPv6 address, without brackets.
    std::string ip = "127.0.0.1";
    /// 0 lets the system choose; `rpc_server::address` tells which.
    std::uint16_t port = 0;
    /// All processes of one installation hold the same key. A peer that cannot prove it is given
    /// nothing to call.
    std::string shared_key;
    /// The decision clock: points in time travel as the time left until them.
    common::clock_hook now;
    /// The largest message that is read; a larger one closes its connection.
    std::size_t message_limit_bytes = std::size_t{32} * 1024 * 1024;
    /// Token text of one run that may be sent and not yet acknowledged. Past it, and past the same
    /// amount waiting to be sent, the run is paused.
    std::size_t stream_window_bytes = std::size_t{64} * 1024;
    /// Connections beyond this number are closed at once.
    std::size_t connection_limit = 2048;
    /// A connection that has not proved the key by then is closed.
    std::chrono::milliseconds login_timeout{3000};
};

/// Serves agents' and peers' calls on a thread of its own. The services' hooks are called on that
/// thread and must not block; their answers may come from any thread.
class rpc_server {
public:
    /// Listens before it returns. A process that is no agent gives an empty `agent_service`; an
    /// empty hook is answered with `peer_unavailable`. Fails with `invalid_settings` when the
    /// address cannot be used.
    static auto
    start(server_options options, messages::agent_service agent, messages::peer_service peer)
        -> common::result<std::unique_ptr<rpc_server>>;

    /// Closes all connections, which cancels the runs on them, and ends the thread. Not to be
    /// destroyed on its own thread.
    virtual ~rpc_server() = default;

    /// "IP:port" with the real port.
    [[nodiscard]] virtual auto address() const -> messages::rpc_address = 0;

    /// Calls that are under way, runs included. Any thread.
    [[nodiscard]] virtual auto running_calls() const -> std::size_t = 0;

    /// Closes the listener. Open connections stay and their calls go on, so that an entry can still
    /// ask about an outcome. `drained` is called once, on the server's thread, when no call is
    /// running any more; it may be empty. Any thread.
    virtual auto drain(std::function<auto()->void> drained) -> void = 0;
};

} // namespace reedramp::wire
