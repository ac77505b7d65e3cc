#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "claims/codec.hpp"
#include "common/ids.hpp"
#include "messages/peer.hpp"

namespace reedramp::claims {

/// The claim that holds a key.
struct held_claim {
    messages::claim_request claim;
    common::log_offset offset;
    /// Newest claim of the key, whether it won or lost.
    common::log_offset last;
    /// False if an older claim of the key may lie before the first record that was read; then it is
    /// not known for sure that this one won, and none may replace it.
    bool certain = true;
};

/// True if both are the same try of the same request: one that was appended twice.
auto same_claim(const messages::claim_request& one, const messages::claim_request& other) -> bool;

/// The fold of a partition's stream: which claim holds each key.
///
/// The first claim of a key in the order of the log holds it; a later one loses, unless it names
/// the offset of the holder in `replaces`. A key is forgotten when its newest claim lies before the
/// horizon that records carry. All this depends on the log alone, so that two keepers of a
/// partition come to the same winners. Not thread-safe; calls no hook.
class claim_table {
public:
    /// Empties the table; the next record to be read is `first`.
    auto reset(common::log_offset first) -> void;

    /// Takes the record at `offset`, which must be larger than all before it.
    auto apply(common::log_offset offset, const claim_batch& batch) -> void;

    /// Passes over a record that cannot be read.
    auto skip(common::log_offset offset) -> void { this->newest = offset; }

    [[nodiscard]] auto find(const common::request_id& key) const -> std::optional<held_claim>;

    /// Offset of the last record taken; one before `first` after a reset.
    [[nodiscard]] auto applied() const -> common::log_offset { return this->newest; }

    [[nodiscard]] auto horizon() const -> common::log_offset { return this->oldest_kept; }

    [[nodiscard]] auto size() const -> std::size_t { return this->keys.size(); }

private:
    /// Names stand once; entries hold their index.
    using name_index = std::uint32_t;

    struct entry {
        common::request_id request;
        std::uint64_t body = 0;
        common::incarnation_id incarnation;
        common::log_offset offset;
        common::log_offset last;
        common::attempt_number attempt;
        name_index server = 0;
        name_index version = 0;
        bool certain = true;
    };

    struct mention {
        common::log_offset offset;
        common::request_id key;
    };

    auto take(common::log_offset offset, const messages::claim_request& claim) -> void;
    auto hold(entry& item, common::log_offset offset, const messages::claim_request& claim) -> void;
    auto is_holder(const entry& item, const messages::claim_request& claim) const -> bool;
    auto prune(common::log_offset horizon) -> void;
    auto intern(const std::string& name) -> name_index;

    std::unordered_map<common::request_id, entry> keys;
    /// Claims in log order, so that pruning looks only at what it removes.
    std::deque<mention> mentions;
    std::vector<std::string> names{std::string{}};
    std::unordered_map<std::string, name_index> name_indexes{{std::string{}, 0}};
    common::log_offset first{1};
    common::log_offset newest;
    common::log_offset oldest_kept{1};
};

} // namespace reedramp::claims
