#include "routing/rollout_guide.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const common::service_name engines{"engines"};
const common::version_id old_version{"v1"};
const common::version_id new_version{"v2"};
const route_name drafts{"drafts"};
const route_name tags{"tags"};
const time_point start{seconds{100}};
constexpr milliseconds allowed{20000};
/// A session that is in every share, and one that is in none but the whole.
constexpr std::uint64_t early_session = 0;
constexpr std::uint64_t late_session = ~std::uint64_t{0};
/// One that is in a share of a fifth and more.
constexpr std::uint64_t session_of_a_fifth = late_session / 5;

struct entry {
    rollout_guide guide{rollout_options{}};

    entry() { this->guide.order({engines, new_version, allowed}, start); }

    auto goes_new(std::uint64_t session, time_point now) -> bool
    {
        return this->guide.rule_for(engines, session, now).preferred == new_version;
    }

    auto bars_new(time_point now) -> bool
    {
        return this->guide.rule_for(engines, early_session, now).bars(new_version);
    }

    auto see(const common::version_id& version, const route_name& route, bool good, int times)
        -> void
    {
        for (int i = 0; i < times; ++i) {
            this->guide.note_outcome(engines, version, route, good);
        }
    }

    auto due_state(time_point now) -> std::optional<rollout_state>
    {
        const auto due = this->guide.due(now);
        return due.empty() ? std::nullopt : std::optional{due.front().state};
    }

    auto learn(rollout_state state) -> void { this->guide.learn({engines, new_version, state}); }
};

} // namespace

TEST_CASE("the share only grows, and whoever is in it stays in it", "[rollout]")
{
    const rollout_schedule schedule;
    double before = 0.0;
    for (milliseconds passed{0}; passed <= allowed; passed += milliseconds{100}) {
        const auto share = share_at(schedule, passed, allowed);
        CHECK(share >= before);
        before = share;
    }
    CHECK(before == 1.0);
    CHECK(is_in_share(early_session, 0.01));
    CHECK_FALSE(is_in_share(late_session, 0.99));
}

TEST_CASE("a session under way stays on its version in the first half", "[rollout]")
{
    // A session has just been served by the old version when the order comes, and is in the first
    // share. Moved, its answers would change their manner in the middle of a talk.
    entry one;
    one.guide.note_sent(engines, early_session, old_version, start);
    CHECK_FALSE(one.goes_new(early_session, start + seconds{2}));
    one.guide.note_ended(engines, early_session, old_version, start + seconds{2});
    // Its time counts from the end of its last answer.
    CHECK_FALSE(one.goes_new(early_session, start + seconds{6}));
    // After a pause it is a new session.
    CHECK(one.goes_new(early_session, start + seconds{8}));
    one.guide.note_sent(engines, early_session, new_version, start + seconds{8});
    CHECK(one.goes_new(early_session, start + seconds{9}));
    // In the second half it may move.
    one.guide.note_sent(engines, late_session, old_version, start + seconds{15});
    CHECK(one.goes_new(late_session, start + seconds{16}));
}

TEST_CASE("a session stays on its version when another entry serves it next", "[rollout]")
{
    // A caller's session was served by one entry on the old version; its next request comes to
    // another entry, in the roll-out's first half. That entry has never seen the session, and took
    // it for a new one: the caller had answers of two versions within a second.
    entry first;
    entry second;
    first.guide.note_sent(engines, early_session, old_version, start);
    first.guide.note_ended(engines, early_session, old_version, start + seconds{1});
    // Before the entries have told each other, no session goes to the new version.
    CHECK_FALSE(second.goes_new(early_session, start + milliseconds{200}));
    const auto told = start + milliseconds{1300};
    second.guide.hear(common::host_id{"a"}, first.guide.tell(told), told);
    CHECK_FALSE(second.goes_new(early_session, start + seconds{2}));
    CHECK(first.guide.tell(told).front().old_sessions.size() == 1);
    // Five seconds after its last answer it is a new session, at either entry.
    CHECK(second.goes_new(early_session, start + milliseconds{6100}));
    CHECK(first.goes_new(early_session, start + milliseconds{6100}));
    // One that the share leaves on the old version is not told of.
    second.guide.note_sent(engines, late_session, old_version, start);
    CHECK(second.guide.tell(told).front().old_sessions.empty());
}

