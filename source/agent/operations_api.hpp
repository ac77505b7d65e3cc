#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "agent/core.hpp"
#include "http/message.hpp"
#include "http/server.hpp"

namespace reedramp::agent_program {

struct operations_hooks {
    std::function<auto()->bool> leaving;
    /// True if the agent has an incarnation and a configuration.
    std::function<auto()->bool> ready;
    std::function<auto()->std::string> metrics;
    std::function<auto()->void> drain;
};

/// HTTP interface for operations: GET /health/live, /health/ready and /metrics for the platform,
/// and POST /drain with an operator's key. After a drain the agent accepts no more requests.
class operations_api {
public:
    operations_api(operations_hooks given, std::vector<std::string> operator_key_hashes);

    auto
    handle(const http::request& request, const std::shared_ptr<http::responder>& responder) const
        -> void;

private:
    [[nodiscard]] auto answer(const http::request& request) const -> http::response;
    [[nodiscard]] auto answer_ready() const -> http::response;
    [[nodiscard]] auto answer_drain(const http::request& request) const -> http::response;
    [[nodiscard]] auto is_operator(const http::request& request) const -> bool;

    operations_hooks hooks;
    std::vector<std::string> key_hashes;
};

} // namespace reedramp::agent_program
