#pragma once

#include <cstddef>
#include <string>

#include "common/result.hpp"

namespace reedramp::daemon {

/// The environment variable of the key that the system's processes share.
inline constexpr auto shared_key_variable = "REEDRAMP_SHARED_KEY";

inline constexpr std::size_t least_secret_bytes = 16;

/// Reads a secret from a file, without the line end after it, or from an environment variable if
/// `file` is empty. It is never part of the settings, which people print and pass on.
///
/// Errors: `invalid_settings` when it cannot be read or has less than `least_secret_bytes`; the
/// text of the error does not hold the secret.
auto read_secret(const std::string& file, const char* variable) -> common::result<std::string>;

} // namespace reedramp::daemon
