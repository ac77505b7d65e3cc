#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include "agent_fixture.hpp"

namespace reedramp::agent::test {

namespace {

/// Started calls that are waiting for a thread to answer them.
class call_list {
public:
    auto add(std::shared_ptr<fake_backend> call) -> void
    {
        const std::lock_guard guard(this->lock);
        this->calls.push_back(std::move(call));
    }

    auto take() -> std::shared_ptr<fake_backend>
    {
        const std::lock_guard guard(this->lock);
        if (this->calls.empty()) {
            return nullptr;
        }
        auto call = this->calls.back();
        this->calls.pop_back();
        return call;
    }

private:
    std::mutex lock;
    std::vector<std::shared_ptr<fake_backend>> calls;
};

/// Checks the events of one run, delivered from any thread.
struct run_observer {
    std::atomic<std::uint64_t> next_index = 0;
    std::atomic<int> final_events = 0;
    std::atomic<int> violations = 0;
    std::atomic<int> active_calls = 0;
    std::shared_ptr<messages::run_handle> handle;

    auto on_event(const messages::run_event& event) -> void
    {
        const auto is_exclusive = this->active_calls.fetch_add(1) == 0 && this->final_events == 0;
        if (const auto* tokens = std::get_if<messages::tokens_event>(&event)) {
            const auto in_order = tokens->first_index == this->next_index;
            this->violations += is_exclusive && in_order ? 0 : 1;
            this->next_index += tokens->count;
        }
        else {
            this->violations += is_exclusive ? 0 : 1;
            ++this->final_events;
        }
        --this->active_calls;
    }
};

constexpr std::uint64_t run_count = 400;
constexpr std::uint64_t cancel_each = 5;

} // namespace

TEST_CASE("With many threads each run's events stay in order and have one end")
{
    // Callers send, pause, cancel and reach their deadlines on some threads while the backend
    // server answers on others and a drain begins. Each receiver gets its tokens in order, then
    // exactly one final event, and never two events at a time. A cancelled run has at most one
    // final event.
    call_list calls;
    std::atomic<std::int64_t> now = 3'600'000'000'000;
    std::mutex posted_lock;
    std::vector<std::function<auto()->void>> posted;
    inventory::snapshot_ptr state = std::make_shared<const inventory::state>(make_state());
    core_options options;
    options.server = common::server_id{"s1"};
    options.incarnation = incarnation;
    options.queue.capacity.slots = 8;
    options.queue.max_queued = run_count;
    options.queue.expected_stream_rate = 1e6;
    core_hooks hooks;
    hooks.now = [&now] {
        return common::time_point{common::duration{now.load()}};
    };
    hooks.post = [&](std::function<auto()->void> action) {
        const std::lock_guard guard(posted_lock);
        posted.push_back(std::move(action));
    };
    // Every third timer is queued to fire at once, so that some deadlines pass early.
    std::atomic<std::uint64_t> timers = 0;
    hooks.timer = [&](common::time_point, std::function<auto()->void> action) {
        if (timers++ % 3 == 0) {
            hooks.post(std::move(action));
        }
    };
    hooks.start = [&calls](backend_call call, backend_events events) {
        auto handle = std::make_shared<fake_backend>();
        handle->call = std::move(call);
        handle->events = std::move(events);
        calls.add(handle);
        return handle;
    };
    hooks.snapshot = [&state] {
        return state;
    };
    hooks.current_until = [] {
        return common::never;
    };
    const auto agent = core::create(options, hooks);

    std::vector<run_observer> runs(run_count);
    std::atomic<bool> stop = false;
    const auto send = [&](std::uint64_t first) {
        for (auto id = first; id < run_count; id += 2) {
            auto& mine = runs[id];
            mine.handle = agent->service().run(
                core_fixture::chat_request(id),
                [&mine](messages::run_event event) { mine.on_event(event); });
            mine.handle->pause();
            mine.handle->resume();
            if (id % cancel_each == 0) {
                mine.handle->cancel();
            }
        }
    };
    const auto answer = [&] {
        while (!stop) {
            std::function<auto()->void> action;
            {
                const std::lock_guard guard(posted_lock);
                if (!posted.empty()) {
                    action = std::move(posted.back());
                    posted.pop_back();
                }
            }
            if (action) {
                action();
            }
            if (const auto call = calls.take()) {
                call->head("text/event-stream");
                for (const auto* token : {"t0 ", "t1 ", "t2 "}) {
                    call->token(token);
                }
                call->end_stream();
            }
            now += 1000;
        }
    };
    std::vector<std::thread> threads;
    threads.emplace_back(answer);
    threads.emplace_back(answer);
    {
        std::thread sender(send, 0);
        std::thread other_sender(send, 1);
        sender.join();
        other_sender.join();
    }
    agent->drain();
    const auto is_busy = [&] {
        const std::lock_guard guard(posted_lock);
        return !posted.empty() || !agent->is_idle();
    };
    while (is_busy()) {
        std::this_thread::yield();
    }
    stop = true;
    for (auto& thread : threads) {
        thread.join();
    }
    for (std::uint64_t id = 0; id < run_count; ++id) {
        INFO(id);
        CHECK(runs[id].violations == 0);
        const auto is_cancelled = id % cancel_each == 0;
        CHECK((runs[id].final_events == 1 || (is_cancelled && runs[id].final_events == 0)));
    }
    const auto counters = agent->counters();
    CHECK(
        counters.accepted ==
        counters.finished + counters.failed + counters.refused + counters.cancelled);
    CHECK(counters.in_flight == 0);
}

} // namespace reedramp::agent::test