TEST_CASE("a stream that goes on after its entry died stays on the old version", "[rollout]")
{
    // An entry loses its power. Its callers notice eight seconds later that their streams are
    // silent, and go on at another entry, in the first seconds of a roll-out. Nobody knows these
    // sessions any more; taken for new ones, a tenth of them changed their version in mid-stream.
    entry other;
    const auto back = start + seconds{3};
    other.guide.note_resumed(engines, early_session, back);
    CHECK_FALSE(other.goes_new(early_session, back));
    // Later such a stream began after the order, on the version of its share.
    const auto later = start + seconds{9};
    other.guide.note_resumed(engines, early_session, later);
    CHECK(other.goes_new(early_session, later));
    // What this entry knows goes first.
    entry knows;
    knows.guide.note_sent(engines, early_session, new_version, start + seconds{1});
    knows.guide.note_resumed(engines, early_session, back);
    CHECK(knows.goes_new(early_session, back));
}

TEST_CASE("a version that fails on one route alone is reverted", "[rollout]")
{
    // Half of the new version's drafts fail, and none of its tags. Over all routes it looks fair.
    entry one;
    one.learn(rollout_state::running);
    one.see(old_version, drafts, true, 60);
    one.see(old_version, tags, true, 300);
    one.see(new_version, tags, true, 60);
    CHECK_FALSE(one.bars_new(start + seconds{3}));
    for (int i = 0; i < 10; ++i) {
        one.see(new_version, drafts, false, 1);
        one.see(new_version, drafts, true, 1);
    }
    CHECK(one.bars_new(start + seconds{4}));
    CHECK(one.due_state(start + seconds{4}) == rollout_state::reverted);
    one.learn(rollout_state::reverted);
    CHECK_FALSE(one.due_state(start + seconds{4}));
    CHECK(one.bars_new(start + seconds{30}));
}

TEST_CASE("a version that is slow is reverted", "[rollout]")
{
    entry one;
    for (int i = 0; i < 60; ++i) {
        one.guide.note_first_event(engines, old_version, drafts, milliseconds{100}, start);
    }
    for (int i = 0; i < 30; ++i) {
        one.guide.note_first_event(
            engines, new_version, drafts, milliseconds{800}, start + seconds{4});
    }
    CHECK(one.bars_new(start + seconds{4}));
}

TEST_CASE("a burst after all sessions have moved does not make a version look slow", "[rollout]")
{
    // The old version was measured in calm seconds. Then all sessions are on the new one, callers
    // come in a burst, and their first events take eight times as long. The roll-out of a good
    // version was reverted for that.
    entry one;
    for (int i = 0; i < 60; ++i) {
        one.guide.note_first_event(engines, old_version, drafts, milliseconds{100}, start);
    }
    // Growth that waits for answers of the new version waits until 0.72 of the time.
    const auto moved = start + seconds{15};
    for (int i = 0; i < 30; ++i) {
        one.guide.note_first_event(engines, new_version, drafts, milliseconds{800}, moved);
        one.guide.note_stall(engines, new_version, drafts, moved);
    }
    CHECK_FALSE(one.bars_new(moved));
    // What fails then still counts.
    one.see(old_version, drafts, true, 60);
    one.see(new_version, drafts, false, 20);
    CHECK(one.bars_new(moved));
}

TEST_CASE("a version that falls silent is reverted", "[rollout]")
{
    entry one;
    for (int i = 0; i < 60; ++i) {
        one.guide.note_first_event(engines, old_version, drafts, milliseconds{100}, start);
    }
    for (int i = 0; i < 20; ++i) {
        one.guide.note_stall(engines, new_version, drafts, start + seconds{4});
    }
    CHECK(one.bars_new(start + seconds{4}));
}

