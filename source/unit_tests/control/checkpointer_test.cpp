#include "control/checkpointer.hpp"

#include <vector>

#include <catch2/catch.hpp>

#include "inventory/checkpoint.hpp"
#include "inventory/follower.hpp"
#include "platform/fake_log.hpp"
#include "platform/fake_time.hpp"

using namespace reedramp;
using namespace reedramp::control;
using namespace std::chrono_literals;

namespace {

constexpr auto configuration = platform::streams::configuration;

/// Entries that read one log, and append a checkpoint when it is their turn.
class world {
public:
    explicit world(int entries)
    {
        for (int index = 0; index < entries; ++index) {
            this->readers.push_back(this->make_reader());
            this->readers.back()->start();
        }
        this->turns = std::vector<checkpointer>(this->readers.size());
    }

    auto put_record() -> void
    {
        const auto base = this->log.head(configuration).value();
        this->log.put(
            configuration,
            R"({"id":"r)" + std::to_string(base) + R"(","author":"a","at":1,"base":)" +
                std::to_string(base) + R"(,"changes":[{"put":"model","value":{"id":"m"}}]})");
    }

    /// One second of all entries but those that are lost.
    auto run_second(std::size_t lost = 0) -> void
    {
        for (auto rank = lost; rank < this->readers.size(); ++rank) {
            auto& reader = *this->readers[rank];
            const auto place = static_cast<std::uint32_t>(rank);
            if (!this->turns[rank].should_append(
                    reader.checkpoint_due(), place, this->time.now())) {
                continue;
            }
            ++this->appends;
            this->log.hooks().append(
                configuration, inventory::format_checkpoint(*reader.snapshot()), [](const auto&) {
                });
        }
        this->time.run_for(1s);
    }

    platform::fake_time time;
    platform::fake_log log{time.clock(), time.timers()};
    std::vector<std::shared_ptr<inventory::follower>> readers;
    std::vector<checkpointer> turns;
    int appends = 0;

private:
    auto make_reader() -> std::shared_ptr<inventory::follower>
    {
        inventory::follower_hooks hooks;
        hooks.log = this->log.hooks();
        hooks.pull = [](const auto&, const auto&, const auto& done) {
            done(common::failure(common::result_code::peer_unavailable));
        };
        hooks.peers = [] {
            return std::vector<messages::rpc_address>{};
        };
        hooks.is_tailer = [] {
            return true;
        };
        hooks.clock = this->time.clock();
        hooks.wall_clock = [] {
            return common::wall_time_ms{1};
        };
        hooks.timer = this->time.timers();
        hooks.random = [this] {
            return ++this->seed;
        };
        inventory::follower_settings settings;
        settings.checkpoint_records = 10;
        return inventory::follower::create(std::move(hooks), settings);
    }

    std::uint64_t seed = 0;
};

} // namespace

TEST_CASE("one entry appends a checkpoint when it is due, the next one when that one is lost")
{
    // Without a checkpoint a process that starts after the log has dropped its first records has
    // no configuration, and refuses all. The first entry by rank appends it; when that is lost
    // meanwhile, the second does, 5 s later. All see it in the log, and append no other.
    const std::size_t lost = GENERATE(0U, 1U, 2U);
    world all(3);
    for (int count = 0; count < 12; ++count) {
        all.put_record();
    }
    all.run_second(lost);
    const auto wait = 5 * static_cast<int>(lost);
    for (int second = 0; second < wait; ++second) {
        CHECK(all.appends == 0);
        all.run_second(lost);
    }
    for (int second = 0; second < 40; ++second) {
        all.run_second(lost);
    }
    CHECK(all.appends == 1);
    CHECK(all.readers[2]->snapshot()->checkpoint.value() > 0);
}

TEST_CASE("a checkpoint that the log did not take is tried again, not at once")
{
    // The log is down for appends, or the answer is lost: each try is a whole state, so it must
    // not go out each second.
    checkpointer subject;
    common::time_point now{1h};
    int tries = 0;
    for (int second = 0; second < 61; ++second) {
        tries += subject.should_append(true, 0, now) ? 1 : 0;
        now += 1s;
    }
    CHECK(tries == 3);
    CHECK_FALSE(subject.should_append(false, 0, now + 1h));
    CHECK_FALSE(subject.should_append(true, 1, now + 2h));
    CHECK(subject.should_append(true, 1, now + 2h + 5s));
}
