#include "daemon/front.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <iterator>
#include <ostream>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include <tclap/CmdLine.h>

namespace reedramp::daemon {

namespace {

constexpr auto program_version = "0.1.0";

struct options {
    std::string settings_file;
    bool check_only = false;
    bool print_table = false;
};

/// Sends TCLAP's pages to the given streams; by itself it writes to the process's own.
class stream_output final : public TCLAP::StdOutput {
public:
    stream_output(std::ostream& out_to_use, std::ostream& errors_to_use)
        : out(out_to_use), errors(errors_to_use)
    {
    }

    auto version(TCLAP::CmdLineInterface& line) -> void override
    {
        this->out << line.getProgramName() << " " << line.getVersion() << "\n";
    }

    auto usage(TCLAP::CmdLineInterface& line) -> void override
    {
        this->out << line.getMessage() << "\n\nOptions:\n";
        for (const auto* argument : line.getArgList()) {
            this->out << "  " << argument->longID() << "\n      " << argument->getDescription()
                      << "\n";
        }
    }

    auto failure(TCLAP::CmdLineInterface& /*line*/, TCLAP::ArgException& problem) -> void override
    {
        this->errors << "command line: " << problem.argId() << " " << problem.error() << "\n";
        throw TCLAP::ExitException(static_cast<int>(exit_code::bad_settings));
    }

private:
    std::ostream& out;
    std::ostream& errors;
};

auto parse_options(
    const program& which,
    int argument_count,
    const char* const* arguments,
    std::ostream& out,
    std::ostream& errors) -> std::variant<options, exit_code>
{
    TCLAP::CmdLine line{which.summary, ' ', program_version};
    stream_output pages{out, errors};
    line.setOutput(&pages);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> file{"s", "settings", "The settings file.", false, "", "FILE"};
    TCLAP::SwitchArg check{"c", "check-settings", "Check the settings and exit."};
    TCLAP::SwitchArg table{"t", "print-settings-table", "Print all settings as Markdown and exit."};
    line.add(file);
    line.add(check);
    line.add(table);
    std::vector<std::string> words{arguments, arguments + argument_count};
    try {
        line.parse(words);
    }
    catch (TCLAP::ArgException& problem) {
        errors << "command line: " << problem.argId() << " " << problem.error() << "\n";
        return exit_code::bad_settings;
    }
    catch (TCLAP::ExitException& end) {
        return static_cast<exit_code>(end.getExitStatus());
    }
    return options{file.getValue(), check.getValue(), table.getValue()};
}

auto read_file(const std::string& path) -> std::optional<std::string>
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return std::nullopt;
    }
    std::string text{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
    if (file.bad()) {
        return std::nullopt;
    }
    return text;
}

/// Whether to wait for a settings file that is still being written.
enum class file_wait : std::uint8_t { none, until_finished };

/// Waits for a file that is being written: one that is missing for a moment, or ends inside its
/// JSON. Its writer may stand still on a busy disk.
auto read_finished_file(const std::string& path, std::ostream& errors) -> std::optional<std::string>
{
    constexpr std::chrono::seconds missing_time{1};
    constexpr std::chrono::seconds incomplete_time{30};
    constexpr std::chrono::milliseconds pause{20};
    const auto started = std::chrono::steady_clock::now();
    bool is_told = false;
    auto text = read_file(path);
    while (!text || settings::is_incomplete(*text)) {
        const auto waited = std::chrono::steady_clock::now() - started;
        if (waited >= (text ? incomplete_time : missing_time)) {
            break;
        }
        if (text && !std::exchange(is_told, true)) {
            errors << "settings: \"" << path << "\" is incomplete, waiting for the rest\n"
                   << std::flush;
        }
        std::this_thread::sleep_for(pause);
        text = read_file(path);
    }
    return text;
}

auto read_given(
    const program& which,
    int argument_count,
    const char* const* arguments,
    std::ostream& out,
    std::ostream& errors,
    file_wait wait) -> std::variant<settings::values, exit_code>
{
    const auto parsed = parse_options(which, argument_count, arguments, out, errors);
    if (const auto* end = std::get_if<exit_code>(&parsed)) {
        return *end;
    }
    const auto& wanted = std::get<options>(parsed);
    if (wanted.print_table) {
        out << settings::markdown_table(which.keys);
        return exit_code::success;
    }
    const bool waits =
        wait != file_wait::none && !wanted.check_only && !wanted.settings_file.empty();
    const auto text =
        waits ? read_finished_file(wanted.settings_file, errors) : read_file(wanted.settings_file);
    if (!text) {
        errors << "settings: cannot read file \"" << wanted.settings_file << "\"\n";
        return exit_code::bad_settings;
    }
    auto read = settings::parse(which.keys, *text);
    if (!read) {
        for (const auto& problem : read.error()) {
            errors << "settings: " << settings::to_string(problem) << "\n";
        }
        return exit_code::bad_settings;
    }
    if (wanted.check_only) {
        out << "settings: no problems\n";
        return exit_code::success;
    }
    return std::move(*read);
}

} // namespace

auto read_command_line(
    const program& which,
    int argument_count,
    const char* const* arguments,
    std::ostream& out,
    std::ostream& errors) -> std::variant<settings::values, exit_code>
{
    return read_given(which, argument_count, arguments, out, errors, file_wait::until_finished);
}

auto read_settings_again(const program& which, int argument_count, const char* const* arguments)
    -> common::result<settings::values>
{
    std::ostringstream unused;
    std::ostringstream problems;
    // The process is serving and must not wait.
    auto read = read_given(which, argument_count, arguments, unused, problems, file_wait::none);
    if (auto* values = std::get_if<settings::values>(&read)) {
        return std::move(*values);
    }
    auto text = problems.str();
    std::ranges::replace(text, '\n', ';');
    return common::failure(common::result_code::invalid_settings, text);
}

} // namespace reedramp::daemon
