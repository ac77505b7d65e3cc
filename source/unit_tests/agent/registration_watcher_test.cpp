#include "agent/registration_watcher.hpp"

#include <vector>

#include <catch2/catch.hpp>

namespace reedramp::agent {

namespace {

using common::log_offset;

const std::string own = R"({"server":"s","host":"h","at":1})";
const std::string replaced_by = R"({"server":"s","host":"h2","at":2})";
const std::string of_another = R"({"server":"t","host":"h3","at":2})";

struct watcher_row {
    const char* what;
    platform::read_answer answer;
    /// 0 means that there is more to read.
    std::uint64_t newest;
    bool is_error;
    std::uint64_t next_read;
};

auto rows() -> std::vector<watcher_row>
{
    return {
        {"nothing newer", {{}, log_offset{7}, log_offset{1}}, 7, false, 7},
        {"another server's agent", {{{log_offset{8}, of_another}}, log_offset{8}, {}}, 7, false, 8},
        {"a newer agent", {{{log_offset{8}, replaced_by}}, log_offset{8}, {}}, 8, false, 8},
        {"a copy of the agent's own record",
         {{{log_offset{8}, own}}, log_offset{8}, {}},
         7,
         false,
         8},
        {"malformed record", {{{log_offset{8}, "["}}, log_offset{8}, {}}, 7, false, 8},
        {"more to read", {{{log_offset{8}, of_another}}, log_offset{12}, {}}, 0, false, 8},
        {"a replica that lags behind", {{}, log_offset{6}, log_offset{1}}, 0, true, 7},
    };
}

} // namespace

TEST_CASE("An agent detects from the log that it was replaced")
{
    // If a replaced agent took an answer that ends before the newer record as proof that there is
    // none, the engine would get orders from two agents.
    for (const auto& row : rows()) {
        INFO(row.what);
        registration_watcher subject(common::server_id{"s"}, own, log_offset{7});
        const auto newest = subject.apply(row.answer);
        CHECK(newest.has_value() != row.is_error);
        CHECK(newest.value_or(log_offset{}).value() == row.newest);
        CHECK(subject.read_after().value() == row.next_read);
    }
}

} // namespace reedramp::agent
