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

/// Gives back a JSON text for operators, or an error.
using text_response_hook = std::function<auto(common::result<std::string> json)->void>;

/// What the administration API asks of the process. A hook that is empty is answered with
/// `not_found`. Each hook may answer at once or later, from any thread, exactly once.
struct admin_hooks {
    /// Publishes a configuration record (JSON text) and answers when it was read back:
    /// {"offset":N}; `conflict` names the winner.
    std::function<auto(std::string record, text_response_hook done)->void> publish;
    /// The whole state in force.
    std::function<auto()->common::result<std::string>> state;
    /// Records with their outcome, newest last.
    std::function<auto()->common::result<std::string>> history;
    /// Offset, freshness, counters.
    std::function<auto()->common::result<std::string>> status;
    /// Withdraws a version here at once and passes it on; works while the log is down.
    std::function<auto(common::version_id version, text_response_hook done)->void> withdraw;
    /// Sums of the bills by organisation and version.
    std::function<auto(text_response_hook done)->void> bills;
    std::function<auto(const common::request_id& request)->std::optional<std::string>> explain;
};

/// The administration API under /admin/v1/. Its credentials are apart from the callers': a
/// caller's key opens nothing here, an operator's key runs no request.
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
