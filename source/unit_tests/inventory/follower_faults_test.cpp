#include <algorithm>

#include <catch2/catch.hpp>

#include "fixture.hpp"
#include "inventory/withdrawals.hpp"

using namespace reedramp::inventory;
using namespace reedramp::inventory::testing;
namespace common = reedramp::common;
namespace messages = reedramp::messages;

namespace {

constexpr auto ok = result_code::ok;
constexpr auto withdrawn = result_code::version_withdrawn;
constexpr auto stale = result_code::stale_configuration;

struct fault_row {
    const char* name;
    void (*run)(fixture& env);
};

/// Checkpoint of the log's current content, none of which may have been trimmed.
auto current_checkpoint(fixture& env) -> std::string
{
    state current;
    for (const auto& item : env.log.records(configuration)) {
        apply(current, item);
    }
    return format_checkpoint(current);
}

auto reference(const std::vector<messages::log_record>& records) -> std::string
{
    state current;
    for (const auto& item : records) {
        apply(current, item);
    }
    return digest(current);
}

auto copies_of(fixture& env, const std::string& id) -> std::ptrdiff_t
{
    const auto records = env.log.records(configuration);
    return std::ranges::count_if(records, [&id](const messages::log_record& item) {
        return item.data.find("\"id\":\"" + id + "\"") != std::string::npos;
    });
}

auto withdraw(fixture& env, const std::string& process, const std::string& version) -> void
{
    const reedramp::common::record_id id{"w-" + version};
    REQUIRE(env.at(process).reader->withdraw(version_id{version}, id, "anna"));
}

/// Starts a process on a long log whose first records are trimmed, with an older valid checkpoint
/// and this newer one, which is invalid.
auto check_start_with(fixture& env, const std::string& newer_checkpoint) -> void
{
    put_changes(env, 30);
    env.put(current_checkpoint(env));
    put_changes(env, 8);
    env.put(newer_checkpoint);
    put_changes(env, 3);
    const auto expected = reference(env.log.records(configuration));
    env.log.trim(configuration, log_offset{25});
    env.start("a");
    env.run(1s);
    REQUIRE(env.at("a").reader->ready());
    CHECK(digest(*env.at("a").reader->snapshot()) == expected);
    CHECK(env.at("a").reader->counters().bad_checkpoints == 1);
}

const std::vector<fault_row> fault_rows = {
    {"log down when a process starts: a peer sends it the state",
     [](fixture& env) {
         // A process starts while the log is down. It responds `not_ready` until a peer has sent it
         // a checkpoint. Then it serves as the peer does, and refuses work that needs a current
         // configuration once the evidence is too old.
         env.start("a");
         env.run(1s);
         env.set_down(true);
         env.start("b");
         CHECK_FALSE(env.at("b").reader->ready());
         env.run(2s);
         CHECK(env.at("b").reader->ready());
         CHECK(env.offset("b") == 1);
         CHECK(env.serving("b", "v2") == ok);
         env.run(20s);
         CHECK(env.serving("b", "v2") == stale);
         CHECK(env.serving("b", "v1") == ok);
     }},
    {"log down and no peer: not ready until the log returns",
     [](fixture& env) {
         env.set_down(true);
         env.start("a");
         env.run(60s);
         CHECK_FALSE(env.at("a").reader->ready());
         CHECK(env.at("a").reader->snapshot()->versions.empty());
         env.set_down(false);
         env.run(3s);
         CHECK(env.serving("a", "v2") == ok);
     }},
    {"two starting processes don't consider each other ready",
     [](fixture& env) {
         // All processes restart while the log is down, and none has a state. If an empty response
         // were used as a state, callers would be told that their models do not exist.
         env.set_down(true);
         env.start("a");
         env.start("b", false);
         env.run(30s);
         CHECK_FALSE(env.at("a").reader->ready());
         CHECK_FALSE(env.at("b").reader->ready());
     }},
    {"log slow: changes are in force late, and evidence counts from the request",
     [](fixture& env) {
         // Each response of the log takes 3 s. A change is in force after the response in flight
         // and the next one. A response is no evidence for the 3 s that it took, so they count
         // against the freshness.
         auto faults = env.log.faults();
         faults.slow = 3s;
         env.log.set_faults(faults);
         env.start("a");
         env.run(15s);
         REQUIRE(env.at("a").reader->ready());
         put_changes(env, 1);
         env.run(7s);
         CHECK(env.offset("a") == 2);
         CHECK(env.at("a").reader->evidence_time() <= env.time.now() - 3s);
         CHECK(env.serving("a", "v2") == ok);
     }},
    {"log returns its records in parts: not current before the last part",
     [](fixture& env) {
         // A process resumes far behind, and the log returns three records per response. Until the
         // last one its configuration is outdated, so it must not open new sessions on a roll-out.
         auto& late = env.start("a");
         env.run(1s);
         late.paused_until = env.time.now() + 60s;
         put_changes(env, 30);
         env.read_limit = 3;
         auto faults = env.log.faults();
         faults.slow = 100ms;
         env.log.set_faults(faults);
         env.run(60s);
         auto checks = 0;
         while (env.offset("a") < 31) {
             CHECK(env.serving("a", "v2") == stale);
             env.run(10ms);
             REQUIRE(++checks < 1000);
         }
         CHECK(checks > 10);
         env.run(1s);
         CHECK(env.serving("a", "v2") == ok);
     }},
    {"log down for longer than the freshness: stable versions are still served",
     [](fixture& env) {
         env.start("a");
         env.run(1s);
         env.set_down(true);
         env.run(16s);
         CHECK(env.serving("a", "v1") == ok);
         CHECK(env.serving("a", "v2") == stale);
         CHECK(env.serving("a", "v3") == stale);
         env.set_down(false);
         env.run(4s);
         CHECK(env.serving("a", "v2") == ok);
     }},
    {"process paused past its freshness: a response from before the pause is no new evidence",
     [](fixture& env) {
         // A host is suspended for a minute while a read is in flight, and a roll-out may be paused
         // meanwhile. After it resumes, it processes the old response first, and must not send new
         // sessions to the version before it has read the log again.
         auto& paused = env.start("a");
         env.run(1s);
         REQUIRE(env.serving("a", "v2") == ok);
         paused.paused_until = env.time.now() + 60s;
         env.run(59s);
         put_changes(env, 1);
         CHECK(env.serving("a", "v2") == stale);
         auto faults = env.log.faults();
         faults.slow = 500ms;
         env.log.set_faults(faults);
         env.run(1s + 400ms);
         CHECK(env.serving("a", "v2") == stale);
         env.run(2s);
         CHECK(env.serving("a", "v2") == ok);
         CHECK(env.offset("a") == 2);
     }},
    {"log trimmed past the reader: it continues from a checkpoint",
     [](fixture& env) {
         // A process is suspended for so long that the log has trimmed the records after its
         // offset. It must continue from the checkpoint in the log without its offset decreasing.
         auto& paused = env.start("a");
         env.run(1s);
         paused.paused_until = env.time.now() + 60s;
         put_changes(env, 30);
         env.put(current_checkpoint(env));
         put_changes(env, 2);
         const auto expected = reference(env.log.records(configuration));
         env.log.trim(configuration, log_offset{20});
         env.run(70s);
         CHECK(env.offset("a") == env.log.head(configuration).value());
         CHECK(digest(*paused.reader->snapshot()) == expected);
         CHECK(env.serving("a", "v2") == ok);
     }},
    {"log trimmed without a checkpoint: only a peer can provide the state",
     [](fixture& env) {
         env.start("a");
         put_changes(env, 30);
         env.run(1s);
         env.log.trim(configuration, log_offset{20});
         env.at("a").is_cut_off = true;
         env.start("b");
         env.run(30s);
         CHECK_FALSE(env.at("b").reader->ready());
         CHECK(env.at("a").reader->checkpoint_due());
         env.at("a").is_cut_off = false;
         env.run(3s);
         CHECK(env.serving("b", "v2") == ok);
         CHECK(env.offset("b") == env.offset("a"));
     }},
    {"newest checkpoint truncated: an older one is used",
     [](fixture& env) {
         const auto whole = format_checkpoint(folded({first_record()}));
         check_start_with(env, whole.substr(0, whole.size() / 2));
     }},
    {"newest checkpoint with a wrong digest: an older one is used",
     [](fixture& env) {
         // The checkpoint says that v2 is stable, with the digest of a state in which it is not.
         auto altered = format_checkpoint(folded({first_record()}));
         const std::string from = R"("stage":"rollout")";
         altered.replace(altered.find(from), from.size(), R"("stage":"stable")");
         check_start_with(env, altered);
     }},
    {"peer offers an older state: no process goes back",
     [](fixture& env) {
         // b can't read new records and is behind. a pulls from it every second. a must not return
         // to the older state, and b's responses must not count as evidence that a is current.
         auto& old = env.start("b");
         env.run(1s);
         old.reads_stale_replica = true;
         old.is_cut_off = true;
         env.freeze_replica();
         put_changes(env, 5);
         env.start("a");
         env.run(1s);
         REQUIRE(env.offset("a") == 6);
         env.set_down(true);
         old.is_cut_off = false;
         env.run(20s);
         CHECK(env.offset("a") == 6);
         CHECK(env.offset("b") == 6);
         CHECK(env.serving("a", "v2") == stale);
     }},
    {"stale replica of the log: no step back, no evidence",
     [](fixture& env) {
         // The log directs a reader to a replica that gets no new records. The reader has newer
         // records already, and must neither use the replica's content nor consider it current.
         auto& reader = env.start("a");
         env.run(1s);
         env.freeze_replica();
         put_changes(env, 3);
         env.run(1s);
         REQUIRE(env.offset("a") == 4);
         reader.reads_stale_replica = true;
         env.run(20s);
         CHECK(env.offset("a") == 4);
         CHECK(reader.reader->counters().stale_answers > 0);
         CHECK(env.serving("a", "v2") == stale);
         reader.reads_stale_replica = false;
         env.run(3s);
         CHECK(env.serving("a", "v2") == ok);
     }},
    {"withdrawal while the log is down: peers pass it on, its receiver appends it",
     [](fixture& env) {
         // An operator withdraws v1 at entry a while the log is down. Within 2 s no process takes
         // new work for it. Once the log is back, it must contain the record exactly once.
         env.start("a");
         env.start("b", false);
         env.start("c", false);
         env.run(2s);
         env.set_down(true);
         withdraw(env, "a", "v1");
         CHECK(env.serving("a", "v1") == withdrawn);
         env.run(2s);
         CHECK(env.serving("b", "v1") == withdrawn);
         CHECK(env.serving("c", "v1") == withdrawn);
         env.start("d", false);
         env.run(30s);
         CHECK(env.serving("d", "v1") == withdrawn);
         env.set_down(false);
         env.run(20s);
         CHECK(copies_of(env, "w-v1") == 1);
         CHECK(env.at("c").reader->snapshot()->withdrawn.contains(version_id{"v1"}));
         CHECK(env.at("c").reader->snapshot()->withdrawn_early.empty());
     }},
    {"withdrawal whose receiver is lost before the log is back: a tailer appends it",
     [](fixture& env) {
         env.start("a");
         env.start("b");
         env.start("c", false);
         env.run(2s);
         env.set_down(true);
         withdraw(env, "a", "v1");
         env.run(2s);
         env.end("a");
         env.run(10s);
         CHECK(env.serving("b", "v1") == withdrawn);
         env.set_down(false);
         env.run(30s);
         CHECK(copies_of(env, "w-v1") == 1);
         CHECK(env.at("c").reader->snapshot()->withdrawn.contains(version_id{"v1"}));
     }},
    {"response to a withdrawal's append lost: the log is read, no second copy is appended",
     [](fixture& env) {
         env.start("a");
         env.run(1s);
         auto faults = env.log.faults();
         faults.lose_answer_every = 1;
         env.log.set_faults(faults);
         withdraw(env, "a", "v1");
         env.run(20s);
         CHECK(copies_of(env, "w-v1") == 1);
         CHECK(env.at("a").reader->snapshot()->withdrawn.contains(version_id{"v1"}));
     }},
    {"withdrawal without a valid proof: ignored",
     [](fixture& env) {
         // A sender that does not know the processes' key sends a withdrawal of v1 to a. Callers of
         // v1 must still be served.
         env.start("a");
         env.run(1s);
         messages::configuration_pull forged;
         const reedramp::common::record_id id{"x"};
         const auto proof = withdrawal_proof("another key", version_id{"v1"}, id);
         forged.withdrawals.push_back({version_id{"v1"}, id, proof});
         env.at("a").reader->answer(forged);
         CHECK(env.serving("a", "v1") == ok);
         CHECK(env.at("a").reader->counters().forged_withdrawals == 1);
         forged.withdrawals.front().proof = withdrawal_proof(shared_key, version_id{"v1"}, id);
         env.at("a").reader->answer(forged);
         CHECK(env.serving("a", "v1") == withdrawn);
     }},
    {"withdrawal from a peer that arrives before an older checkpoint is loaded",
     [](fixture& env) {
         // v1 is withdrawn at b but not in the log yet when b loads a checkpoint without the
         // withdrawal. The version must not be served in between.
         env.start("a");
         auto& late = env.start("b", false);
         env.run(2s);
         env.set_down(true);
         withdraw(env, "b", "v1");
         put_changes(env, 1500);
         late.is_cut_off = true;
         late.is_tailer = true;
         env.log.trim(configuration, log_offset{1400});
         env.put(format_checkpoint(folded({first_record()})));
         env.set_down(false);
         for (auto count = 0; count < 100; ++count) {
             env.run(100ms);
             REQUIRE(env.serving("b", "v1") == withdrawn);
         }
     }},
    {"all tailers lost: the others read the log themselves",
     [](fixture& env) {
         env.start("a");
         env.start("b", false);
         env.run(3s);
         env.end("a");
         put_changes(env, 1);
         env.run(10s);
         CHECK(env.offset("b") == 2);
         CHECK(env.serving("b", "v2") == ok);
     }},
};

/// A peer's response to a process that is at offset 3 and can't reach the log.
struct push_row {
    const char* name;
    messages::configuration_push push;
    std::uint64_t offset;
    /// Whether the response renews the freshness.
    bool is_current;
};

auto change_at(std::uint64_t offset) -> messages::log_record
{
    return {
        log_offset{offset},
        record_text("p" + std::to_string(offset), offset - 1, put_version("v1", 7))};
}

auto push_rows() -> std::vector<push_row>
{
    const auto older = format_checkpoint(folded({first_record()}));
    auto state_at_9 = folded({first_record()});
    state_at_9.offset = log_offset{9};
    const auto newer = format_checkpoint(state_at_9);
    const auto torn = newer.substr(0, newer.size() - 9);
    return {
        {"nothing new", {log_offset{3}, 1s, {}, {}, {}}, 3, true},
        {"evidence that is too old", {log_offset{3}, 16s, {}, {}, {}}, 3, false},
        {"evidence from the future", {log_offset{3}, -1h, {}, {}, {}}, 3, false},
        {"no evidence", {log_offset{3}, common::duration::max(), {}, {}, {}}, 3, false},
        {"an older state, claimed to be current", {log_offset{2}, 1s, {}, {}, {}}, 3, false},
        {"an older checkpoint", {log_offset{1}, 1s, {}, older, {}}, 3, false},
        {"a checkpoint older than claimed", {log_offset{4}, 1s, {}, older, {}}, 3, false},
        {"a newer checkpoint", {log_offset{9}, 1s, {}, newer, {}}, 9, true},
        {"a truncated checkpoint", {log_offset{9}, 1s, {}, torn, {}}, 3, false},
        {"two records", {log_offset{5}, 1s, {change_at(4), change_at(5)}, {}, {}}, 5, true},
        {"records that are folded already",
         {log_offset{4}, 1s, {change_at(2), change_at(3), change_at(4)}, {}, {}},
         4,
         true},
        {"fewer records than claimed", {log_offset{5}, 1s, {change_at(4)}, {}, {}}, 4, false},
    };
}

} // namespace

