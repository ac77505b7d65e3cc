#include "rollout_names.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const route_name tags{"tags"};
/// A session that is in every share, and one that is only in the full share.
constexpr std::uint64_t early_session = 0;
constexpr std::uint64_t late_session = ~std::uint64_t{0};
/// A session that is in every share of a fifth or more.
constexpr std::uint64_t session_of_a_fifth = late_session / 5;

struct entry {
    rollout_manager manager{rollout_options{}};

    entry() { this->manager.apply_order({engines, new_version, allowed}, start); }

    auto uses_new_version(std::uint64_t session, time_point now) -> bool
    {
        return this->manager.rule_for(engines, session, now).preferred == new_version;
    }

    auto bars_new(time_point now) -> bool
    {
        return this->manager.rule_for(engines, early_session, now).bars(new_version);
    }

    auto
    note_outcomes(const common::version_id& version, const route_name& route, bool good, int times)
        -> void
    {
        for (int i = 0; i < times; ++i) {
            this->manager.note_outcome(engines, version, route, good);
        }
    }

    auto due_state(time_point now) -> std::optional<rollout_state>
    {
        const auto due = this->manager.due_states(now);
        return due.empty() ? std::nullopt : std::optional{due.front().state};
    }

    auto apply_status(rollout_state state) -> void
    {
        this->manager.apply_status({engines, new_version, state});
    }
};

} // namespace

TEST_CASE("the share only grows, and sessions in it stay in it", "[rollout]")
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

TEST_CASE("an active session stays on its version in the first half", "[rollout]")
{
    // A session in the first share was just served by the old version when the order arrives. If it
    // moved, its answers would change in the middle of a conversation.
    entry one;
    one.manager.note_sent(engines, early_session, old_version, start);
    CHECK_FALSE(one.uses_new_version(early_session, start + seconds{2}));
    one.manager.note_ended(engines, early_session, old_version, start + seconds{2});
    // The session time counts from the end of its last answer.
    CHECK_FALSE(one.uses_new_version(early_session, start + seconds{6}));
    // After a pause it is a new session.
    CHECK(one.uses_new_version(early_session, start + seconds{8}));
    one.manager.note_sent(engines, early_session, new_version, start + seconds{8});
    CHECK(one.uses_new_version(early_session, start + seconds{9}));
    // In the second half it may move.
    one.manager.note_sent(engines, late_session, old_version, start + seconds{15});
    CHECK(one.uses_new_version(late_session, start + seconds{16}));
}

TEST_CASE("a session stays on its version when another entry serves it next", "[rollout]")
{
    // One entry served a session on the old version; its next request reaches another entry in the
    // roll-out's first half. That entry did not know the session and treated it as new, so that the
    // caller received answers of two versions within a second.
    entry first;
    entry second;
    first.manager.note_sent(engines, early_session, old_version, start);
    first.manager.note_ended(engines, early_session, old_version, start + seconds{1});
    // Until the entries have exchanged reports, no session uses the new version.
    CHECK_FALSE(second.uses_new_version(early_session, start + milliseconds{200}));
    const auto reported_at = start + milliseconds{1300};
    second.manager.apply_reports(
        common::host_id{"a"}, first.manager.make_reports(reported_at), reported_at);
    CHECK_FALSE(second.uses_new_version(early_session, start + seconds{2}));
    CHECK(first.manager.make_reports(reported_at).front().old_sessions.size() == 1);
    // Five seconds after its last answer it is a new session at both entries.
    CHECK(second.uses_new_version(early_session, start + milliseconds{6100}));
    CHECK(first.uses_new_version(early_session, start + milliseconds{6100}));
    // A session outside the share is not reported.
    second.manager.note_sent(engines, late_session, old_version, start);
    CHECK(second.manager.make_reports(reported_at).front().old_sessions.empty());
}

TEST_CASE("a stream resumed after its entry failed stays on the old version", "[rollout]")
{
    // An entry loses power. Its callers notice eight seconds later that their streams are silent,
    // and resume them at another entry, in the first seconds of a roll-out. No entry knows these
    // sessions any more; treated as new, a tenth of them changed their version within a stream.
    entry other;
    const auto back = start + seconds{3};
    other.manager.note_resumed(engines, early_session, back);
    CHECK_FALSE(other.uses_new_version(early_session, back));
    // A stream resumed later started after the order, on the version of its share.
    const auto later = start + seconds{9};
    other.manager.note_resumed(engines, early_session, later);
    CHECK(other.uses_new_version(early_session, later));
    // This entry's own knowledge takes precedence.
    entry knows;
    knows.manager.note_sent(engines, early_session, new_version, start + seconds{1});
    knows.manager.note_resumed(engines, early_session, back);
    CHECK(knows.uses_new_version(early_session, back));
}

