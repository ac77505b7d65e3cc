#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/result.hpp"
#include "daemon/io_pool.hpp"
#include "http/client.hpp"
#include "http/message.hpp"
#include "options.hpp"
#include "platform/hooks.hpp"

namespace reedramp::ctl {

/// A request and its destination.
struct addressed_request {
    http::endpoint endpoint;
    http::request request;
};

/// Blocking client for the administration API of entries and agents. Runs its I/O on a pool of one
/// thread; its methods must be called from another thread.
class admin_client {
public:
    explicit admin_client(std::string operator_key);
    ~admin_client();
    admin_client(const admin_client&) = delete;
    admin_client(admin_client&&) = delete;
    auto operator=(const admin_client&) -> admin_client& = delete;
    auto operator=(admin_client&&) -> admin_client& = delete;

    /// Sends one request to an entry or an agent, with the operator's key, and waits for the
    /// answer.
    auto send(const http::endpoint& endpoint, http::request request) -> common::result<std::string>;

    /// Sends the requests concurrently and returns the answers in the order of the requests. A
    /// process that sends nothing for two seconds counts as not answering. The operator's key is
    /// sent only if `with_key` is true.
    auto send_all(std::vector<addressed_request> requests, bool with_key)
        -> std::vector<common::result<std::string>>;

    /// As `send_all` without the key, but returns whole responses of any status.
    auto fetch_responses(const std::vector<addressed_request>& requests)
        -> std::vector<common::result<http::response>>;

    /// Tries the entries in order until one gives a conclusive answer. Only for requests that may
    /// be repeated.
    auto send_to_any(const std::vector<http::endpoint>& entries, const http::request& request)
        -> common::result<std::string>;

    /// Fetches the host list of the platform. Errors: `platform_unavailable`, or an invalid list.
    auto fetch_hosts(const http::endpoint& endpoint)
        -> common::result<std::vector<platform::host_entry>>;

private:
    auto send(
        const std::shared_ptr<http::client>& client,
        const http::endpoint& endpoint,
        http::request request) -> common::result<std::string>;

    std::string key;
    daemon::io_pool pool;
    /// Has a timeout that allows an entry to publish a record.
    std::shared_ptr<http::client> publish_client;
    std::shared_ptr<http::client> query_client;
};

/// Entries to contact: those from the command line or the environment, then live ones of the host
/// list. An unavailable host list is an error only if no other entry is given.
auto resolve_entries(admin_client& client, const options& opts)
    -> common::result<std::vector<http::endpoint>>;

} // namespace reedramp::ctl