TEST_CASE("a peer's response is used only as far as it advances the state", "[faults]")
{
    // A peer may be behind, may have been suspended, or may be faulty. The process pulls from it
    // while the log is down, and must neither go back nor consider itself current without evidence.
    for (const auto& row : push_rows()) {
        INFO(row.name);
        fixture env;
        env.put(first_record());
        put_changes(env, 2);
        env.start("a");
        env.start("peer", false);
        env.run(2s);
        REQUIRE(env.offset("a") == 3);
        env.set_down(true);
        env.fixed_push = row.push;
        env.run(20s);
        CHECK(env.offset("a") == row.offset);
        CHECK((env.serving("a", "v2") == ok) == row.is_current);
        CHECK(std::ranges::is_sorted(env.offsets_of("a")));
    }
}

TEST_CASE("the follower under faults of the log, the hosts and its peers", "[faults]")
{
    for (const auto& row : fault_rows) {
        INFO(row.name);
        fixture env;
        env.put(first_record());
        row.run(env);
        for (const auto* name : {"a", "b", "c", "d"}) {
            const auto& offsets = env.offsets_of(name);
            CHECK(std::ranges::is_sorted(offsets));
        }
    }
}

TEST_CASE(
    "few processes read the log, the others get changes from peers within seconds", "[follower]")
{
    const auto knows_tailers = GENERATE(false, true);
    fixture env;
    env.knows_tailers = knows_tailers;
    env.put(first_record());
    env.start("tailer");
    for (auto index = 0; index < 20; ++index) {
        env.start("p" + std::to_string(index), false);
    }
    env.run(10s);
    put_changes(env, 1);
    env.run(knows_tailers ? 5s : 8s);
    std::uint64_t other_reads = 0;
    for (auto index = 0; index < 20; ++index) {
        const auto name = "p" + std::to_string(index);
        CHECK(env.offset(name) == 2);
        CHECK(env.serving(name, "v2") == ok);
        other_reads += env.at(name).reader->counters().log_reads;
    }
    CHECK(other_reads < 20);
}
