#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "operators/publishing.hpp"

using namespace reedramp;
using common::execution;
using common::result_code;

namespace {

/// What an entry does with a publication.
enum class entry_fault {
    none,
    /// Nobody listens.
    gone,
    /// Takes the record into the log, and is gone before it answers.
    lost_answer,
    /// Is gone before the record reaches the log, which the operator cannot tell from the above.
    lost_request,
    log_down,
    refuses,
};

/// Entries over one log that holds at most one record of each id.
struct fake_entries {
    std::vector<entry_fault> faults;
    std::size_t copies = 0;
    std::size_t pauses = 0;

    auto ask(std::size_t entry, const http::request& asked) -> common::result<std::string>
    {
        const auto fault = this->faults.at(entry);
        if (fault == entry_fault::gone) {
            return fail(result_code::peer_unavailable, execution::not_run);
        }
        return asked.method == "GET" ? this->history(fault) : this->take(fault);
    }

    [[nodiscard]] auto history(entry_fault fault) const -> common::result<std::string>
    {
        if (fault == entry_fault::lost_answer || fault == entry_fault::lost_request) {
            return fail(result_code::peer_unavailable, execution::unknown);
        }
        const auto* rows = this->copies == 0 ? "" : R"({"id":"mine","offset":8,"result":"ok"})";
        return std::string(R"({"records":[)") + rows + "]}";
    }

    auto take(entry_fault fault) -> common::result<std::string>
    {
        switch (fault) {
        case entry_fault::lost_request:
            return fail(result_code::peer_unavailable, execution::unknown);
        case entry_fault::log_down:
            return fail(result_code::log_unavailable, execution::not_run);
        case entry_fault::refuses:
            return fail(result_code::conflict, execution::not_run);
        case entry_fault::lost_answer:
            ++this->copies;
            return fail(result_code::peer_unavailable, execution::unknown);
        default:
            ++this->copies;
            return std::string(R"({"accepted":true,"offset":8})");
        }
    }

    static auto fail(result_code code, execution run) -> common::result<std::string>
    {
        return tl::unexpected(common::error{code, run, "why", std::nullopt});
    }
};

} // namespace

TEST_CASE("A publication is one change whichever entries fail on the way")
{
    // Each row: the operator publishes record "mine"; the entries do what the row says. The
    // operator sees the record accepted, refused, or not published; "unknown" only where a copy may
    // be in the log and nobody can tell. A second copy in the log would be harmless by its id, but
    // is only sent where the history does not show the first.
    struct row {
        const char* name;
        std::vector<entry_fault> faults;
        result_code code;
        std::size_t copies;
        std::size_t pauses;
    };
    using enum entry_fault;
    const std::vector<row> rows = {
        {"all well", {none, none}, result_code::ok, 1, 0},
        {"first gone", {gone, none}, result_code::ok, 1, 0},
        {"answer lost, the next one knows", {lost_answer, none}, result_code::ok, 1, 0},
        {"request lost, the next one sends it", {lost_request, none}, result_code::ok, 1, 0},
        {"answer lost, the next one gone", {lost_answer, gone, none}, result_code::ok, 1, 0},
        {"answer lost, log then down", {lost_answer, log_down}, result_code::ok, 1, 0},
        {"first cannot reach the log", {log_down, none}, result_code::ok, 1, 0},
        {"log down for all", {log_down, log_down}, result_code::log_unavailable, 0, 2},
        {"all gone", {gone, gone}, result_code::peer_unavailable, 0, 2},
        {"only entry loses answers", {lost_answer}, result_code::append_unknown, 3, 2},
        {"request lost, then all gone", {lost_request, gone}, result_code::append_unknown, 0, 2},
        {"refused", {refuses, none}, result_code::conflict, 0, 0},
        {"first gone, then refused", {gone, refuses}, result_code::conflict, 0, 0},
        {"no entry", {}, result_code::peer_unavailable, 0, 0},
    };
    inventory::record item;
    item.id = common::record_id{"mine"};
    for (const auto& row : rows) {
        INFO(row.name);
        fake_entries entries{row.faults};
        const operators::publishing by{
            row.faults.size(),
            [&](std::size_t entry, const http::request& asked) {
                return entries.ask(entry, asked);
            },
            [&] {
                ++entries.pauses;
            }};
        const auto decided = operators::publish(by, item);
        CHECK((decided ? result_code::ok : decided.error().code) == row.code);
        CHECK(entries.copies == row.copies);
        CHECK(entries.pauses == row.pauses);
        if (decided) {
            CHECK(decided->value() == 8);
        }
    }
}
