#include <chrono>
#include <fstream>
#include <thread>

#include <boost/json.hpp>

#include "commands.hpp"
#include "daemon/clock.hpp"
#include "operators/answers.hpp"
#include "operators/difference.hpp"
#include "operators/drafts.hpp"
#include "operators/publish.hpp"
#include "operators/requests.hpp"

namespace reedramp::ctl {

namespace json = boost::json;
using common::failure;
using common::result_code;

namespace {

constexpr std::chrono::milliseconds retry_pause{500};
constexpr auto standard_output = "-";

auto format_accepted(const options& opts, const common::record_id& id, common::log_offset offset)
    -> std::string
{
    if (opts.as_json) {
        return json::serialize(json::object{
                   {"accepted", true}, {"id", id.value()}, {"offset", offset.value()}}) +
               "\n";
    }
    return "accepted as revision " + std::to_string(offset.value()) + ", record " + id.value() +
           "\n";
}

auto format_unchanged(const options& opts, common::log_offset offset) -> std::string
{
    if (opts.as_json) {
        return json::serialize(json::object{{"accepted", false}, {"offset", offset.value()}}) +
               "\n";
    }
    return "no changes; revision " + std::to_string(offset.value()) + "\n";
}

auto publish_record(admin_client& client, const options& opts, const inventory::record& item)
    -> common::result<common::log_offset>
{
    const auto entries = resolve_entries(client, opts);
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    const operators::publish_transport transport{
        entries->size(),
        [&](std::size_t entry, http::request request) {
            return client.send(entries->at(entry), std::move(request));
        },
        [] {
            std::this_thread::sleep_for(retry_pause);
        }};
    return operators::publish(transport, item);
}

auto publish_and_format(admin_client& client, const options& opts, const inventory::record& item)
    -> command_output
{
    return publish_record(client, opts, item).map([&](common::log_offset offset) {
        return format_accepted(opts, item.id, offset);
    });
}

auto make_draft_defaults(const options& opts) -> operators::draft_defaults
{
    return {opts.author, daemon::wall_time(), opts.base};
}

} // namespace

auto publish(admin_client& client, const options& opts) -> command_output
{
    const auto text = read_file(opts.arguments.front());
    if (!text) {
        return tl::unexpected(text.error());
    }
    const auto draft = operators::read_draft(*text, make_draft_defaults(opts));
    if (!draft) {
        return tl::unexpected(draft.error());
    }
    if (draft->has_base) {
        return publish_and_format(client, opts, operators::complete_draft(*draft, {}));
    }
    const auto current = fetch_state(client, opts);
    if (!current) {
        return tl::unexpected(current.error());
    }
    const auto item = operators::complete_draft(*draft, current->offset);
    const auto after = inventory::check_record(*current, item);
    if (!after) {
        return tl::unexpected(after.error());
    }
    // Without a base, the current revision becomes the base, and each publication of the file would
    // have another id. A record that changes nothing is therefore not published, so that publishing
    // a file twice makes one change in this case too.
    if (!draft->has_id && operators::differences(*current, *after).empty()) {
        return format_unchanged(opts, current->offset);
    }
    return publish_and_format(client, opts, item);
}

auto withdraw(admin_client& client, const options& opts) -> command_output
{
    const auto entries = resolve_entries(client, opts);
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    const common::version_id version(opts.arguments.front());
    const auto current = fetch_state(client, opts);
    // A misspelt name would otherwise be withdrawn permanently without an error. If no entry
    // returns its state, the withdrawal is sent without this check, as it must not be delayed.
    if (current && !current->versions.contains(version)) {
        return failure(result_code::not_found, "unknown version " + version.value());
    }
    // Withdrawals are idempotent, so the next entry can be tried if an answer is lost.
    const auto body = client.send_to_any(*entries, operators::withdraw_request(version));
    if (!body || opts.as_json) {
        return body.map([](const std::string& text) { return text + "\n"; });
    }
    return "version " + version.value() + " is withdrawn at one entry, which notifies the others\n";
}

auto rollout(admin_client& client, const options& opts) -> command_output
{
    const auto& verb = opts.arguments.front();
    const auto& id = opts.arguments.back();
    const auto current = fetch_state(client, opts);
    if (!current) {
        return tl::unexpected(current.error());
    }
    common::result<std::vector<inventory::change>> changes;
    if (verb == "start") {
        changes = operators::make_rollout_changes(
            {id,
             common::model_id{opts.model},
             common::version_id{opts.from},
             common::version_id{opts.to},
             opts.share.value_or(operators::default_first_share())});
    }
    else {
        const auto action = operators::parse_rollout_action(verb);
        if (!action) {
            return tl::unexpected(action.error());
        }
        changes = operators::change_rollout_status(*current, id, *action);
    }
    if (!changes) {
        return tl::unexpected(changes.error());
    }
    if (changes->empty()) {
        return format_unchanged(opts, current->offset);
    }
    const auto item =
        operators::make_record(std::move(*changes), make_draft_defaults(opts), current->offset);
    return publish_and_format(client, opts, item);
}

auto import_register(admin_client& client, const options& opts) -> command_output
{
    const auto csv = read_file(opts.arguments.front());
    if (!csv) {
        return tl::unexpected(csv.error());
    }
    const auto current = fetch_state(client, opts);
    if (!current) {
        return tl::unexpected(current.error());
    }
    auto read = inventory::import_register(*csv, opts.columns, *current);
    if (!read) {
        return tl::unexpected(read.error());
    }
    if (read->changes.empty()) {
        return format_unchanged(opts, current->offset);
    }
    const auto item = operators::make_record(
        std::move(read->changes), make_draft_defaults(opts), current->offset);
    const auto after = inventory::check_record(*current, item);
    if (!after) {
        return tl::unexpected(after.error());
    }
    if (opts.publish) {
        return publish_and_format(client, opts, item);
    }
    if (opts.out == standard_output) {
        return inventory::format_record(item) + "\n";
    }
    if (!opts.out.empty()) {
        std::ofstream file(opts.out);
        file << inventory::format_record(item) << "\n";
        file.flush();
        if (!file) {
            return failure(result_code::not_found, "cannot write file " + opts.out);
        }
    }
    const auto rows = operators::differences(*current, *after);
    return opts.as_json ? operators::difference_json(rows) + "\n"
                        : operators::difference_text(rows);
}

} // namespace reedramp::ctl
