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
    /// There is an incarnation and a configuration.
    std::function<auto()->bool> ready;
    std::function<auto()->std::string> metrics;
    std::function<auto()->void> drain;
};

/// GET /health/live, /health/ready and /metrics for the platform; POST /drain with an operator's
/// key, after which the agent takes no new work until it is ended.
class operations_api {
public:
    operations_api(operations_hooks given, std::vector<std::string> operator_key_hashes);

    auto handle(const http::request& asked, const std::shared_ptr<http::responder>& out) const
        -> void;

private:
    [[nodiscard]] auto answer(const http::request& asked) const -> http::response;
    [[nodiscard]] auto answer_ready() const -> http::response;
    [[nodiscard]] auto answer_drain(const http::request& asked) const -> http::response;
    [[nodiscard]] auto is_operator(const http::request& asked) const -> bool;

    operations_hooks hooks;
    std::vector<std::string> key_hashes;
};

} // namespace reedramp::agent_program
