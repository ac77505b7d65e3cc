#include "wire/client_loop.hpp"

#include <string>

#include "common/log.hpp"

namespace reedramp::wire {

namespace {

/// A connection is closed at most this part of the idle time late.
constexpr int idle_checks = 4;

} // namespace

client_loop::client_loop(std::shared_ptr<client_core> of, kj::AsyncIoProvider& provider)
    : core(std::move(of)), io(provider), tasks(*this)
{
    this->tasks.add(this->close_idle());
}

client_loop::~client_loop() noexcept
{
    this->core->connections -= this->slots.size();
}

auto client_loop::connection(const messages::rpc_address& address)
    -> std::shared_ptr<client_connection>
{
    const auto found = this->slots.find(address);
    if (found != this->slots.end() && !found->second.connection->failed()) {
        return found->second.connection;
    }
    if (found != this->slots.end()) {
        this->remove(found);
    }
    auto opened = std::make_shared<client_connection>(this->core->options, this->io, address);
    auto watched = this->watch(address, *opened).eagerlyEvaluate(nullptr);
    this->slots.emplace(address, slot{opened, kj::mv(watched)});
    ++this->core->connections;
    return opened;
}

auto client_loop::watch(const messages::rpc_address& address, client_connection& connection)
    -> kj::Promise<void>
{
    return connection.ready()
        .then([&connection] { return connection.lost(); })
        .catch_([address](kj::Exception&& why) {
            common::log(
                common::log_part::wire,
                common::log_level::info,
                "cannot connect address=" + address.value() +
                    " why=" + why.getDescription().cStr());
        })
        .then([this, address, &connection] { this->remove_later(address, connection); });
}

/// Later, since the slot holds the promise that asks for it.
auto client_loop::remove_later(
    const messages::rpc_address& address, const client_connection& connection) -> void
{
    this->tasks.add(kj::evalLater([this, address, lost = &connection] {
        const auto found = this->slots.find(address);
        if (found != this->slots.end() && found->second.connection.get() == lost) {
            this->remove(found);
        }
    }));
}

auto client_loop::remove(slot_map::iterator which) -> void
{
    const auto address = which->first;
    const bool was_open = which->second.connection->established();
    this->slots.erase(which);
    --this->core->connections;
    if (!was_open) {
        return;
    }
    common::log(
        common::log_part::wire,
        common::log_level::info,
        "connection lost address=" + address.value());
    if (this->core->options.on_connection_lost) {
        this->core->options.on_connection_lost(address);
    }
}

auto client_loop::close_idle() -> kj::Promise<void>
{
    const auto pause = this->core->options.idle_timeout.count() * kj::MILLISECONDS / idle_checks;
    return this->timer().afterDelay(pause).then([this] {
        const auto now = this->timer().now();
        const auto closed = std::erase_if(
            this->slots, [now](const auto& entry) { return entry.second.connection->idle(now); });
        this->core->connections -= closed;
        return this->close_idle();
    });
}

auto client_loop::taskFailed(kj::Exception&& why) -> void
{
    common::log(
        common::log_part::wire,
        common::log_level::error,
        std::string("call failed why=") + why.getDescription().cStr());
}

} // namespace reedramp::wire
