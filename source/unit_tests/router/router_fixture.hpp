#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/client.hpp"
#include "http/server.hpp"
#include "router/router_core.hpp"

/// Test fixture: a router core whose clock, servers and callers are controlled by the test.
namespace reedramp::router::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A request that the core has sent to a server, with functions for the server's response.
struct sent_request final : http::call {
    http::endpoint where;
    http::request request;
    http::call_events events;
    bool is_cancelled = false;
    bool is_calling = false;
    bool is_paused = false;
    unsigned pauses = 0;

    /// Drops the callbacks like the real client does, though not while one of them runs.
    auto cancel() -> void override
    {
        this->is_cancelled = true;
        this->drop_events();
    }

    auto drop_events() -> void
    {
        if (this->is_cancelled && !this->is_calling) {
            this->events = {};
        }
    }

    auto pause() -> void override
    {
        this->is_paused = true;
        this->pauses += 1;
    }

    auto resume() -> void override { this->is_paused = false; }

    [[nodiscard]] auto header(std::string_view name) const -> std::string;

    /// Takes the whole request.
    auto take() -> void
    {
        if (this->events.on_sent) {
            this->events.on_sent();
        }
    }

    /// Sends the status and headers of a response, signed by the server and for this attempt.
    /// `extra` replaces or adds headers; an empty value removes one.
    auto head(std::uint16_t status, std::vector<http::header> extra = {}) -> void;
    auto chunk(const std::string& bytes) -> void;
    auto end() -> void;
    /// Ends the response with its connection, without a length or chunks.
    auto end_by_close() -> void;
    /// Sends a complete response.
    auto answer(std::uint16_t status, const std::string& body, std::vector<http::header> extra = {})
        -> void;
    /// Ends the connection. `run` states whether the request may have reached the server.
    auto lose(common::execution run) -> void;
};

/// A caller, with what it has received. One that `reads_slowly` takes only what the test reads.
struct caller final : http::responder {
    std::optional<http::response> answer;
    bool is_stream = false;
    bool is_finished = false;
    bool is_aborted = false;
    std::string events;
    std::function<auto()->void> leave_action;
    bool reads_slowly = false;
    bool is_dropped = false;
    /// Bytes that were sent but not read.
    std::size_t unread = 0;
    std::uint64_t read_bytes = 0;
    std::vector<std::pair<std::size_t, std::function<auto()->void>>> drain_actions;

    auto send(http::response whole) -> void override
    {
        this->unread += this->reads_slowly ? whole.body.size() : 0;
        this->answer = std::move(whole);
    }

    /// Reads up to `bytes` of what was sent.
    auto read(std::size_t bytes) -> void;

    auto start(http::response head) -> void override
    {
        this->answer = std::move(head);
        this->is_stream = true;
    }

    auto write(std::string bytes) -> void override
    {
        this->unread += this->reads_slowly ? bytes.size() : 0;
        this->events += bytes;
    }

    auto finish() -> void override { this->is_finished = true; }

    auto abort() -> void override { this->is_aborted = true; }

    auto drop_unsent() -> void override { this->is_dropped = true; }

    [[nodiscard]] auto backlog() const -> std::size_t override { return this->unread; }

    [[nodiscard]] auto taken() const -> std::uint64_t override { return this->read_bytes; }

    auto when_drained(std::size_t low_water, std::function<auto()->void> action) -> void override
    {
        this->drain_actions.emplace_back(low_water, std::move(action));
        this->read(0);
    }

    auto on_disconnect(std::function<auto()->void> action) -> void override
    {
        this->leave_action = std::move(action);
    }

    /// Status of the response; 0 before any.
    [[nodiscard]] auto status() const -> int { return this->answer ? this->answer->status : 0; }
};

/// HTTP client that records requests to servers for the test.
struct fake_client final : http::client {
    std::vector<std::shared_ptr<sent_request>> sent;

    auto send(const http::endpoint& where, http::request request, http::call_events events)
        -> std::shared_ptr<http::call> override;
};

/// Options with enough retries for each request, for tests that are not about the budget.
inline auto ample_retries() -> router_options
{
    router_options options;
    options.retries = {.ratio = 10.0, .extra = 1000.0};
    return options;
}

/// Fixture with rules for three routes of host "h": /stream/ (resumable, models s and l, three
/// attempts), /once/ (not idempotent, one attempt), /again/ (idempotent, two attempts); the
/// organisation "org" with the key "key"; and servers a, b and c.
class router_fixture {
public:
    explicit router_fixture(router_options options = ample_retries());
    /// Breaks the reference cycles between open requests and their calls. The real client ends its
    /// calls with its context.
    ~router_fixture();
    router_fixture(const router_fixture&) = delete;
    router_fixture(router_fixture&&) = delete;
    auto operator=(const router_fixture&) -> router_fixture& = delete;
    auto operator=(router_fixture&&) -> router_fixture& = delete;

    auto advance(milliseconds time) -> void;

    /// Sends a caller's request for `path`. `extra` replaces or adds headers.
    auto
    ask(const std::string& path,
        std::vector<http::header> extra = {},
        const std::string& body = "body") -> std::shared_ptr<caller>;

    /// The same for a caller that the test has made.
    auto
    ask(std::shared_ptr<caller> out,
        const std::string& path,
        std::vector<http::header> extra = {},
        const std::string& body = "body") -> std::shared_ptr<caller>;

    /// The newest request to a server.
    [[nodiscard]] auto last() const -> sent_request& { return *this->client->sent.back(); }

    [[nodiscard]] auto sends() const -> std::size_t { return this->client->sent.size(); }

    auto add_server(
        const std::string& id, const std::string& version = "v1", std::uint64_t started_at = 0)
        -> void;

    common::time_point now{seconds{1000}};
    std::multimap<common::time_point, std::function<auto()->void>> timers;
    std::shared_ptr<fake_client> client = std::make_shared<fake_client>();
    std::shared_ptr<router_core> core;
    /// Number of requests asked; each has an attempt id of its own.
    int attempts = 0;
};

/// The fixture's rules as version `version`.
auto rules_of(std::uint64_t version) -> published_rules;

} // namespace reedramp::router::testing
