#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/units.hpp"
#include "entry/core.hpp"
#include "http/server.hpp"
#include "messages/channel.hpp"
#include "platform/fake_time.hpp"

/// A core with fakes behind its hooks, on virtual time.
namespace reedramp::entry::test {

/// A responder that records what the caller receives.
class fake_caller final : public http::responder {
public:
    auto send(http::response response) -> void override;
    auto start(http::response head) -> void override;
    auto write(std::string chunk) -> void override;
    auto finish() -> void override;
    auto abort() -> void override;

    [[nodiscard]] auto backlog() const -> std::size_t override { return this->unsent; }

    auto when_drained(std::size_t low_water, std::function<auto()->void> action) -> void override;
    auto on_disconnect(std::function<auto()->void> action) -> void override;

    /// Empties the backlog, as if the socket had sent everything.
    auto drain() -> void;
    auto disconnect() -> void;

    /// Result code name and execution state of the problem object, taken from a response or from
    /// the error event of a stream.
    [[nodiscard]] auto problem_name() const -> std::string;
    [[nodiscard]] auto execution() const -> std::string;
    [[nodiscard]] auto header(std::string_view name) const -> std::string;
    /// Text of all chunks of the stream.
    [[nodiscard]] auto streamed_text() const -> std::string;
    [[nodiscard]] auto is_complete_stream() const -> bool;

    /// Number of responses that were started; more than one is a defect.
    int answers = 0;
    bool finished = false;
    bool aborted = false;
    http::response head;
    std::string body;
    std::size_t unsent = 0;
    bool is_slow = false;

private:
    [[nodiscard]] auto problem_field(const char* name) const -> std::string;

    std::function<auto()->void> drained;
    std::function<auto()->void> disconnected;
};

class fake_run final : public messages::run_handle {
public:
    auto cancel() -> void override { this->cancelled = true; }

    auto pause() -> void override { this->paused = true; }

    auto resume() -> void override { this->paused = false; }

    /// Emits the tokens with these indexes, with the text of `token_text`.
    auto tokens(std::uint64_t first, std::uint32_t count) const -> void;
    auto finish(std::string text = "done", std::uint64_t completion_tokens = 1) const -> void;
    auto refuse(common::result_code code, common::duration retry_after = {}) const -> void;
    auto fail(common::result_code code, common::execution run) const -> void;

    std::string address;
    messages::run_request request;
    messages::run_sink sink;
    bool cancelled = false;
    bool paused = false;
};

/// Text of the tokens from `first` up to, but not including, `end`.
auto token_text(std::uint64_t first, std::uint64_t end) -> std::string;

/// The complete response of an engine with this text.
auto chat_body(const std::string& text) -> std::string;

struct sent_outcome_query {
    std::string address;
    messages::outcome_query query;
};

/// Organisation "org" with key "key": model "small" with versions "s1" (expensive) and "s2"
/// (cheap), and service "notes", whose GET is idempotent. Organisation "other" with key
/// "other-key": model "big" with version "b1". Servers "a", "b" and "c" serve everything.
class core_fixture {
public:
    core_fixture();

    auto call(http::request request) -> std::shared_ptr<fake_caller>;
    auto chat(const std::string& extra = {}, std::vector<http::header> headers = {})
        -> std::shared_ptr<fake_caller>;
    auto service(const std::string& method, std::vector<http::header> headers = {})
        -> std::shared_ptr<fake_caller>;

    /// A session token of "org" pinned to this version.
    auto session_token(const std::string& version) -> std::string;
    /// Publishes a changed configuration.
    auto change(const std::function<auto(inventory::state& state)->void>& edit) -> void;

    [[nodiscard]] auto run(std::size_t index) const -> fake_run& { return *this->runs.at(index); }

    platform::fake_time time;
    std::vector<std::shared_ptr<fake_run>> runs;
    std::vector<sent_outcome_query> outcome_queries;
    /// Answer of the agents to outcome queries; if unset, `peer_unavailable`.
    std::optional<common::result<messages::outcome_answer>> outcome;
    std::vector<messages::bill> bills;
    std::vector<common::server_id> servers;
    /// Result of claims; if unset, they are granted.
    std::optional<claims::claim_result> claim_result;
    std::vector<messages::claim_request> claims;
    bool accepts_bills = true;
    bool knows_servers = true;
    common::time_point current_until = common::never;
    std::optional<common::error> limit;
    limits::amounts settled;
    core_options options;
    /// SHA-256 hashes of the operators' keys.
    std::vector<std::string> operators;
    std::shared_ptr<core> subject;

    /// Creates a new core; to be called after a change of `options` or `operators`.
    auto restart() -> void;

    /// The hooks that connect the core to the fakes.
    auto hooks() -> core_hooks;

private:
    auto place(const placement_query& query) -> common::result<placement_decision>;

    inventory::snapshot_ptr state;
    std::uint64_t random_state = 1;
};

auto bearer(const std::string& key) -> http::header;

} // namespace reedramp::entry::test
