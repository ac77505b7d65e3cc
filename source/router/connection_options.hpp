#pragma once

#include "http/client.hpp"

/// Limits of the connections that an entry opens.
namespace reedramp::router_program {

/// Of connections to backend servers.
auto server_connection_options() -> http::client_options;

/// Of connections to the store, for reads that wait there until there is news.
auto waiting_store_options() -> http::client_options;

/// Of connections to the store, for calls that it answers at once.
auto quick_store_options() -> http::client_options;

} // namespace reedramp::router_program
