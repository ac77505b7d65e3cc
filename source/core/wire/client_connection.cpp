#include "wire/client_connection.hpp"

#include <utility>

#include "wire/codec_values.hpp"
#include "wire/proof.hpp"
#include "wire/require.hpp"

namespace reedramp::wire {

namespace {

/// The window of `-> stream` calls that this side makes; it makes none.
constexpr std::size_t unused_window_bytes = std::size_t{64} * 1024;

auto reader_options(std::size_t message_limit_bytes) -> capnp::ReaderOptions
{
    capnp::ReaderOptions limits;
    // Twice the limit, since a field that is read through two pointers counts twice.
    limits.traversalLimitInWords = 2 * message_limit_bytes / sizeof(capnp::word);
    return limits;
}

} // namespace

client_connection::client_connection(
    const client_options& used, kj::AsyncIoProvider& io, messages::rpc_address address)
    : options(used), timer(io.getTimer()), idle_deadline(this->timer.now()),
      opened(this->timer
                 .timeoutAfter(
                     used.connect_timeout.count() * kj::MILLISECONDS, this->connect(io, address))
                 .fork())
{
}

auto client_connection::connect(kj::AsyncIoProvider& io, const messages::rpc_address& address)
    -> kj::Promise<void>
{
    const auto where = parse_address(address.value());
    if (!where) {
        return kj::evalNow([]() -> kj::Promise<void> {
            require(false, "not an address");
            return kj::READY_NOW;
        });
    }
    auto target = io.getNetwork().getSockaddr(&where->storage, where->length);
    auto connecting = target->connect();
    return connecting.attach(kj::mv(target)).then([this](kj::Own<kj::AsyncIoStream> socket) {
        tune_socket(*socket);
        this->stream = kj::heap<windowed_stream>(kj::mv(socket), unused_window_bytes);
        this->network = kj::heap<capnp::TwoPartyVatNetwork>(
            *this->stream,
            capnp::rpc::twoparty::Side::CLIENT,
            reader_options(this->options.message_limit_bytes));
        this->rpc = kj::heap(capnp::makeRpcClient(*this->network));
        return this->log_in();
    });
}

auto client_connection::log_in() -> kj::Promise<void>
{
    capnp::word scratch[4] = {}; // NOLINT(modernize-avoid-c-arrays)
    capnp::MallocMessageBuilder message(scratch);
    auto vat = message.getRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    auto process = this->rpc->bootstrap(vat).castAs<schema::Process>();
    auto nonce = make_nonce();
    auto request = process.challengeRequest();
    request.setNonce(as_data(nonce));
    return request.send().then(
        [this, nonce](capnp::Response<schema::Process::ChallengeResults> answer) {
            return this->prove(kj::mv(answer), nonce);
        });
}

auto client_connection::prove(
    capnp::Response<schema::Process::ChallengeResults> answer, std::string nonce)
    -> kj::Promise<void>
{
    const auto theirs = to_string(answer.getNonce());
    require(theirs.size() == nonce_bytes, "nonce of a wrong size");
    const std::string_view key = this->options.shared_key;
    const auto expected = make_proof(key, proving_side::server, nonce, theirs);
    require(same_proof(to_string(answer.getProof()), expected), "server has a wrong key");
    const auto proof = make_proof(key, proving_side::client, nonce, theirs);
    auto request = answer.getLogin().loginRequest();
    request.setProof(as_data(proof));
    return request.send().then([this](capnp::Response<schema::Login::LoginResults> given) {
        this->capabilities = offered{given.getAgent(), given.getPeer()};
    });
}

auto client_connection::lost() -> kj::Promise<void>
{
    return this->network->onDisconnect();
}

auto client_connection::note_failure(const kj::Exception& why) -> void
{
    if (why.getType() == kj::Exception::Type::DISCONNECTED) {
        this->broken = true;
    }
}

auto client_connection::idle(kj::TimePoint now) const -> bool
{
    return this->calls == 0 && now >= this->idle_deadline;
}

client_connection::call_mark::call_mark(std::shared_ptr<client_connection> of)
    : connection(std::move(of))
{
    ++this->connection->calls;
}

client_connection::call_mark::~call_mark()
{
    if (this->connection == nullptr) {
        return;
    }
    --this->connection->calls;
    const auto idle_time = this->connection->options.idle_timeout.count() * kj::MILLISECONDS;
    this->connection->idle_deadline = this->connection->timer.now() + idle_time;
}

} // namespace reedramp::wire
