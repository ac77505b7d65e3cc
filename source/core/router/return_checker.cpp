#include "router/return_checker.hpp"

#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

namespace {

/// Pause after a response that does not confirm the server: it may be full.
constexpr std::chrono::milliseconds pause{300};

/// Time for a response. A server that serves answers within some tens of ms.
constexpr std::chrono::milliseconds response_time{1000};

constexpr std::uint16_t status_ok = 200;

} // namespace

return_checker::return_checker(
    std::shared_ptr<router_core> core_to_use,
    std::function<auto(const routing::registration& read)->void> confirmed)
    : core(std::move(core_to_use)), on_confirmed(std::move(confirmed))
{
}

auto return_checker::check_path(const routing::registration& read) const -> std::string
{
    const auto rules = this->core->rules();
    const auto* known = rules == nullptr ? nullptr : rules->find_service(read.service);
    return known == nullptr ? std::string{} : known->health_path;
}

auto return_checker::can_check(const routing::registration& read) const -> bool
{
    return !this->check_path(read).empty();
}

auto return_checker::check(const routing::registration& read, time_point until) -> void
{
    // Several neighbours forward the same registration; the server is asked once.
    const auto [found, is_new] = this->doubtful.try_emplace(read.id, doubtful_server{read, until});
    found->second.read = read;
    if (is_new) {
        this->ask(read.id);
    }
}

auto return_checker::ask(const common::server_id& id) -> void
{
    const auto found = this->doubtful.find(id);
    if (found == this->doubtful.end()) {
        return;
    }
    auto& one = found->second;
    const auto now = this->core->hooks.clock();
    const auto where = http::parse_endpoint(one.read.address);
    const auto path = this->check_path(one.read);
    if (now >= one.until || !where || path.empty()) {
        this->confirm(id);
        return;
    }
    const auto question = ++this->questions;
    one.question = question;
    const auto& names = this->core->options.names;
    http::request request;
    request.method = "GET";
    request.target = path;
    request.headers = {
        {"Host", one.read.address},
        {names.expected_server, id.value()},
        {names.deadline_ms, std::to_string(response_time.count())}};
    this->core->client->send(
        *where,
        std::move(request),
        {.on_done = [self = this->shared_from_this(), id, question](const auto& answer) {
            self->on_response(id, question, answer);
        }});
    this->core->hooks.timer(now + response_time, [self = this->shared_from_this(), id, question] {
        self->on_response(id, question, common::failure(common::result_code::server_lost));
    });
}

auto return_checker::on_response(
    const common::server_id& id,
    std::uint64_t question,
    const common::result<http::response>& answer) -> void
{
    const auto found = this->doubtful.find(id);
    if (found == this->doubtful.end() || found->second.question != question) {
        return;
    }
    found->second.question = 0;
    const bool serves = answer && answer->status == status_ok;
    common::log(
        common::log_part::members,
        common::log_level::info,
        std::string{"registration after the server's end, asked the server serves="} +
            (serves ? "yes" : "no") + " server=" + to_string(found->second.read.instance()) +
            " answer=" + (answer ? std::to_string(answer->status) : answer.error().detail));
    if (serves) {
        this->confirm(id);
        return;
    }
    this->core->hooks.timer(
        this->core->hooks.clock() + pause, [self = this->shared_from_this(), id] {
            const auto waiting = self->doubtful.find(id);
            if (waiting != self->doubtful.end() && waiting->second.question == 0) {
                self->ask(id);
            }
        });
}

auto return_checker::confirm(const common::server_id& id) -> void
{
    const auto found = this->doubtful.extract(id);
    if (!found.empty()) {
        this->on_confirmed(found.mapped().read);
    }
}

} // namespace reedramp::router
