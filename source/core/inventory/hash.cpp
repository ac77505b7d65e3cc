#include "inventory/hash.hpp"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "inventory/withdrawals.hpp"

namespace reedramp::inventory {

namespace {

using digest_bytes = std::array<unsigned char, EVP_MAX_MD_SIZE>;

auto to_hex(const digest_bytes& bytes, unsigned int size) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(std::size_t{size} * 2);
    for (unsigned int index = 0; index < size; ++index) {
        const auto byte = bytes.at(index);
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0x0fU]);
    }
    return text;
}

/// OpenSSL takes bytes as unsigned characters.
auto bytes_of(std::string_view text) -> const unsigned char*
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

auto sha256_hex(std::string_view text) -> std::string
{
    digest_bytes bytes{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), bytes.data(), &size, EVP_sha256(), nullptr);
    return to_hex(bytes, size);
}

auto withdrawal_proof(
    std::string_view key, const common::version_id& version, const common::record_id& record)
    -> std::string
{
    // Ids contain no line breaks, so the boundary between the two ids is unambiguous.
    const auto text = "withdraw\n" + version.value() + "\n" + record.value();
    digest_bytes bytes{};
    unsigned int size = 0;
    const auto key_size = static_cast<int>(key.size());
    HMAC(EVP_sha256(), key.data(), key_size, bytes_of(text), text.size(), bytes.data(), &size);
    return to_hex(bytes, size);
}

auto has_valid_proof(std::string_view key, const messages::withdrawal& item) -> bool
{
    const auto expected = withdrawal_proof(key, item.version, item.record);
    if (key.empty() || item.proof.size() != expected.size()) {
        return false;
    }
    return CRYPTO_memcmp(item.proof.data(), expected.data(), expected.size()) == 0;
}

} // namespace reedramp::inventory
