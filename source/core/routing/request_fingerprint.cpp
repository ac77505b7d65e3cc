#include "routing/request_fingerprint.hpp"

#include <array>
#include <charconv>
#include <cstdio>
#include <cstring>

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/nil_generator.hpp>
#include <boost/uuid/uuid.hpp>

namespace reedramp::routing {

namespace {

/// Creates a name-based UUID (RFC 4122, 4.3) in the namespace of the previous one, so that adjacent
/// fields can't be confused.
auto within(const boost::uuids::uuid& space, std::string_view name) -> boost::uuids::uuid
{
    return boost::uuids::name_generator_sha1{space}(name.data(), name.size());
}

} // namespace

auto fingerprint_of(const request_content& content) -> request_fingerprint
{
    auto id = boost::uuids::nil_uuid();
    for (const auto field :
         {content.caller, content.method, content.host, content.target, content.body}) {
        id = within(id, field);
    }
    // The version and variant, 6 constant bits, are in different halves.
    std::array<std::uint64_t, 2> halves{};
    std::memcpy(halves.data(), id.data, sizeof(halves));
    return request_fingerprint{halves[0] ^ halves[1]};
}

auto to_string(request_fingerprint fingerprint) -> std::string
{
    std::array<char, 17> digits{};
    std::snprintf(
        digits.data(),
        digits.size(),
        "%016llx",
        static_cast<unsigned long long>(fingerprint.value())); // NOLINT(google-runtime-int)
    return digits.data();
}

auto parse_request_fingerprint(std::string_view text) -> std::optional<request_fingerprint>
{
    constexpr std::size_t digits = 16;
    constexpr int hexadecimal = 16;
    std::uint64_t value = 0;
    const auto* last = text.data() + text.size();
    const auto read = std::from_chars(text.data(), last, value, hexadecimal);
    if (text.size() != digits || read.ec != std::errc{} || read.ptr != last || value == 0) {
        return std::nullopt;
    }
    return request_fingerprint{value};
}

} // namespace reedramp::routing
