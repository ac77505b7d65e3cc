#include "session/named_session.hpp"

#include <string>

#include <xxhash.h>

namespace reedramp::session {

namespace {

/// Hash seed that separates session names from idempotency keys, which `claims` fingerprints.
constexpr std::uint64_t name_seed = 0x73657373696f6e31ULL;

} // namespace

auto make_name_claim(
    const common::organisation_id& organisation,
    const common::session_id& name,
    const common::model_id& model) -> name_claim
{
    // The length prefix distinguishes "ab" + "c" from "a" + "bc".
    const auto text =
        std::to_string(organisation.value().size()) + ':' + organisation.value() + name.value();
    const auto hash = XXH3_128bits_withSeed(text.data(), text.size(), name_seed);
    const auto& model_text = model.value();
    return {
        {hash.high64, hash.low64},
        XXH3_64bits_withSeed(model_text.data(), model_text.size(), name_seed)};
}

} // namespace reedramp::session
