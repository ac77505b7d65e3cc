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
     "Checks a record file: its form, and with an entry, what it would change."},
    {publish,
     "publish",
     1,
     1,
     true,
     "base author",
     "publish FILE [--base REV]",
     "Publishes a record file. Doing so twice is one change."},
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
     "Lists the last records and what became of them."},
    {withdraw,
     "withdraw",
     1,
     1,
     true,
     "",
     "withdraw VERSION",
     "Withdraws a version at once and for ever."},
    {rollout,
     "rollout",
     2,
     2,
     true,
     "model from to share base author",
     "rollout start ID --model M --from V --to V [--share PERMILLE] | pause ID | resume ID | abort "
     "ID",
     "Starts and steers a roll-out."},
    {drain,
     "drain",
     1,
     1,
     true,
     "",
     "drain SERVER --hosts IP:PORT",
     "Lets a backend server finish what runs and take nothing new."},
    {watch,
     "watch",
     1,
     1,
     false,
     "timeout",
     "watch REV|latest --hosts IP:PORT [--timeout SECONDS]",
     "Waits until a revision is in force in all processes."},
    {explain,
     "explain",
     1,
     1,
     false,
     "log",
     "explain REQUEST_ID [--log FILE]...",
     "Tells why a request ran on its version and server, or from routers' logs how it ended and "
     "why."},
    {bills, "bills", 0, 0, true, "", "bills", "Sums the bills."},
    {status, "status", 0, 0, true, "", "status [--hosts IP:PORT]", "Shows the whole system."},
    {import_register,
     "import",
     1,
     1,
     true,
     "out publish column author",
     "import CSV [--out FILE | --publish] [--column NAME=HEADER]...",
     "Makes a record of backend servers from an asset register."},
    {result_codes,
     "result-codes",
     0,
     0,
     false,
     "",
     "result-codes",
     "Prints the table of result codes."},
});

auto has_word(std::string_view list, std::string_view wanted) -> bool
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
        return failure(result_code::malformed_request, "a command is needed");
    }
    const auto* const found = std::ranges::find(rows, words.front(), &command_row::name);
    if (found == rows.end()) {
        return failure(result_code::malformed_request, "there is no command " + words.front());
    }
    const auto count = words.size() - 1;
    if (count < found->least_words || count > found->most_words) {
        return failure(result_code::malformed_request, "usage: " + std::string(found->usage));
    }
    for (const auto& word : words) {
        if (word.starts_with("-") && word != "-") {
            return failure(result_code::malformed_request, "there is no option " + word);
        }
    }
    for (const auto& option : options) {
        if (!has_word(common_options, option) && !has_word(found->options, option)) {
            return failure(result_code::malformed_request, words.front() + " takes no --" + option);
        }
    }
    return *found;
}

auto commands_text() -> std::string
{
    std::string made;
    for (const auto& row : rows) {
        made += "  " + std::string(row.usage) + "\n      " + std::string(row.explanation) + "\n";
    }
    return made;
}

} // namespace reedramp::operators
