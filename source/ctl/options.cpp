#include "options.hpp"

#include <algorithm>
#include <ostream>
#include <sstream>
#include <utility>

#include <tclap/CmdLine.h>

#include "operators/answers.hpp"
#include "operators/drafts.hpp"
#include "operators/revision_watch.hpp"

namespace reedramp::ctl {

namespace {

constexpr auto program_version = "0.1.0";
constexpr std::uint64_t no_base = ~std::uint64_t{0};
constexpr int no_share = -1;
constexpr int whole_share = 1000;
constexpr int default_timeout_s = 30;
constexpr int default_limit = 20;

/// TCLAP parser with all options.
struct argument_parser {
    // Declared first: the arguments register themselves with it.
    TCLAP::CmdLine line{
        "Administers reedramp: inventory, roll-outs, withdrawals, billing", ' ', program_version};
    TCLAP::MultiArg<std::string> entry{
        "e",
        "entry",
        "Address of an entry; may be repeated; default: REEDRAMP_ENTRY",
        false,
        "IP:PORT",
        line};
    TCLAP::ValueArg<std::string> hosts{
        "",
        "hosts",
        "Address of the platform's host list; default: REEDRAMP_HOSTS",
        false,
        "",
        "IP:PORT",
        line};
    TCLAP::ValueArg<std::string> key_file{
        "k",
        "key-file",
        "File with the operator's key; default: REEDRAMP_OPERATOR_KEY",
        false,
        "",
        "FILE",
        line};
    TCLAP::SwitchArg json{"j", "json", "Print JSON", line};
    TCLAP::ValueArg<std::uint64_t> base{
        "b", "base", "Revision that the change is based on", false, no_base, "REV", line};
    TCLAP::ValueArg<std::string> author{
        "a",
        "author",
        "Author of the record, shown in the history",
        false,
        "operator",
        "NAME",
        line};
    TCLAP::ValueArg<int> timeout{
        "t", "timeout", "Maximum wait", false, default_timeout_s, "SECONDS", line};
    TCLAP::ValueArg<int> limit{
        "n", "limit", "Number of records to list", false, default_limit, "N", line};
    TCLAP::ValueArg<std::string> model{"", "model", "Model", false, "", "MODEL", line};
    TCLAP::ValueArg<std::string> from{
        "", "from", "Version currently in use", false, "", "VERSION", line};
    TCLAP::ValueArg<std::string> to{"", "to", "New version", false, "", "VERSION", line};
    TCLAP::ValueArg<int> share{
        "", "share", "Initial share of new sessions", false, no_share, "PERMILLE", line};
    TCLAP::MultiArg<std::string> log{
        "l",
        "log",
        "Log file of a router, - for standard input; may be repeated",
        false,
        "FILE",
        line};
    TCLAP::ValueArg<std::string> out{
        "o", "out", "Write the record to this file", false, "", "FILE", line};
    TCLAP::SwitchArg publish{"p", "publish", "Publish the record", line};
    TCLAP::MultiArg<std::string> column{
        "c", "column", "Column name and its header in the register", false, "NAME=HEADER", line};
    TCLAP::UnlabeledMultiArg<std::string> words{
        "command", "Command and its arguments", false, "WORD", line};
};

class help_output final : public TCLAP::StdOutput {
public:
    explicit help_output(std::ostream& to_use) : out(to_use) {}

    auto version(TCLAP::CmdLineInterface& line) -> void override
    {
        this->out << line.getProgramName() << " " << line.getVersion() << "\n";
    }

