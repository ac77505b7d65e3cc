#include "claims/fingerprint.hpp"

#include <array>
#include <cstdio>
#include <initializer_list>

#include <xxhash.h>

namespace reedramp::claims {

namespace {

/// Concatenates the texts with length prefixes, so that {"ab", "c"} and {"a", "bc"} differ.
auto joined(std::initializer_list<std::string_view> texts) -> std::string
{
    std::string all;
    for (const auto text : texts) {
        all += std::to_string(text.size());
        all += ':';
        all += text;
    }
    return all;
}

} // namespace

auto key_fingerprint(const common::organisation_id& organisation, std::string_view key)
    -> common::request_id
{
    const auto text = joined({organisation.value(), key});
    const auto hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

auto body_fingerprint(std::string_view method, std::string_view path, std::string_view body)
    -> std::uint64_t
{
    const auto head = joined({method, path});
    const auto seed = XXH3_64bits(head.data(), head.size());
    return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

auto is_session_name(const messages::claim_request& claim) -> bool
{
    return claim.server.value().empty() && !claim.version.value().empty();
}

auto partition_of(const messages::claim_request& claim) -> partition_id
{
    if (is_session_name(claim)) {
        const auto part = static_cast<std::uint32_t>(claim.key.low % name_partitions);
        return partition_id{request_partitions + part};
    }
    return partition_id{static_cast<std::uint32_t>(claim.key.low % request_partitions)};
}

auto stream_of(partition_id partition) -> std::string
{
    constexpr std::size_t longest_name = 32;
    std::array<char, longest_name> name{};
    const auto is_name = partition.value() >= request_partitions;
    const auto number = partition.value() - (is_name ? request_partitions : 0);
    std::snprintf(name.data(), name.size(), "%s-%02u", is_name ? "sessions" : "claims", number);
    return name.data();
}

} // namespace reedramp::claims
