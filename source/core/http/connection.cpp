#include "http/connection.hpp"

#include <utility>

#include "http/stream_connection_input.hpp"
#include "http/stream_connection_output.hpp"

namespace reedramp::http {

auto make_connection(
    boost::asio::io_context& context, fast_socket socket, std::shared_ptr<server_shared> shared)
    -> std::shared_ptr<connection>
{
    if (shared->tls == nullptr) {
        return std::make_shared<stream_connection<fast_socket>>(
            context, std::move(socket), std::move(shared));
    }
    tls_stream stream{std::move(socket), *shared->tls};
    return std::make_shared<stream_connection<tls_stream>>(
        context, std::move(stream), std::move(shared));
}

} // namespace reedramp::http
