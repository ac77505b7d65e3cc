#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <capnp/common.h>
#include <capnp/message.h>

/// What the codecs of entries' messages share.
namespace reedramp::router {

auto text_of(capnp::Text::Reader text) -> std::string;

/// A time as messages hold it: whole milliseconds, none below 0, some weeks at the most.
auto told_ms(std::chrono::milliseconds time) -> std::uint32_t;

/// The message without packing.
auto flat_bytes(capnp::MessageBuilder& message) -> std::string;

/// The whole words of `bytes`, with the alignment that a socket's buffer does not have.
auto aligned_words(std::string_view bytes) -> std::vector<capnp::word>;

} // namespace reedramp::router
