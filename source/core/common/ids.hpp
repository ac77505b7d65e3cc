#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/strong.hpp"

namespace reedramp::common {

using organisation_id = strong<struct organisation_tag, std::string>;
using model_id = strong<struct model_tag, std::string>;
using version_id = strong<struct version_tag, std::string>;
using server_id = strong<struct server_tag, std::string>;
using host_id = strong<struct host_tag, std::string>;
using data_centre_id = strong<struct data_centre_tag, std::string>;
using region_id = strong<struct region_tag, std::string>;
using session_id = strong<struct session_tag, std::string>;
using service_name = strong<struct service_tag, std::string>;
using task_name = strong<struct task_tag, std::string>;
using record_id = strong<struct record_tag, std::string>;

/// Position of a record in one stream of the platform's log. The first record has offset 1, so that
/// 0 means "before everything".
using log_offset = strong<struct log_offset_tag, std::uint64_t>;

/// One life of an agent process: the log offset of its registration, or a random number while the
/// log is down. A replaced agent has another one and so refuses what was sent to its predecessor.
using incarnation_id = strong<struct incarnation_tag, std::uint64_t>;

/// The how-manieth time an entry tries a request, from 1.
using attempt_number = strong<struct attempt_tag, std::uint32_t>;

/// 128 random bits that name one request of a caller.
struct request_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    constexpr auto operator<=>(const request_id&) const = default; // NOLINT(modernize-use-nullptr)
};

/// 32 lower-case hexadecimal digits.
auto to_string(const request_id& id) -> std::string;
auto parse_request_id(std::string_view text) -> std::optional<request_id>;
auto operator<<(std::ostream& out, const request_id& id) -> std::ostream&;

} // namespace reedramp::common

template <>
struct std::hash<reedramp::common::request_id> {
    auto operator()(const reedramp::common::request_id& id) const -> std::size_t
    {
        return id.high ^ (id.low * 0x9e3779b97f4a7c15ULL);
    }
};
