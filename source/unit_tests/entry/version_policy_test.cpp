#include <catch2/catch.hpp>

#include <map>

#include "entry/version_policy.hpp"

namespace reedramp::entry::test {

namespace {

auto add_version(inventory::state& state, const std::string& id, std::int64_t price) -> void
{
    inventory::version version;
    version.id = common::version_id(id);
    version.model = common::model_id("m");
    version.prompt_price = common::micro_money(price);
    version.completion_price = common::micro_money(price);
    version.prior = {common::permille(900), 50};
    state.versions[version.id] = version;
}

/// Model "m" with versions "old" and "dear" (expensive); "new" is being rolled out to replace
/// "old".
auto make_state() -> inventory::state
{
    inventory::state state;
    state.offset = common::log_offset(1);
    add_version(state, "old", 1'000'000);
    add_version(state, "new", 900'000);
    add_version(state, "dear", 9'000'000);
    inventory::rollout rollout;
    rollout.id = "r";
    rollout.model = common::model_id("m");
    rollout.from = common::version_id("old");
    rollout.to = common::version_id("new");
    rollout.share = common::permille(200);
    state.rollouts["r"] = rollout;
    inventory::organisation owner;
    owner.id = common::organisation_id("o");
    owner.models = {common::model_id("m")};
    owner.tasks = {{common::task_name(), common::permille(500), common::micro_money(5'000'000)}};
    state.organisations[owner.id] = owner;
    return state;
}

auto make_query(const std::string& model, std::uint64_t number) -> version_query
{
    version_query query;
    query.request = {number, number * 0x9e3779b97f4a7c15ULL};
    query.organisation = common::organisation_id("o");
    query.model = model;
    query.prompt_tokens = common::token_count(100);
    query.max_tokens = common::token_count(100);
    query.current_until = common::never;
    return query;
}

using shares = std::map<std::string, int>;

auto choose_many(version_policy& subject, const inventory::state& state) -> shares
{
    constexpr int questions = 1000;
    shares found;
    for (int number = 0; number < questions; ++number) {
        const auto decision =
            subject.choose(state, make_query("m", static_cast<std::uint64_t>(number)), 1.0);
        REQUIRE(decision.has_value());
        ++found[decision->version.value()];
    }
    return found;
}

} // namespace

TEST_CASE(
    "a roll-out gets its share of the replaced version's requests, by status", "[version_policy]")
{
    struct row {
        std::string name;
        std::function<auto(inventory::state& state)->void> edit;
        int least_new;
        int most_new;
    };

    const auto set_status = [](inventory::rollout_status status) {
        return [status](inventory::state& state) {
            state.rollouts["r"].status = status;
        };
    };
    const std::vector<row> rows{
        {"running", [](auto&) {}, 150, 250},
        {"paused", set_status(inventory::rollout_status::paused), 0, 0},
        {"aborted", set_status(inventory::rollout_status::aborted), 0, 0},
        {"completed", set_status(inventory::rollout_status::completed), 1000, 1000},
        {"withdrawn",
         [](auto& state) { state.withdrawn_early.insert(common::version_id("new")); },
         0,
         0},
        {"old version withdrawn",
         [](auto& state) { state.withdrawn_early.insert(common::version_id("old")); },
         1000,
         1000},
    };
    for (const auto& row : rows) {
        INFO(row.name);
        version_policy subject({});
        auto state = make_state();
        row.edit(state);
        auto found = choose_many(subject, state);
        CHECK(found["new"] >= row.least_new);
        CHECK(found["new"] <= row.most_new);
        CHECK(found["dear"] == 0);
    }
}

TEST_CASE("a request is always on the same side of a roll-out share", "[version_policy]")
{
    version_policy subject({});
    const auto state = make_state();
    for (std::uint64_t number = 0; number < 50; ++number) {
        const auto first = subject.choose(state, make_query("m", number), 1.0);
        const auto second = subject.choose(state, make_query("m", number), 1.0);
        CHECK(first->version == second->version);
    }
}

TEST_CASE(
    "named versions, price ceilings and refused versions restrict the choice", "[version_policy]")
{
    version_policy subject({});
    const auto state = make_state();
    CHECK(subject.choose(state, make_query("new", 1), 1.0)->version.value() == "new");
    const auto expensive = subject.choose(state, make_query("dear", 1), 1.0);
    REQUIRE_FALSE(expensive.has_value());
    CHECK(expensive.error().code == common::result_code::organisation_not_allowed);
    auto query = make_query("old", 1);
    query.refused = {common::version_id("old")};
    const auto refused = subject.choose(state, query, 1.0);
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().code == common::result_code::version_withdrawn);
}

// The new version of a roll-out gets low ratings, the old one high ones. Based on its own evidence,
// the entry stops sending requests to the new version before the log has any record of it, and
// proposes the withdrawal.
TEST_CASE("low ratings stop a roll-out", "[version_policy]")
{
    version_policy subject({});
    const auto state = make_state();
    std::vector<control::rollout_action> actions;
    auto now = common::time_point(std::chrono::hours(1));
    for (std::uint64_t number = 0; number < 400 && actions.empty(); ++number) {
        const common::request_id request{1, number};
        const auto is_new = number % 2 == 0;
        const common::version_id version(is_new ? "new" : "old");
        subject.on_submitted(request, {version, common::organisation_id("o"), {}});
        subject.on_ratings(state, {{request, is_new ? 0.1 : 0.9}});
        messages::gossip gossip;
        gossip.from = common::host_id("self");
        gossip.sequence = number + 1;
        gossip.evidence = subject.evidence();
        subject.apply_evidence(gossip);
        now += std::chrono::seconds(1);
        actions = subject.tick(state, 0, now);
    }
    REQUIRE(actions.size() == 1);
    CHECK(std::get<control::propose_stop>(actions[0]).version.value() == "new");
    auto found = choose_many(subject, state);
    CHECK(found["new"] == 0);
}

} // namespace reedramp::entry::test
