#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "messages/channel.hpp"
#include "wire/rpc_client.hpp"
#include "wire/rpc_server.hpp"

/// A server and a client over loopback, and what tests need to wait for their threads.
namespace reedramp::wire::testing {

inline constexpr auto patience = std::chrono::seconds{20};
inline constexpr common::time_point test_now{std::chrono::hours{5}};
inline const std::string test_key = "a shared key of the tests";

/// What one thread hands to another, in order.
template <typename Item>
class mailbox {
public:
    auto put(Item item) -> void
    {
        const std::lock_guard guard(this->lock);
        this->items.push_back(std::move(item));
        this->changed.notify_all();
    }

    /// Waits for the next item; empty if none comes.
    auto take() -> std::optional<Item>
    {
        std::unique_lock guard(this->lock);
        if (!this->changed.wait_for(guard, patience, [this] { return !this->items.empty(); })) {
            return std::nullopt;
        }
        std::optional<Item> first = std::move(this->items.front());
        this->items.pop_front();
        return first;
    }

    auto size() -> std::size_t
    {
        const std::lock_guard guard(this->lock);
        return this->items.size();
    }

private:
    std::mutex lock;
    std::condition_variable changed;
    std::deque<Item> items;
};

enum class signal { cancelled, paused, resumed };

/// The agent's side of a run.
struct fake_run final : messages::run_handle {
    auto cancel() -> void override { this->signals.put(signal::cancelled); }

    auto pause() -> void override { this->signals.put(signal::paused); }

    auto resume() -> void override { this->signals.put(signal::resumed); }

    messages::run_request request;
    messages::run_sink sink;
    mailbox<signal> signals;
};

/// An agent whose runs the test plays.
struct fake_agent {
    auto service() -> messages::agent_service
    {
        messages::agent_service made;
        made.run = [this](messages::run_request request, messages::run_sink sink) {
            auto run = std::make_shared<fake_run>();
            run->request = std::move(request);
            run->sink = std::move(sink);
            this->runs.put(run);
            return run;
        };
        made.probe = [](const messages::probe_request& request, const auto& done) {
            messages::probe_answer answer;
            answer.server = common::server_id{"probed " + request.version.value()};
            done(answer);
        };
        return made;
    }

    mailbox<std::shared_ptr<fake_run>> runs;
};

/// The reader of a run, who notes all events.
struct reader {
    auto sink() -> messages::run_sink
    {
        return [events = this->events](messages::run_event event) {
            events->put(std::move(event));
        };
    }

    /// Takes events up to the end; the text of the tokens goes to `text`.
    auto wait_end() -> std::optional<messages::run_event>
    {
        while (auto event = this->events->take()) {
            const auto* tokens = std::get_if<messages::tokens_event>(&*event);
            if (tokens == nullptr) {
                return event;
            }
            this->in_order = this->in_order && tokens->first_index == this->next_index;
            this->next_index = tokens->first_index + tokens->count;
            this->text += tokens->text;
        }
        return std::nullopt;
    }

    std::shared_ptr<mailbox<messages::run_event>> events =
        std::make_shared<mailbox<messages::run_event>>();
    std::string text;
    std::uint64_t next_index = 0;
    bool in_order = true;
};

inline auto server_defaults() -> server_options
{
    server_options options;
    options.shared_key = test_key;
    options.now = [] {
        return test_now;
    };
    return options;
}

inline auto client_defaults() -> client_options
{
    client_options options;
    options.shared_key = test_key;
    options.now = [] {
        return test_now;
    };
    options.connect_timeout = patience;
    options.call_timeout = patience;
    return options;
}

inline auto start_server(
    server_options options, messages::agent_service agent, messages::peer_service peer = {})
    -> std::unique_ptr<rpc_server>
{
    auto started = rpc_server::start(std::move(options), std::move(agent), std::move(peer));
    REQUIRE(started);
    return std::move(*started);
}

inline auto start_server(messages::agent_service agent, messages::peer_service peer = {})
    -> std::unique_ptr<rpc_server>
{
    return start_server(server_defaults(), std::move(agent), std::move(peer));
}

/// Makes one call and waits for its answer.
template <typename Answer, typename Hook, typename Query>
auto call(const Hook& hook, const messages::rpc_address& to, Query query) -> common::result<Answer>
{
    auto answers = std::make_shared<mailbox<common::result<Answer>>>();
    hook(to, std::move(query), [answers](common::result<Answer> answer) {
        answers->put(std::move(answer));
    });
    auto answer = answers->take();
    REQUIRE(answer);
    return *answer;
}

inline auto tokens(std::uint64_t index, std::string text) -> messages::tokens_event
{
    return {index, 1, std::move(text)};
}

inline auto finished(std::uint64_t count) -> messages::finished_event
{
    messages::finished_event end;
    end.used.completion_tokens = common::token_count{count};
    end.finish_reason = "stop";
    return end;
}

/// The error of an event that is a `failed_event`.
inline auto failure_of(const std::optional<messages::run_event>& end) -> common::error
{
    REQUIRE(end);
    REQUIRE(std::holds_alternative<messages::failed_event>(*end));
    return std::get<messages::failed_event>(*end).why;
}

} // namespace reedramp::wire::testing
