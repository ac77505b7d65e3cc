#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/strong.hpp"

namespace reedramp::routing {

/// A hash of what a request asks and who asks it: equal for a request that comes again under
/// another attempt id, at any entry. 0 is no request's.
using request_fingerprint = common::strong<struct request_print_tag, std::uint64_t>;

/// What tells one request from another. Ids and time limits of an attempt do not.
struct request_content {
    /// The organisation; empty on an open route.
    std::string_view caller;
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view body;
};

/// A cryptographic hash: what is remembered of one caller's request must not meet another's, also
/// where somebody looks for a body that does.
auto print_of(const request_content& content) -> request_fingerprint;

/// 16 lower-case hexadecimal digits.
auto to_string(request_fingerprint print) -> std::string;
auto parse_request_print(std::string_view text) -> std::optional<request_fingerprint>;

} // namespace reedramp::routing
