#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.hpp"
#include "router/crash_update.hpp"
#include "router/router_core.hpp"

namespace reedramp::router {

struct crash_broadcaster_hooks {
    std::function<auto(const http::endpoint& to, const std::string& bytes)->void> send;
    /// All other live entries.
    std::function<auto()->std::vector<http::endpoint>> live_peers;
    /// Checks whether the server's address accepts connections.
    std::function<
        auto(const routing::registration& server, std::function<auto(bool listens)->void> done)
            ->void>
        is_reachable;
};

/// Sends to all entries which requests were lost at which servers, so that each entry finds the
/// requests that crash servers from the same data.
///
/// Each entry sends its own losses to all others at once, twice, since datagrams get lost. This
/// takes some 24 bytes per request while servers crash. Sent to a few peers at a time like load
/// reports, a crash would reach all of a hundred entries only after 2.6 s, while the request comes
/// several times a second. An entry that was out of contact learns which requests are barred at
/// once from the entries that lost them, and from all others in turn.
class crash_broadcaster : public std::enable_shared_from_this<crash_broadcaster> {
public:
    crash_broadcaster(
        std::shared_ptr<router_core> core, common::host_id host, crash_broadcaster_hooks hooks);

    /// Sends the events since the last call and evaluates which requests to bar. Call it several
    /// times a second.
    auto tick() -> void;

    /// Sends the barred requests to an entry that is starting.
    auto send_barred(const http::endpoint& to) const -> void;

    /// Handles a received datagram. An invalid one is ignored.
    auto receive(std::string_view datagram) -> void;

private:
    auto send_events(time_point now) -> void;
    auto check_suspects() -> void;
    auto bar_requests(time_point now) -> void;
    auto send_barred_to_next() -> void;
    auto broadcast(const crash_update& update) const -> void;
    [[nodiscard]] auto make_barred_update(time_point now) const -> crash_update;

    std::shared_ptr<router_core> core;
    common::host_id self;
    crash_broadcaster_hooks hooks;
    /// The events sent once so far, and when.
    crash_update last_sent;
    time_point last_sent_at{};
    /// The entry to which the barred requests were sent last.
    http::endpoint last_recipient;
};

} // namespace reedramp::router
