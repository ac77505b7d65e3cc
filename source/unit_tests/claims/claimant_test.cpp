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

using script = std::vector<std::function<auto(claimant& decide)->claim_step>>;

auto claimed(claim_state state, result_code code = result_code::ok)
    -> std::function<auto(claimant&)->claim_step>
{
    return [state, code](claimant& decide) {
        claim_answer answer{state, make_claim(1, 7), common::log_offset{3}, std::nullopt};
        if (code != result_code::ok) {
            answer.why = common::make_error(code);
        }
        return decide.on_claim(answer, start);
    };
}

auto unreachable_arbiter(claimant& decide) -> claim_step
{
    return decide.on_claim(failure(result_code::peer_unavailable), start);
}

auto outcome(outcome_state state, time_point now = start)
    -> std::function<auto(claimant&)->claim_step>
{
    return [state, now](claimant& decide) {
        outcome_answer answer;
        answer.state = state;
        return decide.on_outcome(answer, now);
    };
}

auto unreachable_agent(result_code code, time_point now = start)
    -> std::function<auto(claimant&)->claim_step>
{
    return [code, now](claimant& decide) {
        return decide.on_outcome(failure(code), now);
    };
}

auto waited(time_point now) -> std::function<auto(claimant&)->claim_step>
{
    return [now](claimant& decide) {
        return decide.on_wait_over(now);
    };
}

