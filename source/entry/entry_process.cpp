#include "entry_process.hpp"

#include <utility>

#include "billing/forward.hpp"
#include "daemon/clock.hpp"
#include "platform/http_hosts.hpp"
#include "platform/http_log.hpp"
#include "platform/http_ratings.hpp"

namespace reedramp::entry_program {

namespace {

/// The inventory's servers, as membership takes them.
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

auto limits_of(const inventory::state& state) -> std::map<common::organisation_id, limits::amounts>
{
    std::map<common::organisation_id, limits::amounts> found;
    for (const auto& [id, owner] : state.organisations) {
        limits::amounts a_minute;
        a_minute.requests = static_cast<double>(owner.limits.requests);
        a_minute.tokens = static_cast<double>(owner.limits.tokens.value());
        a_minute.money = static_cast<double>(owner.limits.money.value());
        found[id] = a_minute;
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
    // What calls into the others ends first.
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
    this->tick_later();
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
    where.longest_wait = this->settings.log_timeout;
    this->log =
        platform::make_http_log(http::client::create(this->threads.next_context(), options), where);
    this->ratings = platform::make_http_ratings(
        http::client::create(this->threads.next_context(), {}), this->settings.ratings);
}

auto entry_process::make_members() -> void
{
    this->members = std::make_shared<membership::view>();
    membership::host_watch_hooks watching;
    watching.list = platform::make_http_hosts(
        http::client::create(this->threads.next_context(), {}), this->settings.hosts);
    watching.now = daemon::boot_time;
    watching.timer = this->threads.timers();
    watching.entries_changed = [this](std::vector<common::host_id> entries) {
        this->entries_changed(std::move(entries));
    };
    this->hosts = std::make_shared<membership::host_watch>(
        this->settings.self, this->settings.tailers, std::move(watching), this->members);
    entry::placer_hooks placing;
    placing.now = daemon::boot_time;
    placing.timer = this->threads.timers();
    placing.random = daemon::random_bits;
    placing.probe = this->peers->agents().probe;
    this->placer = entry::placer::create(this->settings.placer, std::move(placing), this->members);
    this->shares = std::make_unique<limits::shared_limiter>(
        limits::shared_limiter_settings{this->settings.self.host, this->settings.self.data_centre},
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
    this->keepers = std::make_shared<claims::keeper_set>(
        claims::keeper_set_config{this->settings.self.host},
        claims::keeper_hooks{
            this->log, daemon::boot_time, this->threads.timers(), daemon::random_bits});
    claim_route::parts route;
    route.self = this->settings.self.host;
    route.keepers = this->keepers;
    route.hosts = this->hosts;
    route.members = this->members;
    route.peers = this->peers->peers();
    route.agents = this->peers->agents();
    route.now = daemon::boot_time;
    route.timer = this->threads.timers();
    this->claiming = std::make_shared<claim_route>(std::move(route));
}

auto entry_process::make_bills() -> void
{
    billing::collector_config config;
    config.full_bytes = this->settings.bills_bytes;
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

auto entry_process::connect_rules(entry::collaborators& parts) -> void
{
    parts.snapshot = [from = this->follower]() -> inventory::snapshot_ptr {
        return from->ready() ? from->snapshot() : nullptr;
    };
    parts.current_until = [from = this->follower] {
        return from->current_until();
    };
    parts.knows_servers = [this] {
        return this->readiness.update(
            this->follower->ready() && this->follower->snapshot()->offset.value() > 0,
            this->members->coverage(),
            daemon::boot_time());
    };
    parts.keys = this->settings.session_keys;
    parts.choose_version = [this](
                               const inventory::state& current,
                               const entry::version_question& question) {
        return this->versions->choose(current, question, common::random_unit(daemon::random_bits));
    };
    parts.take_limits = [this](const common::organisation_id& id, const limits::amounts& expected) {
        return this->shares->admit(id, expected, daemon::boot_time());
    };
    parts.settle_limits = [this](
                              const common::organisation_id& id,
                              const limits::amounts& expected,
                              const limits::amounts& used) {
        this->shares->reconcile(id, expected, used);
    };
}

auto entry_process::connect_accounts(entry::collaborators& parts) -> void
{
    parts.claim = [route = this->claiming](
                      messages::claim_request claim, common::time_point deadline, auto done) {
        route->claim_key(std::move(claim), deadline, std::move(done));
    };
    parts.claim_name = [route = this->claiming](messages::claim_request claim, auto done) {
        route->claim_name(std::move(claim), std::move(done));
    };
    parts.accepts_bills = [to = this->bills] {
        return to->accepts_work();
    };
    parts.bill = [to = this->bills](messages::bill item) {
        to->add(std::move(item));
    };
    parts.rate = [this](entry::rated_chat item) {
        this->rate(std::move(item));
    };
    parts.metrics_text = [this] {
        return this->metrics.text({*this->core, *this->follower, *this->bills, *this->keepers});
    };
}

auto entry_process::core_parts() -> entry::collaborators
{
    entry::collaborators parts;
    parts.now = daemon::boot_time;
    parts.wall_now = daemon::wall_time;
    parts.random = daemon::random_bits;
    parts.timer = this->threads.timers();
    parts.agents = this->peers->agents();
    this->connect_rules(parts);
    this->connect_accounts(parts);
    parts.place = [by = this->placer](entry::placement_question question, auto done) {
        by->place(std::move(question), std::move(done));
    };
    parts.attempt_ended = [this](const entry::attempt_report& report) {
        this->placer->attempt_ended(report);
        this->versions->on_attempt(*this->follower->snapshot(), report);
        this->metrics.count_attempt(report);
    };
    return parts;
}

auto entry_process::make_core() -> void
{
    administration::parts about;
    about.self = this->settings.self.host;
    about.follower = this->follower;
    about.publisher = this->publisher;
    about.log = this->log;
    about.now = daemon::boot_time;
    about.wall_now = daemon::wall_time;
    about.random = daemon::random_bits;
    about.publish_limit = this->settings.publish_limit;
    about.counters = [this] {
        return this->core->counters();
    };
    about.ready = [this] {
        return this->core->ready();
    };
    this->admin = std::make_shared<administration>(std::move(about));
    this->core = entry::core::create(
        this->settings.core,
        this->core_parts(),
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
    offered.claim = [to = this->keepers](messages::claim_request claim, auto done) {
        to->claim(std::move(claim), std::move(done));
    };
    offered.hand_over = [to = this->bills](messages::bill_handover items, auto done) {
        to->receive(std::move(items), std::move(done));
    };
    offered.talk =
        [this](const messages::gossip& news, const messages::answer_hook<messages::gossip>& done) {
            done(this->answer_gossip(news));
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

/// Snapshots may come out of order from several threads; an older one must not undo a newer one.
auto entry_process::configuration_changed(const inventory::snapshot_ptr& state) -> void
{
    const std::lock_guard guard(this->configuration_lock);
    if (state->offset < this->configured) {
        return;
    }
    this->configured = state->offset;
    this->members->update_servers(server_rows(*state));
    this->shares->set_limits(limits_of(*state));
}

auto entry_process::entries_changed(std::vector<common::host_id> entries) -> void
{
    this->keepers->update_entries(std::move(entries));
    std::vector<limits::entry_peer> sharing;
    sharing.push_back({this->settings.self.host, this->settings.self.data_centre});
    for (const auto& peer : this->hosts->entries()) {
        sharing.push_back({peer.host, peer.data_centre});
    }
    this->shares->set_entries(std::move(sharing));
}

} // namespace reedramp::entry_program