TEST_CASE("a version that fails on only one route is reverted", "[rollout]")
{
    // Half of the new version's drafts fail, and none of its tags. Over all routes it looks
    // acceptable.
    entry one;
    one.apply_status(rollout_state::running);
    one.note_outcomes(old_version, drafts, true, 60);
    one.note_outcomes(old_version, tags, true, 300);
    one.note_outcomes(new_version, tags, true, 60);
    CHECK_FALSE(one.bars_new(start + seconds{3}));
    for (int i = 0; i < 10; ++i) {
        one.note_outcomes(new_version, drafts, false, 1);
        one.note_outcomes(new_version, drafts, true, 1);
    }
    CHECK(one.bars_new(start + seconds{4}));
    CHECK(one.due_state(start + seconds{4}) == rollout_state::reverted);
    one.apply_status(rollout_state::reverted);
    CHECK_FALSE(one.due_state(start + seconds{4}));
    CHECK(one.bars_new(start + seconds{30}));
}

TEST_CASE("a version that is slow is reverted", "[rollout]")
{
    entry one;
    for (int i = 0; i < 60; ++i) {
        one.manager.note_first_event(engines, old_version, drafts, milliseconds{100}, start);
    }
    for (int i = 0; i < 30; ++i) {
        one.manager.note_first_event(
            engines, new_version, drafts, milliseconds{800}, start + seconds{4});
    }
    CHECK(one.bars_new(start + seconds{4}));
}

TEST_CASE("a burst after all sessions have moved does not make a version look slow", "[rollout]")
{
    // The old version was measured at low load. Then all sessions are on the new one, a burst of
    // callers arrives, and their first events take eight times as long. The roll-out of a good
    // version was reverted for that.
    entry one;
    for (int i = 0; i < 60; ++i) {
        one.manager.note_first_event(engines, old_version, drafts, milliseconds{100}, start);
    }
    // Growth that waits for the new version's answers waits until 0.72 of the time.
    const auto moved = start + seconds{15};
    for (int i = 0; i < 30; ++i) {
        one.manager.note_first_event(engines, new_version, drafts, milliseconds{800}, moved);
        one.manager.note_stall(engines, new_version, drafts, moved);
    }
    CHECK_FALSE(one.bars_new(moved));
    // Failures still count then.
    one.note_outcomes(old_version, drafts, true, 60);
    one.note_outcomes(new_version, drafts, false, 20);
    CHECK(one.bars_new(moved));
}

TEST_CASE("a version that stops responding is reverted", "[rollout]")
{
    entry one;
    for (int i = 0; i < 60; ++i) {
        one.manager.note_first_event(engines, old_version, drafts, milliseconds{100}, start);
    }
    for (int i = 0; i < 20; ++i) {
        one.manager.note_stall(engines, new_version, drafts, start + seconds{4});
    }
    CHECK(one.bars_new(start + seconds{4}));
}

TEST_CASE("the share does not grow while a new version's answers are slower", "[rollout]")
{
    // Answers of the new version take half as long again or more, but are too few for certainty.
    // When the share grew by the schedule alone, two seconds later all callers waited for the slow
    // version.
    entry one;
    entry good;
    const auto now = start + seconds{4};
    const auto half = start + seconds{11};
    for (int i = 0; i < 60; ++i) {
        const timed_answer baseline{timed_part::whole_answer, 55.0 + 10.0 * (i % 2)};
        one.manager.note_time(engines, old_version, tags, baseline, now);
        good.manager.note_time(engines, old_version, tags, baseline, now);
    }
    for (int i = 0; i < 40; ++i) {
        const timed_answer slower{timed_part::whole_answer, i % 4 == 0 ? 130.0 : 60.0};
        one.manager.note_time(engines, new_version, tags, slower, now);
        good.manager.note_time(engines, new_version, tags, {timed_part::whole_answer, 60.0}, now);
    }
    for (auto* each : {&one, &good}) {
        each->note_outcomes(old_version, tags, true, 60);
        each->note_outcomes(new_version, tags, true, 40);
    }
    CHECK(good.uses_new_version(session_of_a_fifth, half));
    CHECK_FALSE(one.uses_new_version(session_of_a_fifth, half));
    CHECK_FALSE(one.bars_new(half));
    // The schedule does not reduce the share that it had.
    CHECK(one.uses_new_version(early_session, half));
}

