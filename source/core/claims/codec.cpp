#include "claims/codec.hpp"

#include <cstdint>
#include <optional>
#include <utility>

#include <boost/json.hpp>

namespace reedramp::claims {

namespace {

namespace json = boost::json;
using messages::claim_request;

// A record is {"id", "horizon", "names", "claims"}. Names of servers and versions are stored once,
// in "names", since they are longer than the rest of a claim. A claim is
// [key, body, request, server, incarnation, attempt, replaces, version], with `server` and
// `version` as indexes into "names", and `replaces` and `version` left out when both are empty.
constexpr std::size_t full_fields = 8;
constexpr std::size_t short_fields = 6;

/// Distinct names of one record. Index 0 is the empty name and is not written.
class name_list {
public:
    auto index_of(const std::string& name) -> std::uint64_t
    {
        if (name.empty()) {
            return 0;
        }
        for (std::size_t index = 0; index < this->names.size(); ++index) {
            if (this->names[index].get_string() == name) {
                return index + 1;
            }
        }
        this->names.emplace_back(name);
        return this->names.size();
    }

    [[nodiscard]] auto values() const -> const json::array& { return this->names; }

private:
    json::array names;
};

auto claim_to_json(const claim_request& claim, name_list& names) -> json::array
{
    json::array values{
        json::string(common::to_string(claim.key)),
        claim.body,
        json::string(common::to_string(claim.request)),
        names.index_of(claim.server.value()),
        claim.incarnation.value(),
        claim.attempt.value()};
    if (claim.replaces.value() != 0 || !claim.version.value().empty()) {
        values.emplace_back(claim.replaces.value());
        values.emplace_back(names.index_of(claim.version.value()));
    }
    return values;
}

auto text_of(const json::value& value) -> std::string
{
    const auto* text = value.if_string();
    return text == nullptr ? std::string{} : std::string{text->data(), text->size()};
}

auto count_of(const json::value& value) -> std::optional<std::uint64_t>
{
    if (const auto* number = value.if_uint64()) {
        return *number;
    }
    const auto* number = value.if_int64();
    if (number == nullptr || *number < 0) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(*number);
}

auto name_of(const json::value& index, const json::array& names) -> std::optional<std::string>
{
    const auto number = count_of(index);
    if (!number || *number > names.size()) {
        return std::nullopt;
    }
    return *number == 0 ? std::string{} : text_of(names[*number - 1]);
}

auto claim_from_json(const json::value& value, const json::array& names)
    -> std::optional<claim_request>
{
    const auto* values = value.if_array();
    if (values == nullptr || (values->size() != full_fields && values->size() != short_fields)) {
        return std::nullopt;
    }
    const auto key = common::parse_request_id(text_of((*values)[0]));
    const auto body = count_of((*values)[1]);
    const auto request = common::parse_request_id(text_of((*values)[2]));
    const auto server = name_of((*values)[3], names);
    const auto incarnation = count_of((*values)[4]);
    const auto attempt = count_of((*values)[5]);
    if (!key || !body || !request || !server || !incarnation || !attempt) {
        return std::nullopt;
    }
    claim_request claim;
    claim.key = *key;
    claim.body = *body;
    claim.request = *request;
    claim.server = common::server_id{*server};
    claim.incarnation = common::incarnation_id{*incarnation};
    claim.attempt = common::attempt_number{static_cast<std::uint32_t>(*attempt)};
    if (values->size() == short_fields) {
        return claim;
    }
    const auto replaces = count_of((*values)[6]);
    const auto version = name_of((*values)[7], names);
    if (!replaces || !version) {
        return std::nullopt;
    }
    claim.replaces = common::log_offset{*replaces};
    claim.version = common::version_id{*version};
    return claim;
}

auto malformed() -> tl::unexpected<common::error>
{
    return common::failure(common::result_code::invalid_record, "not a record of claims");
}

auto array_in(const json::object& fields, std::string_view name) -> const json::array*
{
    const auto* value = fields.if_contains(name);
    return value == nullptr ? nullptr : value->if_array();
}

} // namespace

auto serialise(const claim_batch& content) -> std::string
{
    name_list names;
    json::array claims;
    claims.reserve(content.claims.size());
    for (const auto& claim : content.claims) {
        claims.push_back(claim_to_json(claim, names));
    }
    json::object record;
    record["id"] = common::to_string(content.id);
    record["horizon"] = content.horizon.value();
    record["names"] = names.values();
    record["claims"] = std::move(claims);
    return json::serialize(record);
}

auto parse(std::string_view record) -> common::result<claim_batch>
{
    json::error_code failed;
    const auto value = json::parse({record.data(), record.size()}, failed);
    const auto* fields = failed ? nullptr : value.if_object();
    if (fields == nullptr || !fields->contains("id") || !fields->contains("horizon")) {
        return malformed();
    }
    const auto id = common::parse_request_id(text_of(fields->at("id")));
    const auto horizon = count_of(fields->at("horizon"));
    const auto* names = array_in(*fields, "names");
    const auto* claims = array_in(*fields, "claims");
    if (!id || !horizon || names == nullptr || claims == nullptr) {
        return malformed();
    }
    claim_batch content{*id, common::log_offset{*horizon}, {}};
    content.claims.reserve(claims->size());
    for (const auto& entry : *claims) {
        auto claim = claim_from_json(entry, *names);
        if (!claim) {
            return malformed();
        }
        content.claims.push_back(std::move(*claim));
    }
    return content;
}

} // namespace reedramp::claims
