#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <sys/socket.h>

#include <kj/async-io.h>

namespace reedramp::wire {

struct socket_address {
    sockaddr_storage storage{};
    socklen_t length = 0;
};

/// A numeric address and its port; empty if `ip` is none. Names are not looked up.
auto make_address(const std::string& ip, std::uint16_t port) -> std::optional<socket_address>;

/// Parses "IP:port", with an IPv6 address in brackets.
auto parse_address(const std::string& text) -> std::optional<socket_address>;

/// "IP:port", with an IPv6 address in brackets.
auto format_address(const std::string& ip, std::uint16_t port) -> std::string;

/// Sets what a connection between processes needs: no delay of small messages, and an end within
/// seconds when the other host is gone without a word. Without that end a run on a host that lost
/// its power would wait for its whole deadline.
auto tune_socket(kj::AsyncIoStream& stream) -> void;

/// A socket that tells Cap'n Proto a window of our choice for `-> stream` calls.
///
/// Cap'n Proto takes the kernel's send buffer for the window, which grows to megabytes. That much
/// would gather in an entry's memory for each caller that reads slowly.
class windowed_stream final : public kj::AsyncIoStream {
public:
    windowed_stream(kj::Own<kj::AsyncIoStream> stream, std::size_t window_bytes);
    virtual ~windowed_stream() = default;

    auto read(void* buffer, std::size_t least, std::size_t most)
        -> kj::Promise<std::size_t> override;
    auto tryRead(void* buffer, std::size_t least, std::size_t most)
        -> kj::Promise<std::size_t> override;
    auto write(const void* buffer, std::size_t size) -> kj::Promise<void> override;
    auto write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
        -> kj::Promise<void> override;
    auto whenWriteDisconnected() -> kj::Promise<void> override;
    auto shutdownWrite() -> void override;
    auto abortRead() -> void override;
    auto getsockopt(int level, int option, void* value, kj::uint* length) -> void override;

private:
    kj::Own<kj::AsyncIoStream> inner;
    int window;
};

} // namespace reedramp::wire
