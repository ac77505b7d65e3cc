#include <algorithm>
#include <utility>

#include "parts.hpp"
#include "platform/json_fields.hpp"

namespace reedramp::standin {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_too_many = 429;

/// All transfers share one rate and go one after the other.
struct weights_part {
    weights_part(part_server& given_server, const weights_settings& given)
        : server(given_server), wanted(given)
    {
    }

    auto serve(const http::request& asked, const responder_pointer& out) -> void
    {
        const auto fields = platform::parse_object(asked.body);
        const auto bytes = fields ? platform::count_field(*fields, "bytes") : std::nullopt;
        if (asked.target != "/weights/fetch" || asked.method != "POST" || !bytes) {
            out->send(error_response(status_bad_request, "needs POST /weights/fetch with bytes"));
            return;
        }
        const auto& tools = this->server.tools();
        const auto now = tools.clock();
        const auto starts = std::max(now, this->busy_until);
        if (starts - now > std::chrono::milliseconds(this->wanted.longest_queue_ms)) {
            this->refuse(starts - now, out);
            return;
        }
        const std::chrono::duration<double> takes(
            static_cast<double>(*bytes) / static_cast<double>(this->wanted.bytes_per_second));
        this->busy_until = starts + std::chrono::duration_cast<common::duration>(takes);
        tools.timers(this->busy_until, [this, out] {
            this->server.reply(out, json_response(status_ok, "{}"));
        });
    }

    auto refuse(common::duration wait, const responder_pointer& out) -> void
    {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
        auto answer = error_response(status_too_many, "too many transfers");
        answer.headers.push_back({"Retry-After", std::to_string(seconds)});
        this->server.reply(out, std::move(answer));
    }

    part_server& server;
    weights_settings wanted;
    common::time_point busy_until{};
};

} // namespace

auto open_weights(
    const part_tools& tools, const std::string& address, const weights_settings& wanted)
    -> opened_part
{
    part_description about{"weights", "weights", {address, wanted.port}};
    auto server = std::make_unique<part_server>(std::move(about), tools);
    const auto part = std::make_shared<weights_part>(*server, wanted);
    part_server::hooks hooks;
    hooks.serve = [part](const http::request& asked, const responder_pointer& out) {
        part->serve(asked, out);
    };
    const auto opened = server->open(std::move(hooks));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    return server;
}

} // namespace reedramp::standin