TEST_CASE("the share waits while a new version's answers are slower", "[rollout]")
{
    // Answers of the new version take half as long again and more: too few of them to be sure. The
    // share grew by the clock alone, and two seconds later all callers waited for the slow version.
    entry one;
    entry good;
    const auto now = start + seconds{4};
    const auto half = start + seconds{11};
    for (int i = 0; i < 60; ++i) {
        const timed_answer usual{timed_part::whole_answer, 55.0 + 10.0 * (i % 2)};
        one.guide.note_time(engines, old_version, tags, usual, now);
        good.guide.note_time(engines, old_version, tags, usual, now);
    }
    for (int i = 0; i < 40; ++i) {
        const timed_answer slower{timed_part::whole_answer, i % 4 == 0 ? 130.0 : 60.0};
        one.guide.note_time(engines, new_version, tags, slower, now);
        good.guide.note_time(engines, new_version, tags, {timed_part::whole_answer, 60.0}, now);
    }
    for (auto* each : {&one, &good}) {
        each->see(old_version, tags, true, 60);
        each->see(new_version, tags, true, 40);
    }
    CHECK(good.goes_new(session_of_a_fifth, half));
    CHECK_FALSE(one.goes_new(session_of_a_fifth, half));
    CHECK_FALSE(one.bars_new(half));
    // With the share that it had it is not undone by a clock either.
    CHECK(one.goes_new(early_session, half));
}

TEST_CASE("a doubtful version is given up when its time is short", "[rollout]")
{
    // Growth waits for a version that is rather slower, to the last moment; then it would have
    // been moved to all the same.
    entry one;
    const auto now = start + seconds{4};
    for (int i = 0; i < 60; ++i) {
        one.guide.note_time(engines, old_version, tags, {timed_part::whole_answer, 60.0}, now);
    }
    for (int i = 0; i < 10; ++i) {
        one.guide.note_time(
            engines, new_version, tags, {timed_part::whole_answer, i % 3 == 0 ? 200.0 : 60.0}, now);
    }
    CHECK_FALSE(one.bars_new(start + seconds{12}));
    CHECK(one.bars_new(start + seconds{13}));
    CHECK(one.due_state(start + seconds{13}) == rollout_state::reverted);
}

TEST_CASE("a slow version shows on servers with little to do", "[rollout]")
{
    // The new version's few sessions leave its servers idle, so that their pauses, three times as
    // long as they should be, are no longer than those of the old version under its load.
    entry one;
    const auto now = start + seconds{4};
    const auto pause = [](double reading, double times) {
        return timed_answer{
            .part = timed_part::event_pause,
            .took_ms = 16.0 * times * std::pow(1.0 + reading / 300.0, 0.33),
            .reading = reading};
    };
    for (int i = 0; i < 80; ++i) {
        one.guide.note_time(engines, old_version, drafts, pause(3000.0 + 100.0 * i, 1.0), now);
    }
    for (int i = 0; i < 20; ++i) {
        one.guide.note_time(engines, new_version, drafts, pause(100.0 * (i % 3), 3.0), now);
    }
    CHECK(one.bars_new(now));
    entry good;
    for (int i = 0; i < 80; ++i) {
        good.guide.note_time(engines, old_version, drafts, pause(100.0 * (i % 3), 1.0), now);
        good.guide.note_time(engines, new_version, drafts, pause(3000.0 + 100.0 * i, 1.0), now);
    }
    CHECK_FALSE(good.bars_new(now));
}

TEST_CASE("a burst does not make answers of a version that serves alone slow", "[rollout]")
{
    // All sessions have moved, then three times as many callers come and wait for each other.
    entry one;
    auto now = start + seconds{4};
    const auto answer = [&one, &now](const common::version_id& version, double ms, int per_second) {
        now += milliseconds{1000 / per_second};
        one.guide.note_sent(engines, 0, version, now);
        one.guide.note_ended(engines, 0, version, now);
        one.guide.note_time(engines, version, tags, {timed_part::whole_answer, ms}, now);
    };
    for (int i = 0; i < 60; ++i) {
        answer(i % 6 == 0 ? new_version : old_version, 60.0, 10);
    }
    REQUIRE(one.goes_new(late_session, start + seconds{15}));
    now = start + seconds{15};
    for (int i = 0; i < 40; ++i) {
        answer(new_version, 60.0, 30);
    }
    for (int i = 0; i < 60; ++i) {
        answer(new_version, 400.0, 30);
    }
    CHECK_FALSE(one.bars_new(now));
}

