#include "claims/claim_table.hpp"

#include <algorithm>

#include "claims/fingerprint.hpp"

namespace reedramp::claims {

using common::log_offset;
using messages::claim_request;

auto same_claim(const claim_request& one, const claim_request& other) -> bool
{
    return one.request == other.request && one.attempt == other.attempt &&
           one.incarnation == other.incarnation && one.server == other.server &&
           one.version == other.version;
}

auto claim_table::reset(log_offset first_read) -> void
{
    *this = claim_table{};
    this->first_offset = std::max(first_read, log_offset{1});
    this->last_applied = log_offset{this->first_offset.value() - 1};
}

auto claim_table::apply(log_offset offset, const claim_batch& batch) -> void
{
    this->last_applied = offset;
    // A horizon beyond the record itself would expire claims that are not even written yet.
    this->discard_expired(std::min(batch.horizon, offset));
    for (const auto& claim : batch.claims) {
        this->apply_claim(offset, claim);
    }
}

auto claim_table::find(const common::request_id& key) const -> std::optional<held_claim>
{
    const auto found = this->keys.find(key);
    if (found == this->keys.end()) {
        return std::nullopt;
    }
    const auto& item = found->second;
    held_claim held;
    held.claim.key = key;
    held.claim.body = item.body;
    held.claim.request = item.request;
    held.claim.server = common::server_id{this->names[item.server]};
    held.claim.incarnation = item.incarnation;
    held.claim.attempt = item.attempt;
    held.claim.version = common::version_id{this->names[item.version]};
    held.offset = item.offset;
    held.last_claimed = item.last_claimed;
    held.is_certain = item.is_certain;
    return held;
}

auto claim_table::apply_claim(log_offset offset, const claim_request& claim) -> void
{
    this->claims_in_order.push_back({offset, claim.key});
    const auto [found, is_new] = this->keys.try_emplace(claim.key);
    auto& item = found->second;
    item.last_claimed = offset;
    if (is_new) {
        // The key has no other claim since the horizon in what was read. If the horizon lies before
        // the first record read, an earlier claim may have been missed. A renewal of a session name
        // repeats its holder, so it identifies the holder by itself.
        const auto is_renewal = claim.replaces.value() != 0 && is_session_name(claim);
        item.is_certain = this->current_horizon >= this->first_offset || is_renewal;
        this->set_holder(item, offset, claim);
        return;
    }
    if (claim.body != item.body || this->is_holder(item, claim)) {
        return;
    }
    const auto replaces_unread = claim.replaces.value() != 0 && claim.replaces < this->first_offset;
    if (claim.replaces == item.offset || (!item.is_certain && replaces_unread)) {
        this->set_holder(item, offset, claim);
    }
}

auto claim_table::set_holder(entry& item, log_offset offset, const claim_request& claim) -> void
{
    item.request = claim.request;
    item.body = claim.body;
    item.incarnation = claim.incarnation;
    item.offset = offset;
    item.attempt = claim.attempt;
    item.server = this->intern(claim.server.value());
    item.version = this->intern(claim.version.value());
}

auto claim_table::is_holder(const entry& item, const claim_request& claim) const -> bool
{
    return item.request == claim.request && item.attempt == claim.attempt &&
           item.incarnation == claim.incarnation &&
           this->names[item.server] == claim.server.value() &&
           this->names[item.version] == claim.version.value();
}

auto claim_table::discard_expired(log_offset horizon) -> void
{
    if (horizon <= this->current_horizon) {
        return;
    }
    this->current_horizon = horizon;
    while (!this->claims_in_order.empty() && this->claims_in_order.front().offset < horizon) {
        const auto oldest = this->claims_in_order.front();
        this->claims_in_order.pop_front();
        const auto found = this->keys.find(oldest.key);
        // A key with a later claim stays: that claim has its own element in `claims_in_order`.
        if (found != this->keys.end() && found->second.last_claimed == oldest.offset) {
            this->keys.erase(found);
        }
    }
}

auto claim_table::intern(const std::string& name) -> name_index
{
    const auto next = static_cast<name_index>(this->names.size());
    const auto [found, is_new] = this->name_indexes.try_emplace(name, next);
    if (is_new) {
        this->names.push_back(name);
    }
    return found->second;
}

} // namespace reedramp::claims
