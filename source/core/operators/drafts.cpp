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

constexpr auto no_id = "unnamed";
constexpr std::size_t id_digits = 24;

/// The step that the controllers go on from: the last one with no larger share.
auto step_of(common::permille share) -> std::uint32_t
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

auto status_after(rollout_verb verb) -> rollout_status
{
    switch (verb) {
    case rollout_verb::pause:
        return rollout_status::paused;
    case rollout_verb::resume:
        return rollout_status::running;
    case rollout_verb::abort:
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
    draft made;
    made.has_id = source->contains("id");
    made.has_base = source->contains("base") || defaults.base.has_value();
    if (!made.has_id) {
        source->emplace("id", no_id);
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
    made.item = std::move(*record);
    return made;
}

auto finish(draft item, common::log_offset seen) -> inventory::record
{
    if (!item.has_base) {
        item.item.base = seen;
    }
    if (!item.has_id) {
        item.item.id = derived_id(item.item);
    }
    return std::move(item.item);
}

auto derived_id(const inventory::record& item) -> common::record_id
{
    auto content = item;
    content.id = common::record_id{no_id};
    content.author = "";
    content.at = common::wall_time_ms{0};
    const auto hash = inventory::sha256_hex(inventory::format_record(content));
    return common::record_id{"ctl-" + hash.substr(0, id_digits)};
}

auto make_record(
    std::vector<inventory::change> changes, const draft_defaults& defaults, common::log_offset seen)
    -> inventory::record
{
    inventory::record made;
    made.author = defaults.author;
    made.at = defaults.at;
    made.base = defaults.base.value_or(seen);
    made.changes = std::move(changes);
    made.id = derived_id(made);
    return made;
}

auto first_share() -> common::permille
{
    return control::default_steps().front().share;
}

auto start_rollout(const rollout_start& wanted) -> std::vector<inventory::change>
{
    inventory::rollout item;
    item.id = wanted.id;
    item.model = wanted.model;
    item.from = wanted.from;
    item.to = wanted.to;
    item.share = wanted.share;
    item.step = step_of(wanted.share);
    return {inventory::put_change{std::move(item)}};
}

auto parse_rollout_verb(std::string_view word) -> common::result<rollout_verb>
{
    if (word == "pause") {
        return rollout_verb::pause;
    }
    if (word == "resume") {
        return rollout_verb::resume;
    }
    if (word == "abort") {
        return rollout_verb::abort;
    }
    return failure(result_code::malformed_request, "a roll-out can start, pause, resume or abort");
}

auto steer_rollout(const inventory::state& current, const std::string& id, rollout_verb verb)
    -> common::result<std::vector<inventory::change>>
{
    const auto found = current.rollouts.find(id);
    if (found == current.rollouts.end()) {
        return failure(result_code::not_found, "there is no roll-out " + id);
    }
    auto item = found->second;
    if (item.status == status_after(verb)) {
        return std::vector<inventory::change>{};
    }
    item.status = status_after(verb);
    return std::vector<inventory::change>{inventory::put_change{std::move(item)}};
}

} // namespace reedramp::operators
