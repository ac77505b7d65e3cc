#include "inventory/checkpoint.hpp"

#include <utility>

#include "inventory/entity_json.hpp"
#include "inventory/hash.hpp"
#include "inventory/record.hpp"

namespace reedramp::inventory {

namespace json = boost::json;
using common::failure;
using common::result_code;

namespace {

constexpr std::string_view prefix = R"({"checkpoint":)";

auto bad(std::string why) -> tl::unexpected<common::error>
{
    return failure(result_code::bad_checkpoint, std::move(why));
}

} // namespace

auto digest(const state& current) -> std::string
{
    return sha256_hex(state_text(current));
}

auto format_checkpoint(const state& current) -> std::string
{
    // The state is inserted as text, since the digest needs that text anyway.
    const auto content = state_text(current);
    std::string text(prefix);
    text += R"({"digest":")" + sha256_hex(content) + R"(","state":)";
    text += content;
    text += "}}";
    return text;
}

auto looks_like_checkpoint(std::string_view text) -> bool
{
    return text.starts_with(prefix);
}

auto parse_checkpoint(std::string_view text) -> common::result<state>
{
    json::error_code failed;
    const auto parsed = json::parse({text.data(), text.size()}, failed);
    if (failed) {
        return bad("the checkpoint is torn: " + failed.message());
    }
    object_reader outer(parsed, "");
    const auto* body = outer.member("checkpoint");
    if (body == nullptr || !outer.problem().empty()) {
        return bad("not a checkpoint");
    }
    object_reader inner(*body, "checkpoint");
    const auto claimed = inner.id("digest");
    const auto* content = inner.member("state");
    if (content == nullptr || !inner.problem().empty()) {
        return bad("the checkpoint lacks its digest or state");
    }
    auto made = state_from_json(*content);
    if (!made) {
        return bad(made.error().detail);
    }
    if (digest(*made) != claimed) {
        return bad("the checkpoint does not match its digest");
    }
    return made;
}

} // namespace reedramp::inventory
