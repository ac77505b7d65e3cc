#include <iostream>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "daemon/front.hpp"
#include "daemon/logging.hpp"
#include "daemon/signals.hpp"
#include "daemon/tool_front.hpp"
#include "stand_in.hpp"

/// Runs stand-ins for the platform services, model engines and plain services, for tests and the
/// demo. Prints one JSON line per part, with its address and port, to standard output, and then
/// `{"ready":true}`.
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

auto run(const standin::stand_in_settings& config) -> daemon::exit_code
{
    const auto started = standin::stand_in::start(config);
    if (!started) {
        std::cerr << "cannot listen: " << started.error().detail << "\n";
        return daemon::exit_code::failure;
    }
    print_parts(**started, config.address);
    boost::asio::io_context context;
    const daemon::shutdown_signals signals(context, [&context] { context.stop(); });
    const auto work = boost::asio::make_work_guard(context);
    context.run();
    return daemon::exit_code::success;
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    const auto command_line = daemon::read_tool_command_line(
        "Stand-ins for platform services, model engines and plain services",
        argument_count,
        arguments);
    daemon::start_logging(arguments[0], daemon::parse_log_level(command_line.log_level));
    const auto config = standin::parse_settings(daemon::read_file(command_line.settings_file));
    if (!config) {
        for (const auto& problem : config.error()) {
            std::cerr << settings::to_string(problem) << "\n";
        }
        return static_cast<int>(daemon::exit_code::bad_settings);
    }
    if (command_line.check_only) {
        return static_cast<int>(daemon::exit_code::success);
    }
    return static_cast<int>(run(*config));
}
