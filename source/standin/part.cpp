#include "part.hpp"

#include <charconv>
#include <utility>

#include <boost/json.hpp>

#include "common/log.hpp"

namespace reedramp::standin {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_method_not_allowed = 405;
constexpr std::uint16_t status_internal_error = 500;
constexpr std::uint16_t status_unavailable = 503;
constexpr double permille_scale = 1000.0;

} // namespace

part_server::part_server(part_description initial_description, part_environment environment)
    : description(std::move(initial_description)), execution_environment(std::move(environment))
{
}

auto part_server::open(hooks callbacks) -> common::result<void>
{
    this->handlers = std::move(callbacks);
    http::server_options options;
    options.listen = this->description.listen;
    options.body_limit_bytes = std::size_t{64} * 1024 * 1024;
    options.read_timeout = std::chrono::minutes(10);
    auto opened = http::server::open(
        {this->execution_environment.context},
        std::move(options),
        [this](http::request request, std::shared_ptr<http::responder> responder) {
            this->handle_request(std::move(request), responder);
        });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    this->listener = std::move(*opened);
    return {};
}

auto part_server::set_faults(const faults& updated) -> void
{
    this->current = updated;
    if (this->handlers.faults_changed) {
        this->handlers.faults_changed(this->current);
    }
}

auto part_server::reply(const responder_pointer& responder, http::response response) -> void
{
    ++this->replies;
    const auto every = this->current.lose_answer_every;
    if (every != 0 && this->replies % every == 0) {
        responder->abort();
        return;
    }
    if (this->current.slow_ms == 0) {
        responder->send(std::move(response));
        return;
    }
    const auto when =
        this->execution_environment.clock() + std::chrono::milliseconds(this->current.slow_ms);
    this->execution_environment.timers(
        when, [responder, response = std::move(response)] { responder->send(response); });
}

auto part_server::handle_request(http::request request, const responder_pointer& responder) -> void
{
    if (strip_query(request.target) == "/faults") {
        this->handle_faults(request, responder);
        return;
    }
    if (this->reject_by_fault(responder)) {
        return;
    }
    this->handlers.serve(std::move(request), responder);
}

auto part_server::handle_faults(const http::request& request, const responder_pointer& responder)
    -> void
{
    if (request.method == "GET") {
        responder->send(json_response(status_ok, format_faults(this->current)));
        return;
    }
    if (request.method != "POST") {
        responder->send(error_response(status_method_not_allowed, "use GET or POST"));
        return;
    }
    auto updated = this->current;
    const auto applied = apply_faults(request.body, updated);
    if (!applied) {
        responder->send(error_response(status_bad_request, applied.error().detail));
        return;
    }
    common::log(
        common::log_part::standin,
        common::log_level::info,
        "Faults set part=" + this->description.name + " faults=" + format_faults(updated));
    this->set_faults(updated);
    responder->send(json_response(status_ok, format_faults(this->current)));
}

auto part_server::reject_by_fault(const responder_pointer& responder) -> bool
{
    if (this->current.down) {
        if (this->description.when_down == down_behaviour::closed_connection) {
            responder->abort();
        }
        else {
            responder->send(error_response(status_unavailable, "down"));
        }
        return true;
    }
    if (this->current.error_rate_permille == 0) {
        return false;
    }
    const auto sample = common::random_unit(this->execution_environment.random) * permille_scale;
    if (sample >= this->current.error_rate_permille) {
        return false;
    }
    responder->send(error_response(status_internal_error, "failed by fault"));
    return true;
}

auto json_response(std::uint16_t status, std::string body) -> http::response
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

auto error_response(std::uint16_t status, std::string_view message) -> http::response
{
    const boost::json::string_view text{message.data(), message.size()};
    return json_response(status, boost::json::serialize(boost::json::object{{"error", text}}));
}

auto strip_query(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

auto parse_query_number(std::string_view target, std::string_view name)
    -> std::optional<std::uint64_t>
{
    const auto query_start = target.find('?');
    auto rest =
        query_start == std::string_view::npos ? std::string_view{} : target.substr(query_start + 1);
    while (!rest.empty()) {
        const auto field = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), field.size() + 1));
        const auto equals = field.find('=');
        if (equals == std::string_view::npos || field.substr(0, equals) != name) {
            continue;
        }
        const auto digits = field.substr(equals + 1);
        std::uint64_t number = 0;
        const auto* last = digits.data() + digits.size();
        const auto parsed = std::from_chars(digits.data(), last, number);
        if (parsed.ec == std::errc{} && parsed.ptr == last) {
            return number;
        }
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace reedramp::standin
