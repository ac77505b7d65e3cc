#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "billing/collector.hpp"
#include "partition_fixture.hpp"

namespace reedramp::claims {

namespace {

/// A log that calls back before its calls return, and timers that are due at once and run by
/// `run_one`.
class inline_log {
public:
    auto hooks() -> platform::log_hooks
    {
        platform::log_hooks made;
        made.append = [this](auto, std::string data, auto done) {
            common::log_offset offset;
            {
                const std::lock_guard guard(this->lock);
                offset = common::log_offset{this->records.size() + 1};
                this->records.push_back({offset, std::move(data)});
            }
            done(offset);
        };
        made.read = [this](auto, common::log_offset after, auto, auto done) {
            platform::read_answer answer;
            {
                const std::lock_guard guard(this->lock);
                answer.head = common::log_offset{this->records.size()};
                answer.oldest = common::log_offset{1};
                for (auto at = after.value(); at < this->records.size(); ++at) {
                    answer.records.push_back(this->records[at]);
                }
            }
            done(answer);
        };
        return made;
    }

    auto timers() -> common::timer_hook
    {
        return [this](common::time_point, std::function<auto()->void> action) {
            const std::lock_guard guard(this->lock);
            this->due.push_back(std::move(action));
        };
    }

    /// Each read of the clock advances it by 10 us.
    auto clock() -> common::clock_hook
    {
        return [this] {
            return common::time_point{1h + this->ticks++ * 10us};
        };
    }

    auto run_one() -> bool
    {
        std::function<auto()->void> action;
        {
            const std::lock_guard guard(this->lock);
            if (this->due.empty()) {
                return false;
            }
            action = std::move(this->due.front());
            this->due.pop_front();
        }
        action();
        return true;
    }

private:
    std::mutex lock;
    std::vector<messages::log_record> records;
    std::deque<std::function<auto()->void>> due;
    std::atomic<std::int64_t> ticks = 0;
};

} // namespace

TEST_CASE("claims and bills from several threads are all answered", "[claims]")
{
    // Several threads claim the same keys, add bills and run timers, and the log calls back before
    // its calls return. Each claim gets one answer, each key has one winner, and each bill is
    // confirmed. Under the thread sanitizer this also finds data races.
    constexpr std::uint64_t threads = 4;
    constexpr std::uint64_t keys = 200;
    inline_log log;
    std::atomic<std::uint64_t> random = 0;
    const auto next_random = [&random] {
        return ++random;
    };
    const claim_arbiter_hooks hooks{log.hooks(), log.clock(), log.timers(), next_random};
    const auto arbiter = claim_arbiter::create(partition_fixture::make_config(), hooks);
    inline_log bill_log;
    const auto collector =
        billing::collector::create({}, {bill_log.hooks(), log.clock(), log.timers(), next_random});
    arbiter->start();
    std::atomic<std::uint64_t> answers = 0;
    std::atomic<std::uint64_t> won = 0;
    const auto work = [&](std::uint64_t thread) {
        for (std::uint64_t key = 1; key <= keys; ++key) {
            arbiter->claim(make_claim(key, thread * keys + key), [&](const auto& answer) {
                ++answers;
                won += answer.state == messages::claim_state::won ? 1 : 0;
            });
            messages::bill item;
            item.request = {thread, key};
            collector->add(std::move(item));
            log.run_one();
        }
    };
    std::vector<std::thread> running;
    running.reserve(threads);
    for (std::uint64_t thread = 0; thread < threads; ++thread) {
        running.emplace_back(work, thread);
    }
    for (auto& thread : running) {
        thread.join();
    }
    while ((answers < threads * keys || !collector->empty()) && log.run_one()) {
    }
    CHECK(answers == threads * keys);
    CHECK(won == keys);
    CHECK(arbiter->counters().pending == 0);
    CHECK(collector->counters().confirmed_bills == threads * keys);
}

} // namespace reedramp::claims
