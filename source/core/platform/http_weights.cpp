#include "platform/http_weights.hpp"

#include <charconv>
#include <utility>

#include "platform/json_fields.hpp"

namespace reedramp::platform {

using common::failure;
using common::result_code;

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_too_many = 429;
constexpr std::chrono::seconds default_retry{1};

auto retry_after(const http::response& answer) -> std::chrono::seconds
{
    const auto text = http::find_header(answer.headers, "Retry-After");
    if (!text) {
        return default_retry;
    }
    std::int64_t seconds = 0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), seconds);
    return parsed.ec == std::errc{} ? std::chrono::seconds(seconds) : default_retry;
}

auto parse_weight_answer(const common::result<http::response>& answer)
    -> common::result<weight_answer>
{
    if (!answer) {
        return failure(result_code::platform_unavailable, answer.error().detail);
    }
    if (answer->status == status_too_many) {
        return weight_answer{false, retry_after(*answer)};
    }
    if (answer->status != status_ok) {
        return failure(
            result_code::platform_unavailable, "status=" + std::to_string(answer->status));
    }
    return weight_answer{true, std::chrono::seconds::zero()};
}

} // namespace

auto make_http_weights(std::shared_ptr<http::client> client, http::endpoint where) -> weight_hooks
{
    weight_hooks hooks;
    hooks.fetch = [client, where](
                      common::version_id version,
                      std::uint64_t bytes,
                      answer_hook<weight_answer> done) {
        const boost::json::object body{{"version", version.value()}, {"bytes", bytes}};
        http::request request;
        request.method = "POST";
        request.target = "/weights/fetch";
        request.body = boost::json::serialize(body);
        http::call_events events;
        events.on_done = [done = std::move(done)](const common::result<http::response>& answer) {
            done(parse_weight_answer(answer));
        };
        client->send(where, std::move(request), std::move(events));
    };
    return hooks;
}

} // namespace reedramp::platform