TEST_CASE("a doubtful version is reverted when time runs out", "[rollout]")
{
    // Growth is held back for a rather slow version until the last moment; without a decision all
    // sessions would then have moved to it.
    entry one;
    const auto now = start + seconds{4};
    for (int i = 0; i < 60; ++i) {
        one.manager.note_time(engines, old_version, tags, {timed_part::whole_answer, 60.0}, now);
    }
    for (int i = 0; i < 10; ++i) {
        one.manager.note_time(
            engines, new_version, tags, {timed_part::whole_answer, i % 3 == 0 ? 200.0 : 60.0}, now);
    }
    CHECK_FALSE(one.bars_new(start + seconds{12}));
    CHECK(one.bars_new(start + seconds{13}));
    CHECK(one.due_state(start + seconds{13}) == rollout_state::reverted);
}

TEST_CASE("a slow version is detected on servers with little load", "[rollout]")
{
    // The new version's few sessions leave its servers idle, so that their pauses, three times as
    // long as they should be, are no longer than those of the old version under its load.
    entry one;
    const auto now = start + seconds{4};
    const auto pause = [](double reading, double times) {
        return timed_answer{
            .part = timed_part::event_pause,
            .took_ms = 16.0 * times * std::pow(1.0 + reading / 300.0, 0.33),
            .load = {.reading = reading}};
    };
    for (int i = 0; i < 80; ++i) {
        one.manager.note_time(engines, old_version, drafts, pause(3000.0 + 100.0 * i, 1.0), now);
    }
    for (int i = 0; i < 20; ++i) {
        one.manager.note_time(engines, new_version, drafts, pause(100.0 * (i % 3), 3.0), now);
    }
    CHECK(one.bars_new(now));
    entry good;
    for (int i = 0; i < 80; ++i) {
        good.manager.note_time(engines, old_version, drafts, pause(100.0 * (i % 3), 1.0), now);
        good.manager.note_time(engines, new_version, drafts, pause(3000.0 + 100.0 * i, 1.0), now);
    }
    CHECK_FALSE(good.bars_new(now));
}

TEST_CASE("a good version on a busy server does not look slow", "[rollout]")
{
    // Guards against an alarm over first events and whole answers that waited behind other prompts
    // on the one busy server of the new version, while the old version's servers had few to read.
    const auto is_barred = [](double times) {
        entry one;
        const auto now = start + seconds{4};
        const auto wait_ms = [](double reading) {
            return 30.0 + reading / 40.0;
        };
        const auto note = [&](const common::version_id& version, double reading, double ms) {
            const answer_load load{
                .reading = reading,
                .requests = reading / 1000.0,
                .is_load_test = version == new_version};
            one.manager.note_first_event(
                engines, version, drafts, milliseconds{static_cast<int>(ms)}, now, load);
            one.manager.note_time(
                engines, version, tags, {.took_ms = ms + 20.0, .load = load}, now);
        };
        for (int i = 0; i < 120; ++i) {
            const double reading = 500.0 + 250.0 * (i % 20);
            note(old_version, reading, wait_ms(reading));
        }
        for (int i = 0; i < 40; ++i) {
            const double reading = 15000.0 + 500.0 * (i % 10);
            note(new_version, reading, times * wait_ms(reading));
        }
        return one.bars_new(now);
    };
    CHECK_FALSE(is_barred(1.0));
    CHECK_FALSE(is_barred(1.33));
    CHECK(is_barred(8.0));
}

