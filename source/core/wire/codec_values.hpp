#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>

#include <capnp/blob.h>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "messages/run.hpp"
#include "wire/codec.hpp"
#include "wire/require.hpp"

/// Single values of the codec, for codec_run.cpp and codec_peer.cpp.
namespace reedramp::wire {

inline auto as_text(const std::string& from) -> capnp::Text::Reader
{
    return {from.c_str(), from.size()};
}

inline auto as_data(const std::string& from) -> capnp::Data::Reader
{
    return {reinterpret_cast<const kj::byte*>(from.data()), from.size()};
}

inline auto to_string(capnp::Text::Reader from) -> std::string
{
    return {from.begin(), from.size()};
}

inline auto to_string(capnp::Data::Reader from) -> std::string
{
    return {reinterpret_cast<const char*>(from.begin()), from.size()};
}

/// Both enumerations list the same values in the same order.
template <typename Into, typename From>
auto convert_enum(From from) -> Into
{
    return static_cast<Into>(from);
}

/// As above, for a value from outside, where `last` is the last that exists.
template <typename Into, typename From>
auto check_enum(From from, Into last) -> Into
{
    const auto number = static_cast<std::uint16_t>(from);
    require(number <= static_cast<std::uint16_t>(last), "unknown enumerator");
    return static_cast<Into>(number);
}

inline auto check_time(std::int64_t nanoseconds) -> common::duration
{
    const auto sent = common::duration{nanoseconds};
    return std::clamp(sent, common::duration::zero(), longest_time);
}

/// The age of evidence. A negative one would make evidence from the future of it, which would count
/// as fresh for as long as the sender likes; it is a sender's fault, and its message is refused.
inline auto check_age(std::int64_t nanoseconds) -> common::duration
{
    require(nanoseconds >= 0, "evidence from the future");
    return check_time(nanoseconds);
}

/// One value that is not a number would spoil each sum that it goes into.
inline auto check_number(double from) -> double
{
    require(std::isfinite(from), "not a finite number");
    return from;
}

inline auto encode(const common::request_id& from, schema::RequestId::Builder into) -> void
{
    into.setHigh(from.high);
    into.setLow(from.low);
}

inline auto decode(schema::RequestId::Reader from) -> common::request_id
{
    return {from.getHigh(), from.getLow()};
}

inline auto encode(const messages::usage& from, schema::Usage::Builder into) -> void
{
    into.setPromptTokens(from.prompt_tokens.value());
    into.setCompletionTokens(from.completion_tokens.value());
}

inline auto decode(schema::Usage::Reader from) -> messages::usage
{
    return {
        common::token_count{from.getPromptTokens()},
        common::token_count{from.getCompletionTokens()}};
}

} // namespace reedramp::wire
