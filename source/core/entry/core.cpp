#include "entry/core.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

#include "entry/attempt.hpp"
#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"

namespace reedramp::entry {

namespace {

class core_impl final : public core, public std::enable_shared_from_this<core_impl> {
public:
    core_impl(core_options options, core_hooks hooks, admin_api admin)
        : context(std::make_shared<core_context>(options, std::move(hooks), std::move(admin)))
    {
    }

    ~core_impl() override { this->context->requests.clear(); }

    core_impl(const core_impl&) = delete;
    core_impl(core_impl&&) = delete;
    auto operator=(const core_impl&) -> core_impl& = delete;
    auto operator=(core_impl&&) -> core_impl& = delete;

    auto start() -> void
    {
        auto& operators = this->context->admin.hooks;
        if (!operators.explain) {
            operators.explain = [shared = this->context.get()](const common::request_id& id) {
                const auto found = shared->decisions.find(id);
                return found ? std::optional(to_json(*found)) : std::nullopt;
            };
        }
        this->schedule_deadline_check();
    }

    auto handle(http::request request, std::shared_ptr<http::responder> responder) -> void override;

    auto shut_down(
        common::time_point deadline, std::function<auto(std::size_t aborted_count)->void> done)
        -> void override;

    [[nodiscard]] auto ready() const -> bool override
    {
        const auto& hooks = this->context->hooks;
        const auto state = hooks.snapshot();
        const auto has_state = state != nullptr && state->offset.value() > 0;
        const auto knows_servers = !hooks.knows_servers || hooks.knows_servers();
        return !this->context->is_draining && has_state && knows_servers && hooks.accepts_bills();
    }

    [[nodiscard]] auto counters() const -> core_counters override
    {
        return this->context->counters.snapshot(this->context->requests.size());
    }

private:
    auto schedule_deadline_check() -> void;
    auto respond_health(route_kind kind, const std::shared_ptr<http::responder>& responder) const
        -> void;
    auto
    start_exchange(http::request request, std::shared_ptr<http::responder> responder, route matched)
        -> void;
    auto read_request(exchange& item) const -> common::result<void>;
    auto start_chain(const exchange_ptr& item) -> void;
    auto finish_shutdown() -> void;

    std::shared_ptr<core_context> context;

