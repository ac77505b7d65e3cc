#include <atomic>
#include <mutex>
#include <optional>
#include <thread>

#include <catch2/catch.hpp>

#include "fixture.hpp"

using namespace reedramp::inventory;
using namespace reedramp::inventory::testing;
using namespace reedramp;

namespace {

constexpr std::uint64_t last_offset = 200;

/// A log whose reads block until the test responds to them, from any thread.
class blocking_log {
public:
    auto hooks() -> platform::log_hooks
    {
        platform::log_hooks made;
        made.append = [](const auto&, const auto&, const auto&) {
        };
        made.read = [this](
                        const std::string&,
                        log_offset,
                        std::chrono::milliseconds,
                        platform::answer_hook<platform::read_answer> done) {
            const std::lock_guard guard(this->lock);
            this->waiting = std::move(done);
        };
        return made;
    }

    auto answer(const platform::read_answer& page) -> bool
    {
        std::optional<platform::answer_hook<platform::read_answer>> done;
        {
            const std::lock_guard guard(this->lock);
            done.swap(this->waiting);
        }
        if (!done) {
            return false;
        }
        (*done)(page);
        return true;
    }

private:
    std::mutex lock;
    std::optional<platform::answer_hook<platform::read_answer>> waiting;
};

auto make_reader(blocking_log& log) -> std::shared_ptr<follower>
{
    follower_hooks hooks;
    hooks.log = log.hooks();
    hooks.pull = [](const auto&, const auto&, const auto& done) {
        done(common::failure(result_code::peer_unavailable));
    };
    hooks.peers = [] {
        return std::vector{messages::rpc_address{"peer"}};
    };
    hooks.is_tailer = [] {
        return true;
    };
    hooks.clock = [] {
        const auto since = std::chrono::steady_clock::now().time_since_epoch();
        return common::time_point{since};
    };
    hooks.wall_clock = [] {
        return common::wall_time_ms{1};
    };
    hooks.timer = [](auto, const auto&) {
    };
    hooks.random = [] {
        return std::uint64_t{1};
    };
    hooks.shared_key = shared_key;
    return follower::create(std::move(hooks), {});
}

} // namespace

TEST_CASE("the snapshot never goes back for threads that read it during updates", "[threads]")
{
    // Several threads read the snapshot for requests while responses of the log and of peers arrive
    // on others. No thread may see an older configuration after a newer one, or a partly updated
    // one. A run with a sanitizer shows data races.
    blocking_log log;
    const auto reader = make_reader(log);
    reader->start();
    std::atomic<bool> has_gone_back = false;
    std::vector<std::thread> readers;
    for (auto index = 0; index < 4; ++index) {
        readers.emplace_back([&] {
            std::uint64_t seen = 0;
            while (seen < last_offset) {
                const auto current = reader->snapshot();
                has_gone_back = has_gone_back || current->offset.value() < seen;
                seen = current->offset.value();
                const auto push = reader->answer({log_offset{seen / 2}, {}});
                has_gone_back = has_gone_back || push.offset.value() < seen;
                static_cast<void>(
                    reader->withdraw(version_id{"v2"}, common::record_id{"w"}, "anna"));
                static_cast<void>(rules::serving(*current, version_id{"v1"}, reader->freshness()));
            }
        });
    }
    platform::read_answer page{{}, log_offset{1}, log_offset{1}};
    while (!log.answer(page)) {
    }
    page.records.push_back({log_offset{1}, first_record()});
    for (std::uint64_t offset = 2; offset <= last_offset + 1; ++offset) {
        while (!log.answer(page)) {
        }
        const auto text =
            record_text("r" + std::to_string(offset), offset - 1, put_version("v1", 1));
        page = {{{log_offset{offset}, text}}, log_offset{offset}, log_offset{1}};
    }
    for (auto& thread : readers) {
        thread.join();
    }
    CHECK_FALSE(has_gone_back);
    CHECK(reader->snapshot()->is_withdrawn(version_id{"v2"}));
}
