#include "daemon/line_log.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace reedramp::daemon {

namespace {

/// Room for some hundred lines: what gathers between two flushes under load.
constexpr std::size_t buffer_bytes = 64UL * 1024UL;
/// Written at once when this much has gathered.
constexpr std::size_t write_at_bytes = 4UL * 1024UL;
/// Part of the buffer that is kept for warnings and errors.
constexpr std::size_t reserve_bytes = 16UL * 1024UL;

struct line_buffer {
    std::string waiting;
    std::uint64_t dropped = 0;
};

auto buffer() -> line_buffer&
{
    static line_buffer lines;
    return lines;
}

auto lines_clock() -> day_clock&
{
    static day_clock clock;
    return clock;
}

auto letter_of(common::log_level level) -> char
{
    constexpr std::string_view letters = "DIWE";
    return letters.at(static_cast<std::size_t>(level));
}

/// Time of day in seconds, to a millisecond: lines of several entries are put in order by it.
auto time_text() -> std::string
{
    const auto now = lines_clock()().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    constexpr std::int64_t ms_per_s = 1000;
    std::array<char, 32> text{};
    const auto size = std::snprintf(
        text.data(),
        text.size(),
        "%lld.%03lld",
        static_cast<long long>(ms / ms_per_s),
        static_cast<long long>(ms % ms_per_s));
    return {text.data(), static_cast<std::size_t>(size)};
}

auto add_line(common::log_level level, std::string_view line) -> void
{
    auto& lines = buffer();
    const bool is_important = level >= common::log_level::warning;
    const auto limit = is_important ? buffer_bytes : buffer_bytes - reserve_bytes;
    if (lines.waiting.size() + line.size() > limit) {
        lines.dropped += 1;
        return;
    }
    if (lines.dropped > 0) {
        lines.waiting += "W " + time_text() +
                         " log: lines dropped count=" + std::to_string(lines.dropped) + "\n";
        lines.dropped = 0;
    }
    lines.waiting += letter_of(level);
    lines.waiting += ' ';
    lines.waiting += time_text();
    lines.waiting += ' ';
    lines.waiting += line;
    lines.waiting += '\n';
    if (lines.waiting.size() >= write_at_bytes) {
        flush_line_log();
    }
}

} // namespace

auto start_line_log(common::log_level lowest, day_clock clock) -> void
{
    lines_clock() = std::move(clock);
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    common::set_log_sink([lowest](common::log_level level, std::string_view line) {
        if (level >= lowest) {
            add_line(level, line);
        }
    });
}

auto flush_line_log() -> void
{
    auto& waiting = buffer().waiting;
    if (waiting.empty()) {
        return;
    }
    const auto written = ::write(STDOUT_FILENO, waiting.data(), waiting.size());
    if (written > 0) {
        waiting.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace reedramp::daemon
