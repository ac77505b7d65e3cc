#include <catch2/catch.hpp>

#include "core_fixture.hpp"
#include "entry/admin_api.hpp"
#include "inventory/hash.hpp"

namespace reedramp::entry::test {

namespace {

/// Hooks that succeed, except that publishing the record "late" is a conflict.
auto make_hooks() -> admin_hooks
{
    admin_hooks hooks;
    hooks.publish = [](const std::string& record, const text_response_hook& done) {
        if (record == "late") {
            done(common::failure(common::result_code::conflict, "record r1 by ann came first"));
            return;
        }
        done(R"({"offset":7})");
    };
    hooks.withdraw = [](const common::version_id& version, const text_response_hook& done) {
        done("\"" + version.value() + "\"");
    };
    hooks.state = []() -> common::result<std::string> {
        return "{}";
    };
    return hooks;
}

} // namespace

TEST_CASE("operators' requests get the expected status and problem", "[admin]")
{
    struct row {
        std::string method;
        std::string path;
        std::string key;
        std::string body;
        std::uint16_t status;
        std::string problem;
    };

    const std::vector<row> rows{
        {"GET", "state", "op", "", 200, ""},
        {"GET", "state?x=1", "op", "", 200, ""},
        {"GET", "state", "key", "", 403, "operator_not_allowed"},
        {"GET", "state", "", "", 403, "operator_not_allowed"},
        {"GET", "nothing", "op", "", 404, "unknown_path"},
        {"GET", "history", "op", "", 404, "not_found"},
        {"PUT", "records", "op", "{}", 405, "method_not_allowed"},
        {"POST", "records", "op", "{}", 200, ""},
        {"POST", "records", "op", "late", 409, "conflict"},
        {"POST", "withdrawals", "op", R"({"version":"v"})", 200, ""},
        {"POST", "withdrawals", "op", R"({"version":7})", 400, "malformed_json"},
        {"POST", "withdrawals", "op", "\xff", 400, "malformed_json"},
        {"POST", "withdrawals", "key", R"({"version":"v"})", 403, "operator_not_allowed"},
        {"GET", "explain/zz", "op", "", 404, "not_found"},
    };
    const admin_api subject({inventory::sha256_hex("op")}, make_hooks());
    for (const auto& row : rows) {
        INFO(row.method << " " << row.path << " " << row.body);
        const auto caller = std::make_shared<fake_caller>();
        subject.handle(
            {row.method, "/admin/v1/" + row.path, {bearer(row.key)}, row.body, {}},
            {1, 2},
            {},
            caller);
        CHECK(caller->answers == 1);
        CHECK(caller->head.status == row.status);
        CHECK(caller->problem_name() == row.problem);
    }
}

TEST_CASE("an entry explains its decisions, and an operator's key can't run requests", "[admin]")
{
    core_fixture test;
    test.operators = {inventory::sha256_hex("op")};
    test.restart();
    const auto caller = test.chat();
    test.run(0).refuse(common::result_code::queue_full);
    test.run(1).finish();
    const auto id = caller->header("Reedramp-Request-Id");
    const auto explained = test.call({"GET", "/admin/v1/explain/" + id, {bearer("op")}, "", {}});
    CHECK(explained->head.status == 200);
    for (const auto* part : {"\"s2\"", "\"retry\"", "queue_full", "\"b\"", "\"ran\""}) {
        CHECK(explained->body.find(part) != std::string::npos);
    }
    const auto refused = test.call({"GET", "/v1/models", {bearer("op")}, "", {}});
    CHECK(refused->problem_name() == "unauthenticated");
}

} // namespace reedramp::entry::test
