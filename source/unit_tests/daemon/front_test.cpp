#include <cstdio>
#include <fstream>
#include <sstream>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "daemon/front.hpp"

using namespace reedramp;
using namespace reedramp::daemon;

namespace {

/// A file that is gone with the object.
class temporary_file {
public:
    explicit temporary_file(const std::string& text)
    {
        const int handle = mkstemp(this->name.data());
        REQUIRE(handle >= 0);
        close(handle);
        std::ofstream{this->name} << text;
    }

    ~temporary_file() { std::remove(this->name.c_str()); }

    temporary_file(const temporary_file&) = delete;
    temporary_file(temporary_file&&) = delete;
    auto operator=(const temporary_file&) -> temporary_file& = delete;
    auto operator=(temporary_file&&) -> temporary_file& = delete;

    std::string name = "/tmp/settings-XXXXXX";
};

struct outcome {
    std::variant<settings::values, exit_code> end;
    std::string out;
    std::string errors;
};

auto run(std::vector<const char*> words) -> outcome
{
    words.insert(words.begin(), "tool");
    const program which{
        "tool",
        "Does things.",
        {{.path = "port", .type = settings::value_type::integer, .doc = "A port.", .lowest = 1}}};
    std::ostringstream out;
    std::ostringstream errors;
    auto end = read_command_line(which, static_cast<int>(words.size()), words.data(), out, errors);
    return {std::move(end), out.str(), errors.str()};
}

auto code_of(const outcome& what) -> exit_code
{
    return std::get<exit_code>(what.end);
}

} // namespace

TEST_CASE("good settings let the program go on, or end a check with success")
{
    const temporary_file file{R"({"port": 7})"};
    const auto goes_on = run({"--settings", file.name.c_str()});
    CHECK(std::get<settings::values>(goes_on.end).integer("port") == 7);
    const auto checked = run({"--check-settings", "--settings", file.name.c_str()});
    CHECK(code_of(checked) == exit_code::success);
    CHECK(checked.out == "settings: no problems\n");
}

TEST_CASE("bad settings end with code 2 and all problems, also in a check")
{
    const temporary_file file{R"({"port": 0, "prot": 7})"};
    for (const auto& words : std::vector<std::vector<const char*>>{
             {"--settings", file.name.c_str()},
             {"--check-settings", "--settings", file.name.c_str()}}) {
        const auto ended = run(words);
        CHECK(code_of(ended) == exit_code::bad_settings);
        CHECK(
            ended.errors == "settings: $.port: is 0, it has to be at least 1\n"
                            "settings: $.prot: is not a known key\n");
    }
}

TEST_CASE("the command line's own mistakes end with code 2, its pages with success")
{
    CHECK(code_of(run({"--settings", "/nowhere/at/all"})) == exit_code::bad_settings);
    CHECK(code_of(run({})) == exit_code::bad_settings);
    CHECK(code_of(run({"--unknown"})) == exit_code::bad_settings);
    CHECK(code_of(run({"stray"})) == exit_code::bad_settings);
    CHECK(code_of(run({"--version"})) == exit_code::success);
    const auto help = run({"--help"});
    CHECK(code_of(help) == exit_code::success);
    CHECK(help.out.find("--check-settings") != std::string::npos);
    CHECK(run({"--print-settings-table"}).out.find("| `port` | integer |") != std::string::npos);
}
