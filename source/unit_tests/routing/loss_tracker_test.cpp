#include "routing/loss_tracker.hpp"

#include <catch2/catch.hpp>

#include "routing/rollout_manager.hpp"

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds{100}};
const route_name drafts{"drafts"};
const common::service_name engines{"engines"};
const common::version_id old_version{"v1"};
const common::version_id new_version{"v2"};

auto loss_of(version_side side, milliseconds after, unsigned fresh = 10, unsigned old = 10)
    -> loss_tracker::loss
{
    return {start + after, side, drafts, fresh, old};
}

/// A roll-out with half of the sessions on each version, which answer equally well.
struct half_way {
    rollout_manager manager{rollout_options{}};
    time_point now = start;

    half_way()
    {
        this->manager.apply_order({engines, new_version, seconds{24}}, this->now);
        for (int i = 0; i < 400; ++i) {
            this->now += milliseconds{30};
            this->note_sent(i % 2 == 0 ? old_version : new_version, i);
            this->manager.note_outcome(
                engines, i % 2 == 0 ? old_version : new_version, drafts, true);
        }
    }

    auto note_sent(const common::version_id& version, int session) -> void
    {
        this->manager.note_sent(engines, static_cast<std::uint64_t>(session), version, this->now);
    }

    auto lose(const common::version_id& version, int count) -> void
    {
        for (int i = 0; i < count; ++i) {
            this->manager.note_lost(engines, version, drafts, this->now);
        }
    }

    auto bars_new() -> bool
    {
        this->now += milliseconds{1100};
        return this->manager.rule_for(engines, 0, this->now).bars(new_version) &&
               this->manager.states(this->now).front().status.state == rollout_state::reverted;
    }
};

} // namespace

TEST_CASE("simultaneous losses of both versions count against neither", "[loss_book]")
{
    // A rack with a quarter of the engines fails, half of them on each version. About ten requests
    // of the new version failed at once at each of a hundred entries, against a usual error rate of
    // one in two hundred on the old version, and a good version was reverted within a tenth of a
    // second. Here one entry has as many failures as all of them had together.
    half_way all;
    all.lose(new_version, 60);
    all.lose(old_version, 60);
    CHECK_FALSE(all.bars_new());
}

TEST_CASE("a version that crashes its servers is detected", "[loss_book]")
{
    half_way all;
    all.lose(new_version, 60);
    all.lose(old_version, 2);
    CHECK(all.bars_new());
}

TEST_CASE("losses offset each other in proportion to the requests in flight", "[loss_book]")
{
    loss_tracker tracker;
    for (int i = 0; i < 9; ++i) {
        tracker.note(loss_of(version_side::new_one, milliseconds{i * 10}, 30, 10));
    }
    for (int i = 0; i < 3; ++i) {
        tracker.note(loss_of(version_side::old, milliseconds{100}, 30, 10));
    }
    CHECK(tracker.settled(start + milliseconds{900}).empty());
    CHECK(tracker.settled(start + milliseconds{1100}).empty());
    // Losses of one version alone count, each once.
    tracker.note(loss_of(version_side::new_one, seconds{5}));
    CHECK(tracker.settled(start + milliseconds{6100}).size() == 1);
    CHECK(tracker.settled(start + milliseconds{9000}).empty());
    // Losses in different time windows do not offset each other.
    tracker.note(loss_of(version_side::new_one, seconds{10}));
    tracker.note(loss_of(version_side::old, milliseconds{11'500}));
    CHECK(tracker.settled(start + milliseconds{13'000}).size() == 2);
}

} // namespace reedramp::routing
