#include "operators/commands.hpp"

#include <algorithm>
#include <array>

namespace reedramp::operators {

using common::failure;
using common::result_code;

namespace {

using enum command_kind;

constexpr auto rows = std::to_array<command_row>({
    {check,
     "check",
     1,
     1,
     false,
     "base author",
     "check FILE [--base REV]",
     "Validates a record file, and shows what it would change if an entry is given."},
    {publish,
     "publish",
     1,
     1,
     true,
     "base author",
     "publish FILE [--base REV]",
     "Publishes a record file. Publishing the same file twice makes one change."},
    {show, "show", 0, 2, true, "", "show [KIND [ID]]", "Shows the configuration in force."},
    {diff,
     "diff",
     1,
     1,
     true,
     "base author",
     "diff FILE [--base REV]",
     "Shows what a record file would change."},
    {history,
     "history",
     0,
     0,
     true,
     "limit",
     "history [--limit N]",
     "Lists the newest records and their results."},
    {withdraw,
     "withdraw",
     1,
     1,
     true,
     "",
     "withdraw VERSION",
     "Withdraws a version immediately and permanently."},
    {rollout,
     "rollout",
     2,
     2,
     true,
     "model from to share base author",
     "rollout start ID --model M --from V --to V [--share PERMILLE] | pause ID | resume ID | abort "
     "ID",
     "Starts, pauses, resumes or aborts a roll-out."},
    {drain,
     "drain",
     1,
     1,
     true,
     "",
     "drain SERVER --hosts IP:PORT",
     "Drains a backend server: running requests finish, new ones are not accepted."},
    {watch,
     "watch",
     1,
     1,
     false,
     "timeout",
     "watch REV|latest --hosts IP:PORT [--timeout SECONDS]",
     "Waits until a configuration revision is in force in all processes."},
    {explain,
     "explain",
     1,
     1,
     false,
     "log",
     "explain REQUEST_ID [--log FILE]...",
     "Explains why a version and a server were chosen for a request, or from routers' logs, how "
     "and why the request ended."},
    {bills, "bills", 0, 0, true, "", "bills", "Shows billing totals by organisation and version."},
    {status,
     "status",
     0,
     0,
     true,
     "",
     "status [--hosts IP:PORT]",
     "Shows the status of the whole system."},
    {import_register,
     "import",
     1,
     1,
     true,
     "out publish column author",
     "import CSV [--out FILE | --publish] [--column NAME=HEADER]...",
     "Creates a record of backend servers from an asset register."},
    {result_codes,
     "result-codes",
     0,
     0,
     false,
     "",
     "result-codes",
     "Prints the table of result codes."},
});

auto contains_word(std::string_view list, std::string_view wanted) -> bool
{
    while (!list.empty()) {
        const auto word = list.substr(0, list.find(' '));
        if (word == wanted) {
            return true;
        }
        list.remove_prefix(std::min(word.size() + 1, list.size()));
    }
    return false;
}

} // namespace

auto command_table() -> std::span<const command_row>
{
    return rows;
}

auto find_command(const std::vector<std::string>& words, const std::vector<std::string>& options)
    -> common::result<command_row>
{
    if (words.empty()) {
        return failure(result_code::malformed_request, "a command is required");
    }
    const auto* const found = std::ranges::find(rows, words.front(), &command_row::name);
    if (found == rows.end()) {
        return failure(result_code::malformed_request, "unknown command " + words.front());
    }
    const auto count = words.size() - 1;
    if (count < found->min_arguments || count > found->max_arguments) {
        return failure(result_code::malformed_request, "usage: " + std::string(found->usage));
    }
    for (const auto& word : words) {
        if (word.starts_with("-") && word != "-") {
            return failure(result_code::malformed_request, "unknown option " + word);
        }
    }
    for (const auto& option : options) {
        if (!contains_word(common_options, option) && !contains_word(found->options, option)) {
            return failure(
                result_code::malformed_request, words.front() + " does not accept --" + option);
        }
    }
    return *found;
}

auto commands_text() -> std::string
{
    std::string result;
    for (const auto& row : rows) {
        result += "  " + std::string(row.usage) + "\n      " + std::string(row.explanation) + "\n";
    }
    return result;
}

} // namespace reedramp::operators
