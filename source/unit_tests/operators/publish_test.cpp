#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "operators/publish.hpp"

using namespace reedramp;
using common::execution;
using common::result_code;

namespace {

/// Fault of an entry that receives a publication.
enum class entry_fault {
    none,
    /// Connections are refused.
    unreachable,
    /// Appends the record to the log, and the connection is lost before the answer.
    lost_answer,
    /// The connection is lost before the record reaches the log. The operator cannot distinguish
    /// this from `lost_answer`.
    lost_request,
    log_unreachable,
    refuses,
};

/// Entries with a common log, which receives one record only.
struct fake_entries {
    std::vector<entry_fault> faults;
    std::size_t copies = 0;
    std::size_t pauses = 0;

    auto answer(std::size_t entry, const http::request& request) -> common::result<std::string>
    {
        const auto fault = this->faults.at(entry);
        if (fault == entry_fault::unreachable) {
            return fail(result_code::peer_unavailable, execution::not_run);
        }
        return request.method == "GET" ? this->history(fault) : this->publish(fault);
    }

    [[nodiscard]] auto history(entry_fault fault) const -> common::result<std::string>
    {
        if (fault == entry_fault::lost_answer || fault == entry_fault::lost_request) {
            return fail(result_code::peer_unavailable, execution::unknown);
        }
        const auto* rows = this->copies == 0 ? "" : R"({"id":"mine","offset":8,"result":"ok"})";
        return std::string(R"({"records":[)") + rows + "]}";
    }

    auto publish(entry_fault fault) -> common::result<std::string>
    {
        switch (fault) {
        case entry_fault::lost_request:
            return fail(result_code::peer_unavailable, execution::unknown);
        case entry_fault::log_unreachable:
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

TEST_CASE("A publication is one change whichever entries fail")
{
    // Each row publishes record "mine" through entries with the given faults. The result must be
    // that the record is accepted, refused or not published, and `append_unknown` only if a copy
    // may be in the log and no entry can tell. A second copy would have no effect because it has
    // the same id, but is sent only if the history does not list the first.
    struct row {
        const char* name;
        std::vector<entry_fault> faults;
        result_code code;
        std::size_t copies;
        std::size_t pauses;
    };
    using enum entry_fault;
    const std::vector<row> rows = {
        {"no faults", {none, none}, result_code::ok, 1, 0},
        {"first unreachable", {unreachable, none}, result_code::ok, 1, 0},
        {"answer lost, the next one has it in its history",
         {lost_answer, none},
         result_code::ok,
         1,
         0},
        {"request lost, the next one sends it", {lost_request, none}, result_code::ok, 1, 0},
        {"answer lost, the next one unreachable",
         {lost_answer, unreachable, none},
         result_code::ok,
         1,
         0},
        {"answer lost, log then down", {lost_answer, log_unreachable}, result_code::ok, 1, 0},
        {"first cannot reach the log", {log_unreachable, none}, result_code::ok, 1, 0},
        {"log down for all",
         {log_unreachable, log_unreachable},
         result_code::log_unavailable,
         0,
         2},
        {"all unreachable", {unreachable, unreachable}, result_code::peer_unavailable, 0, 2},
        {"only entry loses answers", {lost_answer}, result_code::append_unknown, 3, 2},
        {"request lost, then all unreachable",
         {lost_request, unreachable},
         result_code::append_unknown,
         0,
         2},
        {"refused", {refuses, none}, result_code::conflict, 0, 0},
        {"first unreachable, then refused", {unreachable, refuses}, result_code::conflict, 0, 0},
        {"no entry", {}, result_code::peer_unavailable, 0, 0},
    };
    inventory::record item;
    item.id = common::record_id{"mine"};
    for (const auto& row : rows) {
        INFO(row.name);
        fake_entries entries{row.faults};
        const operators::publish_transport by{
            row.faults.size(),
            [&](std::size_t entry, const http::request& request) {
                return entries.answer(entry, request);
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
