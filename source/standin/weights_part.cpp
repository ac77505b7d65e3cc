#include <algorithm>
#include <utility>

#include "parts.hpp"
#include "platform/json_fields.hpp"

namespace reedramp::standin {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_too_many = 429;

/// Simulates a weight store that runs one transfer at a time, in order of arrival, at a fixed rate.
struct weights_part {
    weights_part(part_server& given_server, const weights_settings& given_config)
        : server(given_server), config(given_config)
    {
    }

    auto serve(const http::request& request, const responder_pointer& responder) -> void
    {
        const auto fields = platform::parse_object(request.body);
        const auto bytes = fields ? platform::count_field(*fields, "bytes") : std::nullopt;
        if (request.target != "/weights/fetch" || request.method != "POST" || !bytes) {
            responder->send(
                error_response(status_bad_request, "needs POST /weights/fetch with bytes"));
            return;
        }
        const auto& environment = this->server.environment();
        const auto now = environment.clock();
        const auto start_at = std::max(now, this->busy_until);
        if (start_at - now > std::chrono::milliseconds(this->config.longest_queue_ms)) {
            this->reject(start_at - now, responder);
            return;
        }
        const std::chrono::duration<double> duration(
            static_cast<double>(*bytes) / static_cast<double>(this->config.bytes_per_second));
        this->busy_until = start_at + std::chrono::duration_cast<common::duration>(duration);
        environment.timers(this->busy_until, [this, responder] {
            this->server.reply(responder, json_response(status_ok, "{}"));
        });
    }

    auto reject(common::duration wait, const responder_pointer& responder) -> void
    {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
        auto response = error_response(status_too_many, "too many transfers");
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
        this->server.reply(responder, std::move(response));
    }

    part_server& server;
    weights_settings config;
    common::time_point busy_until{};
};

} // namespace

auto open_weights(
    const part_environment& environment, const std::string& address, const weights_settings& config)
    -> part_result
{
    part_description description{"weights", "weights", {address, config.port}};
    auto server = std::make_unique<part_server>(std::move(description), environment);
    const auto part = std::make_shared<weights_part>(*server, config);
    part_server::hooks hooks;
    hooks.serve = [part](const http::request& request, const responder_pointer& responder) {
        part->serve(request, responder);
    };
    const auto opened = server->open(std::move(hooks));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    return server;
}

} // namespace reedramp::standin
