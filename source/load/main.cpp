#include <chrono>
#include <fstream>
#include <future>
#include <iostream>
#include <string>

#include <boost/asio/io_context.hpp>

#include "bill_reader.hpp"
#include "daemon/clock.hpp"
#include "daemon/front.hpp"
#include "daemon/io_pool.hpp"
#include "daemon/logging.hpp"
#include "daemon/tool_front.hpp"
#include "platform/http_log.hpp"
#include "report.hpp"
#include "runner.hpp"
#include "settings.hpp"

/// The load test tool. Exits with code 0 only if all checks of the run pass.
namespace {

using namespace reedramp;

constexpr std::size_t idle_connections = 512;
constexpr std::chrono::milliseconds grace_after_deadline{10'000};
constexpr std::chrono::milliseconds bill_poll_timeout{200};

/// Starts an asynchronous call and blocks until its answer arrives. Must not be called on a thread
/// of the I/O pool, which delivers the answer.
template <typename Answer, typename Start>
auto wait_for(Start start) -> common::result<Answer>
{
    const auto promise = std::make_shared<std::promise<common::result<Answer>>>();
    auto future = promise->get_future();
    start([promise](common::result<Answer> answer) { promise->set_value(std::move(answer)); });
    return future.get();
}

auto read_service_runs(
    const load::load_settings& run_settings,
    const std::shared_ptr<http::client>& client,
    load::report& results) -> bool
{
    load::run_counts runs;
    for (const auto& endpoint : run_settings.service_runs) {
        http::request request;
        request.method = "GET";
        request.target = "/runs/bodies";
        const auto answer = wait_for<http::response>([&](auto done) {
            client->send(endpoint, std::move(request), {{}, {}, std::move(done)});
        });
        if (!answer || !load::add_run_bodies(answer->body, runs)) {
            std::cerr << "cannot read the run counts of service " << http::to_string(endpoint)
                      << "\n";
            return false;
        }
    }
    if (!run_settings.service_runs.empty()) {
        results.add_service_runs(runs);
    }
    return true;
}

/// Reads bills until each answer has one and the end of the log is reached, or for `bill_wait_ms`.
auto read_bills(
    const load::load_settings& run_settings,
    const std::shared_ptr<http::client>& client,
    load::report& results) -> bool
{
    if (!run_settings.log) {
        return true;
    }
    const auto log = platform::make_http_log(client, {*run_settings.log});
    const auto end = daemon::boot_time() + std::chrono::milliseconds(run_settings.bill_wait_ms);
    load::bill_reader reader;
    while (true) {
        const auto page = wait_for<platform::read_answer>([&](auto done) {
            log.read(platform::streams::bills, reader.offset(), bill_poll_timeout, std::move(done));
        });
        if (!page) {
            std::cerr << "cannot read bills from the log: " << page.error().detail << "\n";
            return false;
        }
        reader.add_records(page->records);
        const auto comparison = reader.compare(results.answered_ids());
        const auto is_complete = comparison.missing == 0 && reader.offset() >= page->head;
        if (is_complete || daemon::boot_time() >= end) {
            results.add_bills(comparison);
            return true;
        }
    }
}

auto write_report(const load::load_settings& run_settings, const load::report& results) -> void
{
    std::cout << results.to_table();
    if (!run_settings.report.empty()) {
        std::ofstream(run_settings.report) << results.to_json() << "\n";
    }
}

auto run(const load::load_settings& run_settings) -> bool
{
    daemon::io_pool pool(1);
    http::client_options options;
    options.idle_connections = idle_connections;
    options.idle_timeout =
        std::chrono::milliseconds(run_settings.deadline_ms) + grace_after_deadline;
    const auto client = http::client::create(pool.next_context(), options);
    load::report results(run_settings);
    load::runner runner(
        run_settings, {daemon::boot_time, daemon::wall_time, pool.timers(), client}, results);
    std::promise<void> ended;
    pool.start();
    pool.post([&] { runner.start([&ended] { ended.set_value(); }); });
    ended.get_future().wait();
    const auto has_run_counts = read_service_runs(run_settings, client, results);
    const auto has_bills = read_bills(run_settings, client, results);
    pool.stop();
    write_report(run_settings, results);
    return has_run_counts && has_bills && results.all_checks_hold();
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    const auto command_line = daemon::read_tool_command_line(
        "Sends open-loop load to entries and checks the answers", argument_count, arguments);
    daemon::start_logging(arguments[0], daemon::parse_log_level(command_line.log_level));
    const auto run_settings = load::parse_settings(daemon::read_file(command_line.settings_file));
    if (!run_settings) {
        for (const auto& problem : run_settings.error()) {
            std::cerr << settings::to_string(problem) << "\n";
        }
        return static_cast<int>(daemon::exit_code::bad_settings);
    }
    if (command_line.check_only) {
        return static_cast<int>(daemon::exit_code::success);
    }
    const auto holds = run(*run_settings);
    return static_cast<int>(holds ? daemon::exit_code::success : daemon::exit_code::failure);
}
