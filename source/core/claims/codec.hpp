#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "messages/peer.hpp"

namespace reedramp::claims {

/// One record of a partition's stream: the claims that a keeper gathered.
struct claim_batch {
    /// Tells a keeper its own records when it reads.
    common::request_id id;
    /// Keys whose claims all lie before this offset are forgotten from this record on, by all
    /// readers alike. At least 1.
    common::log_offset horizon{1};
    std::vector<messages::claim_request> claims;
};

/// The record as JSON text. Organisations are left out: a key's fingerprint contains its own.
auto serialise(const claim_batch& content) -> std::string;

/// Errors: `invalid_record`. Readers skip such a record alike.
auto parse(std::string_view record) -> common::result<claim_batch>;

} // namespace reedramp::claims
