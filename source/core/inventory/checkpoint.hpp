#pragma once

#include <string>
#include <string_view>

#include "common/result.hpp"
#include "inventory/state.hpp"

namespace reedramp::inventory {

/// SHA-256 of the state's canonical text, in lower-case hexadecimal digits. Equal log prefixes have
/// equal digests, whether the records came from the log or from peers.
auto digest(const state& current) -> std::string;

/// Formats a record with the whole state and its digest. It is appended to the log, and sent to
/// peers that lack more records than this process keeps.
auto format_checkpoint(const state& current) -> std::string;

/// Whether the text has the form of a checkpoint, valid or not.
auto looks_like_checkpoint(std::string_view text) -> bool;

/// Parses a checkpoint and verifies its digest, so that a truncated or altered one is never used.
/// The error is `bad_checkpoint`.
auto parse_checkpoint(std::string_view text) -> common::result<state>;

} // namespace reedramp::inventory
