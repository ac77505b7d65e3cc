#include <functional>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "claims/claim_arbiter_set.hpp"
#include "claims/claim_table.hpp"
#include "claims/codec.hpp"
#include "claims/fingerprint.hpp"
#include "partition_fixture.hpp"

namespace reedramp::claims {

namespace {

using common::execution;
using common::log_offset;
using common::result_code;
using messages::claim_state;

auto code_of(const messages::claim_answer& answer) -> result_code
{
    return answer.why ? answer.why->code : result_code::ok;
}

struct fault_row {
    std::string what;
    platform::log_faults faults;
    /// Some claims are decided while the log misbehaves.
    bool some_decided = true;
};

} // namespace

TEST_CASE("one claim of a key wins whatever the log does", "[claims]")
{
    // Callers send each key to two entries at once, whose keepers both believe in themselves, while
    // the log misbehaves. Whoever is told "won" runs the request, so for no key are two told so;
    // the others are refused with not_run or learn who holds the key. When the log is well again,
    // both keepers name the same holder.
    const std::vector<fault_row> rows = {
        {"nothing is wrong", {}},
        {"answers come late", {.slow = 300ms}},
        {"answers come later than claims may wait", {.slow = 6s}, false},
        {"every second append answer is lost", {.lose_answer_every = 2}},
        {"every append answer is lost", {.lose_answer_every = 1}},
        {"every second append is lost", {.lose_append_every = 2}},
        {"late, and both are lost",
         {.slow = 100ms, .lose_answer_every = 3, .lose_append_every = 2}},
        {"the log takes few appends", {.appends_per_second = 10}},
        {"the log is down", {.down = true}, false},
    };
    constexpr std::uint64_t keys = 40;
    for (const auto& row : rows) {
        INFO(row.what);
        partition_fixture one;
        const auto first = one.keep();
        const auto second = one.keep();
        one.log.set_faults(row.faults);
        std::map<std::uint64_t, std::vector<answer_slot>> slots;
        for (std::uint64_t key = 1; key <= keys; ++key) {
            slots[key].push_back(one.ask(first, make_claim(key, 2 * key)));
            slots[key].push_back(one.ask(second, make_claim(key, 2 * key + 1)));
            one.time.run_for(20ms);
        }
        one.time.run_for(10s);
        one.log.set_faults({});
        one.time.run_for(20s);
        auto decided = 0;
        for (const auto& [key, answers] : slots) {
            const auto holder = one.decide(first, make_claim(key, 1000 + key));
            CHECK(one.decide(second, make_claim(key, 2000 + key)).holder == holder.holder);
            auto winners = 0;
            for (const auto& slot : answers) {
                REQUIRE(*slot);
                const auto& answer = **slot;
                CHECK(
                    (answer.state != claim_state::refused ||
                     (code_of(answer) == result_code::claims_unavailable &&
                      answer.why->run == execution::not_run)));
                decided += answer.state == claim_state::refused ? 0 : 1;
                if (answer.state == claim_state::won) {
                    ++winners;
                    CHECK(same_claim(answer.holder, holder.holder));
                }
            }
            CHECK(winners <= 1);
        }
        CHECK((decided > 0) == row.some_decided);
        CHECK(first->counters().pending == 0);
        CHECK(second->counters().pending == 0);
    }
}

TEST_CASE("a lost append answer is resolved by reading", "[claims]")
{
    // The log keeps both batches but its answers are lost. A slow read that was under way before
    // the second answer was lost does not show that the second batch is missing: both claims are
    // won, and no batch is appended a second time.
    partition_fixture one;
    const auto arbiter = one.keep();
    one.log.set_faults({.slow = 500ms, .lose_answer_every = 1});
    const auto first = one.ask(arbiter, make_claim(1, 1));
    one.time.run_for(600ms);
    one.log.set_faults({.slow = 10ms, .lose_answer_every = 1});
    const auto second = one.ask(arbiter, make_claim(2, 2));
    one.time.run_for(2s);
    REQUIRE((*first && *second));
    CHECK((*first)->state == claim_state::won);
    CHECK((*second)->state == claim_state::won);
    CHECK(one.log.records(one.config.stream).size() == 2);
}

TEST_CASE("a keeper refuses until it has read the window", "[claims]")
{
    // A key was claimed, then its keeper is lost and another entry takes over. A retry that comes
    // before the new keeper has read the window is refused (not_run); to grant it would run the
    // request a second time. After that the retry learns who holds the key.
    partition_fixture one;
    auto old = one.keep();
    CHECK(one.decide(old, make_claim(1, 1)).state == claim_state::won);
    old.reset();
    one.log.set_faults({.slow = 200ms});
    const auto fresh = claim_arbiter::create(one.config, one.hooks());
    const auto unstarted = one.ask(fresh, make_claim(1, 2));
    fresh->start();
    const auto early = one.ask(fresh, make_claim(1, 3));
    one.time.run_for(2s);
    for (const auto& slot : {unstarted, early}) {
        REQUIRE(*slot);
        CHECK(code_of(**slot) == result_code::claims_unavailable);
    }
    const auto late = one.decide(fresh, make_claim(1, 4));
    CHECK(late.state == claim_state::lost);
    CHECK(late.holder.request == common::request_id{1, 1});
}

TEST_CASE("a keeper that was paused past the log's retention starts anew", "[claims]")
{
    // A keeper sleeps while another one serves and the log drops old records. On waking it must not
    // decide from what it knew: the caller is refused (not_run) until the window is read again.
    partition_fixture one;
    const auto sleeper = one.keep();
    CHECK(one.decide(sleeper, make_claim(1, 1)).state == claim_state::won);
    const auto other = one.keep();
    for (std::uint64_t key = 2; key <= 20; ++key) {
        CHECK(one.decide(other, make_claim(key, key)).state == claim_state::won);
    }
    one.log.trim(one.config.stream, log_offset{10});
    CHECK(code_of(one.decide(sleeper, make_claim(30, 30))) == result_code::claims_unavailable);
    CHECK(one.decide(sleeper, make_claim(20, 31)).state == claim_state::lost);
    CHECK(sleeper->counters().state == arbiter_state::serving);
}

TEST_CASE("a key is honoured for the window, then free in all keepers alike", "[claims]")
{
    partition_fixture one;
    auto first = one.keep();
    const auto second = one.keep();
    const auto window = one.config.window;
    CHECK(one.decide(first, make_claim(1, 1)).state == claim_state::won);
    one.time.run_for(window - 10s);
    CHECK(one.decide(first, make_claim(1, 2)).state == claim_state::lost);
    one.time.run_for(10s);
    CHECK(one.decide(first, make_claim(1, 4)).state == claim_state::won);
    CHECK(one.decide(second, make_claim(1, 5)).holder.request == common::request_id{4, 4});
    // One that takes over reads two windows, not all that the log holds.
    for (std::uint64_t key = 100; key < 140; ++key) {
        one.decide(first, make_claim(key, key));
        one.time.run_for(window / 8);
    }
    CHECK(first->counters().keys < 15);
    const auto third = one.keep();
    CHECK(third->counters().keys == first->counters().keys);
    CHECK(one.decide(third, make_claim(139, 1)).holder.request == common::request_id{139, 139});
}

TEST_CASE("only the holder's replacement holds next", "[claims]")
{
    // The agent of the first claim recorded a refusal, so two retries claim the key anew for other
    // agents. The log decides between them; one that names another claim than the holder loses.
    partition_fixture one;
    const auto first = one.keep();
    const auto second = one.keep();
    const auto held = one.decide(first, make_claim(1, 1));
    auto left = make_claim(1, 2);
    auto right = make_claim(1, 3);
    auto wrong = make_claim(1, 4);
    left.replaces = held.offset;
    right.replaces = held.offset;
    wrong.replaces = log_offset{held.offset.value() + 100};
    const auto wins = one.ask(first, left);
    const auto loses = one.ask(second, right);
    one.time.run_for(1s);
    REQUIRE((*wins && *loses));
    CHECK((*wins)->state == claim_state::won);
    CHECK((*loses)->state == claim_state::lost);
    CHECK((*loses)->holder.request == left.request);
    CHECK((*loses)->offset == (*wins)->offset);
    CHECK(one.decide(first, wrong).state == claim_state::lost);
    CHECK(one.decide(one.keep(), make_claim(1, 5)).holder.request == left.request);
    // The same claim asked again, for its answer was lost, still holds.
    CHECK(one.decide(second, left).state == claim_state::won);
}

TEST_CASE("a key used for another request is told apart", "[claims]")
{
    // A caller's program uses one key twice by mistake. The second request is refused with not_run,
    // whether the first is decided or still on its way to the log.
    partition_fixture one;
    const auto arbiter = one.keep();
    const auto first = one.ask(arbiter, make_claim(1, 1, 10));
    const auto at_once = one.ask(arbiter, make_claim(1, 2, 20));
    one.time.run_for(1s);
    REQUIRE((*first && *at_once));
    CHECK((*first)->state == claim_state::won);
    CHECK(code_of(**at_once) == result_code::key_reused);
    CHECK((*at_once)->why->run == execution::not_run);
    CHECK(code_of(one.decide(arbiter, make_claim(1, 3, 20))) == result_code::key_reused);
    CHECK(one.decide(arbiter, make_claim(1, 4, 10)).state == claim_state::lost);
}

TEST_CASE("with the log down claims are refused at once and come back", "[claims]")
{
    // The caller gets claims_unavailable with not_run within a tenth of a second, not at its
    // deadline; keys that are known are still answered. When the log is back, so are claims.
    partition_fixture one;
    const auto arbiter = one.keep();
    CHECK(one.decide(arbiter, make_claim(1, 1)).state == claim_state::won);
    one.log.set_faults({.down = true});
    for (std::uint64_t key = 2; key < 10; ++key) {
        const auto slot = one.ask(arbiter, make_claim(key, key));
        one.time.run_for(100ms);
        REQUIRE(*slot);
        CHECK(code_of(**slot) == result_code::claims_unavailable);
        CHECK((*slot)->why->run == execution::not_run);
        CHECK((*slot)->why->retry_at.has_value());
    }
    CHECK(one.decide(arbiter, make_claim(1, 2)).state == claim_state::lost);
    one.time.run_for(1min);
    one.log.set_faults({});
    one.time.run_for(one.config.longest_retry);
    CHECK(one.decide(arbiter, make_claim(2, 2)).state == claim_state::won);
}

TEST_CASE("the table is bounded and none is forgotten early", "[claims]")
{
    partition_fixture one;
    one.config.max_keys = 10;
    const auto arbiter = one.keep();
    for (std::uint64_t key = 1; key <= 10; ++key) {
        CHECK(one.decide(arbiter, make_claim(key, key)).state == claim_state::won);
    }
    CHECK(code_of(one.decide(arbiter, make_claim(11, 11))) == result_code::claims_unavailable);
    CHECK(one.decide(arbiter, make_claim(1, 12)).state == claim_state::lost);
    one.time.run_for(one.config.window);
    one.decide(arbiter, make_claim(11, 11));
    CHECK(one.decide(arbiter, make_claim(11, 11)).state == claim_state::won);
}

TEST_CASE("the first claim of a session name gives its version", "[claims]")
{
    // Two entries open a session of one name at once with different versions; both callers get the
    // version of the first. A name in use keeps it beyond the window, also with a new keeper; one
    // that was left alone for longer is a new session.
    partition_fixture one;
    auto first = one.keep();
    const auto second = one.keep();
    const auto left = one.ask(first, make_name_claim(1, 1, "drafts-1"));
    const auto right = one.ask(second, make_name_claim(1, 2, "drafts-2"));
    one.time.run_for(1s);
    REQUIRE((*left && *right));
    CHECK((*left)->holder.version.value() == "drafts-1");
    CHECK((*right)->holder.version.value() == "drafts-1");
    for (std::uint64_t use = 0; use < 20; ++use) {
        one.time.run_for(one.config.window / 3);
        if (use % 5 == 0) {
            first = one.keep();
        }
        const auto& asked = use % 2 == 0 ? first : second;
        const auto answer = one.decide(asked, make_name_claim(1, 10 + use, "drafts-2"));
        CHECK(answer.state != claim_state::refused);
        CHECK(answer.holder.version.value() == "drafts-1");
    }
    one.time.run_for(2 * one.config.window);
    CHECK(
        one.decide(second, make_name_claim(1, 50, "drafts-3")).holder.version.value() ==
        "drafts-3");
    CHECK(
        one.decide(first, make_name_claim(1, 51, "drafts-1")).holder.version.value() == "drafts-3");
}

TEST_CASE("a record that cannot be read is passed over by all", "[claims]")
{
    // Something else was appended to the stream. The keepers that read it skip it alike and go on.
    partition_fixture one;
    const auto first = one.keep();
    for (const auto* data : {"", "{}", "[1]", R"({"id":"x","horizon":1,"names":[],"claims":[]})"}) {
        one.log.put(one.config.stream, data);
    }
    claim_batch ahead{{7, 7}, log_offset{~0ULL >> 1U}, {make_claim(1, 1)}};
    one.log.put(one.config.stream, serialise(ahead));
    for (const auto& arbiter : {first, one.keep()}) {
        CHECK(one.decide(arbiter, make_claim(1, 2)).holder.request == common::request_id{1, 1});
        CHECK(arbiter->counters().malformed_records == 4);
    }
}

TEST_CASE("a batch is read as it was written", "[claims]")
{
    auto replacing = make_claim(3, 3);
    replacing.replaces = log_offset{17};
    replacing.body = ~0ULL;
    const claim_batch made{
        {1, 2}, log_offset{9}, {make_claim(1, 1), make_name_claim(2, 2, "drafts-1"), replacing}};
    const auto read = parse(serialise(made));
    REQUIRE(read);
    CHECK(read->id == made.id);
    CHECK(read->horizon == made.horizon);
    REQUIRE(read->claims.size() == made.claims.size());
    for (std::size_t index = 0; index < made.claims.size(); ++index) {
        auto claim = read->claims[index];
        claim.organisation = made.claims[index].organisation;
        CHECK(claim == made.claims[index]);
    }
}

TEST_CASE("each partition has a first and a second keeper among the entries", "[claims]")
{
    partition_fixture one;
    const std::vector<common::host_id> entries{
        common::host_id{"a"}, common::host_id{"b"}, common::host_id{"c"}};
    std::map<common::host_id, std::unique_ptr<claim_arbiter_set>> sets;
    for (const auto& self : entries) {
        sets[self] =
            std::make_unique<claim_arbiter_set>(claim_arbiter_set_config{self}, one.hooks());
        sets[self]->update_entries(entries);
    }
    one.time.run_for(1s);
    std::uint64_t takeovers = 0;
    for (const auto& [self, set] : sets) {
        takeovers += set->counters().takeovers;
        CHECK(set->counters().state == arbiter_state::serving);
    }
    CHECK(takeovers == std::uint64_t{2} * partition_count);
    for (std::uint64_t key = 1; key <= 50; ++key) {
        const auto claim = make_claim(key, 1);
        const auto order = sets.begin()->second->ranked_entries(claim);
        CHECK(order.size() == 3);
        auto state = claim_state::refused;
        sets[order.front()]->claim(claim, [&](const auto& answer) { state = answer->state; });
        one.time.run_for(100ms);
        CHECK(state == claim_state::won);
        // The entry that keeps the key is lost; the second one answers, after one read.
        sets[order[1]]->claim(make_claim(key, 2), [&](const auto& got) { state = got->state; });
        one.time.run_for(100ms);
        CHECK(state == claim_state::lost);
    }
    sets[entries.front()]->stop();
    auto code = result_code::ok;
    sets[entries.front()]->claim(make_claim(1, 3), [&](const auto& answer) {
        code = answer ? result_code::ok : answer.error().code;
    });
    CHECK(code == result_code::shutting_down);
}

} // namespace reedramp::claims
