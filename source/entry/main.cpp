#include <cstdlib>
#include <future>
#include <iostream>
#include <variant>

#include <boost/json.hpp>

#include "common/log.hpp"
#include "daemon/front.hpp"
#include "daemon/logging.hpp"
#include "daemon/signals.hpp"
#include "entry_process.hpp"
#include "settings.hpp"

/// The entry process. Once it listens, it prints one JSON line with its addresses on standard
/// output. SIGTERM starts a graceful shutdown.
namespace {

using namespace reedramp;

auto print_addresses(const entry_program::entry_process& process) -> void
{
    std::cout << boost::json::serialize(boost::json::object{
                     {"ready", true},
                     {"rpc", process.rpc_address()},
                     {"http_port", process.http_port()}})
              << std::endl;
}

auto run(entry_program::entry_settings wanted) -> daemon::exit_code
{
    entry_program::entry_process process(std::move(wanted));
    const auto started = process.start();
    if (!started) {
        std::cerr << "cannot listen: " << started.error().detail << "\n";
        return daemon::exit_code::failure;
    }
    print_addresses(process);
    std::promise<std::size_t> ended;
    const daemon::shutdown_signals signals(*process.pool().contexts().front(), [&] {
        process.shut_down([&ended](std::size_t aborted_count) { ended.set_value(aborted_count); });
    });
    const auto aborted_count = ended.get_future().get();
    common::log(
        common::log_part::entry,
        aborted_count == 0 ? common::log_level::info : common::log_level::warning,
        "stopped; requests cut count=" + std::to_string(aborted_count));
    return daemon::exit_code::success;
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    daemon::ignore_broken_pipes();
    const daemon::program about{
        "reedramp-entry",
        "Accepts requests from callers and routes them to backend servers",
        entry_program::settings_schema()};
    const auto given =
        daemon::read_command_line(about, argument_count, arguments, std::cout, std::cerr);
    if (const auto* code = std::get_if<daemon::exit_code>(&given)) {
        return static_cast<int>(*code);
    }
    const auto& values = std::get<settings::values>(given);
    auto wanted = entry_program::read_settings(values);
    if (!wanted) {
        std::cerr << "settings: " << wanted.error().detail << "\n";
        return static_cast<int>(daemon::exit_code::bad_settings);
    }
    daemon::start_logging(arguments[0], daemon::parse_log_level(values.text("log.level")));
    return static_cast<int>(run(std::move(*wanted)));
}
