#include "entry/callers_api.hpp"

#include <array>

namespace reedramp::entry {

namespace {

struct fixed_route {
    std::string_view path;
    std::string_view method;
    route_kind kind;
};

constexpr auto fixed_routes = std::to_array<fixed_route>({
    {"/v1/chat/completions", "POST", route_kind::chat},
    {"/v1/models", "GET", route_kind::list_models},
    {"/v1/sessions", "POST", route_kind::open_session},
    {"/health/live", "GET", route_kind::live},
    {"/health/ready", "GET", route_kind::ready},
    {"/metrics", "GET", route_kind::metrics},
});

constexpr std::string_view services_prefix = "/services/";
constexpr std::string_view admin_prefix = "/admin/v1/";

auto parse_service(std::string_view rest) -> common::result<route>
{
    const auto end = rest.find_first_of("/?");
    const auto name = rest.substr(0, end);
    if (name.empty()) {
        return common::failure(common::result_code::unknown_path, "the service name is missing");
    }
    auto path = end == std::string_view::npos ? std::string("/") : std::string(rest.substr(end));
    if (path.front() == '?') {
        path.insert(path.begin(), '/');
    }
    return route{route_kind::service, common::service_name(std::string(name)), std::move(path)};
}

} // namespace

auto parse_route(std::string_view method, std::string_view target) -> common::result<route>
{
    if (target.starts_with(services_prefix)) {
        return parse_service(target.substr(services_prefix.size()));
    }
    if (target.starts_with(admin_prefix)) {
        return route{route_kind::admin, {}, std::string(target)};
    }
    const auto path = target.substr(0, target.find('?'));
    for (const auto& fixed : fixed_routes) {
        if (fixed.path != path) {
            continue;
        }
        if (fixed.method != method) {
            return common::failure(
                common::result_code::method_not_allowed,
                "this path only accepts " + std::string(fixed.method));
        }
        return route{fixed.kind, {}, {}};
    }
    return common::failure(common::result_code::unknown_path, "no such path");
}

} // namespace reedramp::entry
