#include "inventory/fold.hpp"

#include <algorithm>
#include <utility>

#include "inventory/checkpoint.hpp"
#include "inventory/record.hpp"
#include "inventory/state_edit.hpp"

namespace reedramp::inventory {

using common::failure;
using common::result_code;

namespace {

/// Longer records are refused without parsing; the largest expected checkpoint is far smaller.
constexpr std::size_t max_record_bytes = std::size_t{16} << 20U;

/// Maximum length of a reason kept in the state, since a reason may quote the record.
constexpr std::size_t max_reason_size = 512;

auto target_of(const change& item) -> std::optional<entity_ref>
{
    if (const auto* put = std::get_if<put_change>(&item)) {
        return ref_of(put->value);
    }
    if (const auto* removal = std::get_if<remove_change>(&item)) {
        return removal->target;
    }
    return std::nullopt;
}

/// Describes the record that changed the entity after the base, and what else it changed.
auto describe_winner(const state& current, const entity_ref& item, common::log_offset at)
    -> std::string
{
    auto text = to_string(item) + " was changed at offset " + std::to_string(at.value());
    const auto* winner = current.find_outcome_at(at);
    if (winner == nullptr) {
        return text;
    }
    text += " by " + winner->author + " in record " + winner->id.value() + " (";
    std::string separator;
    for (const auto& touched : winner->touched) {
        text += separator + to_string(touched);
        separator = ", ";
    }
    if (winner->touched_count > winner->touched.size()) {
        text += ", and " + std::to_string(winner->touched_count - winner->touched.size()) + " more";
    }
    return text + ")";
}

auto check_base(const state& current, const record& item) -> common::result<void>
{
    if (item.base >= current.offset) {
        return failure(result_code::invalid_record, "base is not before the record itself");
    }
    for (const auto& entry : item.changes) {
        const auto target = target_of(entry);
        if (!target) {
            continue;
        }
        if (item.base < current.base_floor) {
            const auto floor = std::to_string(current.base_floor.value());
            return failure(result_code::conflict, "base is older than offset " + floor);
        }
        const auto changed = current.changed_at(*target);
        if (changed > item.base) {
            auto why = describe_winner(current, *target, changed);
            return failure(
                result_code::conflict, why + "; base " + std::to_string(item.base.value()));
        }
    }
    return {};
}

/// Rejects a record that puts or removes the same entity twice.
auto check_targets(const record& item) -> common::result<void>
{
    std::set<entity_ref> seen;
    for (const auto& entry : item.changes) {
        const auto target = target_of(entry);
        if (target && !seen.insert(*target).second) {
            return failure(result_code::invalid_record, to_string(*target) + " is changed twice");
        }
    }
    return {};
}

auto edit_all(state_edit& edit, record& item, common::log_offset at) -> void
{
    for (auto& entry : item.changes) {
        if (auto* put = std::get_if<put_change>(&entry)) {
            edit.put(std::move(put->value), at);
        }
        else if (const auto* removal = std::get_if<remove_change>(&entry)) {
            edit.remove(removal->target, at);
        }
        else if (const auto* withdrawn = std::get_if<withdraw_change>(&entry)) {
            edit.withdraw(withdrawn->version, at);
        }
    }
}

auto decide(state& current, record& item) -> common::result<void>
{
    auto checked = check_targets(item);
    if (checked) {
        checked = check_base(current, item);
    }
    if (!checked) {
        return checked;
    }
    state_edit edit(current);
    edit_all(edit, item, current.offset);
    checked = check_consistency(current, edit.before());
    if (!checked) {
        edit.undo();
    }
    return checked;
}

auto outcome_of(const record& item, common::log_offset at) -> record_outcome
{
    record_outcome made;
    made.id = item.id;
    made.offset = at;
    made.author = item.author;
    made.at = item.at;
    made.touched_count = item.changes.size();
    for (const auto& entry : item.changes) {
        if (made.touched.size() == max_named_entities) {
            break;
        }
        const auto* withdrawn = std::get_if<withdraw_change>(&entry);
        made.touched.push_back(
            withdrawn != nullptr ? entity_ref{entity_kind::version, withdrawn->version.value()}
                                 : *target_of(entry));
    }
    return made;
}

auto add_problem(state& current, record_outcome item) -> void
{
    current.problems.push_back(std::move(item));
    if (current.problems.size() > max_problems) {
        current.problems.pop_front();
    }
}

/// Adds an outcome and drops the oldest one beyond the limit. Records with a base before the
/// dropped one are refused from then on. This also refuses a late duplicate of the dropped record,
/// whose base is older still.
auto add_recent_outcome(state& current, record_outcome item) -> void
{
    current.recent.push_back(std::move(item));
    if (current.recent.size() <= max_recent_outcomes) {
        return;
    }
    current.base_floor = current.recent.front().offset;
    current.recent.pop_front();
    std::erase_if(current.removed, [&current](const auto& entry) {
        return entry.second <= current.base_floor;
    });
}

auto reject(state& current, result_code code, std::string why) -> fold_outcome
{
    record_outcome item;
    item.offset = current.offset;
    item.code = code;
    item.why = why.substr(0, max_reason_size);
    add_problem(current, item);
    return {fold_step::rejected, code, std::move(item.why)};
}

auto fold_checkpoint(state& current, std::string_view text) -> fold_outcome
{
    const auto sound = parse_checkpoint(text);
    if (!sound) {
        return reject(current, result_code::bad_checkpoint, sound.error().detail);
    }
    if (sound->offset >= current.offset) {
        return reject(current, result_code::bad_checkpoint, "it claims a later offset");
    }
    current.checkpoint = std::max(current.checkpoint, sound->offset);
    return {};
}

} // namespace

auto apply(state& current, const messages::log_record& source) -> fold_outcome
{
    if (source.offset <= current.offset) {
        return {fold_step::already_folded, result_code::ok, {}};
    }
    current.offset = source.offset;
    if (source.data.size() > max_record_bytes) {
        return reject(current, result_code::invalid_record, "the record is too long");
    }
    if (looks_like_checkpoint(source.data)) {
        return fold_checkpoint(current, source.data);
    }
    auto item = parse_record(source.data);
    if (!item) {
        return reject(current, result_code::invalid_record, item.error().detail);
    }
    if (current.find_outcome(item->id) != nullptr) {
        return {};
    }
    auto outcome = outcome_of(*item, source.offset);
    const auto decided = decide(current, *item);
    if (!decided) {
        outcome.code = decided.error().code;
        outcome.why = decided.error().detail.substr(0, max_reason_size);
        add_problem(current, outcome);
    }
    fold_outcome made{fold_step::accepted, outcome.code, outcome.why};
    if (!decided) {
        made.step = fold_step::rejected;
    }
    add_recent_outcome(current, std::move(outcome));
    return made;
}

} // namespace reedramp::inventory
