#include "engine_control.hpp"

#include <set>
#include <utility>
#include <variant>

#include <boost/json.hpp>

#include "platform/json_fields.hpp"

namespace reedramp::agent_program {

using common::failure;
using common::result_code;

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_conflict = 409;

auto parse_loaded_versions(const common::result<http::response>& answer)
    -> common::result<std::set<common::version_id>>
{
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    const auto body = platform::parse_object(answer->body);
    const auto* versions = body ? platform::array_field(*body, "versions") : nullptr;
    if (answer->status != status_ok || versions == nullptr) {
        return failure(result_code::server_failed, "malformed report of loaded versions");
    }
    std::set<common::version_id> loaded;
    for (const auto& item : *versions) {
        if (const auto* name = item.if_string()) {
            loaded.emplace(std::string(name->data(), name->size()));
        }
    }
    return loaded;
}

auto order_result(const common::result<http::response>& answer) -> common::result<void>
{
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (answer->status == status_conflict) {
        return failure(result_code::fencing_refused);
    }
    if (answer->status != status_ok) {
        return failure(result_code::server_failed, "status=" + std::to_string(answer->status));
    }
    return {};
}

auto order_request(const control::send_order& step) -> http::request
{
    const auto is_load = step.order.action == control::order_action::load;
    http::request request;
    request.method = "POST";
    request.target = "/orders";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = boost::json::serialize(boost::json::object{
        {"action", is_load ? "load" : "unload"},
        {"version", step.order.version.value()},
        {"fencing", step.fencing}});
    return request;
}

} // namespace

auto plan_for(const inventory::state& current, const common::server_id& server)
    -> control::engine_plan
{
    control::engine_plan plan;
    const auto found = current.servers.find(server);
    if (found == current.servers.end() || found->second.kind != inventory::server_kind::engine) {
        return plan;
    }
    plan.checks_fencing = found->second.checks_fencing;
    for (const auto& version : found->second.versions) {
        if (!current.is_withdrawn(version)) {
            plan.wanted.insert(version);
        }
    }
    return plan;
}

engine_control::engine_control(
    collaborators given, common::log_offset lease, common::time_point asked_at)
    : parts(std::move(given)),
      orders(control::order_settings{}, lease, asked_at, this->parts.now()),
      registrations(this->parts.server, this->parts.registration, lease)
{
}

auto engine_control::tick(const inventory::state& current) -> void
{
    const auto plan = plan_for(current, this->parts.server);
    if (plan.wanted.empty()) {
        // This may be a plain service, for which GET /load would be an ordinary call.
        return;
    }
    for (const auto& step : this->orders.tick(plan, this->parts.now())) {
        std::visit([this](const auto& item) { this->execute(item); }, step);
    }
}

auto engine_control::execute(const control::read_registrations& step) -> void
{
    common::log_offset after;
    {
        const std::lock_guard guard(this->lock);
        after = this->registrations.read_after();
    }
    this->parts.log.read(
        platform::streams::registrations,
        after,
        std::chrono::milliseconds(0),
        [self = this->shared_from_this(),
         step](const common::result<platform::read_answer>& answer) {
            self->on_registrations(step, answer);
        });
}

auto engine_control::on_registrations(
    const control::read_registrations& step, const common::result<platform::read_answer>& answer)
    -> void
{
    common::result<common::log_offset> newest = failure(result_code::log_unavailable);
    if (answer) {
        const std::lock_guard guard(this->lock);
        newest = this->registrations.apply(*answer);
    }
    if (newest && *newest == common::log_offset{}) {
        this->execute(step);
        return;
    }
    this->orders.on_registrations(step.ticket, newest, this->parts.now());
}

auto engine_control::execute(const control::read_engine& step) -> void
{
    http::request request;
    request.method = "GET";
    request.target = "/load";
    http::call_events events;
    events.on_done = [self = this->shared_from_this(),
                      step](const common::result<http::response>& answer) {
        self->orders.on_engine(step.ticket, parse_loaded_versions(answer), self->parts.now());
    };
    this->parts.client->send(this->parts.engine, std::move(request), std::move(events));
}

auto engine_control::execute(const control::fetch_weights& step) -> void
{
    this->parts.weights.fetch(
        step.version,
        this->parts.weight_bytes,
        [self = this->shared_from_this(),
         step](const common::result<platform::weight_answer>& answer) {
            const auto now = self->parts.now();
            common::result<void> outcome;
            if (!answer) {
                outcome = tl::unexpected(answer.error());
            }
            else if (!answer->fetched) {
                auto why = common::make_error(result_code::platform_unavailable);
                why.retry_at = now + answer->retry_after;
                outcome = tl::unexpected(std::move(why));
            }
            self->orders.on_weights(step.ticket, outcome, now);
        });
}

auto engine_control::execute(const control::send_order& step) -> void
{
    const auto now = this->parts.now();
    if (!this->orders.authorise(step.ticket, now)) {
        this->orders.on_order(step.ticket, failure(result_code::lease_lost), now);
        return;
    }
    http::call_events events;
    events.on_done = [self = this->shared_from_this(),
                      step](const common::result<http::response>& answer) {
        self->orders.on_order(step.ticket, order_result(answer), self->parts.now());
    };
    this->parts.client->send(this->parts.engine, order_request(step), std::move(events));
}

} // namespace reedramp::agent_program
