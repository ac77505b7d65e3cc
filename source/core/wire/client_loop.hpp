#pragma once

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <utility>

#include <kj/async-io.h>

#include "messages/channel.hpp"
#include "wire/client_connection.hpp"
#include "wire/rpc_client.hpp"

namespace reedramp::wire {

/// What all loops of one client share.
struct client_core {
    client_options options;
    std::atomic<std::size_t> connections{0};
};

/// The connections and calls of one of a client's threads. Loop's thread only.
class client_loop final : private kj::TaskSet::ErrorHandler {
public:
    client_loop(std::shared_ptr<client_core> core, kj::AsyncIoProvider& io);
    client_loop(const client_loop&) = delete;
    auto operator=(const client_loop&) -> client_loop& = delete;
    virtual ~client_loop() noexcept;

    /// The connection to `address`, which is opened if there is none.
    auto connection(const messages::rpc_address& address) -> std::shared_ptr<client_connection>;

    /// Keeps a call until it is done, or the loop ends.
    auto keep(kj::Promise<void> call) -> void { this->tasks.add(kj::mv(call)); }

    auto timer() -> kj::Timer& { return this->io.getTimer(); }

private:
    struct slot {
        std::shared_ptr<client_connection> connection;
        /// Notices the end of the connection.
        kj::Promise<void> watch;
    };

    using slot_map = std::map<messages::rpc_address, slot>;

    auto watch(const messages::rpc_address& address, client_connection& connection)
        -> kj::Promise<void>;
    auto remove_later(const messages::rpc_address& address, const client_connection& connection)
        -> void;
    /// Forgets a connection that failed, and tells of it if it was ever open.
    auto remove(slot_map::iterator which) -> void;
    auto close_idle() -> kj::Promise<void>;
    auto taskFailed(kj::Exception&& why) -> void override;

    std::shared_ptr<client_core> core;
    kj::AsyncIoProvider& io;
    slot_map slots;
    kj::TaskSet tasks;
};

} // namespace reedramp::wire
