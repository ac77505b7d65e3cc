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

/// The claim that currently holds a key.
struct held_claim {
    messages::claim_request claim;
    common::log_offset offset;
    /// Offset of the key's newest claim, whether it won or lost.
    common::log_offset last_claimed;
    /// False if an older claim of the key may lie before the first record that was read. This claim
    /// may then have lost, so it must not be replaced.
    bool is_certain = true;
};

/// True if both claims are for the same attempt of the same request, e.g. one claim appended
/// twice.
auto same_claim(const messages::claim_request& one, const messages::claim_request& other) -> bool;

/// State of one partition, built by replaying its stream: the claim that holds each key.
///
/// The first claim of a key in log order holds it. A later claim loses unless its `replaces` is the
/// offset of the holder. A key expires when its newest claim lies before the horizon stored in the
/// records. The result depends only on the log, so all arbiters of a partition agree on the
/// winners. Not thread-safe; calls no hooks.
class claim_table {
public:
    /// Clears the table. Replay starts with the record at `first_offset`.
    auto reset(common::log_offset first_offset) -> void;

    /// Applies the record at `offset`. Offsets must increase from call to call.
    auto apply(common::log_offset offset, const claim_batch& batch) -> void;

    /// Skips a malformed record.
    auto skip(common::log_offset offset) -> void { this->last_applied = offset; }

    [[nodiscard]] auto find(const common::request_id& key) const -> std::optional<held_claim>;

    /// Offset of the last record applied or skipped; `first_offset` - 1 after a reset.
    [[nodiscard]] auto applied() const -> common::log_offset { return this->last_applied; }

    [[nodiscard]] auto horizon() const -> common::log_offset { return this->current_horizon; }

    [[nodiscard]] auto size() const -> std::size_t { return this->keys.size(); }

private:
    /// Index into `names`: server and version names are interned, since many entries share them.
    using name_index = std::uint32_t;

    struct entry {
        common::request_id request;
        std::uint64_t body = 0;
        common::incarnation_id incarnation;
        common::log_offset offset;
        common::log_offset last_claimed;
        common::attempt_number attempt;
        name_index server = 0;
        name_index version = 0;
        bool is_certain = true;
    };

    struct logged_claim {
        common::log_offset offset;
        common::request_id key;
    };

    auto apply_claim(common::log_offset offset, const messages::claim_request& claim) -> void;
    auto set_holder(entry& item, common::log_offset offset, const messages::claim_request& claim)
        -> void;
    auto is_holder(const entry& item, const messages::claim_request& claim) const -> bool;
    auto discard_expired(common::log_offset horizon) -> void;
    auto intern(const std::string& name) -> name_index;

    std::unordered_map<common::request_id, entry> keys;
    /// All claims in log order, so that expiry visits only the claims that it removes.
    std::deque<logged_claim> claims_in_order;
    std::vector<std::string> names{std::string{}};
    std::unordered_map<std::string, name_index> name_indexes{{std::string{}, 0}};
    common::log_offset first_offset{1};
    common::log_offset last_applied;
    common::log_offset current_horizon{1};
};

} // namespace reedramp::claims
