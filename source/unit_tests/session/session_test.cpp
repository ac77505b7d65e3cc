#include <functional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "session/named_session.hpp"
#include "session/pin.hpp"

namespace reedramp::session {

namespace {

const signing_key old_key{key_id{1}, std::string(min_secret_bytes, 'o')};
const signing_key new_key{key_id{2}, std::string(min_secret_bytes, 'n')};
const signing_key newest_key{key_id{3}, std::string(min_secret_bytes, 'x')};
const common::wall_time_ms now{1'000'000};

auto sample() -> pin
{
    return {
        common::organisation_id{"org-a"},
        common::session_id{"s-1"},
        common::model_id{"drafts"},
        common::version_id{"drafts-2"},
        common::wall_time_ms{2'000'000}};
}

struct token_row {
    std::string what;
    std::function<auto(std::string token)->std::string> change;
    std::string organisation = "org-a";
    key_ring ring{new_key, old_key};
    common::wall_time_ms at = now;
    bool accepted = false;
};

auto unchanged(std::string token) -> std::string
{
    return token;
}

} // namespace

TEST_CASE("a token stays valid during a key rotation", "[session]")
{
    // A session is opened, then operators rotate the signing key. The token has to be accepted
    // while its key is the current key and also once it is the previous key.
    const auto token = sign(sample(), {old_key, std::nullopt});
    for (const auto& ring :
         {key_ring{old_key, std::nullopt},
          key_ring{old_key, new_key},
          key_ring{new_key, old_key}}) {
        const auto read = verify(token, sample().organisation, ring, now);
        REQUIRE(read);
        CHECK(*read == sample());
    }
    CHECK(
        token.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                                "0123456789-_") == std::string::npos);
    CHECK(token.size() < 128);
}

TEST_CASE("an invalid token is rejected", "[session]")
{
    // A token that was modified, truncated, kept for too long or taken from another organisation,
    // or whose key was rotated out, must give bad_session_token with not_run. Accepting it could
    // pin the session to a version that it was not assigned to.
    const std::vector<token_row> rows = {
        {"unchanged token", unchanged, "org-a", {new_key, old_key}, now, true},
        {"rotated-out key", unchanged, "org-a", {newest_key, new_key}},
        {"key id reused with another secret",
         unchanged,
         "org-a",
         {signing_key{key_id{1}, new_key.secret}, std::nullopt}},
        {"another organisation", unchanged, "org-b"},
        {"expired", unchanged, "org-a", {new_key, old_key}, sample().expires},
        {"empty",
         [](const std::string&) {
             return std::string{};
         }},
        {"truncated",
         [](const std::string& token) {
             return token.substr(0, token.size() - 4);
         }},
        {"extended",
         [](const std::string& token) {
             return token + "AAAA";
         }},
        {"not base64url",
         [](const std::string& token) {
             return token + "==";
         }},
        {"too long",
         [](const std::string&) {
             return std::string(max_token_bytes + 1, 'A');
         }},
        {"another format",
         [](const std::string& token) {
             return "Ag" + token.substr(2);
         }},
    };
    const auto token = sign(sample(), {old_key, std::nullopt});
    for (const auto& row : rows) {
        INFO(row.what);
        const auto read =
            verify(row.change(token), common::organisation_id{row.organisation}, row.ring, row.at);
        CHECK(read.has_value() == row.accepted);
        if (!read) {
            CHECK(read.error().code == common::result_code::bad_session_token);
            CHECK(read.error().run == common::execution::not_run);
        }
    }
}

TEST_CASE("a token with any character changed is rejected", "[session]")
{
    const key_ring ring{old_key, std::nullopt};
    const auto token = sign(sample(), ring);
    for (std::size_t index = 0; index + 1 < token.size(); ++index) {
        auto forged = token;
        forged[index] = forged[index] == 'A' ? 'B' : 'A';
        INFO(index);
        CHECK_FALSE(verify(forged, sample().organisation, ring, now));
    }
}

TEST_CASE("a key ring with a short secret or a duplicate id is invalid", "[session]")
{
    CHECK(check({new_key, old_key}));
    CHECK_FALSE(check({signing_key{key_id{1}, "short"}, std::nullopt}));
    CHECK_FALSE(check({new_key, signing_key{key_id{1}, "short"}}));
    CHECK_FALSE(check({new_key, signing_key{new_key.id, old_key.secret}}));
}

TEST_CASE("a field that is too long gives no token", "[session]")
{
    auto content = sample();
    content.session = common::session_id{std::string(max_field_bytes + 1, 's')};
    CHECK(sign(content, {new_key, std::nullopt}).empty());
}

TEST_CASE("claims of session names distinguish organisations and models")
{
    using common::model_id;
    using common::organisation_id;
    using common::session_id;
    const auto first = make_name_claim(organisation_id{"ab"}, session_id{"c"}, model_id{"m"});
    CHECK(first.key == make_name_claim(organisation_id{"ab"}, session_id{"c"}, model_id{"m"}).key);
    CHECK(first.key != make_name_claim(organisation_id{"a"}, session_id{"bc"}, model_id{"m"}).key);
    const auto other = make_name_claim(organisation_id{"ab"}, session_id{"c"}, model_id{"n"});
    CHECK(first.key == other.key);
    CHECK(first.body != other.body);
}

} // namespace reedramp::session
