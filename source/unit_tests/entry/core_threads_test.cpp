#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "core_fixture.hpp"

namespace reedramp::entry::test {

namespace {

/// Runs actions in any order on its own threads, which stand for the agents and the callers'
/// sockets.
class workers {
public:
    explicit workers(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->threads.emplace_back([this] { this->work(); });
        }
    }

    auto post(std::function<auto()->void> action) -> void
    {
        const std::lock_guard guard(this->lock);
        this->actions.push_back(std::move(action));
        this->changed.notify_one();
    }

    /// Runs the remaining actions, then joins the threads.
    auto join() -> void
    {
        {
            const std::lock_guard guard(this->lock);
            this->closing = true;
            this->changed.notify_all();
        }
        for (auto& thread : this->threads) {
            thread.join();
        }
    }

private:
    auto work() -> void
    {
        std::unique_lock guard(this->lock);
        while (true) {
            this->changed.wait(guard, [this] { return this->closing || !this->actions.empty(); });
            if (this->actions.empty()) {
                return;
            }
            auto action = std::move(this->actions.back());
            this->actions.pop_back();
            guard.unlock();
            action();
            guard.lock();
        }
    }

    std::mutex lock;
    std::condition_variable changed;
    std::vector<std::function<auto()->void>> actions;
    bool closing = false;
    std::vector<std::thread> threads;
};

/// A responder that counts the ended responses. It is called from several threads, one at a time.
class counting_caller final : public http::responder {
public:
    explicit counting_caller(std::atomic<int>& total) : ended(total) {}

    auto send(http::response /*answer*/) -> void override { ++this->ended; }

    auto start(http::response /*head*/) -> void override {}

    auto write(std::string /*chunk*/) -> void override {}

    auto finish() -> void override { ++this->ended; }

    auto abort() -> void override { ++this->ended; }

    [[nodiscard]] auto backlog() const -> std::size_t override { return 0; }

    auto when_drained(std::size_t /*low*/, std::function<auto()->void> /*action*/) -> void override
    {
    }

    auto on_disconnect(std::function<auto()->void> action) -> void override
    {
        this->disconnected = std::move(action);
    }

    std::function<auto()->void> disconnected;

private:
    std::atomic<int>& ended;
};

} // namespace

// Callers, agents and disconnects act concurrently on different threads. Each request must be
// answered at most once and billed exactly once. Under TSan, the test also detects unsynchronised
// access.
TEST_CASE("requests are answered and billed once on several threads", "[threads]")
{
    constexpr int callers = 4;
    constexpr int calls = 200;
    core_fixture test;
    workers agents(3);
    std::atomic<int> ended{0};
    std::atomic<int> bills{0};
    auto hooks = test.hooks();
    hooks.timer = [](common::time_point, const std::function<auto()->void>&) {
    };
    hooks.random = [state = std::make_shared<std::atomic<std::uint64_t>>(1)] {
        return state->fetch_add(1) * 0x9e3779b97f4a7c15ULL;
    };
    hooks.agents.run = [&](const auto&, const messages::run_request&, messages::run_sink sink) {
        agents.post([sink] {
            sink(messages::tokens_event{0, 2, "t0 t1 "});
            sink(messages::finished_event{});
        });
        return std::make_shared<fake_run>();
    };
    hooks.agents.ask =
        [&](const auto&, const auto&, messages::answer_hook<messages::outcome_answer> done) {
            agents.post([done] { done(common::failure(common::result_code::peer_unavailable)); });
        };
    hooks.settle_limits = nullptr;
    hooks.reserve_limits = nullptr;
    hooks.add_bill = [&](const messages::bill&) {
        ++bills;
    };
    const auto subject = core::create({}, hooks, {});
    std::vector<std::thread> threads;
    threads.reserve(callers);
    std::atomic<int> disconnects{0};
    for (int index = 0; index < callers; ++index) {
        threads.emplace_back([&] {
            for (int call = 0; call < calls; ++call) {
                auto caller = std::make_shared<counting_caller>(ended);
                subject->handle(
                    {"POST",
                     "/v1/chat/completions",
                     {bearer("key")},
                     R"({"model":"small","stream":true,"messages":[{"role":"user"}]})",
                     {}},
                    caller);
                if (call % 4 == 0) {
                    agents.post(caller->disconnected);
                    ++disconnects;
                }
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    agents.join();
    CHECK(ended <= callers * calls);
    CHECK(ended >= callers * calls - disconnects);
    CHECK(bills == callers * calls);
    CHECK(subject->counters().in_flight == 0);
}

} // namespace reedramp::entry::test
