#include "connection_options.hpp"

namespace reedramp::router_program {

using std::chrono::milliseconds;

namespace {

/// Time after which a dead server host is detected; two thirds of the shortest time limit.
constexpr milliseconds dead_peer_time{2000};
/// A connection to a server in the same region opens within a few ms. A lost first packet is sent
/// again only after a second, so that another server is faster.
constexpr milliseconds server_connect_time{300};
constexpr std::size_t idle_connections_per_server = 12;
constexpr milliseconds server_idle_time{4000};
/// Longer than any pause that routes allow; streams have their own limits.
constexpr milliseconds server_silence{60000};
/// Longer than any read waits at the store.
constexpr milliseconds waiting_silence{11000};
/// The store responds within some ms, or some tens of times that under load.
constexpr milliseconds quick_silence{1500};
constexpr milliseconds store_idle_time{4000};
constexpr milliseconds store_connect_time{1000};

auto store_client_options(milliseconds silence) -> http::client_options
{
    http::client_options options;
    options.connect_timeout = store_connect_time;
    options.idle_timeout = silence;
    options.keep_idle_time = store_idle_time;
    options.dead_peer_time = dead_peer_time;
    return options;
}

} // namespace

auto server_connection_options() -> http::client_options
{
    http::client_options options;
    options.connect_timeout = server_connect_time;
    options.idle_timeout = server_silence;
    options.idle_connections = idle_connections_per_server;
    options.keep_idle_time = server_idle_time;
    options.dead_peer_time = dead_peer_time;
    return options;
}

auto waiting_store_options() -> http::client_options
{
    return store_client_options(waiting_silence);
}

auto quick_store_options() -> http::client_options
{
    return store_client_options(quick_silence);
}

} // namespace reedramp::router_program