TEST_CASE("a burst does not make a version look slow that serves alone", "[rollout]")
{
    // All sessions have moved; then three times as many callers arrive and queue.
    entry one;
    auto now = start + seconds{4};
    const auto answer = [&one, &now](const common::version_id& version, double ms, int per_second) {
        now += milliseconds{1000 / per_second};
        one.manager.note_sent(engines, 0, version, now);
        one.manager.note_ended(engines, 0, version, now);
        one.manager.note_time(engines, version, tags, {timed_part::whole_answer, ms}, now);
    };
    for (int i = 0; i < 60; ++i) {
        answer(i % 6 == 0 ? new_version : old_version, 60.0, 10);
    }
    REQUIRE(one.uses_new_version(late_session, start + seconds{15}));
    now = start + seconds{15};
    for (int i = 0; i < 40; ++i) {
        answer(new_version, 60.0, 30);
    }
    for (int i = 0; i < 60; ++i) {
        answer(new_version, 400.0, 30);
    }
    CHECK_FALSE(one.bars_new(now));
}

TEST_CASE("a new version's share of the work uses a fraction of its servers", "[rollout]")
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
    // Another entry, with its list in another order, selects the same servers.
    std::vector<const registration*> other{all.rbegin(), all.rend()};
    keep_canaries(other, 0.27, none_out);
    CHECK(
        std::set<const registration*>(some.begin(), some.end()) ==
        std::set<const registration*>(other.begin(), other.end()));
    // An ejected server is replaced, and with a larger share the first servers remain.
    const auto* ejected = some.front();
    auto remaining = all;
    keep_canaries(
        remaining, 0.27, [ejected](const registration& server) { return &server == ejected; });
    CHECK(remaining.size() == 3);
    CHECK(std::ranges::find(remaining, ejected) == remaining.end());
    auto more = all;
    keep_canaries(more, 0.6, none_out);
    CHECK(std::ranges::includes(
        std::set<const registration*>(more.begin(), more.end()),
        std::set<const registration*>(some.begin(), some.end())));
    // A request must not fail because all of them are ejected.
    auto still = all;
    keep_canaries(still, 0.01, [](const registration&) { return true; });
    CHECK(still.size() == 9);
}

TEST_CASE("results from before the order serve as the baseline after it", "[rollout]")
{
    // A plain service with few requests: by the time that enough answers of the old version had
    // arrived since the order, the first half was over, and all sessions moved to a slow version.
    rollout_manager manager{rollout_options{}};
    const auto answer = [&manager](const common::version_id& version, double ms, time_point at) {
        manager.note_time(engines, version, tags, {timed_part::plain_answer, ms}, at);
    };
    for (int i = 0; i < 200; ++i) {
        answer(old_version, i % 5 == 0 ? 90.0 : 55.0, start - seconds{10} + milliseconds{50 * i});
    }
    manager.apply_order({engines, new_version, allowed}, start);
    const auto is_barred = [&manager](time_point at) {
        return manager.rule_for(engines, early_session, at).bars(new_version);
    };
    auto at = start + seconds{1};
    SECTION("a slow version is detected by its first answers")
    {
        int needed = 0;
        while (needed < 40 && !is_barred(at)) {
            answer(new_version, needed % 2 == 0 ? 180.0 : 60.0, at);
            needed += 1;
            at += milliseconds{300};
        }
        CHECK(needed <= 20);
    }
    SECTION("a version that is as fast is not reverted")
    {
        for (int i = 0; i < 100; ++i) {
            answer(new_version, i % 5 == 0 ? 90.0 : 55.0, at);
            CHECK_FALSE(is_barred(at));
            at += milliseconds{100};
        }
    }
    SECTION("a replaced or reverted version contributes no baseline")
    {
        manager.apply_status({engines, new_version, rollout_state::reverted});
        for (int i = 0; i < 100; ++i) {
            answer(new_version, 900.0, at);
        }
        const common::version_id third{"v3"};
        manager.apply_order({engines, third, allowed}, at + seconds{1});
        for (int i = 0; i < 40; ++i) {
            answer(old_version, 55.0, at + seconds{2});
            answer(third, i % 2 == 0 ? 180.0 : 60.0, at + seconds{2});
        }
        CHECK(manager.rule_for(engines, early_session, at + seconds{3}).bars(third));
    }
}

