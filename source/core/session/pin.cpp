#include "session/pin.hpp"

#include <array>
#include <charconv>
#include <cstdio>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "common/log.hpp"

namespace reedramp::session {

namespace {

using common::failure;
using common::result_code;

/// Format version, the first byte of every token.
constexpr unsigned char format_byte = 1;
constexpr std::size_t signature_bytes = 32;
constexpr std::size_t key_id_bytes = 4;
constexpr std::size_t expiry_bytes = 8;

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

auto encode(std::string_view bytes) -> std::string
{
    std::string text;
    text.reserve((bytes.size() * 4 + 2) / 3);
    std::uint32_t buffer = 0;
    int bits = 0;
    for (const char byte : bytes) {
        buffer = (buffer << 8U) | static_cast<unsigned char>(byte);
        bits += 8;
        while (bits >= 6) {
            bits -= 6;
            text += alphabet[(buffer >> static_cast<unsigned>(bits)) & 0x3fU];
        }
    }
    if (bits > 0) {
        text += alphabet[(buffer << static_cast<unsigned>(6 - bits)) & 0x3fU];
    }
    return text;
}

auto decode(std::string_view text) -> std::optional<std::string>
{
    std::string bytes;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t buffer = 0;
    int bits = 0;
    for (const char character : text) {
        const auto value = alphabet.find(character);
        if (value == std::string_view::npos) {
            return std::nullopt;
        }
        buffer = (buffer << 6U) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>((buffer >> static_cast<unsigned>(bits)) & 0xffU);
        }
    }
    return bytes;
}

auto append_number(std::string& out, std::uint64_t number, std::size_t bytes) -> void
{
    for (std::size_t index = bytes; index > 0; --index) {
        out += static_cast<char>((number >> (8U * (index - 1))) & 0xffU);
    }
}

/// False if the field is too long for its length byte.
auto append_field(std::string& out, const std::string& field) -> bool
{
    if (field.size() > max_field_bytes) {
        return false;
    }
    out += static_cast<char>(field.size());
    out += field;
    return true;
}

/// Reads values from the front of `rest`. `failed` is set, and stays set, if there are too few
/// bytes.
struct byte_reader {
    std::string_view rest;
    bool failed = false;

    auto take(std::size_t count) -> std::string_view
    {
        if (count > this->rest.size()) {
            this->failed = true;
            return {};
        }
        const auto taken = this->rest.substr(0, count);
        this->rest.remove_prefix(count);
        return taken;
    }

    auto number(std::size_t bytes) -> std::uint64_t
    {
        std::uint64_t value = 0;
        for (const char byte : this->take(bytes)) {
            value = (value << 8U) | static_cast<unsigned char>(byte);
        }
        return value;
    }

    auto field() -> std::string { return std::string{this->take(this->number(1))}; }
};

using signature = std::array<unsigned char, signature_bytes>;

auto compute_signature(std::string_view content, const std::string& secret) -> signature
{
    signature computed{};
    unsigned int length = 0;
    HMAC(
        EVP_sha256(),
        secret.data(),
        static_cast<int>(secret.size()),
        reinterpret_cast<const unsigned char*>(content.data()),
        content.size(),
        computed.data(),
        &length);
    return computed;
}

auto find_key(const key_ring& ring, key_id id) -> const signing_key*
{
    if (ring.current.id == id) {
        return &ring.current;
    }
    if (ring.previous && ring.previous->id == id) {
        return &*ring.previous;
    }
    return nullptr;
}

auto reject(std::string_view why) -> tl::unexpected<common::error>
{
    common::log(
        common::log_part::session,
        common::log_level::info,
        "token refused why=\"" + std::string{why} + "\"");
    return failure(result_code::bad_session_token, std::string{why});
}

auto validate_secret(const signing_key& key) -> common::result<void>
{
    if (key.secret.size() < min_secret_bytes) {
        return failure(result_code::invalid_settings, "the secret of a session key is too short");
    }
    return {};
}

} // namespace

auto check(const key_ring& ring) -> common::result<void>
{
    if (auto checked = validate_secret(ring.current); !checked) {
        return checked;
    }
    if (!ring.previous) {
        return {};
    }
    if (ring.previous->id == ring.current.id) {
        return failure(result_code::invalid_settings, "two session keys have the same id");
    }
    return validate_secret(*ring.previous);
}

auto sign(const pin& content, const key_ring& ring) -> std::string
{
    std::string bytes;
    bytes += static_cast<char>(format_byte);
    append_number(bytes, ring.current.id.value(), key_id_bytes);
    append_number(bytes, static_cast<std::uint64_t>(content.expires.value()), expiry_bytes);
    const auto fits = append_field(bytes, content.organisation.value()) &&
                      append_field(bytes, content.session.value()) &&
                      append_field(bytes, content.model.value()) &&
                      append_field(bytes, content.version.value());
    if (!fits) {
        return {};
    }
    const auto computed = compute_signature(bytes, ring.current.secret);
    bytes.append(reinterpret_cast<const char*>(computed.data()), computed.size());
    auto token = encode(bytes);
    if (token.size() > max_token_bytes) {
        return {};
    }
    return token;
}

auto verify(
    std::string_view token,
    const common::organisation_id& organisation,
    const key_ring& ring,
    common::wall_time_ms now) -> common::result<pin>
{
    if (token.size() > max_token_bytes) {
        return reject("too long");
    }
    const auto bytes = decode(token);
    if (!bytes || bytes->size() <= signature_bytes || bytes->front() != char{format_byte}) {
        return reject("malformed");
    }
    const std::string_view all = *bytes;
    const auto content = all.substr(0, all.size() - signature_bytes);
    byte_reader reader{content.substr(1)};
    const auto* key =
        find_key(ring, key_id{static_cast<std::uint32_t>(reader.number(key_id_bytes))});
    if (key == nullptr) {
        return reject("unknown key");
    }
    // Constant-time comparison: a comparison that stops at the first wrong byte would reveal
    // through its duration how many bytes of a guessed signature are correct.
    const auto expected = compute_signature(content, key->secret);
    const auto actual = all.substr(content.size());
    if (CRYPTO_memcmp(expected.data(), actual.data(), signature_bytes) != 0) {
        return reject("wrong signature");
    }
    pin read;
    read.expires = common::wall_time_ms{static_cast<std::int64_t>(reader.number(expiry_bytes))};
    read.organisation = common::organisation_id{reader.field()};
    read.session = common::session_id{reader.field()};
    read.model = common::model_id{reader.field()};
    read.version = common::version_id{reader.field()};
    if (reader.failed || !reader.rest.empty()) {
        return reject("malformed");
    }
    if (read.organisation != organisation) {
        return reject("another organisation");
    }
    if (read.expires <= now) {
        return reject("expired");
    }
    return read;
}

} // namespace reedramp::session
