#pragma once

#include <string>
#include <string_view>

#include "common/result.hpp"
#include "inventory/state.hpp"

namespace reedramp::inventory {

/// SHA-256 of the state's canonical text, as lower-case hexadecimal digits. Equal log prefixes give
/// equal digests, whatever way the records came.
auto digest(const state& current) -> std::string;

/// A record with the whole state and its digest. It goes into the log, and to peers that lack more
/// records than a process holds.
auto format_checkpoint(const state& current) -> std::string;

/// True if the text claims to be a checkpoint, sound or not.
auto looks_like_checkpoint(std::string_view text) -> bool;

/// Reads a checkpoint and checks the digest against what was read, so that a torn or altered one is
/// never taken. Errors: `bad_checkpoint`.
auto parse_checkpoint(std::string_view text) -> common::result<state>;

} // namespace reedramp::inventory
