#include <cstdlib>
#include <iostream>
#include <string>
#include <variant>

#include "commands.hpp"
#include "daemon/logging.hpp"
#include "daemon/secret.hpp"
#include "operators/answers.hpp"
#include "operators/revision_watch.hpp"
#include "options.hpp"

/// Command-line program for operators. docs/RESULT_CODES.md lists the exit codes.
namespace {

using namespace reedramp;
using operators::command_kind;

constexpr auto operator_key_variable = "REEDRAMP_OPERATOR_KEY";

auto environment_variable(const char* name) -> std::string
{
    // Called only at startup, before there are threads that could modify the environment.
    const auto* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? "" : text;
}

/// Whether the command contacts a process that requires the operator's key.
auto needs_key(const ctl::options& opts) -> bool
{
    switch (opts.command.kind) {
    case command_kind::result_codes:
        return false;
    case command_kind::explain:
        return opts.logs.empty();
    case command_kind::watch:
        return opts.arguments.front() == operators::latest_revision_keyword;
    case command_kind::check:
        return !opts.entries.empty() || opts.hosts;
    default:
        return true;
    }
}

auto run(ctl::admin_client& client, const ctl::options& opts) -> ctl::command_output
{
    switch (opts.command.kind) {
    case command_kind::check:
        return ctl::check(client, opts);
    case command_kind::publish:
        return ctl::publish(client, opts);
    case command_kind::show:
        return ctl::show(client, opts);
    case command_kind::diff:
        return ctl::diff(client, opts);
    case command_kind::history:
        return ctl::history(client, opts);
    case command_kind::withdraw:
        return ctl::withdraw(client, opts);
    case command_kind::rollout:
        return ctl::rollout(client, opts);
    case command_kind::drain:
        return ctl::drain(client, opts);
    case command_kind::watch:
        return ctl::watch(client, opts);
    case command_kind::explain:
        return ctl::explain(client, opts);
    case command_kind::bills:
        return ctl::bills(client, opts);
    case command_kind::status:
        return ctl::status(client, opts);
    case command_kind::import_register:
        return ctl::import_register(client, opts);
    case command_kind::result_codes:
        return common::result_table_markdown();
    }
    return common::failure(common::result_code::internal_error);
}

auto print_error(const ctl::options& opts, const common::error& error) -> void
{
    if (opts.as_json) {
        std::cout << operators::error_json(error) << "\n";
        return;
    }
    std::cerr << "reedramp-ctl: " << operators::error_text(error);
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    const ctl::environment_defaults defaults{
        environment_variable("REEDRAMP_ENTRY"), environment_variable("REEDRAMP_HOSTS")};
    const auto read = ctl::read_options(argument_count, arguments, defaults, std::cout, std::cerr);
    if (const auto* code = std::get_if<int>(&read)) {
        return *code;
    }
    const auto& opts = std::get<ctl::options>(read);
    daemon::start_logging(arguments[0], common::log_level::warning);
    std::string key;
    if (needs_key(opts)) {
        auto secret = daemon::read_secret(opts.key_file, operator_key_variable);
        if (!secret) {
            std::cerr << "reedramp-ctl: cannot read the operator's key: " << secret.error().detail
                      << "\n";
            return operators::usage_error_exit_code;
        }
        key = std::move(*secret);
    }
    ctl::admin_client client(std::move(key));
    const auto answer = run(client, opts);
    if (!answer) {
        print_error(opts, answer.error());
        return operators::exit_code_of(answer.error().code);
    }
    std::cout << *answer;
    return 0;
}
