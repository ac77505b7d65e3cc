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
    core_impl(core_options options, collaborators parts, admin_api admin)
        : context(std::make_shared<core_context>(options, std::move(parts), std::move(admin)))
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
        this->arm_tick();
    }

    auto handle(http::request asked, std::shared_ptr<http::responder> out) -> void override;

    auto shut_down(common::time_point deadline, std::function<auto(std::size_t cut)->void> done)
        -> void override;

    [[nodiscard]] auto ready() const -> bool override
    {
        const auto& parts = this->context->parts;
        const auto state = parts.snapshot();
        const auto has_state = state != nullptr && state->offset.value() > 0;
        const auto knows_servers = !parts.knows_servers || parts.knows_servers();
        return !this->context->leaving && has_state && knows_servers && parts.accepts_bills();
    }

    [[nodiscard]] auto counters() const -> core_counters override
    {
        return this->context->counted.read(this->context->requests.size());
    }

private:
    auto arm_tick() -> void;
    auto answer_health(route_kind kind, const std::shared_ptr<http::responder>& out) const -> void;
    auto begin(http::request asked, std::shared_ptr<http::responder> out, route where) -> void;
    auto read_request(exchange& item) const -> common::result<void>;
    auto start_chain(const exchange_ptr& item) -> void;
    auto finish_shutdown() -> void;

    std::shared_ptr<core_context> context;

    std::mutex lock;
    /// Set while a shutdown is under way.
    std::function<auto(std::size_t cut)->void> when_empty;
};

auto core_impl::arm_tick() -> void
{
    const auto& parts = this->context->parts;
    parts.timer(
        parts.now() + this->context->options.tick,
        [weak = std::weak_ptr<core_impl>(this->shared_from_this())] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            const auto now = self->context->parts.now();
            for (const auto& item : self->context->requests.take_overdue(now)) {
                post(item, pass_deadline);
            }
            self->arm_tick();
        });
}

auto core_impl::answer_health(route_kind kind, const std::shared_ptr<http::responder>& out) const
    -> void
{
    if (kind == route_kind::live) {
        out->send(text_answer(200, "live\n"));
        return;
    }
    if (kind == route_kind::ready) {
        const auto is_ready = this->ready();
        out->send(text_answer(is_ready ? 200 : 503, is_ready ? "ready\n" : "not ready\n"));
        return;
    }
    const auto& text = this->context->parts.metrics_text;
    out->send(text_answer(200, text ? text() : std::string()));
}

auto core_impl::handle(http::request asked, std::shared_ptr<http::responder> out) -> void
{
    const auto& parts = this->context->parts;
    auto where = parse_route(asked.method, asked.target);
    if (!where) {
        const common::request_id id{parts.random(), parts.random()};
        this->context->counted.count_refusal(where.error().code);
        out->send(problem_answer(where.error(), id, parts.now()));
        return;
    }
    switch (where->kind) {
    case route_kind::live:
    case route_kind::ready:
    case route_kind::metrics:
        this->answer_health(where->kind, out);
        return;
    case route_kind::admin:
        this->context->admin.handle(asked, {parts.random(), parts.random()}, parts.now(), out);
        return;
    default:
        this->begin(std::move(asked), std::move(out), std::move(*where));
        return;
    }
}

/// Checks headers and body. The filters see only requests that passed this.
auto core_impl::read_request(exchange& item) const -> common::result<void>
{
    auto headers = parse_headers(item.asked.headers, this->context->options.headers);
    if (!headers) {
        return tl::unexpected(std::move(headers.error()));
    }
    item.headers = std::move(*headers);
    item.deadline = item.arrived + item.headers.time_allowed;
    switch (item.where.kind) {
    case route_kind::chat: {
        auto chat = parse_chat(item.asked.body);
        if (!chat) {
            return tl::unexpected(std::move(chat.error()));
        }
        item.chat = std::move(*chat);
        return {};
    }
    case route_kind::open_session: {
        auto wanted = parse_session_request(item.asked.body);
        if (!wanted) {
            return tl::unexpected(std::move(wanted.error()));
        }
        item.wanted_session = std::move(*wanted);
        return {};
    }
    case route_kind::service:
        item.kind = messages::work_kind::service;
        return {};
    default:
        return {};
    }
}

auto core_impl::begin(http::request asked, std::shared_ptr<http::responder> out, route where)
    -> void
{
    const auto& parts = this->context->parts;
    // Not make_shared: timers hold weak references, which would keep its memory.
    const exchange_ptr item(
        new exchange(this->context, this->context->options.sent_text_limit_bytes));
    item->id = {parts.random(), parts.random()};
    item->billed_as = item->id;
    item->asked = std::move(asked);
    item->out = std::move(out);
    item->arrived = parts.now();
    item->deadline = item->arrived + this->context->options.headers.default_time;
    item->where = std::move(where);
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
    if (shared.closed || is_full) {
        const auto code =
            shared.closed ? common::result_code::shutting_down : common::result_code::no_capacity;
        auto why = common::make_error(code);
        why.retry_at = shared.parts.now() + shared.options.retry_after;
        refuse(item, std::move(why));
        return;
    }
    item->out->on_disconnect([weak = std::weak_ptr<exchange>(item)] {
        if (const auto self = weak.lock()) {
            post(self, leave_caller);
        }
    });
    switch (item->where.kind) {
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
    common::time_point deadline, std::function<auto(std::size_t cut)->void> done) -> void
{
    {
        const std::lock_guard guard(this->lock);
        if (this->context->leaving) {
            return;
        }
        this->when_empty = std::move(done);
        const std::weak_ptr<core_impl> weak = this->shared_from_this();
        this->context->request_ended = [weak] {
            const auto self = weak.lock();
            if (self && self->context->requests.size() == 0) {
                self->finish_shutdown();
            }
        };
        this->context->leaving = true;
    }
    const auto& parts = this->context->parts;
    parts.timer(deadline, [weak = std::weak_ptr<core_impl>(this->shared_from_this())] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->context->closed = true;
        for (const auto& item : self->context->requests.all()) {
            post(item, cut_exchange);
        }
    });
    this->context->request_ended();
}

auto core_impl::finish_shutdown() -> void
{
    std::function<auto(std::size_t cut)->void> done;
    {
        const std::lock_guard guard(this->lock);
        done = std::exchange(this->when_empty, nullptr);
    }
    if (done) {
        done(this->context->counted.cut_by_shutdown);
    }
}

} // namespace

auto core::create(core_options options, collaborators parts, admin_api admin)
    -> std::shared_ptr<core>
{
    auto made = std::make_shared<core_impl>(options, std::move(parts), std::move(admin));
    made->start();
    return made;
}

} // namespace reedramp::entry
