#include "router_process.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "common/log.hpp"
#include "connection_options.hpp"
#include "daemon/clock.hpp"
#include "daemon/guarded_run.hpp"
#include "daemon/line_log.hpp"
#include "daemon/signals.hpp"
#include "http/bind.hpp"
#include "http/connection_check.hpp"
#include "process_implementation.hpp"
#include "router/counted_store.hpp"
#include "state_page.hpp"

namespace reedramp::router_program {

using common::log_level;
using common::log_part;

namespace {

/// Paths for operators, at the peers' address.
constexpr std::string_view metrics_path = "/metrics";
constexpr std::string_view state_path = "/state";
/// Path of the operators' command to admit a barred request or barred parts again.
constexpr std::string_view lift_path = "/barred/lift?print=";
/// How long a starting process leaves callers' connections in the system's accept queue. Rules and
/// servers usually arrive within some tens of ms. After a process was killed all of its callers
/// return in that time, most of them with their last attempt. If nothing has arrived by then, the
/// store is unavailable: requests are read, and held for another `router_options::startup_hold`. It
/// is below the second after which callers give up an unread request.
constexpr milliseconds accept_delay{600};
/// Largest request body at the ports of the balancer and of peers, whose requests have none.
constexpr std::size_t largest_body_of_others = 4096;
/// How long a starting process waits for a port that is still taken.
constexpr milliseconds port_wait{2000};

} // namespace

router_process::implementation::implementation(
    router_settings settings_to_use, platform_parts parts_of_platform)
    : settings(std::move(settings_to_use)), platform(std::move(parts_of_platform)),
      timers(std::make_shared<daemon::timer_queue>(this->context, daemon::boot_time)),
      stalls(daemon::boot_time, this->settings.peer_period),
      datagrams(this->context), store_http{
                                    http::client::create(this->context, waiting_store_options()),
                                    http::client::create(this->context, quick_store_options())}
{
    this->settings.router.names = this->platform.names;
    this->settings.router.overload.is_declared =
        std::ranges::find(this->settings.features, this->platform.competing_callers_feature) !=
        this->settings.features.end();
    router::router_hooks hooks;
    hooks.clock = daemon::boot_time;
    hooks.random = daemon::random_bits;
    hooks.unix_ms = [] {
        const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(since_1970).count());
    };
    hooks.on_rules = [this](const routing::configuration& adopted) {
        const auto& limits = adopted.limits;
        // A caller may reuse a connection until its idle limit; the extra second covers transit.
        this->callers_server->change_limits(
            limits.header_bytes, limits.body_bytes, limits.idle + std::chrono::seconds{1});
    };
    hooks.on_new_era = [this] {
        this->on_new_era();
    };
    hooks.rank = [this] {
        return this->peers->rank_by_address();
    };
    hooks.accepted_elsewhere_at = [this](common::time_point now) {
        return this->peers->accepted_elsewhere_at(now);
    };
    hooks.timer = [queue =
                       this->timers](common::time_point when, std::function<auto()->void> action) {
        queue->add(when, std::move(action));
    };
    this->core = std::make_shared<router::router_core>(
        std::move(hooks),
        this->settings.router,
        http::client::create(
            this->context,
            server_connection_options(),
            {.on_unrequested_bytes = [this](const http::endpoint& from) {
                this->core->note_unrequested_bytes(from);
            }}));
    this->store = router::with_call_counts(
        this->platform.open_store(this->store_http, this->settings.store), this->core->counters);
}

