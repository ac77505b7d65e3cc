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

/// Helpers shared by the codecs of messages between entries.
namespace reedramp::router {

/// Traversal limit for reading a datagram, in Cap'n Proto words. A datagram itself holds 8,192.
inline constexpr std::uint64_t datagram_traversal_limit = 64UL * 1024UL;

auto text_of(capnp::Text::Reader text) -> std::string;

/// Converts a duration to the whole milliseconds of a message field, clamped to 0 and to the
/// field's maximum of some weeks.
auto milliseconds_field(std::chrono::milliseconds time) -> std::uint32_t;

/// Serialises the message in Cap'n Proto's unpacked format.
auto serialise_flat(capnp::MessageBuilder& message) -> std::string;

/// Copies the whole words of `bytes` into aligned memory. A socket buffer has no such alignment.
auto copy_aligned(std::string_view bytes) -> std::vector<capnp::word>;

/// Calls `read` with the root of an unpacked message. Returns false if `bytes` is not a valid
/// message, or if reading it exceeds the traversal limit of `max_words`.
template <typename Schema, typename Read>
auto read_flat(std::string_view bytes, std::uint64_t max_words, Read read) -> bool
{
    const auto aligned = copy_aligned(bytes);
    if (aligned.empty()) {
        return false;
    }
    const auto problem = kj::runCatchingExceptions([&] {
        capnp::ReaderOptions limits;
        limits.traversalLimitInWords = max_words;
        capnp::FlatArrayMessageReader reader(
            kj::ArrayPtr<const capnp::word>(aligned.data(), aligned.size()), limits);
        read(reader.getRoot<Schema>());
    });
    return problem == nullptr;
}

} // namespace reedramp::router
