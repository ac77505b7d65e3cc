#pragma once

#include <atomic>
#include <memory>
#include <vector>

#include "agent/backend.hpp"
#include "http/client.hpp"

namespace boost::asio {
class io_context;
}

namespace reedramp::agent_program {

/// Calls the model engine or the plain service over HTTP, round robin over the I/O contexts. Kept
/// alive by the hook that it returns. Thread-safe.
class backend_client : public std::enable_shared_from_this<backend_client> {
public:
    backend_client(
        const std::vector<boost::asio::io_context*>& contexts,
        http::endpoint backend,
        const http::client_options& options);

    auto make_start_hook() -> agent::start_call_hook;

private:
    auto start(agent::backend_call call, agent::backend_events events)
        -> std::shared_ptr<agent::backend_handle>;

    http::endpoint endpoint;
    std::vector<std::shared_ptr<http::client>> clients;
    std::atomic<std::size_t> next_client = 0;
};

} // namespace reedramp::agent_program
