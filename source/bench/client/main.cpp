#include <algorithm>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <tclap/CmdLine.h>

#include "closed_loop.hpp"
#include "daemon/io_pool.hpp"

/// Load generator for `tools/bench`: sends chat requests in a closed loop and prints one line of
/// JSON per target.
namespace {

using namespace reedramp;

struct command {
    bench::loop_settings loop;
    std::size_t threads = 1;
};

auto parse_target(const std::string& text) -> bench::chat_target
{
    const auto split = text.find('=');
    const auto where = http::parse_endpoint(text.substr(0, split));
    if (!where || split == std::string::npos) {
        throw TCLAP::ArgException("a target is address:port=model", "target");
    }
    return {*where, text.substr(split + 1)};
}

auto read_command(int count, char** arguments) -> command
{
    using size_arg = TCLAP::ValueArg<std::size_t>;
    TCLAP::CmdLine parser("Sends chat requests in a closed loop", ' ', "1", false);
    TCLAP::MultiArg<std::string> targets("", "target", "address:port=model", true, "text", parser);
    TCLAP::ValueArg<std::string> key("", "key", "API key of the caller", false, "", "text", parser);
    size_arg workers("", "workers", "Requests in flight", false, 1, "number", parser);
    size_arg requests("", "requests", "Number of measured requests", false, 1000, "number", parser);
    size_arg warm_up(
        "",
        "warm-up",
        "Number of requests sent before the measured ones",
        false,
        0,
        "number",
        parser);
    size_arg tokens("", "tokens", "Maximum tokens per answer", false, 1, "number", parser);
    size_arg threads("", "threads", "Number of client threads", false, 1, "number", parser);
    TCLAP::SwitchArg stream("", "stream", "Request streamed answers", parser);
    parser.setExceptionHandling(false);
    parser.parse(count, arguments);
    command read;
    for (const auto& text : targets.getValue()) {
        read.loop.targets.push_back(parse_target(text));
    }
    read.loop.api_key = key.getValue();
    read.loop.workers = workers.getValue();
    read.loop.requests = requests.getValue();
    read.loop.warm_up = warm_up.getValue();
    read.loop.tokens = tokens.getValue();
    read.loop.stream = stream.getValue();
    read.threads = threads.getValue();
    return read;
}

auto quantile(const std::vector<double>& sorted, double share) -> double
{
    if (sorted.empty()) {
        return 0.0;
    }
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

auto print(bench::target_result& target, double seconds) -> void
{
    constexpr double middle = 0.5;
    constexpr double high = 0.99;
    std::ranges::sort(target.micros);
    std::printf(
        R"({"answered":%zu,"failed":%zu,"tokens":%llu,"seconds":%.3f,"p50_us":%.1f,"p99_us":%.1f})"
        "\n",
        target.micros.size(),
        target.failed,
        static_cast<unsigned long long>(target.tokens),
        seconds,
        quantile(target.micros, middle),
        quantile(target.micros, high));
}

auto run(const command& wanted) -> bool
{
    daemon::io_pool threads(wanted.threads);
    threads.start();
    http::client_options options;
    options.idle_connections = wanted.loop.workers;
    std::vector<std::shared_ptr<http::client>> clients;
    for (auto* context : threads.contexts()) {
        clients.push_back(http::client::create(*context, options));
    }
    auto result = bench::run_loop(wanted.loop, clients);
    bool all_answered = true;
    for (auto& target : result.targets) {
        all_answered = all_answered && target.failed == 0;
        print(target, result.seconds);
    }
    threads.stop();
    return all_answered;
}

} // namespace

auto main(int count, char** arguments) -> int
{
    try {
        return run(read_command(count, arguments)) ? 0 : 1;
    }
    catch (const TCLAP::ArgException& problem) {
        std::cerr << problem.error() << " " << problem.argId() << "\n";
        return 2;
    }
}
