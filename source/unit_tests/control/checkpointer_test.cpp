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

/// Entries that read one log, each with a checkpointer.
class fixture {
public:
    explicit fixture(int entry_count)
    {
        for (int index = 0; index < entry_count; ++index) {
            this->readers.push_back(this->make_reader());
            this->readers.back()->start();
        }
        this->checkpointers = std::vector<checkpointer>(this->readers.size());
    }

    auto put_record() -> void
    {
        const auto base = this->log.head(configuration).value();
        this->log.put(
            configuration,
            R"({"id":"r)" + std::to_string(base) + R"(","author":"a","at":1,"base":)" +
                std::to_string(base) + R"(,"changes":[{"put":"model","value":{"id":"m"}}]})");
    }

    /// Runs one second of all entries except the `lost` ones of the lowest ranks.
    auto run_second(std::size_t lost = 0) -> void
    {
        for (auto rank = lost; rank < this->readers.size(); ++rank) {
            auto& reader = *this->readers[rank];
            const auto entry_rank = static_cast<std::uint32_t>(rank);
            if (!this->checkpointers[rank].should_append(
                    reader.checkpoint_due(), entry_rank, this->time.now())) {
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
    std::vector<checkpointer> checkpointers;
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

TEST_CASE("the entry of the lowest rank alive appends the checkpoint that is due")
{
    // A process that starts after the log has trimmed its first records needs a checkpoint;
    // without one it has no configuration and refuses all requests. If the entry of the first rank
    // is down, that of the second appends 5 s later. The others read the checkpoint from the log
    // and append none.
    const std::size_t lost = GENERATE(0U, 1U, 2U);
    fixture entries(3);
    for (int count = 0; count < 12; ++count) {
        entries.put_record();
    }
    entries.run_second(lost);
    const auto wait = 5 * static_cast<int>(lost);
    for (int second = 0; second < wait; ++second) {
        CHECK(entries.appends == 0);
        entries.run_second(lost);
    }
    for (int second = 0; second < 40; ++second) {
        entries.run_second(lost);
    }
    CHECK(entries.appends == 1);
    CHECK(entries.readers[2]->snapshot()->checkpoint.value() > 0);
}

TEST_CASE("a checkpoint that was not appended is retried after a delay")
{
    // The log rejects appends, or its response is lost. Each attempt sends the whole state, so it
    // must not be repeated every second.
    checkpointer subject;
    common::time_point now{1h};
    int attempts = 0;
    for (int second = 0; second < 61; ++second) {
        attempts += subject.should_append(true, 0, now) ? 1 : 0;
        now += 1s;
    }
    CHECK(attempts == 3);
    CHECK_FALSE(subject.should_append(false, 0, now + 1h));
    CHECK_FALSE(subject.should_append(true, 1, now + 2h));
    CHECK(subject.should_append(true, 1, now + 2h + 5s));
}
