#include "http/codec.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

namespace reedramp::http {

namespace beast_http = boost::beast::http;

namespace {

constexpr unsigned http_1_0 = 10;
constexpr unsigned http_1_1 = 11;
constexpr std::size_t response_header_limit_bytes = 64UL * 1024UL;
constexpr std::size_t longest_field_bytes = 60000; // Beast's fields throw above 64 KiB.
/// A limit that operators set by mistake must not make the reader ask for more than there is.
constexpr std::size_t most_reserved_bytes = 16UL * 1024UL * 1024UL;
constexpr unsigned highest_status = 599;
constexpr unsigned lowest_status = 200;
constexpr unsigned lowest_interim_status = 100;
constexpr unsigned switching_protocols = 101;
constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;

auto to_text(boost::beast::string_view view) -> std::string
{
    return {view.data(), view.size()};
}

auto minor_of(int version) -> unsigned
{
    return version >= static_cast<int>(http_1_1) ? 1 : 0;
}

auto is_framing_header(std::string_view name) -> bool
{
    static constexpr auto names = std::to_array<boost::beast::string_view>(
        {"Connection", "Content-Length", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding"});
    return std::ranges::any_of(names, [name](auto framing_name) {
        return boost::beast::iequals(framing_name, {name.data(), name.size()});
    });
}

auto is_token_letter(char letter) -> bool
{
    constexpr std::string_view separators = "()<>@,;:\\\"/[]?={} \t";
    const auto code = static_cast<unsigned char>(letter);
    return code > 0x20 && code < 0x7f && separators.find(letter) == std::string_view::npos;
}

auto is_value_letter(char letter) -> bool
{
    const auto code = static_cast<unsigned char>(letter);
    return letter == '\t' || (code >= 0x20 && code != 0x7f);
}

/// A header whose text holds a line end would let whoever chose the text write headers of their
/// own, or a second answer. Such a header is left out.
auto is_sendable(const header& item) -> bool
{
    return !item.name.empty() && item.name.size() + item.value.size() < longest_field_bytes &&
           std::ranges::all_of(item.name, is_token_letter) &&
           std::ranges::all_of(item.value, is_value_letter) && !is_framing_header(item.name);
}

auto insert_headers(beast_http::fields& fields, const std::vector<header>& headers) -> void
{
    for (const auto& item : headers) {
        if (is_sendable(item)) {
            fields.insert(item.name, item.value);
        }
    }
}

template <bool IsRequest>
auto header_bytes(beast_http::message<IsRequest, beast_http::empty_body>& message) -> std::string
{
    std::string bytes;
    beast_http::serializer<IsRequest, beast_http::empty_body> serializer{message};
    serializer.split(true);
    while (!serializer.is_header_done()) {
        error_code problem;
        std::size_t taken = 0;
        serializer.next(problem, [&bytes, &taken](error_code&, const auto& buffers) {
            for (const auto piece : boost::beast::buffers_range_ref(buffers)) {
                bytes.append(static_cast<const char*>(piece.data()), piece.size());
                taken += piece.size();
            }
        });
        if (problem) {
            break;
        }
        serializer.consume(taken);
    }
    return bytes;
}

auto status_of(const response& answer) -> unsigned
{
    constexpr unsigned server_error = 500;
    const unsigned status = answer.status;
    return status >= lowest_status && status <= highest_status ? status : server_error;
}

/// The only transfer coding that is read here. HTTP/1.0 has none.
auto is_plain_chunked(boost::beast::string_view coding, unsigned minor_version) -> bool
{
    return minor_version == 1 && boost::beast::iequals(coding, "chunked");
}

auto takes_body(std::string_view method) -> bool
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

request_reader::request_reader(std::size_t header_limit_bytes, std::size_t body_limit_bytes)
{
    this->header_limit(static_cast<std::uint32_t>(header_limit_bytes));
    this->body_limit(body_limit_bytes);
    this->eager(true);
}

auto request_reader::on_request_impl(
    verb /*method*/, text method_text, text target, int version, error_code& /*error*/) -> void
{
    this->message.method = to_text(method_text);
    this->message.target = to_text(target);
    this->minor_version = minor_of(version);
}

auto request_reader::on_response_impl(
    int /*code*/, text /*reason*/, int /*version*/, error_code& /*error*/) -> void
{
}

auto request_reader::on_field_impl(field which, text name, text value, error_code& error) -> void
{
    // A trailer after a chunked body must not pass for a header, for example as a credential that
    // was not there when the header was checked.
    if (this->header_read) {
        return;
    }
    if (which == field::host) {
        this->host_headers += 1;
    }
    if (which == field::expect && boost::beast::iequals(value, "100-continue")) {
        this->expects_continue = true;
    }
    if (which == field::transfer_encoding && !is_plain_chunked(value, this->minor_version)) {
        error = beast_http::error::bad_transfer_encoding;
        return;
    }
    this->message.headers.push_back({to_text(name), to_text(value)});
}

auto request_reader::on_header_impl(error_code& error) -> void
{
    this->header_read = true;
    const bool host_is_missing = this->minor_version == 1 && this->host_headers == 0;
    if (host_is_missing || this->host_headers > 1) {
        error = beast_http::error::bad_field;
    }
}

auto request_reader::on_body_init_impl(
    const boost::optional<std::uint64_t>& length, error_code& /*error*/) -> void
{
    // Growing by doubling would take up to three times the body's size for a moment.
    const auto stated = static_cast<std::size_t>(length.value_or(0));
    this->message.body.reserve(std::min(stated, most_reserved_bytes));
}

auto request_reader::on_body_impl(text piece, error_code& /*error*/) -> std::size_t
{
    this->message.body.append(piece.data(), piece.size());
    return piece.size();
}

auto request_reader::on_chunk_header_impl(
    std::uint64_t /*size*/, text /*extensions*/, error_code& /*error*/) -> void
{
}

auto request_reader::on_chunk_body_impl(std::uint64_t /*remain*/, text piece, error_code& /*error*/)
    -> std::size_t
{
    this->message.body.append(piece.data(), piece.size());
    return piece.size();
}

auto request_reader::on_finish_impl(error_code& /*error*/) -> void {}

response_reader::response_reader(bool without_body)
{
    this->header_limit(response_header_limit_bytes);
    this->body_limit(boost::none);
    this->eager(true);
    this->skip(without_body);
}

auto response_reader::is_interim() const -> bool
{
    return this->message.status < lowest_status;
}

auto response_reader::on_request_impl(
    verb /*method*/, text /*method_text*/, text /*target*/, int /*version*/, error_code& /*error*/)
    -> void
{
}

auto response_reader::on_response_impl(int code, text /*reason*/, int version, error_code& error)
    -> void
{
    const auto status = static_cast<unsigned>(code);
    const bool is_known = status >= lowest_interim_status && status <= highest_status;
    // No request asks for another protocol.
    if (!is_known || status == switching_protocols) {
        error = beast_http::error::bad_status;
        return;
    }
    this->message.status = static_cast<std::uint16_t>(code);
    this->minor_version = minor_of(version);
}

auto response_reader::on_field_impl(field which, text name, text value, error_code& error) -> void
{
    if (which == field::transfer_encoding && !is_plain_chunked(value, this->minor_version)) {
        error = beast_http::error::bad_transfer_encoding;
        return;
    }
    if (!this->header_read) {
        this->message.headers.push_back({to_text(name), to_text(value)});
    }
}

auto response_reader::on_header_impl(error_code& /*error*/) -> void
{
    this->header_read = true;
}

auto response_reader::on_body_init_impl(
    const boost::optional<std::uint64_t>& /*length*/, error_code& /*error*/) -> void
{
}

auto response_reader::on_body_impl(text piece, error_code& /*error*/) -> std::size_t
{
    this->message.body.append(piece.data(), piece.size());
    return piece.size();
}

auto response_reader::on_chunk_header_impl(
    std::uint64_t /*size*/, text /*extensions*/, error_code& /*error*/) -> void
{
}

auto response_reader::on_chunk_body_impl(
    std::uint64_t /*remain*/, text piece, error_code& /*error*/) -> std::size_t
{
    this->message.body.append(piece.data(), piece.size());
    return piece.size();
}

auto response_reader::on_finish_impl(error_code& /*error*/) -> void {}

auto has_folded_line(std::string_view bytes) -> bool
{
    if (bytes.starts_with("\r\n")) {
        return false; // The blank line, and what follows the head.
    }
    const auto head = bytes.substr(0, bytes.find("\r\n\r\n"));
    return head.find("\r\n ") != std::string_view::npos ||
           head.find("\r\n\t") != std::string_view::npos;
}

auto serialise_head(const response& answer, const head_format& format) -> std::string
{
    beast_http::response<beast_http::empty_body> head;
    const unsigned status = status_of(answer);
    head.version(format.minor_version == 0 ? http_1_0 : http_1_1);
    head.result(status);
    insert_headers(head, answer.headers);
    if (format.how == framing::sized && status != no_content && status != not_modified) {
        head.content_length(format.body_bytes);
    }
    if (format.how == framing::chunked) {
        head.chunked(true);
    }
    head.keep_alive(format.keep_alive && format.how != framing::until_close);
    return header_bytes(head);
}

auto serialise_request_head(const request& asked, const endpoint& where) -> std::string
{
    beast_http::request<beast_http::empty_body> head;
    head.version(http_1_1);
    head.method_string(asked.method);
    head.target(asked.target);
    if (!find_header(asked.headers, "Host")) {
        head.set(beast_http::field::host, to_string(where));
    }
    insert_headers(head, asked.headers);
    if (!asked.body.empty() || takes_body(asked.method)) {
        head.content_length(asked.body.size());
    }
    return header_bytes(head);
}

} // namespace reedramp::http
