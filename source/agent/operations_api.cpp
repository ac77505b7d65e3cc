#include "operations_api.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include "http/codec.hpp"
#include "inventory/hash.hpp"

namespace reedramp::agent_program {

using common::make_error;
using common::result_code;

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::string_view bearer = "Bearer ";

auto json(std::uint16_t status, std::string body) -> http::response
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace

operations_api::operations_api(operations_hooks wanted, std::vector<std::string> hashes)
    : hooks(std::move(wanted)), key_hashes(std::move(hashes))
{
}

auto operations_api::handle(
    const http::request& request, const std::shared_ptr<http::responder>& responder) const -> void
{
    responder->send(this->answer(request));
}

auto operations_api::answer(const http::request& request) const -> http::response
{
    if (request.target == "/drain") {
        return this->answer_drain(request);
    }
    const auto known = request.target == "/health/live" || request.target == "/health/ready" ||
                       request.target == "/metrics";
    if (!known) {
        return http::problem_answer(make_error(result_code::unknown_path));
    }
    if (request.method != "GET") {
        return http::problem_answer(make_error(result_code::method_not_allowed));
    }
    if (request.target == "/health/live") {
        return json(status_ok, R"({"live":true})");
    }
    if (request.target == "/health/ready") {
        return this->answer_ready();
    }
    return {status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, this->hooks.metrics()};
}

auto operations_api::answer_ready() const -> http::response
{
    if (this->hooks.leaving()) {
        return json(status_unavailable, R"({"ready":false,"why":"leaving"})");
    }
    if (!this->hooks.ready()) {
        return json(status_unavailable, R"({"ready":false,"why":"no configuration yet"})");
    }
    return json(status_ok, R"({"ready":true})");
}

auto operations_api::answer_drain(const http::request& request) const -> http::response
{
    if (request.method != "POST") {
        return http::problem_answer(make_error(result_code::method_not_allowed));
    }
    if (!this->is_operator(request)) {
        return http::problem_answer(make_error(result_code::operator_not_allowed));
    }
    this->hooks.drain();
    return json(status_ok, R"({"leaving":true})");
}

auto operations_api::is_operator(const http::request& request) const -> bool
{
    const auto given = http::find_header(request.headers, "Authorization");
    if (!given || !given->starts_with(bearer)) {
        return false;
    }
    const auto hash = inventory::sha256_hex(given->substr(bearer.size()));
    return std::find(this->key_hashes.begin(), this->key_hashes.end(), hash) !=
           this->key_hashes.end();
}

} // namespace reedramp::agent_program
