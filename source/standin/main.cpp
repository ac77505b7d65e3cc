#include <iostream>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "daemon/front.hpp"
#include "daemon/logging.hpp"
#include "daemon/signals.hpp"
#include "daemon/tool_front.hpp"
#include "stand_in.hpp"

/// The stand-ins of the platform, of model engines and of plain services, for tests and the demo.
/// One JSON line for each part on standard output tells its port.
namespace {

using namespace reedramp;

auto print_parts(const standin::stand_in& running, const std::string& address) -> void
{
    for (const auto& part : running.parts()) {
        const boost::json::object line{
            {"part", part.kind},
            {"name", part.name},
            {"address", address},
            {"port", part.port},
        };
        std::cout << boost::json::serialize(line) << "\n";
    }
    std::cout << boost::json::serialize(boost::json::object{{"ready", true}}) << std::endl;
}

auto run(const standin::stand_in_settings& wanted) -> daemon::exit_code
{
    const auto started = standin::stand_in::start(wanted);
    if (!started) {
        std::cerr << "cannot listen: " << started.error().detail << "\n";
        return daemon::exit_code::failure;
    }
    print_parts(**started, wanted.address);
    boost::asio::io_context waiting;
    const daemon::shutdown_signals signals(waiting, [&waiting] { waiting.stop(); });
    const auto work = boost::asio::make_work_guard(waiting);
    waiting.run();
    return daemon::exit_code::success;
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    const auto given = daemon::read_tool_command_line(
        "Stand-ins of the platform, of engines and of services", argument_count, arguments);
    daemon::start_logging(arguments[0], daemon::parse_log_level(given.log_level));
    const auto wanted = standin::parse_settings(daemon::read_file(given.settings_file));
    if (!wanted) {
        for (const auto& problem : wanted.error()) {
            std::cerr << settings::to_string(problem) << "\n";
        }
        return static_cast<int>(daemon::exit_code::bad_settings);
    }
    if (given.check_only) {
        return static_cast<int>(daemon::exit_code::success);
    }
    return static_cast<int>(run(*wanted));
}
