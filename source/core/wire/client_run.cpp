#include "wire/client_run.hpp"

#include <utility>

#include "wire/codec.hpp"
#include "wire/payload.hpp"

namespace reedramp::wire {

namespace {

/// What the server calls to hand over tokens.
class token_receiver final : public schema::RunSink::Server {
public:
    explicit token_receiver(std::shared_ptr<client_run> of) : run(std::move(of)) {}

    token_receiver(const token_receiver&) = delete;
    auto operator=(const token_receiver&) -> token_receiver& = delete;

    virtual ~token_receiver() noexcept { this->run->drop_receiver(); }

    auto tokens(TokensContext context) -> kj::Promise<void> override
    {
        auto pieces = decode(context.getParams().getPieces());
        context.releaseParams();
        return this->run->take(std::move(pieces));
    }

private:
    std::shared_ptr<client_run> run;
};

} // namespace

auto call_error(const kj::Exception& why, bool sent) -> common::error
{
    using common::result_code;
    const std::string detail = why.getDescription().cStr();
    if (!sent) {
        return common::make_error(result_code::peer_unavailable, detail);
    }
    switch (why.getType()) {
    case kj::Exception::Type::UNIMPLEMENTED:
        // The other process does not know the call, so that it cannot have acted on it.
        return common::make_error(result_code::peer_unavailable, detail);
    case kj::Exception::Type::DISCONNECTED:
    case kj::Exception::Type::OVERLOADED:
        return common::make_error(result_code::server_lost, detail);
    case kj::Exception::Type::FAILED:
        break;
    }
    return common::make_error(result_code::internal_error, detail);
}

auto dropped_error(bool sent) -> common::error
{
    const auto code =
        sent ? common::result_code::server_lost : common::result_code::peer_unavailable;
    return common::make_error(code, "client has ended");
}

client_run::client_run(
    std::shared_ptr<task_queue> used_queue, common::clock_hook clock, messages::run_sink reader)
    : queue(std::move(used_queue)), now(std::move(clock)), sink(std::move(reader))
{
}

auto client_run::cancel() -> void
{
    this->cancelled = true;
    this->queue->post([self = this->shared_from_this()] {
        self->finished = true;
        self->sink = nullptr;
        self->release_reader();
        self->canceler.cancel("cancelled");
    });
}

auto client_run::pause() -> void
{
    this->queue->post([self = this->shared_from_this()] { self->paused = true; });
}

auto client_run::resume() -> void
{
    this->queue->post([self = this->shared_from_this()] {
        self->paused = false;
        self->release_reader();
    });
}

auto client_run::start(std::shared_ptr<client_connection> connection, messages::run_request request)
    -> kj::Promise<void>
{
    if (this->cancelled) {
        return kj::READY_NOW;
    }
    auto self = this->shared_from_this();
    auto running =
        connection->ready()
            .then([self, connection, asked = std::move(request)] {
                return self->send(*connection, asked);
            })
            .catch_([self, connection](kj::Exception&& why) {
                connection->note_failure(why);
                self->fail(call_error(why, self->sent));
            })
            .attach(client_connection::call_mark(connection), kj::defer([self] { self->drop(); }));
    // A cancelled promise is rejected, which is no failure.
    return this->canceler.wrap(kj::mv(running)).catch_([](kj::Exception&& /*why*/) {});
}

auto client_run::send(client_connection& connection, const messages::run_request& request)
    -> kj::Promise<void>
{
    auto self = this->shared_from_this();
    const auto size = payload_bytes(request) / sizeof(capnp::word);
    auto call = connection.agent().runRequest(capnp::MessageSize{size, 1});
    encode(request, call.initRequest());
    call.setSink(kj::heap<token_receiver>(self));
    this->sent = true;
    return call.send().then([self](capnp::Response<schema::Agent::RunResults> answer) {
        self->take_end(decode(answer.getEnd(), self->now()), answer.getMessages());
    });
}

auto client_run::take(std::vector<messages::tokens_event> pieces) -> kj::Promise<void>
{
    if (this->finished) {
        return kj::READY_NOW;
    }
    ++this->received;
    for (auto& piece : pieces) {
        if (!this->cancelled) {
            this->sink(std::move(piece));
        }
    }
    this->finish_if_whole();
    if (!this->paused || this->finished) {
        return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndFulfiller<void>();
    this->held_answer = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
}

auto client_run::take_end(messages::run_event event, std::uint64_t messages_before) -> void
{
    this->end = std::move(event);
    this->expected = messages_before;
    this->finish_if_whole();
}

/// The end travels as the answer of the call, the tokens as calls of their own that may still wait
/// for the reader. The end is due when all of them have been handed over.
auto client_run::finish_if_whole() -> void
{
    if (this->end && this->received >= this->expected) {
        this->finish(std::move(*this->end));
    }
}

auto client_run::finish(messages::run_event event) -> void
{
    if (std::exchange(this->finished, true)) {
        return;
    }
    this->release_reader();
    const auto reader = std::exchange(this->sink, nullptr);
    if (!this->cancelled) {
        reader(std::move(event));
    }
}

auto client_run::fail(common::error why) -> void
{
    this->finish(messages::failed_event{std::move(why), {}});
}

auto client_run::drop() -> void
{
    if (!this->end) {
        this->fail(dropped_error(this->sent));
    }
}

auto client_run::drop_receiver() -> void
{
    if (this->end) {
        this->fail(dropped_error(this->sent));
    }
}

auto client_run::release_reader() -> void
{
    if (this->held_answer.get() != nullptr) {
        auto held = kj::mv(this->held_answer);
        held->fulfill();
    }
}

} // namespace reedramp::wire
