#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "claims/claim_client.hpp"
#include "partition_fixture.hpp"

namespace reedramp::claims {

namespace {

using common::failure;
using common::result_code;
using common::time_point;
using messages::claim_answer;
using messages::claim_state;
using messages::outcome_answer;
using messages::outcome_state;

constexpr time_point start{1h};
constexpr auto deadline = start + 10s;

using script = std::vector<std::function<auto(claimant& machine)->claim_step>>;

auto claimed(claim_state state, result_code code = result_code::ok)
    -> std::function<auto(claimant&)->claim_step>
{
    return [state, code](claimant& machine) {
        claim_answer answer{state, make_claim(1, 7), common::log_offset{3}, std::nullopt};
        if (code != result_code::ok) {
            answer.why = common::make_error(code);
        }
        return machine.on_claim(answer, start);
    };
}

auto unreachable_arbiter(claimant& machine) -> claim_step
{
    return machine.on_claim(failure(result_code::peer_unavailable), start);
}

auto outcome(outcome_state state, time_point now = start)
    -> std::function<auto(claimant&)->claim_step>
{
    return [state, now](claimant& machine) {
        outcome_answer answer;
        answer.state = state;
        return machine.on_outcome(answer, now);
    };
}

auto unreachable_agent(result_code code, time_point now = start)
    -> std::function<auto(claimant&)->claim_step>
{
    return [code, now](claimant& machine) {
        return machine.on_outcome(failure(code), now);
    };
}

auto waited(time_point now) -> std::function<auto(claimant&)->claim_step>
{
    return [now](claimant& machine) {
        return machine.on_wait_over(now);
    };
}

auto describe(const claim_step& step) -> std::string
{
    struct namer {
        auto operator()(const send_claim& step) const -> std::string
        {
            const auto replaces = step.claim.replaces.value();
            return "claim" + std::to_string(step.arbiter_rank) + (replaces != 0 ? " again" : "");
        }

        auto operator()(const query_agent& step) const -> std::string
        {
            return "ask " + step.server.value();
        }

        auto operator()(const wait_until& /*step*/) const -> std::string { return "wait"; }

        auto operator()(const claim_granted& /*step*/) const -> std::string { return "granted"; }

        auto operator()(const claim_answered& /*step*/) const -> std::string { return "answered"; }

        auto operator()(const claim_refused& step) const -> std::string
        {
            return std::string{common::row_of(step.why.code).name} + " " +
                   std::string{common::to_string(step.why.run)};
        }
    };

    return std::visit(namer{}, step);
}

struct claimant_row {
    std::string what;
    script events;
    std::string last_step;
};

} // namespace

TEST_CASE("steps of a claimant", "[claims]")
{
    // A retry arrives at another entry than the first copy. It must get the first copy's answer,
    // run only if the first copy never ran, end with not_run only if no copy can run, and with
    // unknown if the agent that received the first copy no longer exists.
    const auto lost = claimed(claim_state::lost);
    const auto unavailable = claimed(claim_state::refused, result_code::claims_unavailable);
    const std::vector<claimant_row> rows = {
        {"no answer yet", {}, "claim0"},
        {"won", {claimed(claim_state::won)}, "granted"},
        {"key reused",
         {claimed(claim_state::refused, result_code::key_reused)},
         "key_reused not_run"},
        {"arbiter unreachable", {unreachable_arbiter}, "claim1"},
        {"arbiter is still taking over", {unavailable}, "claim1"},
        {"both arbiters unreachable",
         {unreachable_arbiter, unreachable_arbiter},
         "claims_unavailable not_run"},
        {"log unavailable", {unavailable, unavailable}, "claims_unavailable not_run"},
        {"lost", {lost}, "ask engine-1"},
        {"the first copy has finished", {lost, outcome(outcome_state::finished)}, "answered"},
        {"the first copy has failed", {lost, outcome(outcome_state::failed)}, "answered"},
        {"the first copy is running", {lost, outcome(outcome_state::running)}, "wait"},
        {"it is queried again while it runs",
         {lost, outcome(outcome_state::running), waited(start + 1s)},
         "ask engine-1"},
        {"it is not finished at the deadline",
         {lost, outcome(outcome_state::queued, deadline)},
         "still_running unknown"},
        {"the deadline passes during the wait",
         {lost, outcome(outcome_state::running), waited(deadline)},
         "still_running unknown"},
        {"the first copy never arrived", {lost, outcome(outcome_state::refused)}, "claim0 again"},
        {"and the second claim is won",
         {lost, outcome(outcome_state::refused), claimed(claim_state::won)},
         "granted"},
        {"and another copy's claim is won first",
         {lost, outcome(outcome_state::refused), lost},
         "ask engine-1"},
        {"too many copies that never arrived",
         {lost,
          outcome(outcome_state::refused),
          lost,
          outcome(outcome_state::refused),
          lost,
          outcome(outcome_state::refused),
          lost,
          outcome(outcome_state::refused)},
         "claims_unavailable not_run"},
        {"the agent was replaced",
         {lost, outcome(outcome_state::unknown)},
         "outcome_unknown unknown"},
        {"the server is no longer known",
         {lost, unreachable_agent(result_code::not_found)},
         "outcome_unknown unknown"},
        {"the agent does not answer", {lost, unreachable_agent(result_code::server_lost)}, "wait"},
        {"the agent does not answer until its timeout",
         {lost,
          unreachable_agent(result_code::server_lost),
          waited(start + 1s),
          unreachable_agent(result_code::peer_unavailable, start + 2s)},
         "outcome_unknown unknown"},
        {"the agent answers again",
         {lost,
          unreachable_agent(result_code::server_lost),
          waited(start + 1s),
          outcome(outcome_state::finished, start + 2s)},
         "answered"},
    };
    for (const auto& row : rows) {
        INFO(row.what);
        claimant machine({}, make_claim(1, 1), deadline);
        auto step = machine.start();
        for (const auto& event : row.events) {
            step = event(machine);
        }
        CHECK(describe(step) == row.last_step);
    }
}

namespace {

/// Minimal agents: a request is recorded before it runs, a query about an unknown request records a
/// refusal, and a new incarnation has no records.
class fake_agents {
public:
    /// True if the request runs.
    auto dispatch(const messages::claim_request& claim) -> bool
    {
        if (claim.incarnation != this->incarnation(claim.server)) {
            return false;
        }
        return this->known.emplace(claim.request, outcome_state::running).second;
    }

