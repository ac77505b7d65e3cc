#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>

#include "common/result.hpp"
#include "http/message.hpp"

/// Between bytes and this library's messages, by Beast's parser and serializer. No sockets.
namespace reedramp::http {

using error_code = boost::beast::error_code;

/// Reads one request. Feed it through `put` until `is_done`.
///
/// Besides what Beast refuses, it refuses what lets two readers of one connection disagree about
/// where a request ends (request smuggling): a transfer coding other than plain "chunked", and any
/// in HTTP/1.0.
class request_reader final : public boost::beast::http::basic_parser<true> {
public:
    request_reader(std::size_t header_limit_bytes, std::size_t body_limit_bytes);

    /// The request; whole once `is_done`.
    request message;

    /// Minor version of HTTP/1.x.
    unsigned minor_version = 1;

    /// The sender waits for "100 Continue" before it sends the body.
    bool expects_continue = false;

private:
    using verb = boost::beast::http::verb;
    using field = boost::beast::http::field;
    using text = boost::beast::string_view;

    auto on_request_impl(verb method, text method_text, text target, int version, error_code& error)
        -> void override;
    auto on_response_impl(int code, text reason, int version, error_code& error) -> void override;
    auto on_field_impl(field which, text name, text value, error_code& error) -> void override;
    auto on_header_impl(error_code& error) -> void override;
    auto on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& error)
        -> void override;
    auto on_body_impl(text piece, error_code& error) -> std::size_t override;
    auto on_chunk_header_impl(std::uint64_t size, text extensions, error_code& error)
        -> void override;
    auto on_chunk_body_impl(std::uint64_t remain, text piece, error_code& error)
        -> std::size_t override;
    auto on_finish_impl(error_code& error) -> void override;

    unsigned host_headers = 0;
    bool header_read = false;
};

/// Reads one response. The body gathers in `message.body`, from where the owner may take it away
/// between calls of `put`.
///
/// Besides what Beast refuses, it refuses a status that HTTP does not know, 101, and transfer
/// codings as `request_reader` does. `has_folded_line` is left to the owner, which has the bytes.
class response_reader final : public boost::beast::http::basic_parser<false> {
public:
    explicit response_reader(bool without_body);

    response message;

    /// An interim answer (1xx), after which the real one comes.
    [[nodiscard]] auto is_interim() const -> bool;

private:
    using verb = boost::beast::http::verb;
    using field = boost::beast::http::field;
    using text = boost::beast::string_view;

    auto on_request_impl(verb method, text method_text, text target, int version, error_code& error)
        -> void override;
    auto on_response_impl(int code, text reason, int version, error_code& error) -> void override;
    auto on_field_impl(field which, text name, text value, error_code& error) -> void override;
    auto on_header_impl(error_code& error) -> void override;
    auto on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& error)
        -> void override;
    auto on_body_impl(text piece, error_code& error) -> std::size_t override;
    auto on_chunk_header_impl(std::uint64_t size, text extensions, error_code& error)
        -> void override;
    auto on_chunk_body_impl(std::uint64_t remain, text piece, error_code& error)
        -> std::size_t override;
    auto on_finish_impl(error_code& error) -> void override;

    unsigned minor_version = 1;
    bool header_read = false;
};

/// Whether a line of the piece of a head that begins `bytes` is continued on the next one (obsolete
/// line folding). Readers differ in whether the next one is a part of a value or a field of its
/// own, so that a field that frames the body may be seen by one alone.
auto has_folded_line(std::string_view bytes) -> bool;

/// How the end of an answer's body is marked.
enum class framing : std::uint8_t {
    /// By its length, which is known.
    sized,
    chunked,
    /// By closing the connection; for streams to HTTP/1.0, which knows no chunks.
    until_close,
    /// The status or the method (HEAD) allows no body.
    none,
};

struct head_format {
    framing how = framing::sized;
    std::size_t body_bytes = 0;
    bool keep_alive = true;
    unsigned minor_version = 1;
};

/// Status line and headers with the blank line. Headers about framing and the connection are set
/// here; the message's own ones of these names are dropped, as is any whose text could end the
/// line.
auto serialise_head(const response& answer, const head_format& format) -> std::string;

/// The head of the request, up to its blank line. `where` becomes the Host header when there is
/// none.
auto serialise_request_head(const request& asked, const endpoint& where) -> std::string;

/// An answer with an RFC 9457 problem for an error that the HTTP layer itself found.
auto problem_answer(const common::error& found) -> response;

/// The error to answer with when the reader refuses bytes.
auto parse_failure(const error_code& problem) -> common::error;

} // namespace reedramp::http
