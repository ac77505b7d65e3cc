#include "router/response_judgement.hpp"

#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace reedramp::router {

namespace {

struct row {
    std::uint16_t status;
    std::optional<std::string> echo;
    bool is_signed;
    bool claims_no_execution;
    verdict expected;
    std::string distrust;
};

auto head_of(const row& of, const header_names& names) -> http::response
{
    http::response head{of.status, {}, ""};
    if (of.echo) {
        head.headers.push_back({names.attempt, *of.echo});
    }
    if (of.is_signed) {
        head.headers.push_back({names.signature, "of a"});
    }
    if (of.claims_no_execution) {
        head.headers.push_back({names.not_executed, "1"});
    }
    return head;
}

} // namespace

// Guards against a second run of a request because of a response that proves nothing about it.
TEST_CASE("a response speaks only for its own attempt, and without contradiction", "[run_once]")
{
    const std::optional<std::string> own = "a1";
    const std::optional<std::string> other = "a10";
    const std::optional<std::string> none;
    const header_names names;
    for (const auto& one : std::vector<row>{
             {200, own, true, false, verdict::success, ""},
             {500, own, true, false, verdict::server_failure, ""},
             {504, own, true, false, verdict::server_failure, ""},
             {503, own, true, false, verdict::server_failure, ""},
             {503, own, true, true, verdict::not_executed, ""},
             {503, own, false, true, verdict::not_executed, ""},
             {429, own, false, true, verdict::not_executed, ""},
             {400, own, false, true, verdict::not_executed, ""},
             {421, own, false, false, verdict::not_executed, ""},
             {503, none, true, true, verdict::untrusted, "no_attempt"},
             {400, none, true, true, verdict::untrusted, "no_attempt"},
             {421, none, true, false, verdict::untrusted, "no_attempt"},
             {500, none, true, false, verdict::untrusted, "no_attempt"},
             {200, none, true, false, verdict::untrusted, "no_attempt"},
             {503, other, true, true, verdict::untrusted, "other_attempt"},
             {421, other, true, true, verdict::untrusted, "other_attempt"},
             {200, other, true, false, verdict::untrusted, "other_attempt"},
             {200, own, true, true, verdict::untrusted, "contradictory"},
             {302, own, true, true, verdict::untrusted, "contradictory"},
             {500, own, true, true, verdict::untrusted, "contradictory"},
             {504, own, true, true, verdict::untrusted, "contradictory"},
             {200, own, false, false, verdict::untrusted, "unsigned"},
             {500, own, false, false, verdict::untrusted, "unsigned"}}) {
        INFO(one.status << " " << one.echo.value_or("no id") << " " << one.distrust);
        const auto judged = judge_head(head_of(one, names), names, *own);
        CHECK(judged.what == one.expected);
        CHECK(judged.distrust == one.distrust);
    }
}

TEST_CASE("an encoded response is not the server's", "[run_once]")
{
    const header_names names;
    auto head = head_of({200, "a1", true, false, verdict::success, ""}, names);
    head.headers.push_back({"Content-Encoding", "gzip"});
    CHECK(judge_head(head, names, "a1").distrust == "encoded");
}

} // namespace reedramp::router
