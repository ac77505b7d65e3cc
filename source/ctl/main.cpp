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

/// The operators' program. Exit codes are on docs/RESULT_CODES.md.
namespace {

using namespace reedramp;
using operators::command_kind;

constexpr auto operator_key_variable = "REEDRAMP_OPERATOR_KEY";

auto variable(const char* name) -> std::string
{
    // Only at start, before there are threads that could change the environment.
    const auto* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? "" : text;
}

/// Whether the command talks to a process that asks for the operator's key.
auto needs_key(const ctl::options& given) -> bool
{
    switch (given.command.kind) {
    case command_kind::result_codes:
        return false;
    case command_kind::explain:
        return given.logs.empty();
    case command_kind::watch:
        return given.words.front() == operators::latest_revision_keyword;
    case command_kind::check:
        return !given.entries.empty() || given.hosts;
    default:
        return true;
    }
}

auto run(ctl::caller& by, const ctl::options& given) -> ctl::printed
{
    switch (given.command.kind) {
    case command_kind::check:
        return ctl::check(by, given);
    case command_kind::publish:
        return ctl::publish(by, given);
    case command_kind::show:
        return ctl::show(by, given);
    case command_kind::diff:
        return ctl::diff(by, given);
    case command_kind::history:
        return ctl::history(by, given);
    case command_kind::withdraw:
        return ctl::withdraw(by, given);
    case command_kind::rollout:
        return ctl::rollout(by, given);
    case command_kind::drain:
        return ctl::drain(by, given);
    case command_kind::watch:
        return ctl::watch(by, given);
    case command_kind::explain:
        return ctl::explain(by, given);
    case command_kind::bills:
        return ctl::bills(by, given);
    case command_kind::status:
        return ctl::status(by, given);
    case command_kind::import_register:
        return ctl::import_register(by, given);
    case command_kind::result_codes:
        return common::result_table_markdown();
    }
    return common::failure(common::result_code::internal_error);
}

auto tell_error(const ctl::options& given, const common::error& error) -> void
{
    if (given.as_json) {
        std::cout << operators::error_json(error) << "\n";
        return;
    }
    std::cerr << "reedramp-ctl: " << operators::error_text(error);
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    const ctl::environment around{variable("REEDRAMP_ENTRY"), variable("REEDRAMP_HOSTS")};
    const auto read = ctl::read_options(argument_count, arguments, around, std::cout, std::cerr);
    if (const auto* code = std::get_if<int>(&read)) {
        return *code;
    }
    const auto& given = std::get<ctl::options>(read);
    daemon::start_logging(arguments[0], common::log_level::warning);
    std::string key;
    if (needs_key(given)) {
        auto secret = daemon::read_secret(given.key_file, operator_key_variable);
        if (!secret) {
            std::cerr << "reedramp-ctl: operator's key: " << secret.error().detail << "\n";
            return operators::usage_error_exit_code;
        }
        key = std::move(*secret);
    }
    ctl::caller by(std::move(key));
    const auto answer = run(by, given);
    if (!answer) {
        tell_error(given, answer.error());
        return operators::exit_code_of(answer.error().code);
    }
    std::cout << *answer;
    return 0;
}