    auto usage(TCLAP::CmdLineInterface& line) -> void override
    {
        this->out << "reedramp-ctl [--entry IP:PORT]... [--hosts IP:PORT] [--key-file FILE] "
                     "[--json] COMMAND\n\nCommands:\n"
                  << operators::commands_text() << "\nOptions:\n";
        for (const auto* argument : line.getArgList()) {
            this->out << "  " << argument->longID() << "\n      " << argument->getDescription()
                      << "\n";
        }
    }

private:
    std::ostream& out;
};

auto given_options(const argument_parser& parser) -> std::vector<std::string>
{
    const std::vector<const TCLAP::Arg*> all = {
        &parser.entry,
        &parser.hosts,
        &parser.key_file,
        &parser.json,
        &parser.base,
        &parser.author,
        &parser.timeout,
        &parser.limit,
        &parser.model,
        &parser.from,
        &parser.to,
        &parser.share,
        &parser.log,
        &parser.out,
        &parser.publish,
        &parser.column};
    std::vector<std::string> result;
    for (const auto* item : all) {
        if (item->isSet()) {
            result.push_back(item->getName());
        }
    }
    return result;
}

auto split(const std::string& text, char separator) -> std::vector<std::string>
{
    std::vector<std::string> result;
    std::istringstream from(text);
    std::string word;
    while (std::getline(from, word, separator)) {
        result.push_back(word);
    }
    return result;
}

auto read_endpoints(
    const argument_parser& parser, const environment_defaults& defaults, options& into)
    -> std::string
{
    const auto entries =
        parser.entry.isSet() ? parser.entry.getValue() : split(defaults.entries, ',');
    for (const auto& text : entries) {
        const auto endpoint = http::parse_endpoint(text);
        if (!endpoint) {
            return "--entry: expected IP:PORT: " + text;
        }
        into.entries.push_back(*endpoint);
    }
    const auto hosts = parser.hosts.isSet() ? parser.hosts.getValue() : defaults.hosts;
    if (!hosts.empty()) {
        into.hosts = http::parse_endpoint(hosts);
        if (!into.hosts) {
            return "--hosts: expected IP:PORT: " + hosts;
        }
    }
    return {};
}

auto read_columns(const argument_parser& parser, inventory::register_columns& into) -> std::string
{
    const std::vector<std::pair<std::string, std::string*>> known = {
        {"id", &into.id},
        {"host", &into.host},
        {"data_centre", &into.data_centre},
        {"region", &into.region},
        {"kind", &into.kind},
        {"versions", &into.versions},
        {"service", &into.service},
        {"checks_fencing", &into.checks_fencing}};
    for (const auto& text : parser.column.getValue()) {
        const auto split = text.find('=');
        const auto name = text.substr(0, split);
        const auto found =
            std::ranges::find(known, name, &std::pair<std::string, std::string*>::first);
        if (split == std::string::npos || found == known.end()) {
            return "--column: expected NAME=HEADER with a known name: " + text;
        }
        *found->second = text.substr(split + 1);
    }
    return {};
}

auto read_numbers(const argument_parser& parser, options& into) -> std::string
{
    if (parser.timeout.getValue() < 0 || parser.limit.getValue() < 0) {
        return "--timeout and --limit must not be negative";
    }
    into.timeout = std::chrono::seconds(parser.timeout.getValue());
    into.limit = static_cast<std::size_t>(parser.limit.getValue());
    if (parser.base.isSet()) {
        into.base = common::log_offset{parser.base.getValue()};
    }
    if (parser.share.isSet()) {
        const auto share = parser.share.getValue();
        if (share < 0 || share > whole_share) {
            return "--share must be 0 to 1000 permille";
        }
        into.share = common::permille{static_cast<std::uint32_t>(share)};
    }
    return {};
}

/// Checks that the options which the command requires are given and valid. Returns the problem, or
/// an empty string.
auto check_requirements(const options& read) -> std::string
{
    using kind = operators::command_kind;
    const bool contacts_entries =
        read.command.needs_entry || (read.command.kind == kind::explain && read.logs.empty());
    if (contacts_entries && read.entries.empty() && !read.hosts) {
        return "--entry or --hosts is required";
    }
    const auto needs_hosts = read.command.kind == kind::drain || read.command.kind == kind::watch;
    if (needs_hosts && !read.hosts) {
        return "--hosts is required";
    }
    if (read.command.kind == kind::watch) {
        const auto& word = read.arguments.front();
        const auto revision = operators::parse_revision(word);
        return word == operators::latest_revision_keyword || revision ? ""
                                                                      : revision.error().detail;
    }
    if (read.command.kind == kind::rollout) {
        const auto starts = read.arguments.front() == "start";
        const auto verb = operators::parse_rollout_action(read.arguments.front());
        if (!starts && !verb) {
            return verb.error().detail;
        }
        const auto has_all = !read.model.empty() && !read.from.empty() && !read.to.empty();
        const auto has_any =
            !read.model.empty() || !read.from.empty() || !read.to.empty() || read.share;
        if (starts && !has_all) {
            return "rollout start requires --model, --from and --to";
        }
        if (!starts && has_any) {
            return "only rollout start accepts --model, --from, --to and --share";
        }
    }
    return {};
}

auto build_options(const argument_parser& parser, const environment_defaults& defaults)
    -> common::result<options>
{
    const auto& words = parser.words.getValue();
    const auto command = operators::find_command(words, given_options(parser));
    if (!command) {
        return tl::unexpected(command.error());
    }
    options result;
    result.command = *command;
    result.arguments.assign(words.begin() + 1, words.end());
    result.key_file = parser.key_file.getValue();
    result.as_json = parser.json.getValue();
    result.author = parser.author.getValue();
    result.model = parser.model.getValue();
    result.from = parser.from.getValue();
    result.to = parser.to.getValue();
    result.logs = parser.log.getValue();
    result.out = parser.out.getValue();
    result.publish = parser.publish.getValue();
    for (const auto& problem :
         {read_endpoints(parser, defaults, result),
          read_columns(parser, result.columns),
          read_numbers(parser, result),
          check_requirements(result)}) {
        if (!problem.empty()) {
            return common::failure(common::result_code::malformed_request, problem);
        }
    }
    return result;
}

} // namespace

auto read_options(
    int argument_count,
    const char* const* arguments,
    const environment_defaults& defaults,
    std::ostream& out,
    std::ostream& errors) -> std::variant<options, int>
{
    argument_parser parser;
    help_output pages(out);
    parser.line.setOutput(&pages);
    parser.line.setExceptionHandling(false);
    std::vector<std::string> words(arguments, arguments + argument_count);
    try {
        parser.line.parse(words);
    }
    catch (const TCLAP::ArgException& problem) {
        errors << "reedramp-ctl: " << problem.argId() << " " << problem.error() << "\n";
        return operators::usage_error_exit_code;
    }
    catch (const TCLAP::ExitException& end) {
        return end.getExitStatus();
    }
    auto read = build_options(parser, defaults);
    if (!read) {
        errors << "reedramp-ctl: " << read.error().detail << "\n";
        return operators::usage_error_exit_code;
    }
    return std::move(*read);
}

} // namespace reedramp::ctl
