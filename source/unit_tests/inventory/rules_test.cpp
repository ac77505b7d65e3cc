#include <catch2/catch.hpp>

#include "fixture.hpp"

using namespace reedramp::inventory;
using namespace reedramp::inventory::testing;
using reedramp::common::time_point;

namespace {

const std::string rollout_to_v2 = R"({"id":"r","model":"m","from":"v1","to":"v2","share":10,)";

/// State with `first_record()`, versions with their own stale rules, and a roll-out with this
/// status.
auto with_rollout(const std::string& status) -> state
{
    return folded(
        {first_record(),
         record_text(
             "a",
             1,
             R"({"put":"version","value":{"id":"v4","model":"m","when_stale":"refuse"}},)"
             R"({"put":"version","value":{"id":"v5","model":"m","sensitive":true,)"
             R"("when_stale":"serve"}})"),
         record_text(
             "b", 2, R"({"rollout":)" + rollout_to_v2 + R"("status":")" + status + R"("}})"),
         record_text("c", 0, R"({"withdraw":"v3"})")});
}

struct serving_row {
    const char* version;
    const char* rollout;
    rules::work_origin origin;
    result_code fresh;
    result_code stale;
};

constexpr auto new_work = rules::work_origin::new_work;
constexpr auto pinned = rules::work_origin::pinned_session;
constexpr auto ok = result_code::ok;
constexpr auto refused = result_code::stale_configuration;

const std::vector<serving_row> serving_rows = {
    {"v1", "running", new_work, ok, ok},
    {"v2", "running", new_work, ok, refused},
    {"v2", "paused", new_work, ok, refused},
    {"v2", "aborted", new_work, ok, refused},
    {"v2", "completed", new_work, ok, ok},
    {"v2", "running", pinned, ok, ok},
    {"v4", "running", new_work, ok, refused},
    {"v5", "running", new_work, ok, ok},
    {"v3", "running", new_work, result_code::version_withdrawn, result_code::version_withdrawn},
    {"v3", "running", pinned, result_code::version_withdrawn, result_code::version_withdrawn},
    {"v9", "running", pinned, result_code::unknown_model, result_code::unknown_model},
};

auto code_of(const state& current, const serving_row& row, time_point now) -> result_code
{
    const rules::freshness fresh{time_point{10s}, now};
    const auto answer = rules::serving(current, version_id{row.version}, fresh, row.origin);
    return answer ? ok : answer.error().code;
}

} // namespace

TEST_CASE("what may serve while the configuration is current and when it is stale", "[rules]")
{
    for (const auto& row : serving_rows) {
        INFO(row.version << " " << row.rollout);
        const auto current = with_rollout(row.rollout);
        CHECK(code_of(current, row, time_point{10s}) == row.fresh);
        CHECK(code_of(current, row, time_point{10s + 1ns}) == row.stale);
    }
}

TEST_CASE("an organisation that lists a version of a model may use only that one", "[rules]")
{
    const auto current = folded(
        {first_record(),
         record_text(
             "a",
             1,
             R"({"put":"model","value":{"id":"n"}},)"
             R"({"put":"version","value":{"id":"n1","model":"n"}},)"
             R"({"put":"organisation","value":{"id":"p","models":["m","n"],"versions":["v1"]}},)"
             R"({"put":"organisation","value":{"id":"q","versions":["v1"]}})")});
    const auto is_allowed = [&current](const std::string& owner, const std::string& id) {
        const auto* found =
            rules::find_organisation(current, reedramp::common::organisation_id{owner});
        REQUIRE(found != nullptr);
        return rules::allowed(current, *found, *rules::find_version(current, version_id{id}));
    };
    CHECK(is_allowed("o", "v2"));
    CHECK_FALSE(is_allowed("o", "n1"));
    CHECK(is_allowed("p", "v1"));
    CHECK_FALSE(is_allowed("p", "v2"));
    CHECK(is_allowed("p", "n1"));
    CHECK_FALSE(is_allowed("q", "v1"));
}

TEST_CASE("a withdrawal from a peer counts before it is in the log", "[rules]")
{
    auto current = with_rollout("running");
    const auto& models = rules::versions_of(current, reedramp::common::model_id{"m"});
    CHECK(models.size() == 4);
    CHECK(rules::open_rollout_of(current, reedramp::common::model_id{"m"}) != nullptr);
    current.withdrawn_early.insert(version_id{"v2"});
    CHECK(rules::stage_of(current, version_id{"v2"}) == version_stage::withdrawn);
    CHECK(rules::open_rollout_of(current, reedramp::common::model_id{"m"}) == nullptr);
    CHECK(rules::versions_of(current, reedramp::common::model_id{"m"}).size() == 3);
}

TEST_CASE("an unlisted method runs at most once", "[rules]")
{
    const service item{reedramp::common::service_name{"s"}, {"GET"}, {"POST"}, {}};
    using reedramp::messages::repeat_rule;
    CHECK(rules::repeat_rule_of(item, "GET") == repeat_rule::idempotent);
    CHECK(rules::repeat_rule_of(item, "POST") == repeat_rule::at_most_once);
    CHECK(rules::repeat_rule_of(item, "PATCH") == repeat_rule::at_most_once);
}
