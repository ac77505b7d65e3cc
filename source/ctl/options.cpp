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

/// TCLAP's form of all options.
struct arguments_form {
    // The parser goes first: the arguments add themselves to it.
    TCLAP::CmdLine line{
        "Drives reedramp: inventory, roll-outs, withdrawals, bills", ' ', program_version};
    TCLAP::MultiArg<std::string> entry{
        "e",
        "entry",
        "An entry; may be given several times; without it REEDRAMP_ENTRY",
        false,
        "IP:PORT",
        line};
    TCLAP::ValueArg<std::string> hosts{
        "",
        "hosts",
        "The platform's list of hosts; without it REEDRAMP_HOSTS",
        false,
        "",
        "IP:PORT",
        line};
    TCLAP::ValueArg<std::string> key_file{
        "k",
        "key-file",
        "File of the operator's key; without it REEDRAMP_OPERATOR_KEY",
        false,
        "",
        "FILE",
        line};
    TCLAP::SwitchArg json{"j", "json", "Print JSON", line};
    TCLAP::ValueArg<std::uint64_t> base{
        "b", "base", "Revision that the change was decided on", false, no_base, "REV", line};
    TCLAP::ValueArg<std::string> author{
        "a", "author", "Who publishes, for the history", false, "operator", "NAME", line};
    TCLAP::ValueArg<int> timeout{
        "t", "timeout", "Longest wait", false, default_timeout_s, "SECONDS", line};
    TCLAP::ValueArg<int> limit{"n", "limit", "Records listed", false, default_limit, "N", line};
    TCLAP::ValueArg<std::string> model{"", "model", "Model", false, "", "MODEL", line};
    TCLAP::ValueArg<std::string> from{"", "from", "Version in use", false, "", "VERSION", line};
    TCLAP::ValueArg<std::string> to{"", "to", "New version", false, "", "VERSION", line};
    TCLAP::ValueArg<int> share{
        "", "share", "Share of new sessions at the start", false, no_share, "PERMILLE", line};
    TCLAP::MultiArg<std::string> log{
        "l",
        "log",
        "A router's log, - for standard input; may be given several times",
        false,
        "FILE",
        line};
    TCLAP::ValueArg<std::string> out{
        "o", "out", "Write the record to this file", false, "", "FILE", line};
    TCLAP::SwitchArg publish{"p", "publish", "Publish the record", line};
    TCLAP::MultiArg<std::string> column{
        "c", "column", "Header of a column of the register", false, "NAME=HEADER", line};
    TCLAP::UnlabeledMultiArg<std::string> words{
        "command", "Command and its words", false, "WORD", line};
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

auto given_options(const arguments_form& form) -> std::vector<std::string>
{
    const std::vector<const TCLAP::Arg*> all = {
        &form.entry,
        &form.hosts,
        &form.key_file,
        &form.json,
        &form.base,
        &form.author,
        &form.timeout,
        &form.limit,
        &form.model,
        &form.from,
        &form.to,
        &form.share,
        &form.log,
        &form.out,
        &form.publish,
        &form.column};
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

auto read_endpoints(const arguments_form& form, const environment& around, options& into)
    -> std::string
{
    const auto entries = form.entry.isSet() ? form.entry.getValue() : split(around.entries, ',');
    for (const auto& text : entries) {
        const auto where = http::parse_endpoint(text);
        if (!where) {
            return "--entry: not IP:PORT: " + text;
        }
        into.entries.push_back(*where);
    }
    const auto hosts = form.hosts.isSet() ? form.hosts.getValue() : around.hosts;
    if (!hosts.empty()) {
        into.hosts = http::parse_endpoint(hosts);
        if (!into.hosts) {
            return "--hosts: not IP:PORT: " + hosts;
        }
    }
    return {};
}

auto read_columns(const arguments_form& form, inventory::register_columns& into) -> std::string
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
    for (const auto& text : form.column.getValue()) {
        const auto split = text.find('=');
        const auto name = text.substr(0, split);
        const auto found =
            std::ranges::find(known, name, &std::pair<std::string, std::string*>::first);
        if (split == std::string::npos || found == known.end()) {
            return "--column: not NAME=HEADER with a known name: " + text;
        }
        *found->second = text.substr(split + 1);
    }
    return {};
}

auto read_numbers(const arguments_form& form, options& into) -> std::string
{
    if (form.timeout.getValue() < 0 || form.limit.getValue() < 0) {
        return "--timeout and --limit must not be negative";
    }
    into.timeout = std::chrono::seconds(form.timeout.getValue());
    into.limit = static_cast<std::size_t>(form.limit.getValue());
    if (form.base.isSet()) {
        into.base = common::log_offset{form.base.getValue()};
    }
    if (form.share.isSet()) {
        const auto share = form.share.getValue();
        if (share < 0 || share > whole_share) {
            return "--share: 0 to 1000 permille";
        }
        into.share = common::permille{static_cast<std::uint32_t>(share)};
    }
    return {};
}

/// Empty if all that the command needs is there.
auto find_missing(const options& read) -> std::string
{
    using kind = operators::command_kind;
    const bool asks_entries =
        read.command.needs_entry || (read.command.kind == kind::explain && read.logs.empty());
    if (asks_entries && read.entries.empty() && !read.hosts) {
        return "--entry or --hosts is needed";
    }
    const auto needs_hosts = read.command.kind == kind::drain || read.command.kind == kind::watch;
    if (needs_hosts && !read.hosts) {
        return "--hosts is needed";
    }
    if (read.command.kind == kind::watch) {
        const auto& word = read.words.front();
        const auto revision = operators::parse_revision(word);
        return word == operators::latest_revision_keyword || revision ? ""
                                                                      : revision.error().detail;
    }
    if (read.command.kind == kind::rollout) {
        const auto starts = read.words.front() == "start";
        const auto verb = operators::parse_rollout_action(read.words.front());
        if (!starts && !verb) {
            return verb.error().detail;
        }
        const auto has_all = !read.model.empty() && !read.from.empty() && !read.to.empty();
        const auto has_any =
            !read.model.empty() || !read.from.empty() || !read.to.empty() || read.share;
        if (starts && !has_all) {
            return "rollout start needs --model, --from and --to";
        }
        if (!starts && has_any) {
            return "only rollout start takes --model, --from, --to and --share";
        }
    }
    return {};
}

auto take(const arguments_form& form, const environment& around) -> common::result<options>
{
    const auto& words = form.words.getValue();
    const auto command = operators::find_command(words, given_options(form));
    if (!command) {
        return tl::unexpected(command.error());
    }
    options result;
    result.command = *command;
    result.words.assign(words.begin() + 1, words.end());
    result.key_file = form.key_file.getValue();
    result.as_json = form.json.getValue();
    result.author = form.author.getValue();
    result.model = form.model.getValue();
    result.from = form.from.getValue();
    result.to = form.to.getValue();
    result.logs = form.log.getValue();
    result.out = form.out.getValue();
    result.publish = form.publish.getValue();
    for (const auto& problem :
         {read_endpoints(form, around, result),
          read_columns(form, result.columns),
          read_numbers(form, result),
          find_missing(result)}) {
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
    const environment& around,
    std::ostream& out,
    std::ostream& errors) -> std::variant<options, int>
{
    arguments_form form;
    help_output pages(out);
    form.line.setOutput(&pages);
    form.line.setExceptionHandling(false);
    std::vector<std::string> words(arguments, arguments + argument_count);
    try {
        form.line.parse(words);
    }
    catch (const TCLAP::ArgException& problem) {
        errors << "reedramp-ctl: " << problem.argId() << " " << problem.error() << "\n";
        return operators::usage_error_exit_code;
    }
    catch (const TCLAP::ExitException& end) {
        return end.getExitStatus();
    }
    auto read = take(form, around);
    if (!read) {
        errors << "reedramp-ctl: " << read.error().detail << "\n";
        return operators::usage_error_exit_code;
    }
    return std::move(*read);
}

} // namespace reedramp::ctl
