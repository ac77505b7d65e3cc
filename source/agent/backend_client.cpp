#include "backend_client.hpp"

#include <utility>

namespace reedramp::agent_program {

namespace {

constexpr auto request_id_header = "Reedramp-Request-Id";

class http_handle final : public agent::backend_handle {
public:
    explicit http_handle(std::shared_ptr<http::call> started) : call(std::move(started)) {}

    auto cancel() -> void override { this->call->cancel(); }

    auto pause() -> void override { this->call->pause(); }

    auto resume() -> void override { this->call->resume(); }

private:
    std::shared_ptr<http::call> call;
};

auto to_request(agent::backend_call call) -> http::request
{
    http::request made;
    made.method = std::move(call.method);
    made.target = std::move(call.path);
    made.body = std::move(call.body);
    made.headers.push_back({request_id_header, to_string(call.request)});
    if (!call.content_type.empty()) {
        made.headers.push_back({"Content-Type", std::move(call.content_type)});
    }
    return made;
}

auto to_head(const http::response& from) -> agent::backend_head
{
    const auto type = http::find_header(from.headers, "Content-Type");
    return {from.status, std::string(type.value_or(""))};
}

} // namespace

backend_client::backend_client(
    const std::vector<boost::asio::io_context*>& contexts,
    http::endpoint backend,
    const http::client_options& options)
    : endpoint(std::move(backend))
{
    for (auto* context : contexts) {
        this->clients.push_back(http::client::create(*context, options));
    }
}

auto backend_client::make_start_hook() -> agent::start_call_hook
{
    return
        [self = this->shared_from_this()](agent::backend_call call, agent::backend_events events) {
            return self->start(std::move(call), std::move(events));
        };
}

auto backend_client::start(agent::backend_call call, agent::backend_events events)
    -> std::shared_ptr<agent::backend_handle>
{
    http::call_events callbacks;
    callbacks.on_head = [head = std::move(events.head)](const http::response& answer) {
        head(to_head(answer));
    };
    callbacks.on_chunk = std::move(events.chunk);
    callbacks.on_done = [done = std::move(events.done)](common::result<http::response> answer) {
        done(answer ? common::result<void>{} : tl::unexpected(answer.error()));
    };
    const auto number = this->next_client.fetch_add(1, std::memory_order_relaxed);
    auto& client = this->clients[number % this->clients.size()];
    return std::make_shared<http_handle>(
        client->send(this->endpoint, to_request(std::move(call)), std::move(callbacks)));
}

} // namespace reedramp::agent_program
