#include <vector>

#include <catch2/catch.hpp>

#include "control/rollout.hpp"
#include "operators/difference.hpp"
#include "operators/drafts.hpp"

using namespace reedramp;
using namespace reedramp::operators;
using common::log_offset;
using common::result_code;

namespace {

const std::string put_model = R"("changes":[{"put":"model","value":{"id":"m"}}])";
const std::string put_other = R"("changes":[{"put":"model","value":{"id":"n"}}])";

auto finished(const std::string& text, draft_defaults defaults, std::uint64_t seen)
    -> inventory::record
{
    const auto read = read_draft(text, defaults);
    REQUIRE(read);
    return complete_draft(*read, log_offset{seen});
}

/// State with versions v1 and v2 of model m, and a running roll-out r from v1 to v2.
auto state_with_rollout() -> inventory::state
{
    const auto text = R"({"base":0,"changes":[{"put":"model","value":{"id":"m"}},
        {"put":"version","value":{"id":"v1","model":"m"}},
        {"put":"version","value":{"id":"v2","model":"m"}},
        {"rollout":{"id":"r","model":"m","from":"v1","to":"v2","share":200,"step":2}}]})";
    const auto made = inventory::check_record({}, finished(text, {}, 0));
    REQUIRE(made);
    return *made;
}

} // namespace

TEST_CASE("A record file without an id is one change even if it is published repeatedly")
{
    // An operator publishes a file again after the connection was lost, under another author name
    // and at a later time. Both copies must have the same id, so that the second is treated as a
    // duplicate. A different base or different changes give a different record.
    struct row {
        const char* name;
        std::string text;
        draft_defaults defaults;
        std::uint64_t seen;
        bool same;
    };

    const auto first = finished("{" + put_model + "}", {"ann", common::wall_time_ms{1}, {}}, 7);
    CHECK(first.base == log_offset{7});
    const std::vector<row> rows = {
        {"again", "{" + put_model + "}", {"ann", common::wall_time_ms{1}, {}}, 7, true},
        {"later, by another", "{" + put_model + "}", {"bob", common::wall_time_ms{9}, {}}, 7, true},
        {"base in the file", R"({"base":7,)" + put_model + "}", {}, 9, true},
        {"base on the command line", "{" + put_model + "}", {"a", {}, log_offset{7}}, 9, true},
        {"another base", "{" + put_model + "}", {}, 8, false},
        {"other changes", "{" + put_other + "}", {}, 7, false},
    };
    for (const auto& row : rows) {
        INFO(row.name);
        const auto again = finished(row.text, row.defaults, row.seen);
        CHECK((again.id == first.id) == row.same);
    }
}

TEST_CASE("Members of a record file are kept, except for a base given on the command line")
{
    const auto text = R"({"id":"mine","author":"ann","at":5,"base":3,)" + put_model + "}";
    const auto kept = finished(text, {"bob", common::wall_time_ms{9}, {}}, 8);
    CHECK(kept.id == common::record_id{"mine"});
    CHECK(kept.author == "ann");
    CHECK(kept.at == common::wall_time_ms{5});
    CHECK(kept.base == log_offset{3});
    CHECK(finished(text, {"bob", {}, log_offset{6}}, 8).base == log_offset{6});
}

TEST_CASE("The error of an invalid record file names the invalid member")
{
    struct row {
        const char* text;
        const char* part;
    };

    const std::vector<row> rows = {
        {"[]", "not a JSON object"},
        {"{", "not a JSON object"},
        {R"({"changes":[]})", "changes"},
        {R"({"changes":[{"put":"planet","value":{"id":"m"}}]})", "changes[0]"},
        {R"({"note":"x","changes":[{"withdraw":"v"}]})", "note"},
    };
    for (const auto& row : rows) {
        INFO(row.text);
        const auto read = read_draft(row.text, {});
        REQUIRE_FALSE(read);
        CHECK(read.error().code == result_code::invalid_record);
        CHECK_THAT(read.error().detail, Catch::Contains(row.part));
    }
}

TEST_CASE("A roll-out starts at the step that corresponds to its share")
{
    const std::vector<std::pair<std::uint32_t, std::uint32_t>> rows = {
        {0, 0}, {10, 0}, {49, 0}, {50, 1}, {500, 3}, {1000, 4}};
    for (const auto& [share, step] : rows) {
        INFO(share);
        const auto changes = make_rollout_changes(
            {"r",
             common::model_id{"m"},
             common::version_id{"v1"},
             common::version_id{"v2"},
             common::permille{share}});
        const auto& put = std::get<inventory::put_change>(changes.at(0));
        const auto& item = std::get<inventory::rollout>(put.value);
        CHECK(item.step == step);
        CHECK(item.share == common::permille{share});
        CHECK(item.status == inventory::rollout_status::running);
    }
    CHECK(default_first_share() == control::default_steps().front().share);
}

TEST_CASE("A roll-out is paused, resumed and aborted from its current status")
{
    using inventory::rollout_status;

    struct row {
        rollout_status from;
        rollout_action verb;
        std::size_t changes;
        rollout_status to;
    };

    const std::vector<row> rows = {
        {rollout_status::running, rollout_action::pause, 1, rollout_status::paused},
        {rollout_status::paused, rollout_action::pause, 0, rollout_status::paused},
        {rollout_status::paused, rollout_action::resume, 1, rollout_status::running},
        {rollout_status::running, rollout_action::abort, 1, rollout_status::aborted},
        {rollout_status::paused, rollout_action::abort, 1, rollout_status::aborted},
    };
    for (const auto& row : rows) {
        auto current = state_with_rollout();
        current.rollouts.at("r").status = row.from;
        const auto changes = change_rollout_status(current, "r", row.verb);
        REQUIRE(changes);
        REQUIRE(changes->size() == row.changes);
        if (changes->empty()) {
            continue;
        }
        const auto& put = std::get<inventory::put_change>(changes->front());
        const auto& item = std::get<inventory::rollout>(put.value);
        CHECK(item.status == row.to);
        CHECK(item.share == common::permille{200});
        CHECK(item.step == 2);
    }
    const auto unknown =
        change_rollout_status(state_with_rollout(), "other", rollout_action::pause);
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code == result_code::not_found);
}

TEST_CASE("A difference shows the members that change, and nothing for repeated values")
{
    const auto before = state_with_rollout();

    struct row {
        const char* changes;
        std::string text;
    };

    const std::vector<row> rows = {
        {R"({"put":"model","value":{"id":"m"}})", "no difference\n"},
        {R"({"put":"version","value":{"id":"v1","model":"m","sensitive":true}})",
         "changed version v1\n    sensitive: false -> true\n"},
        {R"({"put":"model","value":{"id":"n"}})", "added model n\n    id: \"n\"\n"},
        {R"({"remove":"rollout","id":"r"})", "removed rollout r\n"},
        {R"({"withdraw":"v1"})", "withdrawn version v1\n"},
    };
    for (const auto& row : rows) {
        INFO(row.changes);
        const auto text = std::string(R"({"changes":[)") + row.changes + "]}";
        const auto after =
            inventory::check_record(before, finished(text, {}, before.offset.value()));
        REQUIRE(after);
        CHECK(difference_text(differences(before, *after)) == row.text);
    }
}