auto describe(const claim_step& step) -> std::string
{
    struct namer {
        auto operator()(const send_claim& step) const -> std::string
        {
            const auto replaces = step.claim.replaces.value();
            return "claim" + std::to_string(step.arbiter_rank) + (replaces != 0 ? " anew" : "");
        }

        auto operator()(const ask_holder& step) const -> std::string
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

TEST_CASE("what an entry does with a key", "[claims]")
{
    // A retry comes to another entry than the first copy did. Its caller sees the first copy's
    // answer, a run of its own only when the first copy never ran, not_run only when nothing can
    // run, and unknown when the agent that got the first copy is gone.
    const auto lost = claimed(claim_state::lost);
    const auto unavailable = claimed(claim_state::refused, result_code::claims_unavailable);
    const std::vector<claimant_row> rows = {
        {"nothing heard", {}, "claim0"},
        {"won", {claimed(claim_state::won)}, "granted"},
        {"key reused",
         {claimed(claim_state::refused, result_code::key_reused)},
         "key_reused not_run"},
        {"keeper lost", {unreachable_arbiter}, "claim1"},
        {"keeper takes over", {unavailable}, "claim1"},
        {"both keepers lost",
         {unreachable_arbiter, unreachable_arbiter},
         "claims_unavailable not_run"},
        {"log down", {unavailable, unavailable}, "claims_unavailable not_run"},
        {"lost", {lost}, "ask engine-1"},
        {"the first copy has finished", {lost, outcome(outcome_state::finished)}, "answered"},
        {"the first copy has failed", {lost, outcome(outcome_state::failed)}, "answered"},
        {"the first copy runs", {lost, outcome(outcome_state::running)}, "wait"},
        {"it still runs",
         {lost, outcome(outcome_state::running), waited(start + 1s)},
         "ask engine-1"},
        {"it runs past the deadline",
         {lost, outcome(outcome_state::queued, deadline)},
         "still_running unknown"},
        {"the deadline comes while it waits",
         {lost, outcome(outcome_state::running), waited(deadline)},
         "still_running unknown"},
        {"the first copy never came", {lost, outcome(outcome_state::refused)}, "claim0 anew"},
        {"and the key is won then",
         {lost, outcome(outcome_state::refused), claimed(claim_state::won)},
         "granted"},
        {"and another copy was faster",
         {lost, outcome(outcome_state::refused), lost},
         "ask engine-1"},
        {"too many copies that never came",
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
        {"the agent does not answer for long",
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
        claimant decide({}, make_claim(1, 1), deadline);
        auto step = decide.start();
        for (const auto& event : row.events) {
            step = event(decide);
        }
        CHECK(describe(step) == row.last_step);
    }
}

namespace {

/// Agents as far as keyed requests see them: a request is recorded before it runs, a question about
/// one that is not known records a refusal, and a new incarnation knows nothing.
class few_agents {
public:
    /// True if the request runs.
    auto dispatch(const messages::claim_request& claim) -> bool
    {
        if (claim.incarnation != this->incarnation(claim.server)) {
            return false;
        }
        return this->known.emplace(claim.request, outcome_state::running).second;
    }

    auto ask(const common::server_id& server, const messages::outcome_query& query)
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

/// Three entries, each with a keeper of the partition, that handle copies of a few keyed requests.
struct keyed_world {
    partition_fixture one;
    std::vector<std::shared_ptr<claim_arbiter>> arbiters;
    few_agents agents;
    std::mt19937 random;
    std::map<common::request_id, int> runs;
    std::map<std::string, int> ends;
    std::uint64_t requests = 0;

    explicit keyed_world(unsigned seed) : random(seed)
    {
        for (int entry = 0; entry < 3; ++entry) {
            this->arbiters.push_back(this->one.keep());
        }
    }

    auto hooks(std::size_t entry) -> claim_client_hooks
    {
        return {
            this->one.time.clock(),
            this->one.time.timers(),
            [this, entry](std::size_t rank, messages::claim_request claim, auto done) {
                const auto& asked = this->arbiters[(entry + rank) % this->arbiters.size()];
                asked->claim(std::move(claim), [done](claim_answer answer) { done(answer); });
            },
            [this](const common::server_id& server, messages::outcome_query query, auto done) {
                done(this->agents.ask(server, query));
            }};
    }

    /// A copy of the request with this key comes to an entry, which may die before it dispatches.
    auto copy(std::uint64_t key, bool dies) -> void
    {
        auto claim = make_claim(key, 1000 + this->requests++);
        claim.incarnation = this->agents.incarnation(claim.server);
        claim_key(
            {},
            this->hooks(this->random() % 3),
            claim,
            this->one.time.now() + 5s,
            [this, claim, dies](claim_result end) {
                ++this->ends[describe(
                    std::visit([](auto& item) -> claim_step { return std::move(item); }, end))];
                if (std::holds_alternative<claim_granted>(end) && !dies) {
                    this->runs[claim.key] += this->agents.dispatch(claim) ? 1 : 0;
                }
            });
    }

    auto something_fails() -> void
    {
        const auto seldom = this->random() % 8;
        if (seldom == 0) {
            this->agents.replace(common::server_id{"engine-" + std::to_string(this->random() % 3)});
        }
        else if (seldom == 1) {
            auto& lost = this->arbiters[this->random() % 3];
            lost = claim_arbiter::create(this->one.config, this->one.hooks());
            lost->start();
        }
        else if (seldom == 2) {
            this->one.log.set_faults(
                {.down = this->random() % 4 == 0,
                 .slow = std::chrono::milliseconds{this->random() % 200},
                 .lose_answer_every = static_cast<std::uint32_t>(this->random() % 4),
                 .lose_append_every = static_cast<std::uint32_t>(this->random() % 4)});
        }
        else if (seldom == 3) {
            this->agents.finish_all();
        }
    }
};

} // namespace

TEST_CASE("a keyed request runs at most once whatever fails together", "[claims]")
{
    // Copies of each request come to several entries at about the same time, entries die between
    // claim and dispatch, keepers are replaced, agents are replaced, and the log is slow, loses
    // appends and answers or is down. No request runs twice, and each copy gets one end.
    std::map<std::string, int> ends;
    for (unsigned seed = 1; seed <= 150; ++seed) {
        INFO("seed=" << seed);
        keyed_world world(seed);
        constexpr std::uint64_t copies = 40;
        for (std::uint64_t copy = 0; copy < copies; ++copy) {
            world.copy(world.random() % 6, world.random() % 4 == 0);
            world.something_fails();
            world.one.time.run_for(std::chrono::milliseconds{world.random() % 300});
        }
        world.one.time.run_for(10s);
        std::uint64_t ended = 0;
        for (const auto& [end, count] : world.ends) {
            ends[end] += count;
            ended += static_cast<std::uint64_t>(count);
        }
        CHECK(ended == copies);
        for (const auto& [key, count] : world.runs) {
            CHECK(count <= 1);
        }
    }
    // The schedules do reach each end.
    for (const auto* end :
         {"granted", "answered", "claims_unavailable not_run", "outcome_unknown unknown"}) {
        INFO(end);
        CHECK(ends[end] > 20);
    }
}

TEST_CASE("a claim whose keeper never answers ends at the deadline", "[claims]")
{
    partition_fixture one;
    claim_client_hooks hooks{
        one.time.clock(),
        one.time.timers(),
        [](auto, auto, auto) {},
        [](auto&, auto, auto) {
        }};
    std::string ended;
    claim_key({}, hooks, make_claim(1, 1), one.time.now() + 5s, [&](claim_result end) {
        ended += describe(std::get<claim_refused>(std::move(end)));
    });
    one.time.run_for(4s);
    CHECK(ended.empty());
    one.time.run_for(10s);
    CHECK(ended == "claims_unavailable not_run");
}

} // namespace reedramp::claims
