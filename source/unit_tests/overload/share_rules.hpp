#pragma once

#include <cstddef>
#include <string>

#include "routing/configuration.hpp"

namespace reedramp::overload::testing {

inline auto name_of(std::size_t number) -> common::organisation_id
{
    return common::organisation_id{"o" + std::to_string(number)};
}

/// Rules with one route, which leads to the service, and `count` organisations.
inline auto rules_of(const common::service_name& service, std::size_t count)
    -> routing::configuration
{
    routing::configuration rules;
    rules.routes.resize(1);
    rules.routes.front().targets = {{service, 1}};
    for (std::size_t i = 0; i < count; ++i) {
        rules.organisations.push_back({name_of(i), {}});
    }
    return rules;
}

} // namespace reedramp::overload::testing
