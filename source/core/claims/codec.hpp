#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "messages/peer.hpp"

namespace reedramp::claims {

/// One record of a partition's stream: a batch of claims from one arbiter.
struct claim_batch {
    /// Random id by which an arbiter recognises its own records when it reads.
    common::request_id id;
    /// Keys whose claims all lie before this offset expire with this record, for all readers. At
    /// least 1.
    common::log_offset horizon{1};
    std::vector<messages::claim_request> claims;
};

/// Serialises the record as JSON. Organisations are omitted, since a key's fingerprint covers its
/// organisation.
auto serialise(const claim_batch& content) -> std::string;

/// Parses a record. Errors: `invalid_record`; all readers skip such a record.
auto parse(std::string_view record) -> common::result<claim_batch>;

} // namespace reedramp::claims
