#include "daemon/tool_front.hpp"

#include <fstream>
#include <sstream>

#include <tclap/CmdLine.h>

namespace reedramp::daemon {

auto read_tool_command_line(const std::string& summary, int argument_count, char** arguments)
    -> tool_command_line
{
    TCLAP::CmdLine parser(summary, ' ', "1");
    TCLAP::ValueArg<std::string> file("", "settings", "Settings in JSON", true, "", "file", parser);
    TCLAP::SwitchArg check("", "check-settings", "Check the settings and end", parser);
    TCLAP::ValueArg<std::string> level(
        "", "log-level", "debug, info, warning or error", false, "warning", "level", parser);
    parser.parse(argument_count, arguments);
    return {file.getValue(), check.getValue(), level.getValue()};
}

auto read_file(const std::string& path) -> std::string
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace reedramp::daemon
