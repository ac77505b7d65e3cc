#include "http/server.hpp"

#include <chrono>
#include <map>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "common/log.hpp"
#include "http/bind.hpp"
#include "http/codec.hpp"
#include "http/connection.hpp"

namespace reedramp::http {

namespace asio = boost::asio;

namespace {

constexpr int listen_backlog = 1024;
constexpr std::chrono::milliseconds accept_pause{100};

auto setup_failure(const std::string& what, const error_code& problem)
    -> tl::unexpected<common::error>
{
    return common::failure(common::result_code::invalid_settings, what + ": " + problem.message());
}

auto load_tls(const tls_files& files) -> common::result<std::unique_ptr<asio::ssl::context>>
{
    auto tls = std::make_unique<asio::ssl::context>(asio::ssl::context::tls_server);
    tls->set_options(
        asio::ssl::context::default_workarounds | asio::ssl::context::no_tlsv1 |
        asio::ssl::context::no_tlsv1_1);
    error_code problem;
    tls->use_certificate_chain_file(files.certificate_chain, problem);
    if (problem) {
        return setup_failure("certificate chain " + files.certificate_chain, problem);
    }
    tls->use_private_key_file(files.private_key, asio::ssl::context::pem, problem);
    if (problem) {
        return setup_failure("private key " + files.private_key, problem);
    }
    return tls;
}

/// The connections of one context; touched on its thread only.
struct context_connections {
    explicit context_connections(asio::io_context& context_to_use) : context(context_to_use) {}

    asio::io_context& context;
    std::vector<std::weak_ptr<connection>> members;
    std::size_t swept_size = 0;

    auto add(const std::shared_ptr<connection>& one) -> void
    {
        constexpr std::size_t slack = 64;
        if (this->members.size() > 2 * this->swept_size + slack) {
            std::erase_if(this->members, [](const auto& member) { return member.expired(); });
            this->swept_size = this->members.size();
        }
        this->members.push_back(one);
    }

    auto close_idle() -> void
    {
        for (const auto& member : this->members) {
            if (const auto one = member.lock()) {
                one->close_when_idle();
            }
        }
    }
};

/// Accepts on the first context and deals connections out to all.
class listener : public std::enable_shared_from_this<listener> {
public:
    listener(
        const std::vector<asio::io_context*>& contexts, std::shared_ptr<server_shared> shared_state)
        : shared(std::move(shared_state)), acceptor(*contexts.front()), pause(*contexts.front())
    {
        for (auto* context : contexts) {
            this->parts.push_back(std::make_shared<context_connections>(*context));
        }
    }

    auto listen(const asio::ip::tcp::endpoint& where) -> error_code
    {
        error_code problem;
        this->acceptor.close(problem);
        this->acceptor.open(where.protocol(), problem);
        if (!problem) {
            this->acceptor.set_option(asio::socket_base::reuse_address(true), problem);
        }
        if (!problem) {
            this->acceptor.bind(where, problem);
        }
        if (!problem) {
            this->acceptor.listen(listen_backlog, problem);
        }
        return problem;
    }

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        error_code ignored;
        return this->acceptor.local_endpoint(ignored).port();
    }

    auto begin() -> void
    {
        if (!std::exchange(this->has_begun, true)) {
            this->accept_next();
        }
    }

    auto accept_next() -> void
    {
        const auto part = this->parts[this->turn % this->parts.size()];
        this->turn += 1;
        this->acceptor.async_accept(
            part->context.get_executor(),
            [this, keep = this->shared_from_this(), part](error_code problem, fast_socket socket) {
                this->on_accepted(problem, part, std::move(socket));
            });
    }

    /// From any thread. Idle connections close soon, so that the next request of their callers goes
    /// elsewhere.
    auto announce_close() -> void
    {
        this->shared->announces_close = true;
        for (const auto& part : this->parts) {
            asio::post(part->context, [part] { part->close_idle(); });
        }
    }

    /// From any thread.
    auto stop() -> void
    {
        this->shared->closing = true;
        asio::post(this->acceptor.get_executor(), [this, keep = this->shared_from_this()] {
            error_code ignored;
            this->acceptor.close(ignored);
            this->pause.cancel();
        });
        this->announce_close();
    }

private:
    auto on_accepted(
        error_code problem, const std::shared_ptr<context_connections>& part, fast_socket socket)
        -> void
    {
        if (this->shared->closing || problem == asio::error::operation_aborted) {
            return;
        }
        if (problem) {
            this->retry_later(problem);
            return;
        }
        if (this->shared->open >= this->shared->options.connection_limit) {
            this->turn_away(std::move(socket));
        }
        else {
            asio::post(
                part->context, [part, shared = this->shared, socket = std::move(socket)]() mutable {
                    auto& context = part->context;
                    const auto one = make_connection(context, std::move(socket), shared);
                    part->add(one);
                    one->begin();
                });
        }
        this->accept_next();
    }