    auto query(const common::server_id& server, const messages::outcome_query& query)
        -> common::result<outcome_answer>
    {
        outcome_answer answer;
        if (query.key.incarnation == this->incarnation(server)) {
            answer.state =
                this->known.emplace(query.key.request, outcome_state::refused).first->second;
        }
        return answer;
    }

    auto incarnation(const common::server_id& server) const -> common::incarnation_id
    {
        const auto found = this->incarnations.find(server);
        return found == this->incarnations.end() ? common::incarnation_id{1} : found->second;
    }

    auto replace(const common::server_id& server) -> void
    {
        this->incarnations[server] = common::incarnation_id{this->incarnation(server).value() + 1};
    }

    auto finish_all() -> void
    {
        for (auto& [request, state] : this->known) {
            state = state == outcome_state::running ? outcome_state::finished : state;
        }
    }

private:
    std::map<common::server_id, common::incarnation_id> incarnations;
    std::map<common::request_id, outcome_state> known;
};

/// Three entries, each with an arbiter of the partition, that handle copies of a few requests with
/// idempotency keys.
struct keyed_request_fixture {
    partition_fixture partition;
    std::vector<std::shared_ptr<claim_arbiter>> arbiters;
    fake_agents agents;
    std::mt19937 random;
    std::map<common::request_id, int> runs;
    std::map<std::string, int> result_counts;
    std::uint64_t requests = 0;

    explicit keyed_request_fixture(unsigned seed) : random(seed)
    {
        for (int entry = 0; entry < 3; ++entry) {
            this->arbiters.push_back(this->partition.start_arbiter());
        }
    }