TEST_CASE("a service with few requests gets a larger first share", "[rollout]")
{
    // The operators allow a bad version a share of the requests, plus a fixed number. With 13
    // requests per second the share alone gave 26 answers before it grows, too few to detect a slow
    // version.
    rollout_options options;
    options.schedule.first_share = 0.18;
    options.exposure_slack = 30.0;
    const auto first_share = [&options](int per_second, std::size_t entries) {
        std::vector<rollout_manager> managers(entries, rollout_manager{options});
        const auto requests = per_second * 10;
        for (int i = 0; i < requests; ++i) {
            const auto at = start - seconds{10} + milliseconds{10'000 * i / requests};
            managers[static_cast<std::size_t>(i) % entries].note_sent(
                engines, late_session, old_version, at);
        }
        for (auto& manager : managers) {
            manager.apply_order({engines, new_version, allowed}, start);
        }
        const auto query_share = [&managers](std::size_t which, time_point now) {
            managers[which].rule_for(engines, early_session, now);
            return managers[which].states(now).front().share;
        };
        exchange_reports(managers, start + milliseconds{300});
        const auto begun = start + milliseconds{700};
        for (std::size_t i = 0; i < entries; ++i) {
            query_share(i, begun);
        }
        exchange_reports(managers, begun);
        const auto share = query_share(0, begun);
        for (std::size_t i = 0; i < entries; ++i) {
            // All have the same share, so that none takes another entry's for one that has grown.
            CHECK(query_share(i, begun) == share);
            managers[i].note_sent(engines, early_session, old_version, begun);
            CHECK_FALSE(
                managers[i].rule_for(engines, early_session, begun).preferred == new_version);
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
    // A service without known requests, after a restart of all entries.
    CHECK(first_share(1, 4) == Approx(0.18));
}

TEST_CASE("entries add up their evidence", "[rollout]")
{
    // Each of three entries has too few failures for certainty.
    std::array<entry, 3> all;
    for (auto& one : all) {
        one.note_outcomes(old_version, drafts, true, 60);
        one.note_outcomes(new_version, drafts, false, 1);
        CHECK_FALSE(one.bars_new(start + seconds{4}));
    }
    const auto now = start + seconds{4};
    all[0].manager.apply_reports(common::host_id{"b"}, all[1].manager.make_reports(now), now);
    all[0].manager.apply_reports(common::host_id{"c"}, all[2].manager.make_reports(now), now);
    CHECK(all[0].bars_new(now));
}

TEST_CASE("a good version is complete once the old one is idle", "[rollout]")
{
    // Completion stops the old servers at once; if it comes too early, it cuts the streams that
    // they still send through any entry.
    entry one;
    entry other;
    one.apply_status(rollout_state::running);
    other.manager.note_sent(engines, 7, old_version, start);
    const auto moved = start + seconds{15};
    one.manager.apply_reports(common::host_id{"b"}, other.manager.make_reports(moved), moved);
    CHECK(one.uses_new_version(late_session, moved));
    CHECK_FALSE(one.due_state(moved));
    // A session that was just served there would return to servers that are gone, and would change
    // its version then. Its session time has to pass too.
    other.manager.note_ended(engines, 7, old_version, moved - seconds{3});
    one.manager.apply_reports(common::host_id{"b"}, other.manager.make_reports(moved), moved);
    CHECK_FALSE(one.due_state(moved));
    const auto lapsed = moved + milliseconds{2100};
    one.manager.apply_reports(common::host_id{"b"}, other.manager.make_reports(lapsed), lapsed);
    CHECK(one.due_state(lapsed) == rollout_state::complete);
}

TEST_CASE("a stream that never ends does not block the roll-out for ever", "[rollout]")
{
    entry one;
    one.apply_status(rollout_state::running);
    one.manager.note_sent(engines, 7, old_version, start);
    CHECK_FALSE(one.due_state(start + seconds{17}));
    CHECK(one.due_state(start + seconds{19}) == rollout_state::complete);
}

TEST_CASE("the outcome in the store ends a roll-out, whichever entry wrote it", "[rollout]")
{
    // This entry was cut off and saw no failures; the others have reverted.
    entry one;
    one.apply_status(rollout_state::reverted);
    CHECK(one.bars_new(start + seconds{19}));
    CHECK(one.manager.due_states(start + seconds{19}).empty());
    // An entry that restarts reads the state before the order.
    rollout_manager fresh{rollout_options{}};
    fresh.apply_status({engines, new_version, rollout_state::complete});
    fresh.apply_order({engines, new_version, allowed}, start);
    CHECK(fresh.rule_for(engines, late_session, start).preferred == new_version);
}

TEST_CASE("a replaced version stays excluded when the next roll-out is ordered", "[rollout]")
{
    // The second version has replaced the first, and a third one is ordered at once. The list still
    // contains the first version's servers, which are being stopped: sessions on the second version
    // were sent there and lost their answers.
    const common::version_id third_version{"v3"};
    entry one;
    one.apply_status(rollout_state::complete);
    const auto ordered = start + seconds{17};
    one.manager.apply_order({engines, third_version, allowed}, ordered);
    const auto rule = one.manager.rule_for(engines, late_session, ordered);
    CHECK(rule.preferred == new_version);
    CHECK(rule.bars(third_version));
    // An entry that restarts reads the outcome before it reads the order.
    rollout_manager fresh{rollout_options{}};
    fresh.apply_status({engines, new_version, rollout_state::complete});
    fresh.apply_order({engines, third_version, allowed}, ordered);
    CHECK(fresh.rule_for(engines, late_session, ordered).preferred == new_version);
}

TEST_CASE("an entry learns a roll-out's outcome from a peer", "[rollout]")
{
    // Another entry wrote the outcome. This one had not read it when the next order arrived a tenth
    // of a second later, and sent sessions back to servers that were being stopped.
    const common::version_id third_version{"v3"};
    const auto ended = start + seconds{16};
    entry writer;
    writer.apply_status(rollout_state::complete);
    entry other;
    other.manager.apply_reports(common::host_id{"a"}, writer.manager.make_reports(ended), ended);
    CHECK_FALSE(other.due_state(ended));
    other.manager.apply_order({engines, third_version, allowed}, ended);
    CHECK(other.manager.rule_for(engines, late_session, ended).preferred == new_version);
    // An entry without reports still does not go back to a version that all sessions had left.
    entry alone;
    alone.manager.apply_order({engines, third_version, allowed}, ended);
    CHECK(alone.manager.rule_for(engines, late_session, ended).preferred == new_version);
    // An entry that can't read the store adopts the next order from its peers.
    entry turned_away;
    turned_away.apply_status(rollout_state::complete);
    const auto later = ended + seconds{2};
    turned_away.manager.apply_reports(
        common::host_id{"b"}, other.manager.make_reports(later), later);
    CHECK(turned_away.manager.rule_for(engines, late_session, later).bars(third_version));
}

TEST_CASE("a reverted version stays excluded when the next roll-out is ordered", "[rollout]")
{
    // A bad version's servers keep running for some seconds after it was reverted. Another order
    // must not make them eligible again; an order of that same version does.
    const common::version_id third_version{"v3"};
    entry one;
    one.apply_status(rollout_state::reverted);
    const auto ordered = start + seconds{17};
    one.manager.apply_order({engines, third_version, allowed}, ordered);
    one.manager.apply_status({engines, third_version, rollout_state::running});
    CHECK(one.manager.rule_for(engines, late_session, ordered).bars(new_version));
    one.manager.apply_order({engines, new_version, allowed}, ordered + seconds{20});
    const auto again = ordered + seconds{30};
    CHECK_FALSE(one.manager.rule_for(engines, early_session, again).bars(new_version));
}

TEST_CASE("an entry that starts late adopts its peers' start time", "[rollout]")
{
    entry early;
    rollout_manager late{rollout_options{}};
    const auto now = start + seconds{15};
    late.apply_order({engines, new_version, allowed}, now);
    CHECK(late.rule_for(engines, late_session, now).bars(new_version));
    late.apply_reports(common::host_id{"a"}, early.manager.make_reports(now), now);
    CHECK(late.rule_for(engines, late_session, now).preferred == new_version);
}

TEST_CASE("a version that the store says is complete gets requests again", "[rollout]")
{
    // Guards against refusing all requests of a service: this entry judged the version worse just
    // before it read that another one had declared the roll-out complete.
    entry one;
    one.note_outcomes(old_version, drafts, true, 100);
    one.note_outcomes(new_version, drafts, false, 30);
    REQUIRE(one.bars_new(start + seconds{14}));
    one.apply_status(rollout_state::complete);
    const auto rule = one.manager.rule_for(engines, late_session, start + seconds{15});
    CHECK(rule.preferred == new_version);
    CHECK_FALSE(rule.bars(new_version));
}

TEST_CASE("without servers of the new version the others serve", "[rollout]")
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
