#include "operators/requests.hpp"

#include <utility>

#include <boost/json.hpp>

namespace reedramp::operators {

namespace {

constexpr std::string_view admin_prefix = "/admin/v1/";

auto post(std::string target, std::string body) -> http::request
{
    http::request asked;
    asked.method = "POST";
    asked.target = std::move(target);
    asked.headers.push_back({"Content-Type", "application/json"});
    asked.body = std::move(body);
    return asked;
}

auto get(std::string target) -> http::request
{
    http::request asked;
    asked.method = "GET";
    asked.target = std::move(target);
    return asked;
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

auto with_key(http::request asked, const std::string& key) -> http::request
{
    asked.headers.push_back({"Authorization", "Bearer " + key});
    return asked;
}

} // namespace reedramp::operators
