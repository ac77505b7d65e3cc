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
    this->first = std::max(first_read, log_offset{1});
    this->newest = log_offset{this->first.value() - 1};
}

auto claim_table::apply(log_offset offset, const claim_batch& batch) -> void
{
    this->newest = offset;
    // A record that named a horizon beyond itself would make all later claims look forgotten.
    this->prune(std::min(batch.horizon, offset));
    for (const auto& claim : batch.claims) {
        this->take(offset, claim);
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
    held.last = item.last;
    held.certain = item.certain;
    return held;
}

auto claim_table::take(log_offset offset, const claim_request& claim) -> void
{
    this->mentions.push_back({offset, claim.key});
    const auto [found, is_new] = this->keys.try_emplace(claim.key);
    auto& item = found->second;
    item.last = offset;
    if (is_new) {
        // Nobody else claimed the key since the horizon. If that lies before the first record that
        // was read, an earlier claim may be among those not read.
        // Renewals of a session name repeat the holder, so that the first one read tells it.
        const auto is_renewal = claim.replaces.value() != 0 && is_session_name(claim);
        item.certain = this->oldest_kept >= this->first || is_renewal;
        this->hold(item, offset, claim);
        return;
    }
    if (claim.body != item.body || this->is_holder(item, claim)) {
        return;
    }
    const auto replaces_unread = claim.replaces.value() != 0 && claim.replaces < this->first;
    if (claim.replaces == item.offset || (!item.certain && replaces_unread)) {
        this->hold(item, offset, claim);
    }
}

auto claim_table::hold(entry& item, log_offset offset, const claim_request& claim) -> void
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

auto claim_table::prune(log_offset horizon) -> void
{
    if (horizon <= this->oldest_kept) {
        return;
    }
    this->oldest_kept = horizon;
    while (!this->mentions.empty() && this->mentions.front().offset < horizon) {
        const auto mentioned = this->mentions.front();
        this->mentions.pop_front();
        const auto found = this->keys.find(mentioned.key);
        // A key claimed again later stays; its later claim is a mention of its own.
        if (found != this->keys.end() && found->second.last == mentioned.offset) {
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
