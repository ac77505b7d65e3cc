#include "http/message.hpp"

#include <algorithm>
#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace reedramp::http {

namespace {

auto lower(char letter) -> char
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

auto parse_port(std::string_view text) -> std::optional<std::uint16_t>
{
    std::uint16_t port = 0;
    const auto* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, port);
    if (parsed.ec != std::errc{} || parsed.ptr != last) {
        return std::nullopt;
    }
    return port;
}

} // namespace

auto same_name(std::string_view left, std::string_view right) -> bool
{
    return std::ranges::equal(
        left, right, [](char one, char other) { return lower(one) == lower(other); });
}

auto find_header(const std::vector<header>& headers, std::string_view name)
    -> std::optional<std::string_view>
{
    const auto found = std::ranges::find_if(
        headers, [name](const header& item) { return same_name(item.name, name); });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->value;
}

auto to_string(const endpoint& where) -> std::string
{
    const bool is_v6 = where.address.find(':') != std::string::npos;
    const auto address = is_v6 ? "[" + where.address + "]" : where.address;
    return address + ":" + std::to_string(where.port);
}

auto parse_endpoint(std::string_view text) -> std::optional<endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto address = text.substr(0, colon);
    const auto port = parse_port(text.substr(colon + 1));
    const bool in_brackets = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (in_brackets) {
        address = address.substr(1, address.size() - 2);
    }
    boost::system::error_code problem;
    const auto number = boost::asio::ip::make_address(std::string{address}, problem);
    if (!port || problem || number.is_v6() != in_brackets) {
        return std::nullopt;
    }
    return endpoint{std::string{address}, *port};
}

} // namespace reedramp::http
