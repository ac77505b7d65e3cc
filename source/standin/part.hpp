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

/// What each part gets from the program. A part stays on one context and so needs no lock.
struct part_tools {
    boost::asio::io_context* context = nullptr;
    common::clock_hook clock;
    common::timer_hook timers;
    common::random_hook random;
};

using responder_pointer = std::shared_ptr<http::responder>;

/// What callers of a part see while it is down.
enum class down_answer : std::uint8_t { status_503, closed_connection };

struct part_description {
    /// "log", "engine", ...
    std::string kind;
    std::string name;
    http::endpoint listen;
    down_answer when_down = down_answer::status_503;
};

/// One part of the stand-in behind its own port: answers `/faults` and applies the faults that all
/// parts have in common; the rest goes to the part's hooks.
class part_server {
public:
    struct hooks {
        std::function<auto(http::request asked, responder_pointer out)->void> serve;
        /// May be empty.
        std::function<auto(const faults& current)->void> faults_changed;
    };

    part_server(part_description description, part_tools tools);
    part_server(const part_server&) = delete;
    auto operator=(const part_server&) -> part_server& = delete;

    auto open(hooks given) -> common::result<void>;

    /// Sends an answer as the faults say: later, or never although the call took effect.
    auto reply(const responder_pointer& out, http::response answer) -> void;

    [[nodiscard]] auto kind() const -> const std::string& { return this->about.kind; }

    [[nodiscard]] auto name() const -> const std::string& { return this->about.name; }

    [[nodiscard]] auto port() const -> std::uint16_t { return this->listener->port(); }

    [[nodiscard]] auto tools() const -> const part_tools& { return this->given_tools; }

    [[nodiscard]] auto current_faults() const -> const faults& { return this->current; }

    /// Faults that the settings switch on from the start.
    auto set_faults(const faults& wanted) -> void;

private:
    auto take(http::request asked, const responder_pointer& out) -> void;
    auto serve_faults(const http::request& asked, const responder_pointer& out) -> void;
    auto refuse_by_fault(const responder_pointer& out) -> bool;

    part_description about;
    part_tools given_tools;
    hooks handlers;
    faults current;
    std::uint64_t replies = 0;
    std::unique_ptr<http::server> listener;
};

auto json_response(std::uint16_t status, std::string body) -> http::response;

/// `{"error":"..."}`
auto error_response(std::uint16_t status, std::string_view why) -> http::response;

/// The path of a target without its query.
auto path_of(std::string_view target) -> std::string_view;

/// A number of the query; nothing if it is absent or no number.
auto query_count(std::string_view target, std::string_view name) -> std::optional<std::uint64_t>;

} // namespace reedramp::standin
