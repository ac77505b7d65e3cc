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
    /// True if some claims are decided during the fault.
    bool some_decided = true;
};

} // namespace

TEST_CASE("at most one claim of a key wins under log faults", "[claims]")
{
    // Each key is claimed at two arbiters of the partition at once while the log is faulty. A
    // request whose claim is `won` runs, so no key may have two winners; other claims are refused
    // with not_run or get the holder. After the log recovers, both arbiters return the same holder.
    const std::vector<fault_row> rows = {
        {"no fault", {}},
        {"slow log", {.slow = 300ms}},
        {"log slower than the claim timeout", {.slow = 6s}, false},
        {"every second append answer is lost", {.lose_answer_every = 2}},
        {"every append answer is lost", {.lose_answer_every = 1}},
        {"every second append is lost", {.lose_append_every = 2}},
        {"slow log, some appends and answers are lost",
         {.slow = 100ms, .lose_answer_every = 3, .lose_append_every = 2}},
        {"the log limits the append rate", {.appends_per_second = 10}},
        {"the log is down", {.down = true}, false},
    };
    constexpr std::uint64_t keys = 40;
    for (const auto& row : rows) {
        INFO(row.what);
        partition_fixture fixture;
        const auto first = fixture.start_arbiter();
        const auto second = fixture.start_arbiter();
        fixture.log.set_faults(row.faults);
        std::map<std::uint64_t, std::vector<answer_slot>> slots;
        for (std::uint64_t key = 1; key <= keys; ++key) {
            slots[key].push_back(fixture.submit(first, make_claim(key, 2 * key)));
            slots[key].push_back(fixture.submit(second, make_claim(key, 2 * key + 1)));
            fixture.time.run_for(20ms);
        }
        fixture.time.run_for(10s);
        fixture.log.set_faults({});
        fixture.time.run_for(20s);
        auto decided = 0;
        for (const auto& [key, answers] : slots) {
            const auto holder = fixture.decide(first, make_claim(key, 1000 + key));
            CHECK(fixture.decide(second, make_claim(key, 2000 + key)).holder == holder.holder);
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

TEST_CASE("a lost append answer is resolved by a read", "[claims]")
{
    // The log appends both batches, but its answers are lost. A slow read that was in flight before
    // the second answer was lost must not be taken as proof that the second batch is missing: both
    // claims are won, and no batch is appended twice.
    partition_fixture fixture;
    const auto arbiter = fixture.start_arbiter();
    fixture.log.set_faults({.slow = 500ms, .lose_answer_every = 1});
    const auto first = fixture.submit(arbiter, make_claim(1, 1));
    fixture.time.run_for(600ms);
    fixture.log.set_faults({.slow = 10ms, .lose_answer_every = 1});
    const auto second = fixture.submit(arbiter, make_claim(2, 2));
    fixture.time.run_for(2s);
    REQUIRE((*first && *second));
    CHECK((*first)->state == claim_state::won);
    CHECK((*second)->state == claim_state::won);
    CHECK(fixture.log.records(fixture.config.stream).size() == 2);
}

TEST_CASE("an arbiter refuses claims until it has replayed the window", "[claims]")
{
    // A key is claimed, then its arbiter fails and another entry takes over. A retry that arrives
    // before the new arbiter has replayed the window must be refused (not_run): granting it would
    // run the request twice. After the replay a retry gets the holder.
    partition_fixture fixture;
    auto old = fixture.start_arbiter();
    CHECK(fixture.decide(old, make_claim(1, 1)).state == claim_state::won);
    old.reset();
    fixture.log.set_faults({.slow = 200ms});
    const auto fresh = claim_arbiter::create(fixture.config, fixture.hooks());
    const auto unstarted = fixture.submit(fresh, make_claim(1, 2));
    fresh->start();
    const auto early = fixture.submit(fresh, make_claim(1, 3));
    fixture.time.run_for(2s);
    for (const auto& slot : {unstarted, early}) {
        REQUIRE(*slot);
        CHECK(code_of(**slot) == result_code::claims_unavailable);
    }
    const auto late = fixture.decide(fresh, make_claim(1, 4));
    CHECK(late.state == claim_state::lost);
    CHECK(late.holder.request == common::request_id{1, 1});
}

TEST_CASE("an arbiter paused beyond the log's retention replays the window", "[claims]")
{
    // An arbiter is idle while another one serves and the log trims old records. It must not decide
    // from its outdated table: the claim is refused (not_run) until the window has been replayed.
    partition_fixture fixture;
    const auto sleeper = fixture.start_arbiter();
    CHECK(fixture.decide(sleeper, make_claim(1, 1)).state == claim_state::won);
    const auto other = fixture.start_arbiter();
    for (std::uint64_t key = 2; key <= 20; ++key) {
        CHECK(fixture.decide(other, make_claim(key, key)).state == claim_state::won);
    }
    fixture.log.trim(fixture.config.stream, log_offset{10});
    CHECK(code_of(fixture.decide(sleeper, make_claim(30, 30))) == result_code::claims_unavailable);
    CHECK(fixture.decide(sleeper, make_claim(20, 31)).state == claim_state::lost);
    CHECK(sleeper->counters().state == arbiter_state::serving);
}

TEST_CASE("a key is held for the window, then free at all arbiters", "[claims]")
{
    partition_fixture fixture;
    auto first = fixture.start_arbiter();
    const auto second = fixture.start_arbiter();
    const auto window = fixture.config.window;
    CHECK(fixture.decide(first, make_claim(1, 1)).state == claim_state::won);
    fixture.time.run_for(window - 10s);
    CHECK(fixture.decide(first, make_claim(1, 2)).state == claim_state::lost);
    fixture.time.run_for(10s);
    CHECK(fixture.decide(first, make_claim(1, 4)).state == claim_state::won);
    CHECK(fixture.decide(second, make_claim(1, 5)).holder.request == common::request_id{4, 4});
    // An arbiter that takes over replays two windows, not the whole log.
    for (std::uint64_t key = 100; key < 140; ++key) {
        fixture.decide(first, make_claim(key, key));
        fixture.time.run_for(window / 8);
    }
    CHECK(first->counters().keys < 15);
    const auto third = fixture.start_arbiter();
    CHECK(third->counters().keys == first->counters().keys);
    CHECK(fixture.decide(third, make_claim(139, 1)).holder.request == common::request_id{139, 139});
}

TEST_CASE("only a claim that replaces the holder takes over its key", "[claims]")
{
    // The agent of the first claim recorded a refusal, so two retries claim the key again for other
    // agents. The log decides between them. A claim that replaces another offset than the holder's
    // loses.
    partition_fixture fixture;
    const auto first = fixture.start_arbiter();
    const auto second = fixture.start_arbiter();
    const auto held = fixture.decide(first, make_claim(1, 1));
    auto left = make_claim(1, 2);
    auto right = make_claim(1, 3);
    auto wrong = make_claim(1, 4);
    left.replaces = held.offset;
    right.replaces = held.offset;
    wrong.replaces = log_offset{held.offset.value() + 100};
    const auto wins = fixture.submit(first, left);
    const auto loses = fixture.submit(second, right);
    fixture.time.run_for(1s);
    REQUIRE((*wins && *loses));
    CHECK((*wins)->state == claim_state::won);
    CHECK((*loses)->state == claim_state::lost);
    CHECK((*loses)->holder.request == left.request);
    CHECK((*loses)->offset == (*wins)->offset);
    CHECK(fixture.decide(first, wrong).state == claim_state::lost);
    CHECK(fixture.decide(fixture.start_arbiter(), make_claim(1, 5)).holder.request == left.request);
    // The same claim submitted again, as after a lost answer, is still `won`.
    CHECK(fixture.decide(second, left).state == claim_state::won);
}

TEST_CASE("reuse of a key for another request is detected", "[claims]")
{
    // A caller uses one key for two requests. The second is refused with not_run, whether the first
    // claim is decided or still being appended.
    partition_fixture fixture;
    const auto arbiter = fixture.start_arbiter();
    const auto first = fixture.submit(arbiter, make_claim(1, 1, 10));
    const auto at_once = fixture.submit(arbiter, make_claim(1, 2, 20));
    fixture.time.run_for(1s);
    REQUIRE((*first && *at_once));
    CHECK((*first)->state == claim_state::won);
    CHECK(code_of(**at_once) == result_code::key_reused);
    CHECK((*at_once)->why->run == execution::not_run);
    CHECK(code_of(fixture.decide(arbiter, make_claim(1, 3, 20))) == result_code::key_reused);
    CHECK(fixture.decide(arbiter, make_claim(1, 4, 10)).state == claim_state::lost);
}

TEST_CASE(
    "claims are refused at once while the log is down and served after it recovers", "[claims]")
{
    // The caller gets claims_unavailable with not_run within 100 ms, not at its deadline. Keys in
    // the table are still answered.
    partition_fixture fixture;
    const auto arbiter = fixture.start_arbiter();
    CHECK(fixture.decide(arbiter, make_claim(1, 1)).state == claim_state::won);
    fixture.log.set_faults({.down = true});
    for (std::uint64_t key = 2; key < 10; ++key) {
        const auto slot = fixture.submit(arbiter, make_claim(key, key));
        fixture.time.run_for(100ms);
        REQUIRE(*slot);
        CHECK(code_of(**slot) == result_code::claims_unavailable);
        CHECK((*slot)->why->run == execution::not_run);
        CHECK((*slot)->why->retry_at.has_value());
    }
    CHECK(fixture.decide(arbiter, make_claim(1, 2)).state == claim_state::lost);
    fixture.time.run_for(1min);
    fixture.log.set_faults({});
    fixture.time.run_for(fixture.config.max_retry_wait);
    CHECK(fixture.decide(arbiter, make_claim(2, 2)).state == claim_state::won);
}

TEST_CASE("the table is bounded and evicts no key early", "[claims]")
{
    partition_fixture fixture;
    fixture.config.max_keys = 10;
    const auto arbiter = fixture.start_arbiter();
    for (std::uint64_t key = 1; key <= 10; ++key) {
        CHECK(fixture.decide(arbiter, make_claim(key, key)).state == claim_state::won);
    }
    CHECK(code_of(fixture.decide(arbiter, make_claim(11, 11))) == result_code::claims_unavailable);
    CHECK(fixture.decide(arbiter, make_claim(1, 12)).state == claim_state::lost);
    fixture.time.run_for(fixture.config.window);
    fixture.decide(arbiter, make_claim(11, 11));
    CHECK(fixture.decide(arbiter, make_claim(11, 11)).state == claim_state::won);
}

TEST_CASE("the first claim of a session name determines its version", "[claims]")
{
    // Two entries open a session of one name at once with different versions; both get the version
    // of the first claim. A name in use keeps its version beyond the window, also with a new
    // arbiter. A name unused for longer starts a new session.
    partition_fixture fixture;
    auto first = fixture.start_arbiter();
    const auto second = fixture.start_arbiter();
    const auto left = fixture.submit(first, make_name_claim(1, 1, "drafts-1"));
    const auto right = fixture.submit(second, make_name_claim(1, 2, "drafts-2"));
    fixture.time.run_for(1s);
    REQUIRE((*left && *right));
    CHECK((*left)->holder.version.value() == "drafts-1");
    CHECK((*right)->holder.version.value() == "drafts-1");
    for (std::uint64_t use = 0; use < 20; ++use) {
        fixture.time.run_for(fixture.config.window / 3);
        if (use % 5 == 0) {
            first = fixture.start_arbiter();
        }
        const auto& asked = use % 2 == 0 ? first : second;
        const auto answer = fixture.decide(asked, make_name_claim(1, 10 + use, "drafts-2"));
        CHECK(answer.state != claim_state::refused);
        CHECK(answer.holder.version.value() == "drafts-1");
    }
    fixture.time.run_for(2 * fixture.config.window);
    CHECK(
        fixture.decide(second, make_name_claim(1, 50, "drafts-3")).holder.version.value() ==
        "drafts-3");
    CHECK(
        fixture.decide(first, make_name_claim(1, 51, "drafts-1")).holder.version.value() ==
        "drafts-3");
}

TEST_CASE("all arbiters skip a malformed record", "[claims]")
{
    // Other data was appended to the stream. All arbiters skip it and continue.
    partition_fixture fixture;
    const auto first = fixture.start_arbiter();
    for (const auto* data : {"", "{}", "[1]", R"({"id":"x","horizon":1,"names":[],"claims":[]})"}) {
        fixture.log.put(fixture.config.stream, data);
    }
    claim_batch ahead{{7, 7}, log_offset{~0ULL >> 1U}, {make_claim(1, 1)}};
    fixture.log.put(fixture.config.stream, serialise(ahead));
    for (const auto& arbiter : {first, fixture.start_arbiter()}) {
        CHECK(fixture.decide(arbiter, make_claim(1, 2)).holder.request == common::request_id{1, 1});
        CHECK(arbiter->counters().malformed_records == 4);
    }
}

TEST_CASE("a batch survives serialisation and parsing", "[claims]")
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

TEST_CASE("each partition has a first and a second arbiter among the entries", "[claims]")
{
    partition_fixture fixture;
    const std::vector<common::host_id> entries{
        common::host_id{"a"}, common::host_id{"b"}, common::host_id{"c"}};
    std::map<common::host_id, std::unique_ptr<claim_arbiter_set>> sets;
    for (const auto& self : entries) {
        sets[self] =
            std::make_unique<claim_arbiter_set>(claim_arbiter_set_config{self}, fixture.hooks());
        sets[self]->update_entries(entries);
    }
    fixture.time.run_for(1s);
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
        fixture.time.run_for(100ms);
        CHECK(state == claim_state::won);
        // The first entry fails; the second one answers after one read.
        sets[order[1]]->claim(make_claim(key, 2), [&](const auto& got) { state = got->state; });
        fixture.time.run_for(100ms);
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
