#include "wire/socket.hpp"

#include <charconv>
#include <cstring>
#include <limits>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace reedramp::wire {

namespace {

constexpr int keepalive_idle_seconds = 3;
constexpr int keepalive_interval_seconds = 2;
constexpr int keepalive_probes = 3;
constexpr unsigned int unacknowledged_limit_ms = 9000;

template <typename Value>
auto set_option(kj::AsyncIoStream& stream, int level, int option, Value value) -> void
{
    stream.setsockopt(level, option, &value, sizeof(value));
}

} // namespace

auto make_address(const std::string& ip, std::uint16_t port) -> std::optional<socket_address>
{
    socket_address made;
    sockaddr_in four{};
    if (inet_pton(AF_INET, ip.c_str(), &four.sin_addr) == 1) {
        four.sin_family = AF_INET;
        four.sin_port = htons(port);
        std::memcpy(&made.storage, &four, sizeof(four));
        made.length = sizeof(four);
        return made;
    }
    sockaddr_in6 six{};
    if (inet_pton(AF_INET6, ip.c_str(), &six.sin6_addr) == 1) {
        six.sin6_family = AF_INET6;
        six.sin6_port = htons(port);
        std::memcpy(&made.storage, &six, sizeof(six));
        made.length = sizeof(six);
        return made;
    }
    return std::nullopt;
}

auto parse_address(const std::string& text) -> std::optional<socket_address>
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || port == 0) {
        return std::nullopt;
    }
    return make_address(ip, port);
}

auto format_address(const std::string& ip, std::uint16_t port) -> std::string
{
    const bool six = ip.find(':') != std::string::npos;
    return (six ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

auto tune_socket(kj::AsyncIoStream& stream) -> void
{
    set_option(stream, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(stream, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_seconds);
    set_option(stream, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_seconds);
    set_option(stream, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(stream, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms);
}

windowed_stream::windowed_stream(kj::Own<kj::AsyncIoStream> stream, std::size_t window_bytes)
    : inner(kj::mv(stream)), window(static_cast<int>(window_bytes))
{
}

auto windowed_stream::read(void* buffer, std::size_t least, std::size_t most)
    -> kj::Promise<std::size_t>
{
    return this->inner->read(buffer, least, most);
}

auto windowed_stream::tryRead(void* buffer, std::size_t least, std::size_t most)
    -> kj::Promise<std::size_t>
{
    return this->inner->tryRead(buffer, least, most);
}

auto windowed_stream::write(const void* buffer, std::size_t size) -> kj::Promise<void>
{
    return this->inner->write(buffer, size);
}

auto windowed_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
    -> kj::Promise<void>
{
    return this->inner->write(pieces);
}

auto windowed_stream::whenWriteDisconnected() -> kj::Promise<void>
{
    return this->inner->whenWriteDisconnected();
}

auto windowed_stream::shutdownWrite() -> void
{
    this->inner->shutdownWrite();
}

auto windowed_stream::abortRead() -> void
{
    this->inner->abortRead();
}

auto windowed_stream::getsockopt(int level, int option, void* value, kj::uint* length) -> void
{
    if (level == SOL_SOCKET && option == SO_SNDBUF && *length >= sizeof(this->window)) {
        std::memcpy(value, &this->window, sizeof(this->window));
        *length = sizeof(this->window);
        return;
    }
    this->inner->getsockopt(level, option, value, length);
}

} // namespace reedramp::wire
