#include "operators/requests.hpp"

#include <utility>

#include <boost/json.hpp>

namespace reedramp::operators {

namespace {

constexpr std::string_view admin_prefix = "/admin/v1/";

auto post(std::string target, std::string body) -> http::request
{
    http::request request;
    request.method = "POST";
    request.target = std::move(target);
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = std::move(body);
    return request;
}

auto get(std::string target) -> http::request
{
    http::request request;
    request.method = "GET";
    request.target = std::move(target);
    return request;
}

} // namespace

auto read_request(std::string_view resource) -> http::request
{
    return get(std::string(admin_prefix) + std::string(resource));
}

auto publish_request(const inventory::record& item) -> http::request
{
    return post(std::string(admin_prefix) + "records", inventory::format_record(item));
}

auto withdraw_request(const common::version_id& version) -> http::request
{
    const boost::json::object body{{"version", version.value()}};
    return post(std::string(admin_prefix) + "withdrawals", boost::json::serialize(body));
}

auto drain_request() -> http::request
{
    return post("/drain", "");
}

auto metrics_request() -> http::request
{
    return get("/metrics");
}

auto health_request() -> http::request
{
    return get("/health/ready");
}

auto with_key(http::request request, const std::string& key) -> http::request
{
    request.headers.push_back({"Authorization", "Bearer " + key});
    return request;
}

} // namespace reedramp::operators
