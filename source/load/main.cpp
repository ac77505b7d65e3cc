#include <chrono>
#include <fstream>
#include <future>
#include <iostream>
#include <string>

#include <boost/asio/io_context.hpp>

#include "comparison.hpp"
#include "daemon/clock.hpp"
#include "daemon/front.hpp"
#include "daemon/io_pool.hpp"
#include "daemon/logging.hpp"
#include "daemon/tool_front.hpp"
#include "platform/http_log.hpp"
#include "report.hpp"
#include "runner.hpp"
#include "settings.hpp"

/// The load and experiment tool. Exit code 0 only if all its checks hold.
namespace {

using namespace reedramp;

constexpr std::size_t idle_connections = 512;
constexpr std::chrono::milliseconds grace_after_deadline{10'000};
constexpr std::chrono::milliseconds bill_poll{200};

/// Starts a call and waits for its answer, on a thread that is none of the pool's.
template <typename Answer, typename Start>
auto wait_for(Start start) -> common::result<Answer>
{
    const auto promise = std::make_shared<std::promise<common::result<Answer>>>();
    auto future = promise->get_future();
    start([promise](common::result<Answer> answer) { promise->set_value(std::move(answer)); });
    return future.get();
}

auto read_service_runs(
    const load::load_settings& wanted,
    const std::shared_ptr<http::client>& client,
    load::report& results) -> bool
{
    load::run_counts runs;
    for (const auto& where : wanted.service_runs) {
        http::request asked;
        asked.method = "GET";
        asked.target = "/runs/bodies";
        const auto answer = wait_for<http::response>([&](auto done) {
            client->send(where, std::move(asked), {{}, {}, std::move(done)});
        });
        if (!answer || !load::add_run_bodies(answer->body, runs)) {
            std::cerr << "cannot read the runs of " << http::to_string(where) << "\n";
            return false;
        }
    }
    if (!wanted.service_runs.empty()) {
        results.add_service_runs(runs);
    }
    return true;
}

/// Reads bills until each answer has one, or for `bill_wait_ms`.
auto read_bills(
    const load::load_settings& wanted,
    const std::shared_ptr<http::client>& client,
    load::report& results) -> bool
{
    if (!wanted.log) {
        return true;
    }
    const auto log = platform::make_http_log(client, {*wanted.log});
    const auto end = daemon::boot_time() + std::chrono::milliseconds(wanted.bill_wait_ms);
    load::bill_reader reader;
    while (true) {
        const auto page = wait_for<platform::read_answer>([&](auto done) {
            log.read(platform::streams::bills, reader.offset(), bill_poll, std::move(done));
        });
        if (!page) {
            std::cerr << "cannot read the bills: " << page.error().detail << "\n";
            return false;
        }
        reader.take(page->records);
        const auto compared = reader.compare(results.answered_ids());
        const auto is_complete = compared.missing == 0 && reader.offset() >= page->head;
        if (is_complete || daemon::boot_time() >= end) {
            results.add_bills(compared);
            return true;
        }
    }
}

auto write_report(const load::load_settings& wanted, const load::report& results) -> void
{
    std::cout << results.to_table();
    if (!wanted.report.empty()) {
        std::ofstream(wanted.report) << results.to_json() << "\n";
    }
}

auto run(const load::load_settings& wanted) -> bool
{
    daemon::io_pool pool(1);
    http::client_options options;
    options.idle_connections = idle_connections;
    options.idle_timeout = std::chrono::milliseconds(wanted.deadline_ms) + grace_after_deadline;
    const auto client = http::client::create(pool.next_context(), options);
    load::report results(wanted);
    load::runner runner(
        wanted, {daemon::boot_time, daemon::wall_time, pool.timers(), client}, results);
    std::promise<void> ended;
    pool.start();
    pool.post([&] { runner.start([&ended] { ended.set_value(); }); });
    ended.get_future().wait();
    const auto has_runs = read_service_runs(wanted, client, results);
    const auto has_bills = read_bills(wanted, client, results);
    pool.stop();
    write_report(wanted, results);
    return has_runs && has_bills && results.holds();
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    const auto given = daemon::read_tool_command_line(
        "Open-loop load against entries, with checks", argument_count, arguments);
    daemon::start_logging(arguments[0], daemon::parse_log_level(given.log_level));
    const auto wanted = load::parse_settings(daemon::read_file(given.settings_file));
    if (!wanted) {
        for (const auto& problem : wanted.error()) {
            std::cerr << settings::to_string(problem) << "\n";
        }
        return static_cast<int>(daemon::exit_code::bad_settings);
    }
    if (given.check_only) {
        return static_cast<int>(daemon::exit_code::success);
    }
    const auto holds = run(*wanted);
    return static_cast<int>(holds ? daemon::exit_code::success : daemon::exit_code::failure);
}
