#include "faults.hpp"

#include <array>
#include <string>

#include "platform/json_fields.hpp"

namespace reedramp::standin {

namespace {

struct number_fault {
    std::string_view name;
    std::uint32_t faults::*member;
};

struct flag_fault {
    std::string_view name;
    bool faults::*member;
};

constexpr auto number_faults = std::to_array<number_fault>({
    {"slow_ms", &faults::slow_ms},
    {"lose_answer_every", &faults::lose_answer_every},
    {"lose_append_every", &faults::lose_append_every},
    {"appends_per_second", &faults::appends_per_second},
    {"kept_records", &faults::kept_records},
    {"stale_hosts_ms", &faults::stale_hosts_ms},
    {"cut_after_tokens", &faults::cut_after_tokens},
    {"error_rate_permille", &faults::error_rate_permille},
});

constexpr auto flag_faults = std::to_array<flag_fault>({
    {"down", &faults::down},
    {"bad", &faults::bad},
});

/// Applies the field `name`. Returns false if it is unknown or has the wrong type.
auto apply_field(const boost::json::object& fields, std::string_view name, faults& updated) -> bool
{
    for (const auto& known : number_faults) {
        if (known.name != name) {
            continue;
        }
        const auto number = platform::count_field(fields, name);
        updated.*known.member = static_cast<std::uint32_t>(number.value_or(0));
        return number.has_value();
    }
    for (const auto& known : flag_faults) {
        if (known.name != name) {
            continue;
        }
        const auto is_on = platform::bool_field(fields, name);
        updated.*known.member = is_on.value_or(false);
        return is_on.has_value();
    }
    return false;
}

} // namespace

auto apply_faults(std::string_view json, faults& current) -> common::result<void>
{
    const auto fields = platform::parse_object(json);
    if (!fields) {
        return common::failure(common::result_code::malformed_json, "not a JSON object");
    }
    auto updated = current;
    for (const auto& field : *fields) {
        const std::string name(field.key());
        if (!apply_field(*fields, name, updated)) {
            return common::failure(common::result_code::malformed_json, "bad field " + name);
        }
    }
    current = updated;
    return {};
}

auto format_faults(const faults& current) -> std::string
{
    boost::json::object fields;
    for (const auto& known : number_faults) {
        fields[{known.name.data(), known.name.size()}] = current.*known.member;
    }
    for (const auto& known : flag_faults) {
        fields[{known.name.data(), known.name.size()}] = current.*known.member;
    }
    return boost::json::serialize(fields);
}

} // namespace reedramp::standin
