#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"

/// Pinning of sessions to versions. A session keeps its version for its whole lifetime. The pin is
/// stored in a signed token that the caller sends with each request, so that no host has to store
/// it.
namespace reedramp::session {

using key_id = common::strong<struct key_tag, std::uint32_t>;

/// The model and version that a session is bound to.
struct pin {
    common::organisation_id organisation;
    common::session_id session;
    common::model_id model;
    common::version_id version;
    /// Wall-clock time from which the token is no longer accepted. Wall-clock time is the only
    /// clock that hosts share.
    common::wall_time_ms expires;

    auto operator<=>(const pin&) const = default;
};

struct signing_key {
    key_id id;
    /// At least `min_secret_bytes` random bytes. Must not be logged.
    std::string secret;
};

/// The keys of session tokens. Tokens are signed with `current` and accepted if signed with either
/// key.
///
/// To rotate keys without breaking sessions: configure the new key as `previous` in all processes,
/// then swap the two keys, and remove the old one after the maximum lifetime of a session.
struct key_ring {
    signing_key current;
    std::optional<signing_key> previous;
};

inline constexpr std::size_t min_secret_bytes = 32;

/// Maximum token length that `verify` decodes; longer tokens are rejected.
inline constexpr std::size_t max_token_bytes = 1024;

/// Maximum length of the organisation, session, model and version ids in a token, in bytes.
inline constexpr std::size_t max_field_bytes = 255;

/// Validates a key ring. Errors: `invalid_settings` for a secret that is too short, or for two keys
/// with the same id, since valid tokens of one of them would be rejected.
auto check(const key_ring& ring) -> common::result<void>;

/// Encodes and signs a pin. The token consists of base64url characters and is safe in an HTTP
/// header. Empty if a field is longer than `max_field_bytes` or the token longer than
/// `max_token_bytes`.
auto sign(const pin& content, const key_ring& ring) -> std::string;

/// Verifies and decodes a token. Errors: `bad_session_token` if it is malformed, its signature does
/// not match, its key is not in the ring, it has expired, or it belongs to another organisation.
auto verify(
    std::string_view token,
    const common::organisation_id& organisation,
    const key_ring& ring,
    common::wall_time_ms now) -> common::result<pin>;

} // namespace reedramp::session
