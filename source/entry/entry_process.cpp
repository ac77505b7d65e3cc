#include "entry_process.hpp"

#include <utility>

#include "billing/forward.hpp"
#include "daemon/clock.hpp"
#include "platform/http_hosts.hpp"
#include "platform/http_log.hpp"
#include "platform/http_ratings.hpp"

namespace reedramp::entry_program {

namespace {

/// Converts the inventory's servers to rows of the membership view.
auto server_rows(const inventory::state& state) -> std::vector<membership::server_row>
{
    std::vector<membership::server_row> rows;
    rows.reserve(state.servers.size());
    for (const auto& [id, server] : state.servers) {
        membership::server_row row;
        row.server = id;
        row.host = server.host;
        row.data_centre = server.data_centre;
        row.region = server.region;
        row.versions = server.versions;
        if (!server.service.value().empty()) {
            row.services.push_back(server.service);
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

auto limits_per_minute(const inventory::state& state)
    -> std::map<common::organisation_id, limits::amounts>
{
    std::map<common::organisation_id, limits::amounts> found;
    for (const auto& [id, owner] : state.organisations) {
        limits::amounts per_minute;
        per_minute.requests = static_cast<double>(owner.limits.requests);
        per_minute.tokens = static_cast<double>(owner.limits.tokens.value());
        per_minute.money = static_cast<double>(owner.limits.money.value());
        found[id] = per_minute;
    }
    return found;
}

} // namespace

entry_process::entry_process(entry_settings wanted)
    : settings(std::move(wanted)), threads(settings.threads)
{
}

entry_process::~entry_process()
{
    // Components that call into others are stopped before these.
    this->http.reset();
    this->rpc.reset();
    if (this->follower) {
        this->follower->stop();
    }
    this->threads.stop();
    this->peers.reset();
}

auto entry_process::start() -> common::result<void>
{
    this->threads.start();
    this->make_clients();
    this->make_members();
    this->make_follower();
    this->make_claims();
    this->make_bills();
    this->versions = std::make_unique<entry::version_policy>(entry::version_policy_settings{});
    this->make_core();
    if (auto opened = this->open_rpc(); !opened) {
        return opened;
    }
    if (auto opened = this->open_http(); !opened) {
        return opened;
    }
    this->hosts->start();
    this->follower->start();
    this->schedule_tick();
    return {};
}

auto entry_process::make_clients() -> void
{
    wire::client_options calls;
    calls.shared_key = this->settings.shared_key;
    calls.now = daemon::boot_time;
    calls.threads = this->settings.rpc_threads;
    calls.on_connection_lost = [this](const messages::rpc_address& of) {
        this->threads.post([this, of] { this->placer->connection_lost(of); });
    };
    this->peers = wire::rpc_client::create(std::move(calls));

    http::client_options options;
    options.idle_timeout = this->settings.log_timeout;
    platform::http_log_options where;
    where.where = this->settings.log;
    where.client_idle_timeout = this->settings.log_timeout;
    this->log =
        platform::make_http_log(http::client::create(this->threads.next_context(), options), where);
    this->ratings = platform::make_http_ratings(
        http::client::create(this->threads.next_context(), {}), this->settings.ratings);
}

auto entry_process::make_members() -> void
{
    this->members = std::make_shared<membership::view>();
    membership::host_watcher_hooks watching;
    watching.list = platform::make_http_hosts(
        http::client::create(this->threads.next_context(), {}), this->settings.hosts);
    watching.now = daemon::boot_time;
    watching.timer = this->threads.timers();
    watching.entries_changed = [this](std::vector<common::host_id> entries) {
        this->entries_changed(std::move(entries));
    };
    this->hosts = std::make_shared<membership::host_watcher>(
        this->settings.self, this->settings.tailers, std::move(watching), this->members);
    entry::placer_hooks placing;
    placing.now = daemon::boot_time;
    placing.timer = this->threads.timers();
    placing.random = daemon::random_bits;
    placing.probe = this->peers->agents().probe;
    this->placer = entry::placer::create(this->settings.placer, std::move(placing), this->members);
    this->limiter = std::make_unique<limits::shared_limiter>(
        limits::shared_limiter_settings{
            this->settings.self.host, this->settings.self.data_centre, daemon::boot_time()},
        daemon::random_bits());
}

auto entry_process::make_follower() -> void
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
    hooks.changed = [this](const inventory::snapshot_ptr& state) {
        this->configuration_changed(state);
    };
    this->follower = inventory::follower::create(std::move(hooks), {});
    this->publisher = inventory::publisher::create(
        {this->log, daemon::boot_time, this->threads.timers()}, this->follower);
}

auto entry_process::make_claims() -> void
{
    this->claim_arbiters = std::make_shared<claims::claim_arbiter_set>(
        claims::claim_arbiter_set_config{this->settings.self.host},
        claims::claim_arbiter_hooks{
            this->log, daemon::boot_time, this->threads.timers(), daemon::random_bits});
    claim_router::dependencies route;
    route.self = this->settings.self.host;
    route.claim_arbiters = this->claim_arbiters;
    route.hosts = this->hosts;
    route.members = this->members;
    route.peers = this->peers->peers();
    route.agents = this->peers->agents();
    route.now = daemon::boot_time;
    route.timer = this->threads.timers();
    this->claim_routing = std::make_shared<claim_router>(std::move(route));
}

auto entry_process::make_bills() -> void
{
    billing::collector_config config;
    config.max_pending_bytes = this->settings.pending_bills_limit_bytes;
    billing::collector_hooks hooks;
    hooks.log = this->log;
    hooks.now = daemon::boot_time;
    hooks.timer = this->threads.timers();
    hooks.random = daemon::random_bits;
    billing::forward_hooks ways;
    ways.self = this->settings.self.host;
    ways.entries = [watch = this->hosts] {
        return watch->entry_hosts();
    };
    ways.address_of = [watch = this->hosts](const common::host_id& entry) {
        return watch->address_of(entry);
    };
    ways.hand_over = this->peers->peers().hand_over;
    hooks.forward = billing::make_forward(std::move(ways));
    this->bills = billing::collector::create(config, std::move(hooks));
}

auto entry_process::set_routing_hooks(entry::core_hooks& hooks) -> void
{
    hooks.snapshot = [from = this->follower]() -> inventory::snapshot_ptr {
        return from->ready() ? from->snapshot() : nullptr;
    };
    hooks.current_until = [from = this->follower] {
        return from->current_until();
    };
    hooks.knows_servers = [this] {
        return this->readiness.update(
            this->follower->ready() && this->follower->snapshot()->offset.value() > 0,
            this->members->coverage(),
            daemon::boot_time());
    };
    hooks.keys = this->settings.session_keys;
    hooks.choose_version =
        [this](const inventory::state& current, const entry::version_query& query) {
            return this->versions->choose(current, query, common::random_unit(daemon::random_bits));
        };
    hooks.reserve_limits =
        [this](const common::organisation_id& id, const limits::amounts& expected) {
            return this->limiter->admit(id, expected, daemon::boot_time());
        };
    hooks.settle_limits = [this](
                              const common::organisation_id& id,
                              const limits::amounts& expected,
                              const limits::amounts& used) {
        this->limiter->reconcile(id, expected, used);
    };
}

auto entry_process::set_accounting_hooks(entry::core_hooks& hooks) -> void
{
    hooks.claim = [route = this->claim_routing](
                      messages::claim_request claim, common::time_point deadline, auto done) {
        route->claim_key(std::move(claim), deadline, std::move(done));
    };
    hooks.claim_name = [route = this->claim_routing](messages::claim_request claim, auto done) {
        route->claim_name(std::move(claim), std::move(done));
    };
    hooks.accepts_bills = [to = this->bills] {
        return to->accepts_work();
    };
    hooks.add_bill = [to = this->bills](messages::bill item) {
        to->add(std::move(item));
    };
    hooks.submit_for_rating = [this](entry::rated_chat item) {
        this->submit_for_rating(std::move(item));
    };
    hooks.metrics_text = [this] {
        return this->metrics.text(
            {*this->core, *this->follower, *this->bills, *this->claim_arbiters});
    };
}

auto entry_process::make_core_hooks() -> entry::core_hooks
{
    entry::core_hooks hooks;
    hooks.now = daemon::boot_time;
    hooks.wall_now = daemon::wall_time;
    hooks.random = daemon::random_bits;
    hooks.timer = this->threads.timers();
    hooks.entry_count = [watch = this->hosts] {
        return watch->entries().size() + 1;
    };
    hooks.agents = this->peers->agents();
    this->set_routing_hooks(hooks);
    this->set_accounting_hooks(hooks);
    hooks.place = [by = this->placer](entry::placement_query query, auto done) {
        by->place(std::move(query), std::move(done));
    };
    hooks.attempt_ended = [this](const entry::attempt_report& report) {
        this->placer->attempt_ended(report);
        this->versions->on_attempt(*this->follower->snapshot(), report);
        this->metrics.count_attempt(report);
    };
    return hooks;
}

auto entry_process::make_core() -> void
{
    administration::dependencies about;
    about.self = this->settings.self.host;
    about.follower = this->follower;
    about.publisher = this->publisher;
    about.log = this->log;
    about.now = daemon::boot_time;
    about.wall_now = daemon::wall_time;
    about.random = daemon::random_bits;
    about.publish_timeout = this->settings.publish_timeout;
    about.counters = [this] {
        return this->core->counters();
    };
    about.ready = [this] {
        return this->core->ready();
    };
    this->admin = std::make_shared<administration>(std::move(about));
    this->core = entry::core::create(
        this->settings.core,
        this->make_core_hooks(),
        entry::admin_api(this->settings.operator_key_hashes, this->admin->hooks()));
}

auto entry_process::open_rpc() -> common::result<void>
{
    wire::server_options options;
    options.ip = this->settings.rpc.address;
    options.port = this->settings.rpc.port;
    options.shared_key = this->settings.shared_key;
    options.now = daemon::boot_time;
    messages::peer_service offered;
    offered.pull = [from = this->follower](
                       const messages::configuration_pull& pull,
                       const messages::answer_hook<messages::configuration_push>& done) {
        done(from->answer(pull));
    };
    offered.claim = [to = this->claim_arbiters](messages::claim_request claim, auto done) {
        to->claim(std::move(claim), std::move(done));
    };
    offered.hand_over = [to = this->bills](messages::bill_handover items, auto done) {
        to->receive(std::move(items), std::move(done));
    };
    offered.talk = [this](
                       const messages::gossip& gossip,
                       const messages::answer_hook<messages::gossip>& done) {
        done(this->answer_gossip(gossip));
    };
    auto opened = wire::rpc_server::start(std::move(options), {}, std::move(offered));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    this->rpc = std::move(*opened);
    return {};
}

auto entry_process::open_http() -> common::result<void>
{
    auto opened = http::server::open(
        this->threads.contexts(),
        this->settings.http,
        [serving = this->core](http::request asked, std::shared_ptr<http::responder> out) {
            serving->handle(std::move(asked), std::move(out));
        });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    this->http = std::move(*opened);
    return {};
}

auto entry_process::rpc_address() const -> std::string
{
    return this->rpc->address().value();
}

auto entry_process::http_port() const -> std::uint16_t
{
    return this->http->port();
}

/// Snapshots may arrive out of order from several threads; an older one must not replace a newer
/// one.
auto entry_process::configuration_changed(const inventory::snapshot_ptr& state) -> void
{
    const std::lock_guard guard(this->configuration_lock);
    if (state->offset < this->configured_offset) {
        return;
    }
    this->configured_offset = state->offset;
    this->members->update_servers(server_rows(*state));
    this->limiter->set_limits(limits_per_minute(*state));
}

auto entry_process::entries_changed(std::vector<common::host_id> entries) -> void
{
    this->claim_arbiters->update_entries(std::move(entries));
    std::vector<limits::entry_peer> sharing;
    sharing.push_back({this->settings.self.host, this->settings.self.data_centre});
    for (const auto& peer : this->hosts->entries()) {
        sharing.push_back({peer.host, peer.data_centre});
    }
    this->limiter->set_entries(std::move(sharing));
}

} // namespace reedramp::entry_program
