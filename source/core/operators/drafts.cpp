#include "operators/drafts.hpp"

#include <utility>

#include "control/rollout.hpp"
#include "inventory/hash.hpp"
#include "platform/json_fields.hpp"

namespace reedramp::operators {

namespace json = boost::json;
using common::failure;
using common::result_code;
using inventory::rollout_status;

namespace {

constexpr auto placeholder_id = "unnamed";
constexpr std::size_t id_digits = 24;

/// Index of the step from which the controllers continue: the last one whose share is at most
/// `share`.
auto step_for_share(common::permille share) -> std::uint32_t
{
    const auto steps = control::default_steps();
    std::uint32_t found = 0;
    for (std::uint32_t index = 0; index < steps.size(); ++index) {
        if (steps[index].share <= share) {
            found = index;
        }
    }
    return found;
}

auto status_after(rollout_action action) -> rollout_status
{
    switch (action) {
    case rollout_action::pause:
        return rollout_status::paused;
    case rollout_action::resume:
        return rollout_status::running;
    case rollout_action::abort:
        return rollout_status::aborted;
    }
    return rollout_status::paused;
}

} // namespace

auto read_draft(std::string_view text, const draft_defaults& defaults) -> common::result<draft>
{
    auto source = platform::parse_object(text);
    if (!source) {
        return failure(result_code::invalid_record, "the file is not a JSON object");
    }
    draft result;
    result.has_id = source->contains("id");
    result.has_base = source->contains("base") || defaults.base.has_value();
    if (!result.has_id) {
        source->emplace("id", placeholder_id);
    }
    if (!source->contains("author")) {
        source->emplace("author", defaults.author);
    }
    if (!source->contains("at")) {
        source->emplace("at", defaults.at.value());
    }
    if (defaults.base) {
        (*source)["base"] = defaults.base->value();
    }
    auto record = inventory::parse_record(json::serialize(*source));
    if (!record) {
        return tl::unexpected(record.error());
    }
    result.item = std::move(*record);
    return result;
}

auto complete_draft(draft item, common::log_offset current_offset) -> inventory::record
{
    if (!item.has_base) {
        item.item.base = current_offset;
    }
    if (!item.has_id) {
        item.item.id = derive_record_id(item.item);
    }
    return std::move(item.item);
}

auto derive_record_id(const inventory::record& item) -> common::record_id
{
    auto content = item;
    content.id = common::record_id{placeholder_id};
    content.author = "";
    content.at = common::wall_time_ms{0};
    const auto hash = inventory::sha256_hex(inventory::format_record(content));
    return common::record_id{"ctl-" + hash.substr(0, id_digits)};
}

auto make_record(
    std::vector<inventory::change> changes,
    const draft_defaults& defaults,
    common::log_offset current_offset) -> inventory::record
{
    inventory::record result;
    result.author = defaults.author;
    result.at = defaults.at;
    result.base = defaults.base.value_or(current_offset);
    result.changes = std::move(changes);
    result.id = derive_record_id(result);
    return result;
}

auto default_first_share() -> common::permille
{
    return control::default_steps().front().share;
}

auto make_rollout_changes(const rollout_settings& settings) -> std::vector<inventory::change>
{
    inventory::rollout item;
    item.id = settings.id;
    item.model = settings.model;
    item.from = settings.from;
    item.to = settings.to;
    item.share = settings.share;
    item.step = step_for_share(settings.share);
    return {inventory::put_change{std::move(item)}};
}

auto parse_rollout_action(std::string_view word) -> common::result<rollout_action>
{
    if (word == "pause") {
        return rollout_action::pause;
    }
    if (word == "resume") {
        return rollout_action::resume;
    }
    if (word == "abort") {
        return rollout_action::abort;
    }
    return failure(
        result_code::malformed_request,
        "the action of a roll-out must be start, pause, resume or abort");
}

auto change_rollout_status(
    const inventory::state& current, const std::string& id, rollout_action action)
    -> common::result<std::vector<inventory::change>>
{
    const auto found = current.rollouts.find(id);
    if (found == current.rollouts.end()) {
        return failure(result_code::not_found, "unknown roll-out " + id);
    }
    auto item = found->second;
    if (item.status == status_after(action)) {
        return std::vector<inventory::change>{};
    }
    item.status = status_after(action);
    return std::vector<inventory::change>{inventory::put_change{std::move(item)}};
}

} // namespace reedramp::operators
