#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "router/router_core.hpp"
#include "routing/registration.hpp"

namespace reedramp::router {

/// Asks servers whose registration appears again soon after its end whether they are back.
///
/// The store shows a server's registrations only where something but their number changes, so that
/// the last number known may be much older than the end: one that the store performs late, of a
/// server that left, can't be told from that of a server whose registration lapsed and that is
/// back. The server knows. While it answers its status check, it is used.
class return_checker : public std::enable_shared_from_this<return_checker> {
public:
    /// `on_confirmed` is called with the registration of a server that is back.
    return_checker(
        std::shared_ptr<router_core> core,
        std::function<auto(const routing::registration& read)->void> on_confirmed);

    /// Whether the server's service has a status check.
    [[nodiscard]] auto can_check(const routing::registration& read) const -> bool;

    /// Asks the server until it answers that it serves, or until the time at which no registration
    /// from before its end can appear any more: then it counts as back.
    auto check(const routing::registration& read, time_point until) -> void;

    /// Stops asking a server.
    auto forget(const common::server_id& id) -> void { this->doubtful.erase(id); }

private:
    struct doubtful_server {
        routing::registration read;
        time_point until;
        /// Number of the present question; responses to others are ignored.
        std::uint64_t question = 0;
    };

    auto ask(const common::server_id& id) -> void;
    auto on_response(
        const common::server_id& id,
        std::uint64_t question,
        const common::result<http::response>& answer) -> void;
    auto confirm(const common::server_id& id) -> void;
    [[nodiscard]] auto check_path(const routing::registration& read) const -> std::string;

    std::shared_ptr<router_core> core;
    std::function<auto(const routing::registration& read)->void> on_confirmed;
    std::map<common::server_id, doubtful_server> doubtful;
    std::uint64_t questions = 0;
};

} // namespace reedramp::router