    auto hooks(std::size_t entry) -> claim_client_hooks
    {
        return {
            this->partition.time.clock(),
            this->partition.time.timers(),
            [this, entry](std::size_t rank, messages::claim_request claim, auto done) {
                const auto& asked = this->arbiters[(entry + rank) % this->arbiters.size()];
                asked->claim(std::move(claim), [done](claim_answer answer) { done(answer); });
            },
            [this](const common::server_id& server, messages::outcome_query query, auto done) {
                done(this->agents.query(server, query));
            }};
    }

    /// Sends a copy of the request with this key to a random entry, which may crash before
    /// dispatch.
    auto send_copy(std::uint64_t key, bool entry_crashes) -> void
    {
        auto claim = make_claim(key, 1000 + this->requests++);
        claim.incarnation = this->agents.incarnation(claim.server);
        claim_key(
            {},
            this->hooks(this->random() % 3),
            claim,
            this->partition.time.now() + 5s,
            [this, claim, entry_crashes](claim_result end) {
                ++this->result_counts[describe(
                    std::visit([](auto& item) -> claim_step { return std::move(item); }, end))];
                if (std::holds_alternative<claim_granted>(end) && !entry_crashes) {
                    this->runs[claim.key] += this->agents.dispatch(claim) ? 1 : 0;
                }
            });
    }

    auto inject_random_fault() -> void
    {
        const auto choice = this->random() % 8;
        if (choice == 0) {
            this->agents.replace(common::server_id{"engine-" + std::to_string(this->random() % 3)});
        }
        else if (choice == 1) {
            auto& lost = this->arbiters[this->random() % 3];
            lost = claim_arbiter::create(this->partition.config, this->partition.hooks());
            lost->start();
        }
        else if (choice == 2) {
            this->partition.log.set_faults(
                {.down = this->random() % 4 == 0,
                 .slow = std::chrono::milliseconds{this->random() % 200},
                 .lose_answer_every = static_cast<std::uint32_t>(this->random() % 4),
                 .lose_append_every = static_cast<std::uint32_t>(this->random() % 4)});
        }
        else if (choice == 3) {
            this->agents.finish_all();
        }
    }
};

} // namespace

TEST_CASE("a request with a key runs at most once under combined faults", "[claims]")
{
    // Copies of each request arrive at several entries at about the same time. Entries crash
    // between claim and dispatch, arbiters and agents are replaced, and the log is slow, loses
    // appends or answers, or is down. No request may run twice, and each copy gets exactly one
    // result.
    std::map<std::string, int> result_counts;
    for (unsigned seed = 1; seed <= 150; ++seed) {
        INFO("seed=" << seed);
        keyed_request_fixture fixture(seed);
        constexpr std::uint64_t copies = 40;
        for (std::uint64_t number = 0; number < copies; ++number) {
            fixture.send_copy(fixture.random() % 6, fixture.random() % 4 == 0);
            fixture.inject_random_fault();
            fixture.partition.time.run_for(std::chrono::milliseconds{fixture.random() % 300});
        }
        fixture.partition.time.run_for(10s);
        std::uint64_t total = 0;
        for (const auto& [end, count] : fixture.result_counts) {
            result_counts[end] += count;
            total += static_cast<std::uint64_t>(count);
        }
        CHECK(total == copies);
        for (const auto& [key, count] : fixture.runs) {
            CHECK(count <= 1);
        }
    }
    // Each result does occur.
    for (const auto* end :
         {"granted", "answered", "claims_unavailable not_run", "outcome_unknown unknown"}) {
        INFO(end);
        CHECK(result_counts[end] > 20);
    }
}

TEST_CASE("a claim without an answer from its arbiter ends at the deadline", "[claims]")
{
    partition_fixture fixture;
    claim_client_hooks hooks{
        fixture.time.clock(),
        fixture.time.timers(),
        [](auto, auto, auto) {},
        [](auto&, auto, auto) {
        }};
    std::string result_text;
    claim_key({}, hooks, make_claim(1, 1), fixture.time.now() + 5s, [&](claim_result end) {
        result_text += describe(std::get<claim_refused>(std::move(end)));
    });
    fixture.time.run_for(4s);
    CHECK(result_text.empty());
    fixture.time.run_for(10s);
    CHECK(result_text == "claims_unavailable not_run");
}

} // namespace reedramp::claims
