#include "daemon/line_log.hpp"

#include <array>
#include <string>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

#include "daemon/logging.hpp"

namespace reedramp::daemon {

namespace {

/// Standard output as a pipe whose reader the test is; put back at the end.
class piped_output {
public:
    piped_output() : kept(::dup(STDOUT_FILENO))
    {
        REQUIRE(::pipe(this->ends.data()) == 0);
        ::dup2(this->ends[1], STDOUT_FILENO);
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    }

    ~piped_output()
    {
        ::dup2(this->kept, STDOUT_FILENO);
        for (const int one : {this->kept, this->ends[0], this->ends[1]}) {
            ::close(one);
        }
        common::set_log_sink({});
    }

    piped_output(const piped_output&) = delete;
    piped_output(piped_output&&) = delete;
    auto operator=(const piped_output&) -> piped_output& = delete;
    auto operator=(piped_output&&) -> piped_output& = delete;

    /// All that is in the pipe.
    auto read_all() -> std::string
    {
        std::string text;
        std::array<char, 4096> piece{};
        for (auto size = ::read(this->ends[0], piece.data(), piece.size()); size > 0;
             size = ::read(this->ends[0], piece.data(), piece.size())) {
            text.append(piece.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

private:
    int kept;
    std::array<int, 2> ends{};
};

auto fixed_clock() -> std::chrono::system_clock::time_point
{
    return std::chrono::system_clock::time_point{std::chrono::milliseconds{1700000000250}};
}

auto say(common::log_level level, const std::string& sentence) -> void
{
    common::log(common::log_part::entry, level, sentence);
}

} // namespace

TEST_CASE("lines have a level and a part, and low ones are dropped", "[line_log]")
{
    piped_output output;
    start_line_log(common::log_level::info, fixed_clock);
    say(common::log_level::debug, "not wanted");
    say(common::log_level::info, "started host=a");
    say(common::log_level::warning, "store lost");
    flush_line_log();
    CHECK(
        output.read_all() ==
        "I 1700000000.250 entry: started host=a\nW 1700000000.250 entry: store lost\n");
}

TEST_CASE("a reader that stops does not stop the process", "[line_log]")
{
    // Whoever reads standard output hangs. The pipe fills, and a log that waited for it would stop
    // every request with it. Lines are dropped instead, warnings last, and the loss is said.
    piped_output output;
    start_line_log(common::log_level::info, fixed_clock);
    for (int i = 0; i < 5000; ++i) {
        say(common::log_level::info, "request=" + std::to_string(i) + std::string(50, '.'));
    }
    say(common::log_level::warning, "important");
    auto text = output.read_all();
    flush_line_log();
    text += output.read_all();
    CHECK(text.find("W 1700000000.250 entry: important") != std::string::npos);
    CHECK(text.find("W 1700000000.250 log: lines dropped count=") != std::string::npos);
    // What did come is whole, in order, and from the beginning.
    CHECK(text.starts_with("I 1700000000.250 entry: request=0."));
    CHECK(text.ends_with("\n"));
}

} // namespace reedramp::daemon
