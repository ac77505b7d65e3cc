#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/strong.hpp"

namespace reedramp::routing {

/// Hash of a request's content and caller: equal at every entry for a request that is repeated
/// under another attempt id. 0 stands for no request.
using request_fingerprint = common::strong<struct request_print_tag, std::uint64_t>;

/// The content that distinguishes requests. Attempt ids and time limits are not part of it.
struct request_content {
    /// Name of the organisation; empty on an open route.
    std::string_view caller;
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view body;
};

/// Computes the fingerprint. The hash is cryptographic, so that no caller can construct a body that
/// collides with another caller's request.
auto fingerprint_of(const request_content& content) -> request_fingerprint;

/// 16 lower-case hexadecimal digits.
auto to_string(request_fingerprint fingerprint) -> std::string;
auto parse_request_fingerprint(std::string_view text) -> std::optional<request_fingerprint>;

} // namespace reedramp::routing
