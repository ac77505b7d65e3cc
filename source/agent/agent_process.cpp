#include "agent_process.hpp"

#include <utility>

#include "agent/registration.hpp"
#include "common/log.hpp"
#include "daemon/clock.hpp"
#include "platform/http_hosts.hpp"
#include "platform/http_log.hpp"
#include "platform/http_weights.hpp"

namespace reedramp::agent_program {

using common::make_error;
using common::result_code;

namespace {

constexpr common::duration tick_period = std::chrono::milliseconds(100);
constexpr common::duration idle_check_period = std::chrono::milliseconds(20);

auto not_registered_error() -> common::error
{
    return make_error(result_code::not_ready, "agent is not registered yet");
}

/// Handle of a run that was refused before the core existed.
class inert_run_handle final : public messages::run_handle {
public:
    auto cancel() -> void override {}

    auto pause() -> void override {}

    auto resume() -> void override {}
};

} // namespace

agent_process::agent_process(agent_settings initial_settings)
    : settings(std::move(initial_settings)), threads(settings.threads)
{
}

agent_process::~agent_process()
{
    // Components that call into others are destroyed before them.
    this->http.reset();
    this->rpc.reset();
    if (this->follower) {
        this->follower->stop();
    }
    this->threads.stop();
    this->peers.reset();
}

auto agent_process::start(std::function<auto()->void> on_serving) -> common::result<void>
{
    this->threads.start();
    this->log = this->make_log();
    wire::client_options peer_options;
    peer_options.shared_key = this->settings.shared_key;
    peer_options.now = daemon::boot_time;
    this->peers = wire::rpc_client::create(peer_options);
    auto client = http::client::create(this->threads.next_context(), {});
    this->hosts = std::make_shared<membership::host_watcher>(
        membership::location{this->settings.host, this->settings.data_centre, {}},
        this->settings.tailers,
        membership::host_watcher_hooks{
            platform::make_http_hosts(client, this->settings.hosts),
            daemon::boot_time,
            this->threads.timers()},
        std::make_shared<membership::view>());
    this->follower = this->make_follower();
    if (auto opened = this->open_rpc(); !opened) {
        return opened;
    }
    if (auto opened = this->open_http(); !opened) {
        return opened;
    }
    this->hosts->start();
    this->follower->start();
    this->register_self(std::move(on_serving));
    return {};
}

auto agent_process::make_log() -> platform::log_hooks
{
    http::client_options options;
    options.idle_timeout = this->settings.log_timeout;
    platform::http_log_options log_options;
    log_options.where = this->settings.log;
    log_options.client_idle_timeout = this->settings.log_timeout;
    auto client = http::client::create(this->threads.next_context(), options);
    return platform::make_http_log(std::move(client), log_options);
}

auto agent_process::make_follower() -> std::shared_ptr<inventory::follower>
{
    inventory::follower_hooks hooks;
    hooks.log = this->log;
    hooks.pull = this->peers->peers().pull;
    hooks.peers = [watch = this->hosts] {
        return watch->peers();
    };
    hooks.tailers = [watch = this->hosts] {
        return watch->tailers();
    };
    hooks.is_tailer = [watch = this->hosts] {
        return watch->is_tailer();
    };
    hooks.clock = daemon::boot_time;
    hooks.wall_clock = daemon::wall_time;
    hooks.timer = this->threads.timers();
    hooks.random = daemon::random_bits;
    hooks.shared_key = this->settings.shared_key;
    hooks.changed = [this](const inventory::snapshot_ptr&) {
        if (const auto running = this->current_core()) {
            running->configuration_changed();
        }
    };
    return inventory::follower::create(std::move(hooks), {});
}

auto agent_process::current_core() const -> std::shared_ptr<agent::core>
{
    return this->core.load();
}

auto agent_process::make_agent_service() -> messages::agent_service
{
    messages::agent_service offered;
    offered.run = [this](
                      messages::run_request request,
                      messages::run_sink sink) -> std::shared_ptr<messages::run_handle> {
        if (const auto running = this->current_core()) {
            return running->service().run(std::move(request), std::move(sink));
        }
        this->threads.post([sink] { sink(messages::refused_event{not_registered_error(), {}}); });
        return std::make_shared<inert_run_handle>();
    };
    offered.ask = [this](
                      messages::outcome_query query,
                      messages::answer_hook<messages::outcome_answer> done) {
        if (const auto running = this->current_core()) {
            running->service().ask(query, std::move(done));
            return;
        }
        done(tl::unexpected(not_registered_error()));
    };
    offered.probe = [this](
                        messages::probe_request request,
                        messages::answer_hook<messages::probe_answer> done) {
        if (const auto running = this->current_core()) {
            running->service().probe(request, std::move(done));
            return;
        }
        done(tl::unexpected(not_registered_error()));
    };
    return offered;
}

auto agent_process::open_rpc() -> common::result<void>
{
    wire::server_options options;
    options.ip = this->settings.rpc.address;
    options.port = this->settings.rpc.port;
    options.shared_key = this->settings.shared_key;
    options.now = daemon::boot_time;
    messages::peer_service peer;
    peer.pull = [follower = this->follower](
                    const messages::configuration_pull& pull,
                    const messages::answer_hook<messages::configuration_push>& done) {
        done(follower->answer(pull));
    };
    auto opened =
        wire::rpc_server::start(std::move(options), this->make_agent_service(), std::move(peer));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    this->rpc = std::move(*opened);
    return {};
}

auto agent_process::open_http() -> common::result<void>
{
    operations_hooks hooks;
    hooks.leaving = [this] {
        return this->leaving.load();
    };
    hooks.ready = [this] {
        return this->current_core() != nullptr && this->follower->ready();
    };
    hooks.metrics = [this] {
        const auto running = this->current_core();
        const auto counters = running ? running->counters() : agent::core_counters{};
        return this->metrics.text(counters, *this->follower);
    };
    hooks.drain = [this] {
        this->leaving = true;
        if (const auto running = this->current_core()) {
            running->drain();
        }
    };
    const auto api = std::make_shared<const operations_api>(
        std::move(hooks), this->settings.operator_key_hashes);
    http::server_options options;
    options.listen = this->settings.http;
    auto opened = http::server::open(
        this->threads.contexts(),
        std::move(options),
        [api](const http::request& request, const std::shared_ptr<http::responder>& responder) {
            api->handle(request, responder);
        });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    this->http = std::move(*opened);
    return {};
}

auto agent_process::register_self(std::function<auto()->void> on_serving) -> void
{
    agent::registration_hooks hooks{
        this->log, this->threads.timers(), daemon::boot_time, daemon::random_bits};
    const agent::registration_record record{
        this->settings.server, this->settings.host, this->rpc_address(), daemon::wall_time()};
    const auto requested_at = daemon::boot_time();
    agent::register_agent(
        std::move(hooks),
        record,
        daemon::boot_time() + this->settings.registration_limit,
        [this, record, requested_at, on_serving = std::move(on_serving)](
            common::incarnation_id incarnation) {
            this->make_core(incarnation);
            this->start_engine_control(record, incarnation, requested_at);
            this->schedule_tick();
            on_serving();
        });
}

auto agent_process::make_core(common::incarnation_id incarnation) -> void
{
    http::client_options options;
    options.idle_timeout = this->settings.backend_idle_timeout;
    const auto backend =
        std::make_shared<backend_client>(this->threads.contexts(), this->settings.backend, options);
    agent::core_hooks hooks;
    hooks.now = daemon::boot_time;
    hooks.timer = this->threads.timers();
    hooks.post = [this](std::function<auto()->void> action) {
        this->threads.post(std::move(action));
    };
    hooks.start = backend->make_start_hook();
    hooks.snapshot = [from = this->follower] {
        return from->snapshot();
    };
    hooks.current_until = [from = this->follower] {
        return from->current_until();
    };
    hooks.fetch_configuration = [from = this->follower](common::log_offset offset) {
        from->expect(offset);
    };
    hooks.report_usage = [this](const agent::usage_report& report) {
        this->metrics.count_usage(report);
    };
    auto core_options = this->settings.core;
    core_options.incarnation = incarnation;
    auto made = agent::core::create(std::move(core_options), std::move(hooks));
    this->core = made;
    // A shutdown may have begun before the core existed.
    if (this->leaving) {
        made->drain();
    }
}

auto agent_process::start_engine_control(
    const agent::registration_record& record,
    common::incarnation_id incarnation,
    common::time_point requested_at) -> void
{
    const auto has_lease = (incarnation.value() & agent::random_incarnation_bit) == 0;
    if (!has_lease || !this->settings.weights) {
        return;
    }
    engine_control::collaborators parts;
    parts.server = this->settings.server;
    parts.registration = agent::format_registration(record);
    parts.engine = this->settings.backend;
    parts.weight_bytes = this->settings.weight_bytes;
    http::client_options options;
    // Requests to load or fetch weights are answered only after they are done.
    options.idle_timeout = std::chrono::minutes(2);
    parts.client = http::client::create(this->threads.next_context(), options);
    parts.log = this->log;
    parts.weights = platform::make_http_weights(parts.client, *this->settings.weights);
    parts.now = daemon::boot_time;
    this->engine = std::make_shared<engine_control>(
        std::move(parts), common::log_offset{incarnation.value()}, requested_at);
}

auto agent_process::schedule_tick() -> void
{
    this->threads.timers()(daemon::boot_time() + tick_period, [this] {
        this->current_core()->tick();
        if (this->engine && !this->leaving) {
            this->engine->tick(*this->follower->snapshot());
        }
        this->schedule_tick();
    });
}

auto agent_process::rpc_address() const -> std::string
{
    return this->rpc->address().value();
}

auto agent_process::http_port() const -> std::uint16_t
{
    return this->http->port();
}

auto agent_process::shut_down(std::function<auto(std::size_t failed_runs)->void> done) -> void
{
    this->leaving = true;
    if (const auto running = this->current_core()) {
        running->drain();
    }
    this->wait_until_idle(daemon::boot_time() + this->settings.drain_limit, std::move(done));
}

auto agent_process::wait_until_idle(
    common::time_point limit, std::function<auto(std::size_t failed_runs)->void> done) -> void
{
    const auto running = this->current_core();
    const auto now = daemon::boot_time();
    if (!running || running->is_idle() || now >= limit) {
        const auto failed_runs = running ? running->fail_all_runs() : 0;
        // Entries may still query the outcomes of runs whose answers they lost.
        this->threads.timers()(now + this->settings.drain_linger, [this, failed_runs, done] {
            this->close_rpc(failed_runs, done);
        });
        return;
    }
    this->threads.timers()(
        now + idle_check_period, [this, limit, done] { this->wait_until_idle(limit, done); });
}

auto agent_process::close_rpc(
    std::size_t failed_runs, std::function<auto(std::size_t failed_runs)->void> done) -> void
{
    this->rpc->drain([this, failed_runs, done] {
        this->threads.post([failed_runs, done] { done(failed_runs); });
    });
}

} // namespace reedramp::agent_program
