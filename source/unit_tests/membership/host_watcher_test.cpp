#include "membership/host_watcher.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "platform/fake_platform.hpp"
#include "platform/fake_time.hpp"

namespace reedramp::membership {

namespace {

using namespace std::chrono_literals;
using platform::host_role;
using platform::host_state;

const std::string home = "dc1";

auto entry_of(
    const std::string& name,
    const std::string& data_centre = home,
    host_role role = host_role::server,
    host_state state = host_state::live) -> platform::host_entry
{
    return {
        common::host_id{name},
        common::data_centre_id{data_centre},
        {},
        role,
        state,
        name + ":1",
        {}};
}

/// Several watchers of one list of hosts.
class fixture {
public:
    auto start(const std::string& name) -> host_watcher&
    {
        const location self{common::host_id{name}, common::data_centre_id{home}, {}};
        host_watcher_hooks hooks{this->list.hooks(), this->time.clock(), this->time.timers()};
        hooks.entries_changed = [this](std::vector<common::host_id> live) {
            this->entries = std::move(live);
        };
        this->watches.push_back(
            std::make_shared<host_watcher>(self, 2, std::move(hooks), std::make_shared<view>()));
        this->watches.back()->start();
        return *this->watches.back();
    }

    auto run_for(common::duration span) -> void { this->time.run_for(span); }

    [[nodiscard]] auto count_tailers() const -> std::ptrdiff_t
    {
        return std::ranges::count_if(
            this->watches, [](const auto& one) { return one->is_tailer(); });
    }

    platform::fake_time time;
    platform::fake_hosts list{time.clock(), time.timers()};
    std::vector<std::shared_ptr<host_watcher>> watches;
    std::vector<common::host_id> entries;
};

} // namespace

TEST_CASE("A long list is read less often, so that the bytes per second are bounded")
{
    CHECK(list_period(3) == 1s);
    CHECK(list_period(33) == 1s);
    CHECK(list_period(1010) == 30'300ms);
    fixture env;
    for (auto number = 0; number < 200; ++number) {
        env.list.put(entry_of("h" + std::to_string(number)));
    }
    const auto& watch = env.start("a");
    env.run_for(100ms);
    CHECK(watch.peers().size() == 200);
    env.list.put(entry_of("late"));
    env.run_for(5800ms);
    CHECK(watch.peers().size() == 200);
    env.run_for(200ms);
    CHECK(watch.peers().size() == 201);
}

TEST_CASE("A few processes of each data centre read the log, the others ask live peers")
{
    // While the list is down at the start, each process reads the log itself, since it knows no
    // peer. When the list is down again later, the last one stays in force, so that the processes
    // still get the configuration.
    fixture env;
    env.list.set_down(true);
    for (const auto* name : {"a", "b", "c", "d"}) {
        env.start(name);
    }
    env.run_for(1500ms);
    CHECK(env.count_tailers() == 4);
    for (const auto* name : {"a", "b", "c", "d"}) {
        env.list.put(entry_of(name));
    }
    env.list.put(entry_of("e", home, host_role::server, host_state::leaving));
    env.list.put(entry_of("f", "dc2"));
    env.list.set_down(false);
    env.run_for(1500ms);
    CHECK(env.count_tailers() == 2);
    CHECK(env.watches[0]->peers().size() == 4);
    env.list.set_down(true);
    env.run_for(5s);
    CHECK(env.watches[0]->peers().size() == 4);
}

TEST_CASE("All processes agree on which of them read the log, one in sixteen")
{
    CHECK(tailer_count(0, 2) == 2);
    CHECK(tailer_count(32, 2) == 2);
    CHECK(tailer_count(33, 2) == 3);
    CHECK(tailer_count(168, 2) == 11);
    fixture env;
    for (int index = 0; index < 80; ++index) {
        env.list.put(entry_of("h" + std::to_string(index)));
        env.list.put(entry_of("g" + std::to_string(index), "dc2"));
    }
    for (int index = 0; index < 80; ++index) {
        env.start("h" + std::to_string(index));
    }
    env.run_for(1ms);
    std::vector<std::string> reading;
    for (int index = 0; index < 80; ++index) {
        if (env.watches[index]->is_tailer()) {
            reading.push_back("h" + std::to_string(index) + ":1");
        }
    }
    CHECK(reading.size() == 5);
    for (int index = 0; index < 80; ++index) {
        const auto& watch = *env.watches[index];
        const auto others = watch.tailers();
        CHECK(others.size() == (watch.is_tailer() ? 4U : 5U));
        for (const auto& address : others) {
            CHECK(std::ranges::count(reading, address.value()) == 1);
            CHECK(address.value() != "h" + std::to_string(index) + ":1");
        }
    }
}

TEST_CASE("Entries are distinguished from agents, and all rank them in the same order")
{
    fixture env;
    for (const auto* name : {"e1", "e2", "e3"}) {
        env.list.put(entry_of(name, home, host_role::entry));
        env.start(name);
    }
    env.list.put(entry_of("agent"));
    env.run_for(1500ms);
    CHECK(env.entries.size() == 3);
    CHECK(env.watches[0]->entries().size() == 2);
    CHECK(env.watches[0]->address_of(common::host_id{"e2"}).value() == "e2:1");
    CHECK(env.watches[0]->address_of(common::host_id{"agent"}).value().empty());
    std::vector<std::uint32_t> ranks;
    for (const auto& watch : env.watches) {
        ranks.push_back(watch->rank_of_self("rollouts"));
    }
    std::ranges::sort(ranks);
    CHECK(ranks == std::vector<std::uint32_t>{0, 1, 2});
}

} // namespace reedramp::membership
