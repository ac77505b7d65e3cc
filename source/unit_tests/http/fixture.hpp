#pragma once

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/client.hpp"
#include "http/server.hpp"

namespace reedramp::http::testing {

/// One io_context on a thread of its own.
class loop {
public:
    loop() : guard(this->context.get_executor()), runner([this] { this->context.run(); }) {}

    ~loop()
    {
        this->context.stop();
        this->runner.join();
    }

    loop(const loop&) = delete;
    loop(loop&&) = delete;
    auto operator=(const loop&) -> loop& = delete;
    auto operator=(loop&&) -> loop& = delete;

    boost::asio::io_context context{1};

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::thread runner;
};

inline auto open_server(
    std::vector<boost::asio::io_context*> contexts,
    request_handler handler,
    server_options options = {}) -> std::unique_ptr<server>
{
    options.listen = {"127.0.0.1", 0};
    auto opened = server::open(std::move(contexts), std::move(options), std::move(handler));
    REQUIRE(opened);
    return std::move(*opened);
}

inline auto address_of(const server& which) -> endpoint
{
    return {"127.0.0.1", which.port()};
}

/// Sends and waits for the end.
inline auto fetch(client& with, const endpoint& where, request asked) -> common::result<response>
{
    auto done = std::make_shared<std::promise<common::result<response>>>();
    auto answer = done->get_future();
    with.send(where, std::move(asked), {{}, {}, [done](common::result<response> got) {
                                            done->set_value(std::move(got));
                                        }});
    return answer.get();
}

inline auto get(const std::string& target) -> request
{
    return {"GET", target, {}, {}, {}};
}

inline auto post(const std::string& target, std::string body) -> request
{
    return {"POST", target, {}, std::move(body), {}};
}

/// A plain blocking socket, for bytes that no HTTP client would send.
class raw_caller {
public:
    explicit raw_caller(const endpoint& where) : socket(this->context)
    {
        this->socket.connect({boost::asio::ip::make_address(where.address), where.port});
    }

    auto send(const std::string& bytes) -> void
    {
        boost::system::error_code ignored; // The server may close while a large request goes out.
        boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
    }

    auto close_sending_side() -> void
    {
        this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    }

    /// All bytes until the server closes.
    auto read_to_end() -> std::string
    {
        std::string bytes;
        boost::system::error_code ended;
        boost::asio::read(this->socket, boost::asio::dynamic_buffer(bytes), ended);
        return bytes;
    }

    /// Bytes up to and with `end`.
    auto read_until(const std::string& end) -> std::string
    {
        std::string bytes;
        while (!bytes.ends_with(end)) {
            char byte = 0;
            boost::asio::read(this->socket, boost::asio::buffer(&byte, 1));
            bytes += byte;
        }
        return bytes;
    }

    auto close() -> void { this->socket.close(); }

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
};

} // namespace reedramp::http::testing