TEST_CASE("a new version's part of the work goes to its part of the servers", "[rollout]")
{
    std::vector<registration> servers(9);
    std::vector<const registration*> all;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].id = common::server_id{"s" + std::to_string(i)};
        all.push_back(&servers[i]);
    }
    const auto none_out = [](const registration&) {
        return false;
    };
    auto some = all;
    keep_canaries(some, 0.27, none_out);
    CHECK(some.size() == 3);
    // Another entry, with its list in another order, takes the same ones.
    std::vector<const registration*> other{all.rbegin(), all.rend()};
    keep_canaries(other, 0.27, none_out);
    CHECK(
        std::set<const registration*>(some.begin(), some.end()) ==
        std::set<const registration*>(other.begin(), other.end()));
    // One that rests is replaced, and with a larger share the first ones stay.
    const auto* rests = some.front();
    auto rest = all;
    keep_canaries(rest, 0.27, [rests](const registration& server) { return &server == rests; });
    CHECK(rest.size() == 3);
    CHECK(std::ranges::find(rest, rests) == rest.end());
    auto more = all;
    keep_canaries(more, 0.6, none_out);
    CHECK(std::ranges::includes(
        std::set<const registration*>(more.begin(), more.end()),
        std::set<const registration*>(some.begin(), some.end())));
    // A request must not fail because all of them are out.
    auto still = all;
    keep_canaries(still, 0.01, [](const registration&) { return true; });
    CHECK(still.size() == 9);
}

TEST_CASE("what was usual before the order counts after it", "[rollout]")
{
    // A plain service with few requests: by the time that enough answers of the old version had
    // come since the order, the first half was over, and a slow version was moved to.
    rollout_guide guide{rollout_options{}};
    const auto answer = [&guide](const common::version_id& version, double ms, time_point at) {
        guide.note_time(engines, version, tags, {timed_part::plain_answer, ms}, at);
    };
    for (int i = 0; i < 200; ++i) {
        answer(old_version, i % 5 == 0 ? 90.0 : 55.0, start - seconds{10} + milliseconds{50 * i});
    }
    guide.order({engines, new_version, allowed}, start);
    const auto is_barred = [&guide](time_point at) {
        return guide.rule_for(engines, early_session, at).bars(new_version);
    };
    auto at = start + seconds{1};
    SECTION("a slow version is found by its first answers")
    {
        int needed = 0;
        while (needed < 40 && !is_barred(at)) {
            answer(new_version, needed % 2 == 0 ? 180.0 : 60.0, at);
            needed += 1;
            at += milliseconds{300};
        }
        CHECK(needed <= 20);
    }
    SECTION("one that is as fast is not")
    {
        for (int i = 0; i < 100; ++i) {
            answer(new_version, i % 5 == 0 ? 90.0 : 55.0, at);
            CHECK_FALSE(is_barred(at));
            at += milliseconds{100};
        }
    }
    SECTION("of a version that was replaced or reverted nothing is usual")
    {
        guide.learn({engines, new_version, rollout_state::reverted});
        for (int i = 0; i < 100; ++i) {
            answer(new_version, 900.0, at);
        }
        const common::version_id third{"v3"};
        guide.order({engines, third, allowed}, at + seconds{1});
        for (int i = 0; i < 40; ++i) {
            answer(old_version, 55.0, at + seconds{2});
            answer(third, i % 2 == 0 ? 180.0 : 60.0, at + seconds{2});
        }
        CHECK(guide.rule_for(engines, early_session, at + seconds{3}).bars(third));
    }
}

