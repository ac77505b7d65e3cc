#include "router_fixture.hpp"

#include <algorithm>
#include <utility>

namespace reedramp::router::testing {

namespace {

auto route_of(const char* name, routing::request_kind kind, unsigned attempts) -> routing::route
{
    routing::route route;
    route.name = routing::route_name{name};
    route.host = "h";
    route.path_prefix = std::string{"/"} + name + "/";
    route.kind = kind;
    route.timeout = seconds{10};
    route.target = seconds{1};
    route.longest_pause = milliseconds{800};
    route.max_attempts = attempts;
    route.targets = {{common::service_name{"engines"}, 1}};
    return route;
}

} // namespace

auto sent_request::header(std::string_view name) const -> std::string
{
    return std::string{http::find_header(this->request.headers, name).value_or("")};
}

auto sent_request::head(std::uint16_t status, std::vector<http::header> extra) -> void
{
    http::response head;
    head.status = status;
    head.headers = {
        {"Reedramp-Attempt-Id", this->header("Reedramp-Attempt-Id")},
        {"Reedramp-Signature", "of " + this->header("Reedramp-Expect-Server")}};
    for (auto& item : extra) {
        std::erase_if(head.headers, [&item](const auto& other) { return other.name == item.name; });
        if (!item.value.empty()) {
            head.headers.push_back(std::move(item));
        }
    }
    if (this->events.on_head) {
        this->is_calling = true;
        this->events.on_head(head);
        this->is_calling = false;
        this->drop_events();
    }
}

auto sent_request::chunk(const std::string& bytes) -> void
{
    if (!this->is_cancelled && this->events.on_chunk) {
        this->is_calling = true;
        this->events.on_chunk(bytes);
        this->is_calling = false;
        this->drop_events();
    }
}

auto sent_request::end() -> void
{
    if (!this->is_cancelled) {
        const auto ended = std::exchange(this->events, {});
        ended.on_done(http::response{});
    }
}

auto sent_request::end_by_close() -> void
{
    if (!this->is_cancelled) {
        const auto ended = std::exchange(this->events, {});
        http::response whole;
        whole.ended_by_close = true;
        ended.on_done(std::move(whole));
    }
}

auto sent_request::answer(
    std::uint16_t status, const std::string& body, std::vector<http::header> extra) -> void
{
    this->head(status, std::move(extra));
    this->chunk(body);
    this->end();
}

auto sent_request::lose(common::execution run) -> void
{
    auto why = common::make_error(common::result_code::server_lost);
    why.run = run;
    const auto ended = std::exchange(this->events, {});
    ended.on_done(tl::unexpected(why));
}

auto fake_client::send(const http::endpoint& where, http::request request, http::call_events events)
    -> std::shared_ptr<http::call>
{
    auto one = std::make_shared<sent_request>();
    one->where = where;
    one->request = std::move(request);
    one->events = std::move(events);
    this->sent.push_back(one);
    return one;
}

auto rules_of(std::uint64_t version) -> published_rules
{
    routing::configuration rules;
    rules.version = version;
    auto stream = route_of("stream", routing::request_kind::stream, 3);
    stream.is_resumable = true;
    stream.models = {common::model_id{"s"}, common::model_id{"l"}};
    rules.routes = {
        std::move(stream),
        route_of("once", routing::request_kind::non_idempotent, 1),
        route_of("again", routing::request_kind::idempotent, 2)};
    rules.services.resize(1);
    rules.services.front().name = common::service_name{"engines"};
    rules.services.front().models = {{common::model_id{"s"}, 0.01}, {common::model_id{"l"}, 0.2}};
    rules.requires_keys = true;
    rules.organisations = {
        {common::organisation_id{"org"}, {"key", "key-2"}},
        {common::organisation_id{"other"}, {"key-of-other"}}};
    return {std::move(rules), "text of version " + std::to_string(version)};
}

auto caller::read(std::size_t bytes) -> void
{
    const auto now_read = std::min(bytes, this->unread);
    this->unread -= now_read;
    this->read_bytes += now_read;
    std::vector<std::function<auto()->void>> due;
    std::erase_if(this->drain_actions, [this, &due](auto& one) {
        const bool is_due = this->unread < one.first;
        if (is_due) {
            due.push_back(std::move(one.second));
        }
        return is_due;
    });
    for (const auto& action : due) {
        action();
    }
}

router_fixture::router_fixture(router_options options)
{
    router_hooks hooks;
    hooks.clock = [this] {
        return this->now;
    };
    hooks.timer = [this](common::time_point when, std::function<auto()->void> action) {
        this->timers.emplace(when, std::move(action));
    };
    hooks.random = [] {
        return std::uint64_t{0};
    };
    this->core = std::make_shared<router_core>(std::move(hooks), std::move(options), this->client);
    this->core->apply_rules(rules_of(1));
    for (const auto* id : {"a", "b", "c"}) {
        this->add_server(id);
    }
}

router_fixture::~router_fixture()
{
    this->timers.clear();
    for (const auto& one : this->client->sent) {
        one->events = {};
    }
}

auto router_fixture::add_server(
    const std::string& id, const std::string& version, std::uint64_t started_at) -> void
{
    const common::server_id name{id};
    routing::registration read{
        name,
        common::service_name{"engines"},
        "127.0.0.1:8080",
        common::data_centre_id{""},
        common::version_id{version},
        8,
        false};
    read.started_at = routing::start_time{started_at};
    this->core->servers.apply({name, std::move(read)});
}

auto router_fixture::advance(milliseconds time) -> void
{
    const auto until = this->now + time;
    while (!this->timers.empty() && this->timers.begin()->first <= until) {
        const auto action = std::move(this->timers.begin()->second);
        this->now = std::max(this->now, this->timers.begin()->first);
        this->timers.erase(this->timers.begin());
        action();
    }
    this->now = until;
}

auto router_fixture::ask(
    const std::string& path, std::vector<http::header> extra, const std::string& body)
    -> std::shared_ptr<caller>
{
    return this->ask(std::make_shared<caller>(), path, std::move(extra), body);
}

auto router_fixture::ask(
    std::shared_ptr<caller> out,
    const std::string& path,
    std::vector<http::header> extra,
    const std::string& body) -> std::shared_ptr<caller>
{
    http::request request;
    request.method = "POST";
    request.target = path;
    request.body = body;
    request.headers = {
        {"Host", "h"},
        {"Reedramp-Attempt-Id", "attempt-" + std::to_string(++this->attempts)},
        {"Reedramp-Deadline-Ms", "5000"},
        {"Reedramp-Key", "key"},
        {"Reedramp-Model", "*"}};
    for (auto& item : extra) {
        std::erase_if(
            request.headers, [&item](const auto& other) { return other.name == item.name; });
        request.headers.push_back(std::move(item));
    }
    this->core->handle(std::move(request), out);
    return out;
}

} // namespace reedramp::router::testing
