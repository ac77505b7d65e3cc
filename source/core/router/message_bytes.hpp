#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <capnp/common.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

/// What the codecs of entries' messages share.
namespace reedramp::router {

/// Words of Cap'n Proto that a datagram may make the reader visit; it has 8,192.
inline constexpr std::uint64_t datagram_words = 64UL * 1024UL;

auto text_of(capnp::Text::Reader text) -> std::string;

/// A time as messages hold it: whole milliseconds, none below 0, some weeks at the most.
auto told_ms(std::chrono::milliseconds time) -> std::uint32_t;

/// The message without packing.
auto flat_bytes(capnp::MessageBuilder& message) -> std::string;

/// The whole words of `bytes`, with the alignment that a socket's buffer does not have.
auto aligned_words(std::string_view bytes) -> std::vector<capnp::word>;

/// Calls `read` with the root of a message without packing. False for bytes that are no such
/// message, or that make the reader visit more than `most_words`.
template <typename Schema, typename Read>
auto read_flat(std::string_view bytes, std::uint64_t most_words, Read read) -> bool
{
    const auto aligned = aligned_words(bytes);
    if (aligned.empty()) {
        return false;
    }
    const auto problem = kj::runCatchingExceptions([&] {
        capnp::ReaderOptions limits;
        limits.traversalLimitInWords = most_words;
        capnp::FlatArrayMessageReader reader(
            kj::ArrayPtr<const capnp::word>(aligned.data(), aligned.size()), limits);
        read(reader.getRoot<Schema>());
    });
    return problem == nullptr;
}

} // namespace reedramp::router
