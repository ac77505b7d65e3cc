#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"

/// Sessions keep their version for their whole life; the pin that says which travels in a signed
/// token with the caller, so that no host has to keep it.
namespace reedramp::session {

using key_id = common::strong<struct key_tag, std::uint32_t>;

/// What a session is bound to.
struct pin {
    common::organisation_id organisation;
    common::session_id session;
    common::model_id model;
    common::version_id version;
    /// Wall-clock time after which the token is no longer taken. Hosts share no other clock.
    common::wall_time_ms expires;

    auto operator<=>(const pin&) const = default;
};

struct signing_key {
    key_id id;
    /// At least `min_secret_bytes` random bytes; never logged.
    std::string secret;
};

/// Tokens are signed with `current` and taken when signed with either key.
///
/// Rotation without a broken session: give all processes the new key as `previous`, then swap the
/// two, then, after the longest life of a session, drop the old one.
struct key_ring {
    signing_key current;
    std::optional<signing_key> previous;
};

inline constexpr std::size_t min_secret_bytes = 32;

/// Longest token that `verify` looks at; a longer one is refused unread.
inline constexpr std::size_t max_token_bytes = 1024;

/// Longest organisation, session, model and version id that a token can carry, in bytes.
inline constexpr std::size_t max_field_bytes = 255;

/// Errors: `invalid_settings` for a secret that is too short, or two keys with one id, of which
/// one would be refused by chance.
auto check(const key_ring& ring) -> common::result<void>;

/// The pin as a token of base64url characters, safe in an HTTP header. Empty if a field is longer
/// than `max_field_bytes`, or all together make more than `max_token_bytes`.
auto sign(const pin& content, const key_ring& ring) -> std::string;

/// The pin in `token`. Errors: `bad_session_token` when it is malformed, its signature does not
/// match, its key is no longer in the ring, it has expired, or it is another organisation's.
auto verify(
    std::string_view token,
    const common::organisation_id& organisation,
    const key_ring& ring,
    common::wall_time_ms now) -> common::result<pin>;

} // namespace reedramp::session
