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

constexpr std::chrono::milliseconds round_pause{500};
constexpr auto standard_output = "-";

auto accepted(const options& given, const common::record_id& id, common::log_offset offset)
    -> std::string
{
    if (given.as_json) {
        return json::serialize(json::object{
                   {"accepted", true}, {"id", id.value()}, {"offset", offset.value()}}) +
               "\n";
    }
    return "accepted as revision " + std::to_string(offset.value()) + ", record " + id.value() +
           "\n";
}

auto unchanged(const options& given, common::log_offset offset) -> std::string
{
    if (given.as_json) {
        return json::serialize(json::object{{"accepted", false}, {"offset", offset.value()}}) +
               "\n";
    }
    return "nothing to change; revision " + std::to_string(offset.value()) + "\n";
}

auto publish_record(caller& by, const options& given, const inventory::record& item)
    -> common::result<common::log_offset>
{
    const auto entries = entries_of(by, given);
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    const operators::publish_transport way{
        entries->size(),
        [&](std::size_t entry, http::request request) {
            return by.ask(entries->at(entry), std::move(request));
        },
        [] {
            std::this_thread::sleep_for(round_pause);
        }};
    return operators::publish(way, item);
}

auto publish_and_tell(caller& by, const options& given, const inventory::record& item) -> printed
{
    return publish_record(by, given, item).map([&](common::log_offset offset) {
        return accepted(given, item.id, offset);
    });
}

auto defaults_of(const options& given) -> operators::draft_defaults
{
    return {given.author, daemon::wall_time(), given.base};
}

} // namespace

auto publish(caller& by, const options& given) -> printed
{
    const auto text = read_file(given.words.front());
    if (!text) {
        return tl::unexpected(text.error());
    }
    const auto draft = operators::read_draft(*text, defaults_of(given));
    if (!draft) {
        return tl::unexpected(draft.error());
    }
    if (draft->has_base) {
        return publish_and_tell(by, given, operators::complete_draft(*draft, {}));
    }
    const auto current = fetch_state(by, given);
    if (!current) {
        return tl::unexpected(current.error());
    }
    const auto item = operators::complete_draft(*draft, current->offset);
    const auto after = inventory::check_record(*current, item);
    if (!after) {
        return tl::unexpected(after.error());
    }
    // Without a base each publication would be another record; one that says what holds already
    // is none, so that a file published twice is one change here too.
    if (!draft->has_id && operators::differences(*current, *after).empty()) {
        return unchanged(given, current->offset);
    }
    return publish_and_tell(by, given, item);
}

auto withdraw(caller& by, const options& given) -> printed
{
    const auto entries = entries_of(by, given);
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    const common::version_id version(given.words.front());
    const auto current = fetch_state(by, given);
    // A misspelt name would be withdrawn for ever without a word. An entry that cannot show its
    // state must not delay a withdrawal.
    if (current && !current->versions.contains(version)) {
        return failure(result_code::not_found, "there is no version " + version.value());
    }
    // Withdrawing twice is withdrawing once, so a lost answer is met by asking the next entry.
    const auto body = by.ask_any(*entries, operators::withdraw_request(version));
    if (!body || given.as_json) {
        return body.map([](const std::string& text) { return text + "\n"; });
    }
    return "version " + version.value() + " is withdrawn at the entry and passed on\n";
}

auto rollout(caller& by, const options& given) -> printed
{
    const auto& verb = given.words.front();
    const auto& id = given.words.back();
    const auto current = fetch_state(by, given);
    if (!current) {
        return tl::unexpected(current.error());
    }
    common::result<std::vector<inventory::change>> changes;
    if (verb == "start") {
        changes = operators::make_rollout_changes(
            {id,
             common::model_id{given.model},
             common::version_id{given.from},
             common::version_id{given.to},
             given.share.value_or(operators::default_first_share())});
    }
    else {
        const auto steer = operators::parse_rollout_action(verb);
        if (!steer) {
            return tl::unexpected(steer.error());
        }
        changes = operators::change_rollout_status(*current, id, *steer);
    }
    if (!changes) {
        return tl::unexpected(changes.error());
    }
    if (changes->empty()) {
        return unchanged(given, current->offset);
    }
    const auto item =
        operators::make_record(std::move(*changes), defaults_of(given), current->offset);
    return publish_and_tell(by, given, item);
}

auto import_register(caller& by, const options& given) -> printed
{
    const auto csv = read_file(given.words.front());
    if (!csv) {
        return tl::unexpected(csv.error());
    }
    const auto current = fetch_state(by, given);
    if (!current) {
        return tl::unexpected(current.error());
    }
    auto read = inventory::import_register(*csv, given.columns, *current);
    if (!read) {
        return tl::unexpected(read.error());
    }
    if (read->changes.empty()) {
        return unchanged(given, current->offset);
    }
    const auto item =
        operators::make_record(std::move(read->changes), defaults_of(given), current->offset);
    const auto after = inventory::check_record(*current, item);
    if (!after) {
        return tl::unexpected(after.error());
    }
    if (given.publish) {
        return publish_and_tell(by, given, item);
    }
    if (given.out == standard_output) {
        return inventory::format_record(item) + "\n";
    }
    if (!given.out.empty()) {
        std::ofstream file(given.out);
        file << inventory::format_record(item) << "\n";
        file.flush();
        if (!file) {
            return failure(result_code::not_found, "cannot write file " + given.out);
        }
    }
    const auto rows = operators::differences(*current, *after);
    return given.as_json ? operators::difference_json(rows) + "\n"
                         : operators::difference_text(rows);
}

} // namespace reedramp::ctl
