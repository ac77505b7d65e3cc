#pragma once

#include <string>
#include <string_view>

/// Proofs that a side of a connection holds the shared key, without sending it.
namespace reedramp::wire {

inline constexpr std::size_t nonce_bytes = 32;

/// Fresh random bytes: an old proof is worth nothing for a new nonce.
auto make_nonce() -> std::string;

enum class proving_side { client, server };

/// HMAC-SHA256 over the side's label and both nonces. With the label a proof that was received
/// cannot be sent back as one's own; with both nonces neither side can choose what the other signs.
auto make_proof(
    std::string_view key,
    proving_side side,
    std::string_view client_nonce,
    std::string_view server_nonce) -> std::string;

/// Compares in a time that does not depend on where the two differ.
auto same_proof(std::string_view left, std::string_view right) -> bool;

} // namespace reedramp::wire
