#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include "messages/channel.hpp"
#include "wire/generated/reedramp.capnp.h"
#include "wire/rpc_client.hpp"
#include "wire/socket.hpp"

namespace reedramp::wire {

/// One connection to one process, from the first byte until it is closed or lost. Loop's thread
/// only.
class client_connection {
public:
    /// Starts to connect. The options outlive the connection.
    client_connection(
        const client_options& options, kj::AsyncIoProvider& io, messages::rpc_address address);

    client_connection(const client_connection&) = delete;
    auto operator=(const client_connection&) -> client_connection& = delete;

    /// Given when both sides have proved the key. Fails when the other process is not reached, or
    /// holds another key, or does not answer in time.
    auto ready() -> kj::Promise<void> { return this->opened.addBranch(); }

    /// Given when a connection that was ready is lost.
    auto lost() -> kj::Promise<void>;

    /// Only once `ready` is given.
    auto agent() -> schema::Agent::Client& { return this->capabilities->agent; }

    auto peer() -> schema::Peer::Client& { return this->capabilities->peer; }

    /// Counts a call while the object lives; an idle connection has none.
    class call_mark {
    public:
        explicit call_mark(std::shared_ptr<client_connection> of);
        call_mark(const call_mark&) = delete;
        call_mark(call_mark&&) = default;
        auto operator=(const call_mark&) -> call_mark& = delete;
        auto operator=(call_mark&&) -> call_mark& = delete;
        ~call_mark();

    private:
        std::shared_ptr<client_connection> connection;
    };

    /// A call on it failed in this way. After a lost connection it takes no more calls: its end is
    /// noticed a few turns of the loop later, and what was sent until then would be `unknown` too.
    auto note_failure(const kj::Exception& why) -> void;

    [[nodiscard]] auto failed() const -> bool { return this->broken; }

    [[nodiscard]] auto established() const -> bool { return this->capabilities.has_value(); }

    /// True if no call has used the connection until its idle deadline.
    [[nodiscard]] auto idle(kj::TimePoint now) const -> bool;

private:
    struct offered {
        schema::Agent::Client agent;
        schema::Peer::Client peer;
    };

    auto connect(kj::AsyncIoProvider& io, const messages::rpc_address& address)
        -> kj::Promise<void>;
    auto log_in() -> kj::Promise<void>;
    auto prove(capnp::Response<schema::Process::ChallengeResults> answer, std::string nonce)
        -> kj::Promise<void>;

    const client_options& options;
    kj::Timer& timer;
    std::size_t calls = 0;
    bool broken = false;
    kj::TimePoint idle_deadline;
    kj::Own<windowed_stream> stream;
    kj::Own<capnp::TwoPartyVatNetwork> network;
    kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpc;
    std::optional<offered> capabilities;
    kj::ForkedPromise<void> opened;
};

} // namespace reedramp::wire