auto router_process::implementation::listen() -> common::result<void>
{
    const auto open =
        [this](
            const http::endpoint& where,
            http::request_handler handler,
            http::server_options options) -> common::result<std::unique_ptr<http::server>> {
        options.listen = where;
        options.bind_time = port_wait;
        return http::server::open({&this->context}, std::move(options), std::move(handler));
    };
    http::server_options for_others;
    for_others.body_limit_bytes = largest_body_of_others;
    http::server_options for_callers;
    for_callers.accepts_at_once = false;
    for_callers.request_memory_bytes = this->settings.request_memory_bytes;
    for_callers.on_memory_full = [this] {
        this->core->counters.memory_refusals.add();
    };
    auto callers = open(
        this->settings.callers,
        [this](http::request request, std::shared_ptr<http::responder> out) {
            this->core->handle(std::move(request), std::move(out));
        },
        std::move(for_callers));
    if (!callers) {
        return tl::unexpected(callers.error());
    }
    this->callers_server = std::move(*callers);
    auto balancer = open(
        this->settings.ready,
        [this](const http::request& request, const std::shared_ptr<http::responder>& out) {
            this->answer_ready(request, *out);
        },
        for_others);
    if (!balancer) {
        return tl::unexpected(balancer.error());
    }
    this->balancer_server = std::move(*balancer);
    auto others = open(
        this->settings.peers,
        [this](const http::request& request, const std::shared_ptr<http::responder>& out) {
            out->send(this->answer_peer(request));
        },
        for_others);
    if (!others) {
        return tl::unexpected(others.error());
    }
    this->peers_server = std::move(*others);
    return this->open_datagrams();
}

auto router_process::implementation::open_datagrams() -> common::result<void>
{
    const asio::ip::udp::endpoint own{
        asio::ip::make_address(this->settings.peers.address), this->peers_server->port()};
    const auto bind = [this, &own] {
        boost::system::error_code problem;
        this->datagrams.close(problem);
        this->datagrams.open(own.protocol(), problem);
        if (!problem) {
            this->datagrams.bind(own, problem);
        }
        if (!problem) {
            this->datagrams.non_blocking(true, problem);
        }
        return problem;
    };
    // Without its peers, an entry would neither follow leaving servers nor share budgets.
    if (const auto problem = http::bind_when_free(bind, port_wait)) {
        return common::failure(
            common::result_code::invalid_settings,
            "datagrams on " + http::to_string(this->own_address()) + ": " + problem.message());
    }
    return {};
}

auto router_process::implementation::accept_when_ready(common::time_point latest) -> void
{
    const auto now = daemon::boot_time();
    if (this->core->is_ready() || now >= latest) {
        this->callers_server->accept();
        return;
    }
    this->timers->add(now + start_check, [this, latest] { this->accept_when_ready(latest); });
}

auto router_process::implementation::answer_peer(const http::request& request) -> http::response
{
    if (request.target == rules_path && this->core->rules() != nullptr) {
        return {200, {}, this->core->rules_text()};
    }
    if (request.target.starts_with(start_path)) {
        return this->serve_start(request.target);
    }
    if (request.target.starts_with(list_path)) {
        return this->serve_list(request.target);
    }
    if (request.target == metrics_path) {
        this->core->counters.in_flight.set(static_cast<std::int64_t>(this->core->in_flight()));
        this->core->counters.held_bytes.set(
            static_cast<std::int64_t>(this->core->streams->total()));
        this->core->counters.request_bytes.set(
            static_cast<std::int64_t>(this->callers_server->request_bytes()));
        this->core->counters.handler_failures.set(
            static_cast<std::int64_t>(daemon::handler_failures()));
        const auto now = daemon::boot_time();
        this->core->counters.list_age_ms.set(this->core->freshness.make_report(now).age.count());
        this->core->counters.rules_age_ms.set(
            this->core->rules_freshness.make_report(now).age.count());
        return {
            200,
            {{"Content-Type", "text/plain; version=0.0.4"}},
            this->core->series.prometheus_text()};
    }
    if (request.target == state_path) {
        return {
            200,
            {{"Content-Type", "application/json"}},
            state_page(*this->core, *this->peers, *this->list_updates, this->settings.host)};
    }
    if (request.method == "POST" && request.target.starts_with(lift_path)) {
        return this->lift_barred(std::string_view{request.target}.substr(lift_path.size()));
    }
    return {404, {}, ""};
}

auto router_process::implementation::lift_barred(std::string_view print) -> http::response
{
    constexpr std::uint16_t not_found = 404;
    const auto fingerprint = routing::parse_request_fingerprint(print);
    if (!fingerprint || !this->core->crashes.lift(*fingerprint, this->core->hooks.clock())) {
        return {not_found, {}, ""};
    }
    common::log(
        log_part::place,
        log_level::warning,
        "bar lifted by an operator print=" + to_string(*fingerprint));
    return {};
}

