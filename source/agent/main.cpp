#include <cstdlib>
#include <future>
#include <iostream>
#include <variant>

#include <boost/json.hpp>

#include "agent_process.hpp"
#include "common/log.hpp"
#include "daemon/front.hpp"
#include "daemon/logging.hpp"
#include "daemon/signals.hpp"
#include "settings.hpp"

/// The agent process beside a backend server. Prints its addresses as one JSON line on standard
/// output once it serves; SIGTERM starts a graceful shutdown.
namespace {

using namespace reedramp;

auto print_addresses(const agent_program::agent_process& process, std::uint16_t http_port) -> void
{
    std::cout << boost::json::serialize(boost::json::object{
                     {"ready", true}, {"rpc", process.rpc_address()}, {"http_port", http_port}})
              << std::endl;
}

auto run(agent_program::agent_settings settings) -> daemon::exit_code
{
    agent_program::agent_process process(std::move(settings));
    const auto started =
        process.start([&process] { print_addresses(process, process.http_port()); });
    if (!started) {
        std::cerr << "cannot listen: " << started.error().detail << "\n";
        return daemon::exit_code::failure;
    }
    std::promise<std::size_t> ended;
    const daemon::shutdown_signals signals(*process.pool().contexts().front(), [&] {
        process.shut_down([&ended](std::size_t failed_runs) { ended.set_value(failed_runs); });
    });
    const auto failed_runs = ended.get_future().get();
    common::log(
        common::log_part::agent,
        failed_runs == 0 ? common::log_level::info : common::log_level::warning,
        "stopped; runs cut count=" + std::to_string(failed_runs));
    return daemon::exit_code::success;
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    daemon::ignore_broken_pipes();
    const daemon::program about{
        "reedramp-agent",
        "The agent of a backend server: checks, queues and runs its requests",
        agent_program::settings_schema()};
    const auto given =
        daemon::read_command_line(about, argument_count, arguments, std::cout, std::cerr);
    if (const auto* code = std::get_if<daemon::exit_code>(&given)) {
        return static_cast<int>(*code);
    }
    const auto& values = std::get<settings::values>(given);
    auto settings = agent_program::read_settings(values);
    if (!settings) {
        std::cerr << "settings: " << settings.error().detail << "\n";
        return static_cast<int>(daemon::exit_code::bad_settings);
    }
    daemon::start_logging(arguments[0], daemon::parse_log_level(values.text("log.level")));
    return static_cast<int>(run(std::move(*settings)));
}
