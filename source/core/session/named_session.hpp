#pragma once

#include <cstdint>
#include <string_view>

#include "common/ids.hpp"

namespace reedramp::session {

/// What the claim path needs to let the log decide the first pin of a name that a caller chose.
/// The first claim record of `key` wins; its `version` is the session's version.
struct name_claim {
    /// 128-bit fingerprint of organisation and name, apart from those of idempotency keys.
    common::request_id key;
    /// Fingerprint of the model, so that a name used for a second model is told apart.
    std::uint64_t body = 0;
};

auto make_name_claim(
    const common::organisation_id& organisation,
    const common::session_id& name,
    const common::model_id& model) -> name_claim;

} // namespace reedramp::session
