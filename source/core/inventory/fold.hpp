#pragma once

#include "common/result.hpp"
#include "inventory/state.hpp"
#include "messages/peer.hpp"

namespace reedramp::inventory {

/// Effect of folding one record.
enum class fold_step : std::uint8_t {
    accepted,
    /// Refused as a conflict, invalid or malformed. The state advances past the record and lists
    /// it.
    rejected,
    /// A record id that was folded before, or a valid checkpoint: the entities are unchanged.
    no_change,
    /// The record's offset is not after the state's; the state is unchanged.
    already_folded,
};

struct fold_outcome {
    fold_step step = fold_step::no_change;
    common::result_code code = common::result_code::ok;
    std::string why;
};

/// Folds one record into the state. Never throws on bad input.
///
/// A record is a JSON object {"id","author","at","base","changes":[...]}, each change one of
/// {"put":KIND,"value":{...}}, {"remove":KIND,"id":ID}, {"withdraw":VERSION}, {"rollout":{...}}; or
/// {"checkpoint":{...}}. Either all changes of a record are accepted or none. A record is refused
/// with `conflict` if an entity that it puts or removes was changed after `base`: of two concurrent
/// changes the first in log order wins, in all processes. Withdrawals need no base, since they only
/// add to a set.
///
/// Unknown members are refused rather than ignored, so that a misspelt rule is noticed.
auto apply(state& current, const messages::log_record& record) -> fold_outcome;

} // namespace reedramp::inventory
