#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "common/hooks.hpp"
#include "common/result.hpp"
#include "faults.hpp"
#include "http/server.hpp"

namespace reedramp::standin {

/// Execution context and hooks that the process gives to a part. Each part runs on one I/O context
/// only, so that its state needs no lock.
struct part_environment {
    boost::asio::io_context* context = nullptr;
    common::clock_hook clock;
    common::timer_hook timers;
    common::random_hook random;
};

using responder_pointer = std::shared_ptr<http::responder>;

/// How a part responds to requests while its `down` fault is on.
enum class down_behaviour : std::uint8_t { status_503, closed_connection };

struct part_description {
    /// Kind of the part, such as "log" or "engine".
    std::string kind;
    std::string name;
    http::endpoint listen;
    down_behaviour when_down = down_behaviour::status_503;
};

/// HTTP server of one part, on a port of its own. Handles `/faults` and applies the faults that all
/// parts share; passes other requests to the part's hooks.
class part_server {
public:
    struct hooks {
        std::function<auto(http::request request, responder_pointer responder)->void> serve;
        /// Called after each change of the faults; may be empty.
        std::function<auto(const faults& current)->void> faults_changed;
    };

    part_server(part_description initial_description, part_environment environment);
    part_server(const part_server&) = delete;
    auto operator=(const part_server&) -> part_server& = delete;

    /// Binds the listener and starts to accept requests. Errors: those of the listener.
    auto open(hooks callbacks) -> common::result<void>;

    /// Sends a response, subject to the faults: delayed by `slow_ms`, or replaced by a closed
    /// connection if `lose_answer_every` applies. The call has taken effect in either case.
    auto reply(const responder_pointer& responder, http::response response) -> void;

    [[nodiscard]] auto kind() const -> const std::string& { return this->description.kind; }

    [[nodiscard]] auto name() const -> const std::string& { return this->description.name; }

    [[nodiscard]] auto port() const -> std::uint16_t { return this->listener->port(); }

    [[nodiscard]] auto environment() const -> const part_environment&
    {
        return this->execution_environment;
    }

    [[nodiscard]] auto current_faults() const -> const faults& { return this->current; }

    /// Replaces all faults and calls `hooks::faults_changed`.
    auto set_faults(const faults& updated) -> void;

private:
    auto handle_request(http::request request, const responder_pointer& responder) -> void;
    auto handle_faults(const http::request& request, const responder_pointer& responder) -> void;
    /// Applies `down` and `error_rate_permille`. Returns true if the request was rejected.
    auto reject_by_fault(const responder_pointer& responder) -> bool;

    part_description description;
    part_environment execution_environment;
    hooks handlers;
    faults current;
    std::uint64_t replies = 0;
    std::unique_ptr<http::server> listener;
};

auto json_response(std::uint16_t status, std::string body) -> http::response;

/// Response with the JSON body `{"error":"<message>"}`.
auto error_response(std::uint16_t status, std::string_view message) -> http::response;

/// Returns the path of a request target, without the query.
auto strip_query(std::string_view target) -> std::string_view;

/// Parses the query parameter `name` as an unsigned number. Returns nullopt if it is missing or
/// malformed.
auto parse_query_number(std::string_view target, std::string_view name)
    -> std::optional<std::uint64_t>;

} // namespace reedramp::standin
