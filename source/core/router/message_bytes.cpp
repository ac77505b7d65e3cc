#include "router/message_bytes.hpp"

#include <algorithm>
#include <cstring>
#include <limits>

#include <capnp/serialize.h>

namespace reedramp::router {

auto text_of(capnp::Text::Reader text) -> std::string
{
    return {text.cStr(), text.size()};
}

auto milliseconds_field(std::chrono::milliseconds time) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(time.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

auto serialise_flat(capnp::MessageBuilder& message) -> std::string
{
    const auto flat = capnp::messageToFlatArray(message);
    const auto bytes = flat.asBytes();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

auto copy_aligned(std::string_view bytes) -> std::vector<capnp::word>
{
    std::vector<capnp::word> aligned(bytes.size() / sizeof(capnp::word));
    if (!aligned.empty()) {
        std::memcpy(aligned.data(), bytes.data(), aligned.size() * sizeof(capnp::word));
    }
    return aligned;
}

} // namespace reedramp::router