    std::mutex lock;
    /// Completion callback of a shutdown in progress.
    std::function<auto(std::size_t aborted_count)->void> on_drained;
};

auto core_impl::schedule_deadline_check() -> void
{
    const auto& hooks = this->context->hooks;
    hooks.timer(
        hooks.now() + this->context->options.deadline_check_interval,
        [weak = std::weak_ptr<core_impl>(this->shared_from_this())] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            const auto now = self->context->hooks.now();
            for (const auto& item : self->context->requests.take_overdue(now)) {
                post(item, on_deadline_passed);
            }
            self->schedule_deadline_check();
        });
}

auto core_impl::respond_health(
    route_kind kind, const std::shared_ptr<http::responder>& responder) const -> void
{
    if (kind == route_kind::live) {
        responder->send(text_response(200, "live\n"));
        return;
    }
    if (kind == route_kind::ready) {
        const auto is_ready = this->ready();
        responder->send(text_response(is_ready ? 200 : 503, is_ready ? "ready\n" : "not ready\n"));
        return;
    }
    const auto& text = this->context->hooks.metrics_text;
    responder->send(text_response(200, text ? text() : std::string()));
}

auto core_impl::handle(http::request request, std::shared_ptr<http::responder> responder) -> void
{
    const auto& hooks = this->context->hooks;
    auto matched = parse_route(request.method, request.target);
    if (!matched) {
        const common::request_id id{hooks.random(), hooks.random()};
        this->context->counters.count_refusal(matched.error().code);
        responder->send(problem_response(matched.error(), id, hooks.now()));
        return;
    }
    switch (matched->kind) {
    case route_kind::live:
    case route_kind::ready:
    case route_kind::metrics:
        this->respond_health(matched->kind, responder);
        return;
    case route_kind::admin:
        this->context->admin.handle(
            request, {hooks.random(), hooks.random()}, hooks.now(), responder);
        return;
    default:
        this->start_exchange(std::move(request), std::move(responder), std::move(*matched));
        return;
    }
}

/// Parses headers and body before the filters run.
auto core_impl::read_request(exchange& item) const -> common::result<void>
{
    auto headers = parse_headers(item.request.headers, this->context->options.headers);
    if (!headers) {
        return tl::unexpected(std::move(headers.error()));
    }
    item.headers = std::move(*headers);
    item.deadline = item.arrived + item.headers.timeout;
    switch (item.matched_route.kind) {
    case route_kind::chat: {
        auto chat = parse_chat(item.request.body);
        if (!chat) {
            return tl::unexpected(std::move(chat.error()));
        }
        item.chat = std::move(*chat);
        return {};
    }
    case route_kind::open_session: {
        auto wanted = parse_session_request(item.request.body);
        if (!wanted) {
            return tl::unexpected(std::move(wanted.error()));
        }
        item.requested_session = std::move(*wanted);
        return {};
    }
    case route_kind::service:
        item.kind = messages::work_kind::service;
        return {};
    default:
        return {};
    }
}

auto core_impl::start_exchange(
    http::request request, std::shared_ptr<http::responder> responder, route matched) -> void
{
    const auto& hooks = this->context->hooks;
    // Not make_shared: weak references held by timers would keep the memory allocated.
    const exchange_ptr item(
        new exchange(this->context, this->context->options.sent_text_limit_bytes));
    item->id = {hooks.random(), hooks.random()};
    item->billing_id = item->id;
    item->request = std::move(request);
    item->responder = std::move(responder);
    item->arrived = hooks.now();
    item->deadline = item->arrived + this->context->options.headers.default_timeout;
    item->matched_route = std::move(matched);
    const auto readable = this->read_request(*item);
    this->context->requests.add(item);
    post(item, [this, readable](const exchange_ptr& self) {
        if (!readable) {
            refuse(self, readable.error());
            return;
        }
        this->start_chain(self);
    });
}

auto core_impl::start_chain(const exchange_ptr& item) -> void
{
    auto& shared = *this->context;
    const auto is_full = shared.requests.size() > shared.options.request_limit;
    if (shared.is_closed || is_full) {
        const auto code = shared.is_closed ? common::result_code::shutting_down
                                           : common::result_code::no_capacity;
        auto why = common::make_error(code);
        why.retry_at = shared.hooks.now() + shared.options.retry_after;
        refuse(item, std::move(why));
        return;
    }
    item->responder->on_disconnect([weak = std::weak_ptr<exchange>(item)] {
        if (const auto self = weak.lock()) {
            post(self, on_caller_disconnected);
        }
    });
    switch (item->matched_route.kind) {
    case route_kind::list_models:
        item->chain = &shared.models_chain;
        break;
    case route_kind::open_session:
        item->chain = &shared.session_chain;
        break;
    default:
        item->chain = &shared.work_chain;
        break;
    }
    item->chain->run(item);
}

auto core_impl::shut_down(
    common::time_point deadline, std::function<auto(std::size_t aborted_count)->void> done) -> void
{
    {
        const std::lock_guard guard(this->lock);
        if (this->context->is_draining) {
            return;
        }
        this->on_drained = std::move(done);
        const std::weak_ptr<core_impl> weak = this->shared_from_this();
        this->context->on_request_ended = [weak] {
            const auto self = weak.lock();
            if (self && self->context->requests.size() == 0) {
                self->finish_shutdown();
            }
        };
        this->context->is_draining = true;
    }
    const auto& hooks = this->context->hooks;
    hooks.timer(deadline, [weak = std::weak_ptr<core_impl>(this->shared_from_this())] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->context->is_closed = true;
        for (const auto& item : self->context->requests.all()) {
            post(item, abort_exchange);
        }
    });
    this->context->on_request_ended();
}

auto core_impl::finish_shutdown() -> void
{
    std::function<auto(std::size_t aborted_count)->void> done;
    {
        const std::lock_guard guard(this->lock);
        done = std::exchange(this->on_drained, nullptr);
    }
    if (done) {
        done(this->context->counters.aborted_by_shutdown);
    }
}

} // namespace

auto core::create(core_options options, core_hooks hooks, admin_api admin) -> std::shared_ptr<core>
{
    auto made = std::make_shared<core_impl>(options, std::move(hooks), std::move(admin));
    made->start();
    return made;
}

} // namespace reedramp::entry
