#include "routing/loss_tracker.hpp"

#include <catch2/catch.hpp>

#include "routing/rollout_guide.hpp"

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

/// Half of the sessions are on each version, and both answer alike.
struct half_way {
    rollout_guide guide{rollout_options{}};
    time_point now = start;

    half_way()
    {
        this->guide.order({engines, new_version, seconds{24}}, this->now);
        for (int i = 0; i < 400; ++i) {
            this->now += milliseconds{30};
            this->note_sent(i % 2 == 0 ? old_version : new_version, i);
            this->guide.note_outcome(engines, i % 2 == 0 ? old_version : new_version, drafts, true);
        }
    }

    auto note_sent(const common::version_id& version, int session) -> void
    {
        this->guide.note_sent(engines, static_cast<std::uint64_t>(session), version, this->now);
    }

    auto lose(const common::version_id& version, int count) -> void
    {
        for (int i = 0; i < count; ++i) {
            this->guide.note_lost(engines, version, drafts, this->now);
        }
    }

    auto bars_new() -> bool
    {
        this->now += milliseconds{1100};
        return this->guide.rule_for(engines, 0, this->now).bars(new_version) &&
               this->guide.states(this->now).front().status.state == rollout_state::reverted;
    }
};

} // namespace

TEST_CASE("servers of both versions that go in one moment speak against neither", "[loss_book]")
{
    // A rack fails with a quarter of the engines, half of them on each version. Some ten requests
    // of the new version failed at once at each of a hundred entries, against one in two hundred
    // that was usual of the old one, and a good version was reverted within a tenth of a second.
    // Here one entry has had as many as all of them had at once.
    half_way all;
    all.lose(new_version, 60);
    all.lose(old_version, 60);
    CHECK_FALSE(all.bars_new());
}

TEST_CASE("a version that ends its servers is found", "[loss_book]")
{
    half_way all;
    all.lose(new_version, 60);
    all.lose(old_version, 2);
    CHECK(all.bars_new());
}

TEST_CASE("losses are set off by what each version had under way", "[loss_book]")
{
    loss_tracker book;
    for (int i = 0; i < 9; ++i) {
        book.note(loss_of(version_side::new_one, milliseconds{i * 10}, 30, 10));
    }
    for (int i = 0; i < 3; ++i) {
        book.note(loss_of(version_side::old, milliseconds{100}, 30, 10));
    }
    CHECK(book.settled(start + milliseconds{900}).empty());
    CHECK(book.settled(start + milliseconds{1100}).empty());
    // Alone they count, each once.
    book.note(loss_of(version_side::new_one, seconds{5}));
    CHECK(book.settled(start + milliseconds{6100}).size() == 1);
    CHECK(book.settled(start + milliseconds{9000}).empty());
    // Two moments are not one.
    book.note(loss_of(version_side::new_one, seconds{10}));
    book.note(loss_of(version_side::old, milliseconds{11'500}));
    CHECK(book.settled(start + milliseconds{13'000}).size() == 2);
}

} // namespace reedramp::routing
