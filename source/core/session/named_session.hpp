#pragma once

#include <cstdint>
#include <string_view>

#include "common/ids.hpp"

namespace reedramp::session {

/// The claim of a session name that a caller has chosen. It lets the log decide which of several
/// concurrent requests pins the session first: the first claim record of `key` wins, and its
/// `version` is the session's version.
struct name_claim {
    /// 128-bit fingerprint of organisation and name; distinct from those of idempotency keys.
    common::request_id key;
    /// Fingerprint of the model, to detect that a name is used for a second model.
    std::uint64_t body = 0;
};

auto make_name_claim(
    const common::organisation_id& organisation,
    const common::session_id& name,
    const common::model_id& model) -> name_claim;

} // namespace reedramp::session
