#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "operators/commands.hpp"

using namespace reedramp;
using namespace reedramp::operators;

namespace {

using words = std::vector<std::string>;

auto completion_file() -> std::string
{
    std::ifstream file(REEDRAMP_COMPLETIONS "/reedramp-ctl.bash");
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace

TEST_CASE("A command line is accepted, or rejected with the reason")
{
    struct row {
        words given;
        words options;
        /// Empty if the command line is valid.
        std::string problem;
    };

    const std::vector<row> rows = {
        {{"publish", "file"}, {"entry", "json", "base"}, ""},
        {{"rollout", "start", "r"}, {"model", "from", "to", "share"}, ""},
        {{"show"}, {}, ""},
        {{"show", "version", "v"}, {}, ""},
        {{"show", "version", "v", "w"}, {}, "usage: show"},
        {{}, {}, "a command is required"},
        {{"publsh", "file"}, {}, "unknown command publsh"},
        {{"publish"}, {}, "usage: publish"},
        {{"publish", "--baes"}, {}, "unknown option --baes"},
        {{"withdraw", "v"}, {"base"}, "withdraw does not accept --base"},
        {{"bills"}, {"out"}, "bills does not accept --out"},
    };
    for (const auto& row : rows) {
        const auto found = find_command(row.given, row.options);
        INFO(row.problem);
        CHECK(found.has_value() == row.problem.empty());
        if (!found) {
            CHECK_THAT(found.error().detail, Catch::StartsWith(row.problem));
        }
    }
}

TEST_CASE("The completion file lists each command and option")
{
    const auto text = completion_file();
    REQUIRE_FALSE(text.empty());
    for (const auto& command : command_table()) {
        CHECK_THAT(text, Catch::Contains(" " + std::string(command.name)));
        auto options = std::string(common_options) + " " + std::string(command.options);
        for (std::size_t begin = 0; begin < options.size();) {
            const auto end = std::min(options.find(' ', begin), options.size());
            if (end > begin) {
                CHECK_THAT(text, Catch::Contains("--" + options.substr(begin, end - begin)));
            }
            begin = end + 1;
        }
    }
}
