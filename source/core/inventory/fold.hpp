#pragma once

#include "common/result.hpp"
#include "inventory/state.hpp"
#include "messages/peer.hpp"

namespace reedramp::inventory {

/// What folding one record did.
enum class fold_step : std::uint8_t {
    accepted,
    /// Refused: conflict, invalid, malformed. The state moves past it and lists it.
    rejected,
    /// A record id that was decided before, a sound checkpoint; nothing but the offset changed.
    no_change,
    /// The record's offset is not after the state's; the state is untouched.
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
/// {"checkpoint":{...}}. All of a record's changes are accepted, or none. It is refused with
/// `conflict` if an entity that it puts or removes was changed after `base`; so of two operators
/// who race, the first in log order wins, and all readers see the same winner. Withdrawals need no
/// base: they only ever add to a set.
///
/// Unknown members are refused, not skipped: a misspelt rule would otherwise pass unseen.
auto apply(state& current, const messages::log_record& record) -> fold_outcome;

} // namespace reedramp::inventory
