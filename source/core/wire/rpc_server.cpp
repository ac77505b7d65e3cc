#include "wire/rpc_server.hpp"

#include <map>
#include <string>
#include <utility>

#include <capnp/rpc-twoparty.h>

#include "common/log.hpp"
#include "wire/loop_thread.hpp"
#include "wire/served_calls.hpp"
#include "wire/socket.hpp"

namespace reedramp::wire {

namespace {

/// Wait before the next accept after one failed, say for want of file descriptors.
constexpr auto accept_retry = 50 * kj::MILLISECONDS;
/// How often a drain looks whether the last call is done.
constexpr auto drain_poll = 2 * kj::MILLISECONDS;

auto reader_options(std::size_t message_limit_bytes) -> capnp::ReaderOptions
{
    capnp::ReaderOptions limits;
    // Twice the limit, since a field that is read through two pointers counts twice.
    limits.traversalLimitInWords = 2 * message_limit_bytes / sizeof(capnp::word);
    return limits;
}

/// One connection. Members are destroyed from the last to the first.
struct served_connection {
    served_connection(const std::shared_ptr<server_core>& core, kj::Own<kj::AsyncIoStream> socket)
        : stream(kj::mv(socket), core->options.stream_window_bytes),
          network(
              this->stream,
              capnp::rpc::twoparty::Side::SERVER,
              reader_options(core->options.message_limit_bytes)),
          rpc(capnp::makeRpcServer(this->network, make_process(core, this->login)))
    {
    }

    std::shared_ptr<login_state> login = std::make_shared<login_state>();
    windowed_stream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

/// The part of the server that lives on the loop's thread.
class server_loop final : private kj::TaskSet::ErrorHandler {
public:
    server_loop(std::shared_ptr<server_core> of, kj::AsyncIoProvider& provider)
        : core(std::move(of)), io(provider), tasks(*this)
    {
    }

    server_loop(const server_loop&) = delete;
    auto operator=(const server_loop&) -> server_loop& = delete;
    virtual ~server_loop() = default;

    auto listen(const socket_address& where) -> std::uint16_t
    {
        auto address = this->io.getNetwork().getSockaddr(&where.storage, where.length);
        this->listener = address->listen();
        const auto port = static_cast<std::uint16_t>(this->listener->getPort());
        this->accepting = this->accept().eagerlyEvaluate(nullptr);
        return port;
    }

    auto drain(std::function<auto()->void> drained) -> void
    {
        this->accepting = nullptr;
        this->listener = nullptr;
        this->tasks.add(this->wait_until_drained().then([done = std::move(drained)] {
            if (done) {
                done();
            }
        }));
    }

private:
    auto accept() -> kj::Promise<void>
    {
        auto accepted = this->listener->accept().then(
            [this](kj::Own<kj::AsyncIoStream> socket) -> kj::Promise<void> {
                this->add(kj::mv(socket));
                return kj::READY_NOW;
            },
            [this](kj::Exception&& /*why*/) -> kj::Promise<void> {
                common::log(
                    common::log_part::wire, common::log_level::error, "cannot accept connections");
                return this->io.getTimer().afterDelay(accept_retry);
            });
        return accepted.then([this] { return this->accept(); });
    }

    auto add(kj::Own<kj::AsyncIoStream> socket) -> void
    {
        if (this->connections.size() >= this->core->options.connection_limit) {
            common::log(common::log_part::wire, common::log_level::warning, "too many connections");
            return;
        }
        tune_socket(*socket);
        const auto id = ++this->last_connection;
        auto connection = kj::heap<served_connection>(this->core, kj::mv(socket));
        auto closing = kj::newPromiseAndFulfiller<void>();
        connection->login->close = kj::mv(closing.fulfiller);
        auto ended = connection->network.onDisconnect()
                         .exclusiveJoin(kj::mv(closing.promise))
                         .exclusiveJoin(this->login_deadline(connection->login));
        this->connections[id] = connection.get();
        auto removal = kj::defer([this, id] { this->connections.erase(id); });
        // The connection goes after the promise that refers to its network.
        this->tasks.add(ended.attach(kj::mv(connection)).attach(kj::mv(removal)));
    }

