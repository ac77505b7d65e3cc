#include "daemon/secret.hpp"

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace reedramp::daemon {

using common::failure;
using common::result_code;

namespace {

auto read_file(const std::string& path) -> common::result<std::string>
{
    std::ifstream file{path, std::ios::binary};
    std::string text{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
    if (!file.is_open() || file.bad()) {
        return failure(result_code::invalid_settings, "cannot read the secret's file " + path);
    }
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
        text.pop_back();
    }
    return text;
}

auto read_variable(const char* name) -> common::result<std::string>
{
    // Only at start, before there are threads that could change the environment.
    const auto* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    if (text == nullptr) {
        return failure(
            result_code::invalid_settings,
            std::string("the secret is neither in a file nor in ") + name);
    }
    return std::string(text);
}

} // namespace

auto read_secret(const std::string& file, const char* variable) -> common::result<std::string>
{
    auto secret = file.empty() ? read_variable(variable) : read_file(file);
    if (secret && secret->size() < least_secret_bytes) {
        return failure(
            result_code::invalid_settings,
            "the secret has less than " + std::to_string(least_secret_bytes) + " bytes");
    }
    return secret;
}

} // namespace reedramp::daemon
