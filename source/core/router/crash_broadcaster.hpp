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
    /// All other entries that live.
    std::function<auto()->std::vector<http::endpoint>> everyone;
    /// Whether somebody listens at the server's address.
    std::function<
        auto(const routing::registration& server, std::function<auto(bool listens)->void> done)
            ->void>
        check;
};

/// Tells all entries which requests were lost with which servers, so that each of them finds the
/// request that ends servers, from the same words.
///
/// Told to a few peers at a time, as loads are, a hundred entries would know a crash 2.6 s after
/// it, and the request comes several times a second. So each entry tells all others at once of what
/// it has lost itself, twice, since datagrams get lost: some 24 bytes a request, while servers end.
/// An entry that was out of touch meanwhile hears which requests are barred from those that lost
/// them, at once, and from all others in turn.
class crash_broadcaster : public std::enable_shared_from_this<crash_broadcaster> {
public:
    crash_broadcaster(
        std::shared_ptr<router_core> core, common::host_id host, crash_broadcaster_hooks hooks);

    /// Tells what has come since the last call, and judges. Some times a second.
    auto tick() -> void;

    /// Tells an entry that starts which requests are barred.
    auto tell_barred(const http::endpoint& to) const -> void;

    /// Takes a datagram in; one that is no such news changes nothing.
    auto hear(std::string_view datagram) -> void;

private:
    auto tell(time_point now) -> void;
    auto check_doubtful() -> void;
    auto judge(time_point now) -> void;
    auto tell_next() -> void;
    auto tell_all(const crash_update& news) const -> void;
    [[nodiscard]] auto barred_news(time_point now) const -> crash_update;

    std::shared_ptr<router_core> core;
    common::host_id self;
    crash_broadcaster_hooks hooks;
    /// What was told once, and when.
    crash_update told_once;
    time_point told_at{};
    /// The entry that was told last which requests are barred.
    http::endpoint told_last;
};

} // namespace reedramp::router