TEST_CASE("a service with few requests shows its new version to more of them", "[rollout]")
{
    // The operators allow a bad version a part of the requests, and some beside. Of 13 requests a
    // second the part alone gave 26 answers before the share grows, too few to know a slow version.
    rollout_options options;
    options.schedule.first_share = 0.18;
    options.exposure_slack = 30.0;
    const auto first_share = [&options](int per_second, std::size_t entries) {
        std::vector<rollout_guide> guides(entries, rollout_guide{options});
        const auto requests = per_second * 10;
        for (int i = 0; i < requests; ++i) {
            const auto at = start - seconds{10} + milliseconds{10'000 * i / requests};
            guides[static_cast<std::size_t>(i) % entries].note_sent(
                engines, late_session, old_version, at);
        }
        for (auto& guide : guides) {
            guide.order({engines, new_version, allowed}, start);
        }
        const auto ask = [&guides](std::size_t which, time_point now) {
            guides[which].rule_for(engines, early_session, now);
            return guides[which].states(now).front().share;
        };
        const auto tell_all = [&guides, entries](time_point now) {
            for (std::size_t from = 0; from < entries; ++from) {
                for (std::size_t to = 0; to < entries; ++to) {
                    if (from != to) {
                        const common::host_id name{"host-" + std::to_string(from)};
                        guides[to].hear(name, guides[from].tell(now), now);
                    }
                }
            }
        };
        tell_all(start + milliseconds{300});
        const auto begun = start + milliseconds{700};
        for (std::size_t i = 0; i < entries; ++i) {
            ask(i, begun);
        }
        tell_all(begun);
        const auto share = ask(0, begun);
        for (std::size_t i = 0; i < entries; ++i) {
            // All have the same, so that none takes another's for a share that has grown.
            CHECK(ask(i, begun) == share);
            guides[i].note_sent(engines, early_session, old_version, begun);
            CHECK_FALSE(guides[i].rule_for(engines, early_session, begun).preferred == new_version);
        }
        return share;
    };
    const auto few = first_share(13, 4);
    CHECK(few > 0.28);
    CHECK(few <= 0.33);
    CHECK(first_share(13, 1) == Approx(few).margin(0.03));
    const auto many = first_share(400, 4);
    CHECK(many > 0.18);
    CHECK(many < 0.19);
    // A service of which nothing is known, after a start of all entries.
    CHECK(first_share(1, 4) == Approx(0.18));
}

TEST_CASE("entries add up what they have seen", "[rollout]")
{
    // Each of three entries has seen too few failures to be sure.
    std::array<entry, 3> all;
    for (auto& one : all) {
        one.see(old_version, drafts, true, 60);
        one.see(new_version, drafts, false, 1);
        CHECK_FALSE(one.bars_new(start + seconds{4}));
    }
    const auto now = start + seconds{4};
    all[0].guide.hear(common::host_id{"b"}, all[1].guide.tell(now), now);
    all[0].guide.hear(common::host_id{"c"}, all[2].guide.tell(now), now);
    CHECK(all[0].bars_new(now));
}

TEST_CASE("a good version is complete once the old one is idle", "[rollout]")
{
    // Complete stops the old servers at once; said too soon, it cuts the streams that they still
    // write for any of the entries.
    entry one;
    entry other;
    one.learn(rollout_state::running);
    other.guide.note_sent(engines, 7, old_version, start);
    const auto moved = start + seconds{15};
    one.guide.hear(common::host_id{"b"}, other.guide.tell(moved), moved);
    CHECK(one.goes_new(late_session, moved));
    CHECK_FALSE(one.due_state(moved));
    // A session that was just served there would come back to servers that are gone, and change
    // its version then. So its time has to pass, too.
    other.guide.note_ended(engines, 7, old_version, moved - seconds{3});
    one.guide.hear(common::host_id{"b"}, other.guide.tell(moved), moved);
    CHECK_FALSE(one.due_state(moved));
    const auto lapsed = moved + milliseconds{2100};
    one.guide.hear(common::host_id{"b"}, other.guide.tell(lapsed), lapsed);
    CHECK(one.due_state(lapsed) == rollout_state::complete);
}

TEST_CASE("a stream that never ends does not hold the roll-out up for ever", "[rollout]")
{
    entry one;
    one.learn(rollout_state::running);
    one.guide.note_sent(engines, 7, old_version, start);
    CHECK_FALSE(one.due_state(start + seconds{17}));
    CHECK(one.due_state(start + seconds{19}) == rollout_state::complete);
}

TEST_CASE("the store's word ends a roll-out, whoever wrote it", "[rollout]")
{
    // This entry was cut off and saw nothing bad; the others have reverted.
    entry one;
    one.learn(rollout_state::reverted);
    CHECK(one.bars_new(start + seconds{19}));
    CHECK(one.guide.due(start + seconds{19}).empty());
    // One that starts anew reads the state before the order.
    rollout_guide fresh{rollout_options{}};
    fresh.learn({engines, new_version, rollout_state::complete});
    fresh.order({engines, new_version, allowed}, start);
    CHECK(fresh.rule_for(engines, late_session, start).preferred == new_version);
}

TEST_CASE("what a roll-out has replaced stays out when the next one is ordered", "[rollout]")
{
    // The second version has replaced the first, and a third one is ordered at once. The list still
    // shows the first one's servers, which are being stopped: sessions on the second version were
    // sent there, and lost their answers.
    const common::version_id third_version{"v3"};
    entry one;
    one.learn(rollout_state::complete);
    const auto ordered = start + seconds{17};
    one.guide.order({engines, third_version, allowed}, ordered);
    const auto rule = one.guide.rule_for(engines, late_session, ordered);
    CHECK(rule.preferred == new_version);
    CHECK(rule.bars(third_version));
    // An entry that starts anew reads of the end before it reads the order.
    rollout_guide fresh{rollout_options{}};
    fresh.learn({engines, new_version, rollout_state::complete});
    fresh.order({engines, third_version, allowed}, ordered);
    CHECK(fresh.rule_for(engines, late_session, ordered).preferred == new_version);
}

TEST_CASE("an entry learns from a peer how a roll-out ended", "[rollout]")
{
    // Another entry wrote the end; this one has not read it when the next order comes, a tenth of a
    // second later, and sent sessions back to servers that were being stopped.
    const common::version_id third_version{"v3"};
    const auto ended = start + seconds{16};
    entry writer;
    writer.learn(rollout_state::complete);
    entry other;
    other.guide.hear(common::host_id{"a"}, writer.guide.tell(ended), ended);
    CHECK_FALSE(other.due_state(ended));
    other.guide.order({engines, third_version, allowed}, ended);
    CHECK(other.guide.rule_for(engines, late_session, ended).preferred == new_version);
    // One that has heard nothing still does not go back behind what all sessions were on.
    entry alone;
    alone.guide.order({engines, third_version, allowed}, ended);
    CHECK(alone.guide.rule_for(engines, late_session, ended).preferred == new_version);
    // An entry that the store turns away takes the next order from its peers.
    entry turned_away;
    turned_away.learn(rollout_state::complete);
    const auto later = ended + seconds{2};
    turned_away.guide.hear(common::host_id{"b"}, other.guide.tell(later), later);
    CHECK(turned_away.guide.rule_for(engines, late_session, later).bars(third_version));
}

TEST_CASE("a reverted version stays out when the next one is ordered", "[rollout]")
{
    // A bad version's servers go on for some seconds after it was reverted. Another order must not
    // let them in again; an order of that same version does.
    const common::version_id third_version{"v3"};
    entry one;
    one.learn(rollout_state::reverted);
    const auto ordered = start + seconds{17};
    one.guide.order({engines, third_version, allowed}, ordered);
    one.guide.learn({engines, third_version, rollout_state::running});
    CHECK(one.guide.rule_for(engines, late_session, ordered).bars(new_version));
    one.guide.order({engines, new_version, allowed}, ordered + seconds{20});
    const auto again = ordered + seconds{30};
    CHECK_FALSE(one.guide.rule_for(engines, early_session, again).bars(new_version));
}

TEST_CASE("an entry that starts late takes its peers' beginning", "[rollout]")
{
    entry early;
    rollout_guide late{rollout_options{}};
    const auto now = start + seconds{15};
    late.order({engines, new_version, allowed}, now);
    CHECK(late.rule_for(engines, late_session, now).bars(new_version));
    late.hear(common::host_id{"a"}, early.guide.tell(now), now);
    CHECK(late.rule_for(engines, late_session, now).preferred == new_version);
}

TEST_CASE("a version without servers leaves the others to serve", "[rollout]")
{
    registration server;
    server.version = old_version;
    std::vector<const registration*> usable{&server};
    keep_allowed(usable, {new_version, {}});
    CHECK(usable.size() == 1);
    keep_allowed(usable, {std::nullopt, {old_version}});
    CHECK(usable.empty());
}

} // namespace reedramp::routing