    auto login_deadline(std::shared_ptr<login_state> login) -> kj::Promise<void>
    {
        const auto delay = this->core->options.login_timeout.count() * kj::MILLISECONDS;
        return this->io.getTimer().afterDelay(delay).then(
            [state = std::move(login)]() -> kj::Promise<void> {
                if (state->proved) {
                    return kj::NEVER_DONE;
                }
                return kj::READY_NOW;
            });
    }

    /// Also waits until what was answered has gone to the sockets, so that the process may exit.
    auto wait_until_drained() -> kj::Promise<void>
    {
        std::size_t unsent = 0;
        for (const auto& [id, connection] : this->connections) {
            unsent += connection->network.getCurrentQueueCount();
        }
        if (this->core->running == 0 && unsent == 0) {
            return kj::READY_NOW;
        }
        return this->io.getTimer().afterDelay(drain_poll).then([this] {
            return this->wait_until_drained();
        });
    }

    auto taskFailed(kj::Exception&& /*why*/) -> void override
    {
        common::log(common::log_part::wire, common::log_level::debug, "connection failed");
    }

    std::shared_ptr<server_core> core;
    kj::AsyncIoProvider& io;
    kj::Own<kj::ConnectionReceiver> listener;
    std::map<std::uint64_t, served_connection*> connections;
    std::uint64_t last_connection = 0;
    kj::Promise<void> accepting = nullptr;
    kj::TaskSet tasks;
};

class rpc_server_impl final : public rpc_server {
public:
    explicit rpc_server_impl(std::shared_ptr<server_core> of) : core(std::move(of))
    {
        this->core->queue = this->thread.queue();
        this->thread.run(
            [this] { this->loop = std::make_unique<server_loop>(this->core, this->thread.io()); });
    }

    rpc_server_impl(const rpc_server_impl&) = delete;
    auto operator=(const rpc_server_impl&) -> rpc_server_impl& = delete;

    ~rpc_server_impl() noexcept override
    {
        this->thread.run([this] { this->loop = nullptr; });
    }

    auto listen(const socket_address& on) -> common::result<void>
    {
        const auto port = this->thread.run([this, &on]() -> std::uint16_t {
            std::uint16_t chosen = 0;
            auto failed = kj::runCatchingExceptions(
                [this, &on, &chosen] { chosen = this->loop->listen(on); });
            return failed == nullptr ? chosen : 0;
        });
        if (port == 0) {
            return common::failure(common::result_code::invalid_settings, "cannot listen");
        }
        const auto text = format_address(this->core->options.ip, port);
        this->where = messages::rpc_address{text};
        return {};
    }

    [[nodiscard]] auto address() const -> messages::rpc_address override { return this->where; }

    [[nodiscard]] auto running_calls() const -> std::size_t override { return this->core->running; }

    auto drain(std::function<auto()->void> drained) -> void override
    {
        this->thread.queue()->post([this, done = std::move(drained)] { this->loop->drain(done); });
    }

private:
    std::shared_ptr<server_core> core;
    messages::rpc_address where;
    loop_thread thread;
    std::unique_ptr<server_loop> loop;
};

} // namespace

auto rpc_server::start(
    server_options options, messages::agent_service agent, messages::peer_service peer)
    -> common::result<std::unique_ptr<rpc_server>>
{
    if (options.shared_key.empty() || !options.now) {
        return common::failure(common::result_code::invalid_settings, "no shared key or no clock");
    }
    const auto where = make_address(options.ip, options.port);
    if (!where) {
        return common::failure(common::result_code::invalid_settings, "not a numeric address");
    }
    auto core = std::make_shared<server_core>();
    core->options = std::move(options);
    core->agent = std::move(agent);
    core->peer = std::move(peer);
    auto server = std::make_unique<rpc_server_impl>(std::move(core));
    auto listening = server->listen(*where);
    if (!listening) {
        return tl::unexpected(std::move(listening.error()));
    }
    return server;
}

} // namespace reedramp::wire
