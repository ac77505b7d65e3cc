#include "wire/proof.hpp"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "wire/require.hpp"

namespace reedramp::wire {

namespace {

auto bytes_of(std::string_view text) -> const unsigned char*
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

auto make_nonce() -> std::string
{
    std::array<unsigned char, nonce_bytes> bytes{};
    require(RAND_bytes(bytes.data(), nonce_bytes) == 1, "no random bytes");
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

auto make_proof(
    std::string_view key,
    proving_side side,
    std::string_view client_nonce,
    std::string_view server_nonce) -> std::string
{
    std::string message = side == proving_side::client ? "reedramp client" : "reedramp server";
    message.append(client_nonce);
    message.append(server_nonce);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    const auto* made = HMAC(
        EVP_sha256(),
        key.data(),
        static_cast<int>(key.size()),
        bytes_of(message),
        message.size(),
        digest.data(),
        &length);
    require(made != nullptr, "no HMAC");
    return {reinterpret_cast<const char*>(digest.data()), length};
}

auto same_proof(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace reedramp::wire
