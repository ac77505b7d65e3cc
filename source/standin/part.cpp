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
constexpr std::uint16_t status_failed = 500;
constexpr std::uint16_t status_unavailable = 503;
constexpr double whole_permille = 1000.0;

} // namespace

part_server::part_server(part_description description, part_tools tools)
    : about(std::move(description)), given_tools(std::move(tools))
{
}

auto part_server::open(hooks given) -> common::result<void>
{
    this->handlers = std::move(given);
    http::server_options options;
    options.listen = this->about.listen;
    options.body_limit_bytes = std::size_t{64} * 1024 * 1024;
    options.read_timeout = std::chrono::minutes(10);
    auto opened = http::server::open(
        {this->given_tools.context},
        std::move(options),
        [this](http::request asked, std::shared_ptr<http::responder> out) {
            this->take(std::move(asked), out);
        });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    this->listener = std::move(*opened);
    return {};
}

auto part_server::set_faults(const faults& wanted) -> void
{
    this->current = wanted;
    if (this->handlers.faults_changed) {
        this->handlers.faults_changed(this->current);
    }
}

auto part_server::reply(const responder_pointer& out, http::response answer) -> void
{
    ++this->replies;
    const auto every = this->current.lose_answer_every;
    if (every != 0 && this->replies % every == 0) {
        out->abort();
        return;
    }
    if (this->current.slow_ms == 0) {
        out->send(std::move(answer));
        return;
    }
    const auto when = this->given_tools.clock() + std::chrono::milliseconds(this->current.slow_ms);
    this->given_tools.timers(when, [out, answer = std::move(answer)] { out->send(answer); });
}

auto part_server::take(http::request asked, const responder_pointer& out) -> void
{
    if (path_of(asked.target) == "/faults") {
        this->serve_faults(asked, out);
        return;
    }
    if (this->refuse_by_fault(out)) {
        return;
    }
    this->handlers.serve(std::move(asked), out);
}

auto part_server::serve_faults(const http::request& asked, const responder_pointer& out) -> void
{
    if (asked.method == "GET") {
        out->send(json_response(status_ok, format_faults(this->current)));
        return;
    }
    if (asked.method != "POST") {
        out->send(error_response(status_method_not_allowed, "use GET or POST"));
        return;
    }
    auto wanted = this->current;
    const auto applied = apply_faults(asked.body, wanted);
    if (!applied) {
        out->send(error_response(status_bad_request, applied.error().detail));
        return;
    }
    common::log(
        common::log_part::standin,
        common::log_level::info,
        "Faults set part=" + this->about.name + " faults=" + format_faults(wanted));
    this->set_faults(wanted);
    out->send(json_response(status_ok, format_faults(this->current)));
}

auto part_server::refuse_by_fault(const responder_pointer& out) -> bool
{
    if (this->current.down) {
        if (this->about.when_down == down_answer::closed_connection) {
            out->abort();
        }
        else {
            out->send(error_response(status_unavailable, "down"));
        }
        return true;
    }
    if (this->current.error_rate_permille == 0) {
        return false;
    }
    const auto drawn = common::random_unit(this->given_tools.random) * whole_permille;
    if (drawn >= this->current.error_rate_permille) {
        return false;
    }
    out->send(error_response(status_failed, "failed by fault"));
    return true;
}

auto json_response(std::uint16_t status, std::string body) -> http::response
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

auto error_response(std::uint16_t status, std::string_view why) -> http::response
{
    const boost::json::string_view text{why.data(), why.size()};
    return json_response(status, boost::json::serialize(boost::json::object{{"error", text}}));
}

auto path_of(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

auto query_count(std::string_view target, std::string_view name) -> std::optional<std::uint64_t>
{
    const auto mark = target.find('?');
    auto rest = mark == std::string_view::npos ? std::string_view{} : target.substr(mark + 1);
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