    /// Out of file descriptors, as a rule. Trying again at once would spin.
    auto retry_later(const error_code& problem) -> void
    {
        common::log(
            common::log_part::http,
            common::log_level::warning,
            "accept failed what=" + problem.message());
        this->pause.expires_after(accept_pause);
        this->pause.async_wait([this, keep = this->shared_from_this()](error_code stopped) {
            if (!stopped && !this->shared->closing) {
                this->accept_next();
            }
        });
    }

    /// One attempt without waiting: a connection beyond the limit must cost no memory. A caller
    /// whose socket is reset before it reads the answer sees a closed connection, which is as true.
    auto turn_away(fast_socket socket) -> void
    {
        const auto answer = problem_answer(common::make_error(common::result_code::no_capacity));
        const auto bytes =
            serialise_head(answer, {framing::sized, answer.body.size(), false, 1}) + answer.body;
        error_code ignored;
        if (this->shared->tls == nullptr) {
            socket.non_blocking(true, ignored);
            socket.write_some(asio::buffer(bytes), ignored);
            socket.shutdown(asio::socket_base::shutdown_send, ignored);
        }
        socket.close(ignored);
        common::log(common::log_part::http, common::log_level::warning, "connection limit reached");
    }

    std::shared_ptr<server_shared> shared;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer pause;
    std::vector<std::shared_ptr<context_connections>> parts;
    std::size_t turn = 0;
    bool has_begun = false;
};

class listening_server final : public server {
public:
    listening_server(
        std::shared_ptr<server_shared> shared_state, std::shared_ptr<listener> entrance)
        : shared(std::move(shared_state)), entrance_of_this(std::move(entrance)),
          bound_port(this->entrance_of_this->port())
    {
    }

    ~listening_server() override { this->entrance_of_this->stop(); }

    listening_server(const listening_server&) = delete;
    listening_server(listening_server&&) = delete;
    auto operator=(const listening_server&) -> listening_server& = delete;
    auto operator=(listening_server&&) -> listening_server& = delete;

    [[nodiscard]] auto port() const -> std::uint16_t override { return this->bound_port; }

    auto accept() -> void override { this->entrance_of_this->begin(); }

    auto close_listener() -> void override { this->entrance_of_this->stop(); }

    auto announce_close() -> void override { this->entrance_of_this->announce_close(); }

    auto change_limits(
        std::size_t header_bytes, std::size_t body_bytes, std::chrono::milliseconds read_timeout)
        -> void override
    {
        this->shared->options.header_limit_bytes = header_bytes;
        this->shared->options.body_limit_bytes = body_bytes;
        this->shared->options.read_timeout = read_timeout;
    }

    [[nodiscard]] auto busy_connections() const -> std::size_t override
    {
        return this->shared->busy;
    }

    [[nodiscard]] auto request_bytes() const -> std::size_t override
    {
        return this->shared->memory.total();
    }

    [[nodiscard]] auto open_connections() const -> std::size_t override
    {
        return this->shared->open;
    }

private:
    std::shared_ptr<server_shared> shared;
    std::shared_ptr<listener> entrance_of_this;
    std::uint16_t bound_port;
};

} // namespace

auto server::open(
    std::vector<asio::io_context*> contexts, server_options options, request_handler handler)
    -> common::result<std::unique_ptr<server>>
{
    error_code problem;
    const auto address = asio::ip::make_address(options.listen.address, problem);
    if (problem) {
        return setup_failure("listen address " + options.listen.address, problem);
    }
    const asio::ip::tcp::endpoint where{address, options.listen.port};
    auto shared = std::make_shared<server_shared>();
    if (options.tls) {
        auto tls = load_tls(*options.tls);
        if (!tls) {
            return tl::unexpected(tls.error());
        }
        shared->tls = std::move(*tls);
    }
    const auto text = to_string(options.listen);
    const bool accepts_at_once = options.accepts_at_once;
    const auto bind_time = options.bind_time;
    shared->memory.set_limit(options.request_memory_bytes);
    shared->options = std::move(options);
    shared->handler = std::move(handler);
    auto entrance = std::make_shared<listener>(contexts, shared);
    problem = bind_when_free([&] { return entrance->listen(where); }, bind_time);
    if (problem) {
        return setup_failure("listen on " + text, problem);
    }
    if (accepts_at_once) {
        entrance->begin();
    }
    return std::make_unique<listening_server>(std::move(shared), std::move(entrance));
}

} // namespace reedramp::http