auto router_process::implementation::own_address() const -> http::endpoint
{
    return {this->settings.peers.address, this->peers_server->port()};
}

auto router_process::implementation::send_datagram(
    const http::endpoint& to, const std::string& bytes) -> void
{
    boost::system::error_code failed;
    const auto address = asio::ip::make_address(to.address, failed);
    if (!failed) {
        // A lost datagram is made up for by the next one.
        this->datagrams.send_to(asio::buffer(bytes), {address, to.port}, 0, failed);
    }
    if (failed) {
        this->note_unsent(to, bytes.size(), failed);
    }
}

auto router_process::implementation::note_unsent(
    const http::endpoint& to, std::size_t size, const boost::system::error_code& why) -> void
{
    this->core->counters.datagrams_unsent.add();
    if (!this->unsent_lines.may_log(daemon::boot_time())) {
        return;
    }
    common::log(
        log_part::members,
        log_level::warning,
        "datagram not sent to=" + http::to_string(to) + " bytes=" + std::to_string(size) +
            " why=" + why.message());
}

auto router_process::implementation::answer_ready(
    const http::request& request, http::responder& out) const -> void
{
    http::response answer;
    const bool is_question = request.target == this->platform.ready_path;
    const bool is_ready =
        this->core->is_ready() && !this->is_leaving && !this->core->streams->is_crowded();
    answer.status = !is_question ? 404 : (is_ready ? 200 : 503);
    out.send(std::move(answer));
}

auto router_process::implementation::open_peers() -> void
{
    this->peers = std::make_unique<peer_group>(
        this->core,
        this->settings.host,
        this->own_address(),
        this->settings.peer_period,
        [this](const http::endpoint& to, const std::string& bytes) {
            this->send_datagram(to, bytes);
        },
        [this](const http::endpoint& from) { this->fetch_rules(from); },
        [this](const http::endpoint& from) { this->list_updates->fetch_changes_from(from); });
    this->open_list_updates();
    this->open_crash_updates();
    for (const auto& first : this->settings.first_peers) {
        this->peers->add(first);
    }
    this->receive();
    this->every(this->settings.peer_period, [this] {
        this->note_stall();
        this->crash_updates->tick();
        this->peers->send_reports();
    });
}

auto router_process::implementation::note_stall() -> void
{
    const auto stall = this->stalls.tick();
    if (!stall) {
        return;
    }
    const auto ms = std::chrono::duration_cast<milliseconds>(*stall).count();
    this->core->counters.stalls.add();
    this->core->counters.stalled_ms.add(static_cast<std::uint64_t>(ms));
    common::log(
        log_part::entry, log_level::warning, "process stood still ms=" + std::to_string(ms));
}

auto router_process::implementation::open_crash_updates() -> void
{
    router::crash_broadcaster_hooks hooks;
    hooks.send = [this](const http::endpoint& to, const std::string& bytes) {
        this->send_datagram(to, bytes);
    };
    hooks.live_peers = [this] {
        return this->peers->live_peers();
    };
    hooks.is_reachable = [this](const routing::registration& server, auto done) {
        if (const auto where = http::parse_endpoint(server.address)) {
            http::check_connection(
                this->context,
                *where,
                server_connection_options().connect_timeout,
                std::move(done));
        }
    };
    this->crash_updates = std::make_shared<router::crash_broadcaster>(
        this->core, this->settings.host, std::move(hooks));
}

auto router_process::implementation::receive() -> void
{
    this->datagrams.async_receive(
        asio::buffer(this->datagram), [this](boost::system::error_code problem, std::size_t size) {
            if (problem == asio::error::operation_aborted) {
                return;
            }
            const std::string_view bytes{this->datagram.data(), problem ? 0 : size};
            if (router::is_list_update(bytes)) {
                this->list_updates->receive(bytes);
            }
            else if (router::is_crash_update(bytes)) {
                this->crash_updates->receive(bytes);
            }
            else if (!problem) {
                this->peers->receive(bytes);
            }
            this->receive();
        });
}

