#pragma once

#include <atomic>
#include <cstddef>

namespace reedramp::http {

/// Counts and bounds the bytes of requests that a server holds. From any thread.
class request_memory {
public:
    /// 0 if unlimited. Before the first request.
    auto set_limit(std::size_t bytes) -> void { this->limit = bytes; }

    /// Changes what one request holds from `before` to `after` bytes.
    auto change(std::size_t before, std::size_t after) -> void;

    /// Whether a request that holds `held` bytes may grow to `size` bytes. Large ones leave a part
    /// of the memory to small ones, which would else be refused for as long as a few uploads last.
    [[nodiscard]] auto has_room(std::size_t held, std::size_t size) const -> bool;

    /// Bytes of all requests.
    [[nodiscard]] auto total() const -> std::size_t { return this->sum; }

private:
    std::atomic<std::size_t> sum{0};
    std::size_t limit = 0;
};

} // namespace reedramp::http
