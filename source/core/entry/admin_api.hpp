#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "http/message.hpp"
#include "http/server.hpp"

namespace reedramp::entry {

/// Completes an operator's request with JSON text or an error.
using text_response_hook = std::function<auto(common::result<std::string> json)->void>;

/// Hooks through which the administration API reaches the process. Requests whose hook is empty are
/// refused with `not_found` or `unknown_path`. A completion callback may be called immediately or
/// later, from any thread, exactly once.
struct admin_hooks {
    /// Publishes a configuration record (JSON text) and completes once it has been read back, with
    /// its offset as JSON. Errors: `conflict`, which names the record that came first.
    std::function<auto(std::string record, text_response_hook done)->void> publish;
    /// The complete configuration in force.
    std::function<auto()->common::result<std::string>> state;
    /// Configuration records with their results, newest last.
    std::function<auto()->common::result<std::string>> history;
    /// Configuration offset and freshness, and counters.
    std::function<auto()->common::result<std::string>> status;
    /// Withdraws a version in this process immediately and propagates the withdrawal; works while
    /// the log is down.
    std::function<auto(common::version_id version, text_response_hook done)->void> withdraw;
    /// Totals of the bills by organisation and by version.
    std::function<auto(text_response_hook done)->void> bills;
    std::function<auto(const common::request_id& request)->std::optional<std::string>> explain;
};

/// The administration API under /admin/v1/. Its credentials are separate from the callers': a
/// caller's key gives no access here, and an operator's key can't run requests.
class admin_api {
public:
    admin_api() = default;
    admin_api(std::vector<std::string> key_hashes, admin_hooks given);

    auto handle(
        const http::request& request,
        const common::request_id& id,
        common::time_point now,
        const std::shared_ptr<http::responder>& responder) const -> void;

    admin_hooks hooks;

private:
    [[nodiscard]] auto allowed(const http::request& request) const -> bool;

    std::vector<std::string> operator_key_hashes;
};

} // namespace reedramp::entry