auto router_process::implementation::every(milliseconds period, std::function<auto()->void> action)
    -> void
{
    this->timers->add(daemon::boot_time() + period, [this, period, action]() {
        daemon::run_guarded(action);
        this->every(period, action);
    });
}

auto router_process::implementation::follow_store() -> void
{
    this->rules = std::make_shared<router::rules_follower>(
        this->core,
        this->store,
        this->settings.follower,
        [this] { return this->peers->is_orders_reader(); },
        [this] {
            this->peers->broadcast_urgent();
            this->list_updates->publish_rules_reading();
        });
    this->rules_check = std::make_shared<router::rules_checker>(
        this->core, this->rules, [this] { return this->peers->rank_as_reader(); });
    this->servers = std::make_shared<router::servers_follower>(
        this->core,
        this->store,
        this->settings.follower,
        this->list,
        router::servers_follower_hooks{
            .on_store_recovered = [this] { this->rules->refresh(); },
            .rank = [this] { return this->peers->rank_as_reader(); },
            .on_read =
                [this](const router::list_part& read) {
                    this->list_updates->publish(read);
                }});
    this->rollouts = std::make_shared<router::rollout_writer>(
        this->core, this->store, [this] { return this->peers->rank(); });
    this->barred = std::make_shared<router::barred_records>(
        this->core, this->store, [this] { return this->peers->rank(); });
    this->every(this->settings.peer_period, [this] {
        this->rollouts->tick();
        this->barred->tick();
    });
    this->query_neighbours();
}

auto router_process::implementation::run_handlers() -> bool
{
    bool goes_on = true;
    daemon::run_guarded([this, &goes_on] {
        goes_on = this->context.run_one() > 0;
        this->context.poll();
    });
    return goes_on;
}

router_process::router_process(router_settings settings_to_use, platform_parts parts_of_platform)
    : impl(std::make_unique<implementation>(
          std::move(settings_to_use), std::move(parts_of_platform)))
{
}

router_process::~router_process() = default;

auto router_process::start() -> common::result<void>
{
    auto listening = this->impl->listen();
    if (!listening) {
        return listening;
    }
    this->impl->open_peers();
    this->impl->follow_store();
    this->impl->accept_when_ready(daemon::boot_time() + accept_delay);
    common::log(
        log_part::entry,
        log_level::info,
        "started host=" + this->impl->settings.host.value() +
            " callers_port=" + std::to_string(this->callers_port()));
    return {};
}

auto router_process::run(reload_hook reload) -> void
{
    const daemon::shutdown_signals signals(
        this->impl->context, [this] { this->impl->shut_down(); });
    const daemon::reload_signal hangup(this->impl->context, [this, &reload] {
        const auto changed = reload();
        if (!changed) {
            common::log(
                log_part::entry,
                log_level::warning,
                "settings reload failed, keeping the present ones why=" + changed.error().detail);
            return;
        }
        this->apply(*changed);
    });
    while (this->impl->run_handlers()) {
        // A process that is killed loses the lines that have not been written.
        daemon::flush_line_log();
    }
}

auto router_process::apply(const router_settings& changed) -> void
{
    auto& core = *this->impl->core;
    this->impl->settings.grace = changed.grace;
    core.options.models = changed.router.models;
    core.change_retries(changed.router.retries);
    common::log(
        log_part::entry,
        log_level::info,
        "settings reloaded accepted_confidence=" +
            std::to_string(changed.router.models.accepted_confidence) +
            " retry_ratio=" + std::to_string(changed.router.retries.ratio) +
            " grace_ms=" + std::to_string(changed.grace.count()));
}

auto router_process::shut_down() -> void
{
    asio::post(this->impl->context, [parts_here = this->impl.get()] { parts_here->shut_down(); });
}

auto router_process::callers_port() const -> std::uint16_t
{
    return this->impl->callers_server->port();
}

auto router_process::peers_port() const -> std::uint16_t
{
    return this->impl->peers_server->port();
}

auto router_process::ready_port() const -> std::uint16_t
{
    return this->impl->balancer_server->port();
}

} // namespace reedramp::router_program
