#include "platform/http_ratings.hpp"

#include <utility>

#include "platform/json_fields.hpp"

namespace reedramp::platform {

using common::failure;
using common::result_code;

namespace {

constexpr std::uint16_t status_ok = 200;

/// Rows without a valid request id or score are skipped, because they cannot be used.
auto parse_ratings(const boost::json::array& rows) -> std::vector<rating>
{
    std::vector<rating> ratings;
    ratings.reserve(rows.size());
    for (const auto& row : rows) {
        const auto* fields = row.if_object();
        if (fields == nullptr) {
            continue;
        }
        const auto request = string_field(*fields, "request");
        const auto id = request ? common::parse_request_id(*request) : std::nullopt;
        const auto score = number_field(*fields, "score");
        if (id && score) {
            ratings.push_back({*id, *score});
        }
    }
    return ratings;
}

auto parse_rating_page(const common::result<http::response>& answer) -> common::result<rating_page>
{
    if (!answer) {
        return failure(result_code::platform_unavailable, answer.error().detail);
    }
    const auto body = answer->status == status_ok ? parse_object(answer->body) : std::nullopt;
    const auto* rows = body ? array_field(*body, "ratings") : nullptr;
    const auto next = body ? count_field(*body, "next") : std::nullopt;
    if (rows == nullptr || !next) {
        return failure(
            result_code::platform_unavailable, "status=" + std::to_string(answer->status));
    }
    return rating_page{parse_ratings(*rows), *next};
}

} // namespace

auto make_http_ratings(std::shared_ptr<http::client> client, http::endpoint where) -> rating_hooks
{
    rating_hooks hooks;
    hooks.submit = [client,
                    where](common::request_id id, std::string question, std::string answer) {
        const boost::json::object body{
            {"request", common::to_string(id)},
            {"question", question},
            {"answer", answer},
        };
        http::request request;
        request.method = "POST";
        request.target = "/ratings/submit";
        request.body = boost::json::serialize(body);
        http::call_events events;
        events.on_done = [](const auto&) {
        };
        client->send(where, std::move(request), std::move(events));
    };
    hooks.fetch = [client, where](std::uint64_t since, answer_hook<rating_page> done) {
        http::request request;
        request.method = "GET";
        request.target = "/ratings?since=" + std::to_string(since);
        http::call_events events;
        events.on_done = [done = std::move(done)](const common::result<http::response>& answer) {
            done(parse_rating_page(answer));
        };
        client->send(where, std::move(request), std::move(events));
    };
    return hooks;
}

} // namespace reedramp::platform
