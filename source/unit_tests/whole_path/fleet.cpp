#include "fleet.hpp"

#include <utility>

#include "unit_tests/whole_path/configuration_records.hpp"

namespace reedramp::whole_path {

namespace {

constexpr auto shared_key = "the key that all processes of the test share";
constexpr common::duration shutdown_limit = 40s;
constexpr common::duration bills_limit = 5s;
constexpr common::duration hand_over_limit = 30s;
constexpr common::duration hand_over_pause = 500ms;
constexpr common::duration check_period = 50ms;
constexpr common::duration publish_limit = 5s;

/// SplitMix64 generator, which gives the same numbers for a seed on all platforms. Copies of the
/// hook share one state; with separate states two entries would draw the same request ids.
auto seeded_random(std::uint64_t seed) -> common::random_hook
{
    return [state = std::make_shared<std::uint64_t>(seed)] {
        *state += 0x9e3779b97f4a7c15ULL;
        auto mixed = *state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31U);
    };
}

auto allow_all_versions(const inventory::snapshot_ptr& state) -> inventory::snapshot_ptr
{
    auto next = std::make_shared<inventory::state>(*state);
    for (auto& [id, owner] : next->organisations) {
        owner.versions.clear();
    }
    return next;
}

auto server_rows(const inventory::state& state) -> std::vector<membership::server_row>
{
    std::vector<membership::server_row> rows;
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

/// Wraps `done` so that it runs only while the process that asked is alive.
template <typename Answer>
auto while_alive(const process_ptr& process, platform::answer_hook<Answer> done)
    -> platform::answer_hook<Answer>
{
    return [process, done = std::move(done)](common::result<Answer> answer) {
        process->post([done, answer = std::move(answer)] { done(answer); });
    };
}

} // namespace

fleet::fleet(std::uint64_t seed, mutation wanted)
    : log(time.clock(), time.timers()), hosts(time.clock(), time.timers()),
      ratings(time.clock(), time.timers(), [](const auto&) { return 1.0; }),
      net(time, seeded_random(seed ^ 0x6e6574ULL)), fault(wanted), random(seeded_random(seed))
{
    this->log.put(platform::streams::configuration, initial_record());
}

fleet::~fleet()
{
    // Ends all requests, also in killed processes, to break the reference cycles between calls and
    // their callbacks.
    for (const auto& [name, node] : this->agents) {
        this->replaced_agents.push_back(node);
    }
    for (const auto& [name, node] : this->entries) {
        this->replaced_entries.push_back(node);
    }
    for (const auto& node : this->replaced_agents) {
        if (node != nullptr && node->core != nullptr) {
            node->process->resume_actions();
            node->core->drain();
            node->core->fail_all_runs();
        }
    }
    for (const auto& node : this->replaced_entries) {
        if (node != nullptr) {
            node->process->resume_actions();
            node->core->shut_down(this->time.now(), [](std::size_t) {});
            node->claim_arbiters->stop();
            node->follower->stop();
        }
    }
    this->time.run_for(1s);
}

auto fleet::make_log_hooks(const process_ptr& process) -> platform::log_hooks
{
    const auto shared_hooks = this->log.hooks();
    platform::log_hooks own;
    own.append = [shared_hooks, process](auto stream, auto data, auto done) {
        shared_hooks.append(
            std::move(stream),
            std::move(data),
            while_alive<common::log_offset>(process, std::move(done)));
    };
    own.read = [shared_hooks, process](auto stream, auto after, auto wait, auto done) {
        shared_hooks.read(
            std::move(stream),
            after,
            wait,
            while_alive<platform::read_answer>(process, std::move(done)));
    };
    return own;
}

auto fleet::make_host_hooks(const process_ptr& process) -> platform::host_hooks
{
    return {[list = this->hosts.hooks(), process](auto done) {
        list.list(while_alive<std::vector<platform::host_entry>>(process, std::move(done)));
    }};
}

auto fleet::apply_mutation(const inventory::snapshot_ptr& state) const -> inventory::snapshot_ptr
{
    return this->fault == mutation::unrestricted_versions ? allow_all_versions(state) : state;
}

auto fleet::list_agent_host(const agent_node& node, platform::host_state state) -> void
{
    this->hosts.put(
        {node.host,
         common::data_centre_id(data_centre),
         {},
         platform::host_role::server,
         state,
         node.address.value(),
         {}});
}

auto fleet::list_entry_host(const entry_node& node, platform::host_state state) -> void
{
    this->hosts.put(
        {node.host,
         common::data_centre_id(data_centre),
         {},
         platform::host_role::entry,
         state,
         node.address.value(),
         {}});
}

auto fleet::make_follower_hooks(const process_ptr& process) -> inventory::follower_hooks
{
    inventory::follower_hooks hooks;
    hooks.log = this->make_log_hooks(process);
    hooks.pull = this->net.peer_calls_for(process).pull;
    hooks.clock = this->time.clock();
    hooks.wall_clock = [this] {
        return common::wall_time_ms(this->time.now().time_since_epoch() / 1ms);
    };
    hooks.timer = process->timers();
    hooks.random = this->random;
    hooks.shared_key = shared_key;
    return hooks;
}

auto fleet::start_entry(const std::string& host) -> void
{
    auto node = std::make_shared<entry_node>();
    node->host = common::host_id(host);
    node->address = messages::rpc_address(host + "/" + std::to_string(++this->started_processes));
    node->process = std::make_shared<simulated_process>(this->time);
    this->make_membership(*node);
    node->follower = this->make_entry_follower(*node);
    node->publisher = inventory::publisher::create(
        {this->make_log_hooks(node->process), this->time.clock(), node->process->timers()},
        node->follower);
    this->make_claim_components(*node);
    node->bill_collector = this->make_bill_collector(*node);
    entry::version_policy_settings policy;
    policy.explore_share = 0;
    node->versions = std::make_shared<entry::version_policy>(policy);
    this->make_core(node);
    this->serve_entry(node);
    node->hosts->start();
    node->follower->start();
    this->list_entry_host(*node, platform::host_state::live);
    this->replaced_entries.push_back(std::exchange(this->entries[host], node));
}

auto fleet::make_entry_follower(const entry_node& node) -> std::shared_ptr<inventory::follower>
{
    auto hooks = this->make_follower_hooks(node.process);
    hooks.peers = [watch = node.hosts] {
        return watch->peers();
    };
    hooks.tailers = [watch = node.hosts] {
        return watch->tailers();
    };
    hooks.is_tailer = [watch = node.hosts] {
        return watch->is_tailer();
    };
    hooks.changed = [members = node.members](const inventory::snapshot_ptr& state) {
        members->update_servers(server_rows(*state));
    };
    return inventory::follower::create(std::move(hooks), {});
}

auto fleet::reset_configuration(const std::string& host) -> void
{
    auto& node = *this->entries.at(host);
    node.follower->stop();
    node.follower = this->make_entry_follower(node);
    node.follower->start();
}

auto fleet::make_membership(entry_node& node) -> void
{
    const membership::location here{node.host, common::data_centre_id(data_centre), {}};
    node.members = std::make_shared<membership::view>();
    membership::host_watcher_hooks watching;
    watching.list = this->make_host_hooks(node.process);
    watching.now = this->time.clock();
    watching.timer = node.process->timers();
    watching.entries_changed = [at = &node](std::vector<common::host_id> found) {
        at->claim_arbiters->update_entries(std::move(found));
    };
    node.hosts = std::make_shared<membership::host_watcher>(
        here, std::size_t{2}, std::move(watching), node.members);
    entry::placer_settings placing;
    placing.self = here;
    node.placer = entry::placer::create(
        placing,
        {this->time.clock(),
         node.process->timers(),
         this->random,
         this->net.agent_calls_for(node.process).probe},
        node.members);
    node.limiter = std::make_shared<limits::shared_limiter>(
        limits::shared_limiter_settings{
            node.host, common::data_centre_id(data_centre), this->time.now()},
        this->random());
}

auto fleet::make_claim_components(entry_node& node) -> void
{
    node.claim_arbiters = std::make_shared<claims::claim_arbiter_set>(
        claims::claim_arbiter_set_config{node.host},
        claims::claim_arbiter_hooks{
            this->make_log_hooks(node.process),
            this->time.clock(),
            node.process->timers(),
            this->random});
    entry_program::claim_router::dependencies route;
    route.self = node.host;
    route.claim_arbiters = node.claim_arbiters;
    route.hosts = node.hosts;
    route.members = node.members;
    route.peers = this->net.peer_calls_for(node.process);
    route.agents = this->net.agent_calls_for(node.process);
    route.now = this->time.clock();
    route.timer = node.process->timers();
    node.claim_router = std::make_shared<entry_program::claim_router>(std::move(route));
}

/// The daemons choose the entry that collects bills among many; here e1 collects those of e2.
auto fleet::make_bill_collector(const entry_node& node) -> std::shared_ptr<billing::collector>
{
    billing::collector_hooks hooks;
    hooks.log = this->make_log_hooks(node.process);
    hooks.now = this->time.clock();
    hooks.timer = node.process->timers();
    hooks.random = this->random;
    if (this->forwards_bills && node.host.value() != "e1") {
        hooks.forward = [hosts = node.hosts, to = this->net.peer_calls_for(node.process).hand_over](
                            auto bills, auto done) {
            const auto others = hosts->entries();
            if (others.empty()) {
                done(common::failure(common::result_code::peer_unavailable));
                return;
            }
            to(others.front().rpc, std::move(bills), std::move(done));
        };
    }
    return billing::collector::create({}, std::move(hooks));
}

auto fleet::connect_policy_hooks(const entry_ptr& node, entry::core_hooks& parts) -> void
{
    auto* at = node.get();
    parts.snapshot = [this, at]() -> inventory::snapshot_ptr {
        return at->follower->ready() ? this->apply_mutation(at->follower->snapshot()) : nullptr;
    };
    parts.current_until = [at] {
        return at->follower->current_until();
    };
    parts.keys.current = {session::key_id(1), std::string(session::min_secret_bytes, 'k')};
    parts.choose_version = [this, at](const auto& current, const auto& question) {
        return at->versions->choose(current, question, common::random_unit(this->random));
    };
    parts.reserve_limits = [this, at](const auto& owner, const auto& expected) {
        return at->limiter->admit(owner, expected, this->time.now());
    };
    parts.settle_limits = [at](const auto& owner, const auto& expected, const auto& used) {
        at->limiter->reconcile(owner, expected, used);
    };
    parts.place = [at](auto question, auto done) {
        at->placer->place(std::move(question), std::move(done));
    };
    parts.attempt_ended = [at](const entry::attempt_report& report) {
        at->placer->attempt_ended(report);
        at->versions->on_attempt(*at->follower->snapshot(), report);
    };
}

auto fleet::connect_claim_and_bill_hooks(const entry_ptr& node, entry::core_hooks& parts) -> void
{
    auto* at = node.get();
    parts.claim = [at](auto claim, auto deadline, auto done) {
        at->claim_router->claim_key(std::move(claim), deadline, std::move(done));
    };
    parts.claim_name = [at](auto claim, auto done) {
        at->claim_router->claim_name(std::move(claim), std::move(done));
    };
    parts.accepts_bills = [at] {
        return at->bill_collector->accepts_work();
    };
    parts.add_bill = [this, at](messages::bill item) {
        if (this->fault == mutation::duplicated_bill) {
            auto copy = item;
            copy.request.low ^= 1U;
            at->bill_collector->add(std::move(copy));
        }
        at->bill_collector->add(std::move(item));
    };
    parts.submit_for_rating = [at, submit = this->ratings.hooks().submit](entry::rated_chat item) {
        at->versions->on_submitted(item.request, {item.version, item.organisation, item.task});
        submit(item.request, std::move(item.question), std::move(item.answer));
    };
}

auto fleet::make_core(const entry_ptr& node) -> void
{
    entry::core_hooks parts;
    parts.now = this->time.clock();
    parts.wall_now = [this] {
        return common::wall_time_ms(this->time.now().time_since_epoch() / 1ms);
    };
    parts.random = this->random;
    parts.timer = node->process->timers();
    parts.agents = this->net.agent_calls_for(node->process);
    if (this->fault == mutation::wrong_session_version) {
        parts.agents.run = [run = parts.agents.run](const auto& to, auto request, auto sink) {
            if (request.session) {
                const auto is_first = request.version.value() == "v1";
                request.version = common::version_id(is_first ? "v2" : "v1");
            }
            return run(to, std::move(request), std::move(sink));
        };
    }
    this->connect_policy_hooks(node, parts);
    this->connect_claim_and_bill_hooks(node, parts);
    node->core =
        entry::core::create(entry::core_options{}, std::move(parts), entry::admin_api({}, {}));
}

auto fleet::serve_entry(const entry_ptr& node) -> void
{
    auto new_endpoint = std::make_shared<endpoint>();
    new_endpoint->owner = node->process;
    auto* at = node.get();
    new_endpoint->peer.pull = [at](const auto& pull, const auto& done) {
        done(at->follower->answer(pull));
    };
    new_endpoint->peer.claim = [at](auto claim, auto done) {
        at->claim_arbiters->claim(std::move(claim), std::move(done));
    };
    new_endpoint->peer.hand_over = [at](auto items, auto done) {
        at->bill_collector->receive(std::move(items), std::move(done));
    };
    this->net.open(node->address, std::move(new_endpoint));
}

auto fleet::kill_entry(const std::string& host) -> void
{
    const auto node = this->entries.at(host);
    node->process->kill();
    this->net.close(node->address);
}

auto fleet::stop_entry(const std::string& host) -> void
{
    auto& node = *this->entries.at(host);
    node.leaving = true;
    this->list_entry_host(node, platform::host_state::leaving);
    const auto span = this->fault == mutation::immediate_shutdown ? 0s : shutdown_limit;
    node.core->shut_down(this->time.now() + span, [this, &node](std::size_t cut_requests) {
        node.cut_requests = cut_requests;
        this->wait_for_callers(node, this->time.now() + shutdown_limit);
    });
}

/// Waits as the daemon does, because open connections may still deliver a call.
auto fleet::wait_for_callers(entry_node& node, common::time_point limit) -> void
{
    const auto is_busy = node.unread_calls > 0 || node.core->counters().in_flight > 0;
    if (is_busy && this->time.now() < limit) {
        node.process->at(
            this->time.now() + 50ms, [this, &node, limit] { this->wait_for_callers(node, limit); });
        return;
    }
    node.closed = true;
    node.bill_collector->flush();
    this->drain_bills(node, this->time.now() + bills_limit);
}

auto fleet::drain_bills(entry_node& node, common::time_point limit) -> void
{
    const auto now = this->time.now();
    if (node.bill_collector->empty() || now >= limit + hand_over_limit) {
        this->exit_entry(node);
        return;
    }
    const auto retry_after = [this, &node, limit](common::duration pause) {
        node.process->at(
            this->time.now() + pause, [this, &node, limit] { this->drain_bills(node, limit); });
    };
    const auto others = node.hosts->entries();
    if (now < limit || others.empty()) {
        retry_after(check_period);
        return;
    }
    const auto items = node.bill_collector->make_handover();
    this->net.peer_calls_for(node.process)
        .hand_over(
            others.front().rpc,
            items,
            [&node, items, retry_after](const common::result<messages::accepted>& answer) {
                if (answer) {
                    node.bill_collector->release(items);
                }
                retry_after(hand_over_pause);
            });
}

auto fleet::exit_entry(entry_node& node) -> void
{
    node.claim_arbiters->stop();
    node.has_exited = true;
    node.process->kill();
    this->net.close(node.address);
}

auto fleet::publish(
    const std::string& host,
    const std::string& id,
    const std::string& changes,
    std::function<auto(common::result<inventory::publication> answer)->void> done) -> void
{
    const auto& node = this->entries.at(host);
    const auto base = node->follower->snapshot()->offset;
    const auto record = inventory::parse_record(record_text(id, base.value(), changes));
    node->publisher->publish(record.value(), this->time.now() + publish_limit, std::move(done));
}

auto fleet::call(const std::string& host, http::request request) -> std::shared_ptr<fake_caller>
{
    auto caller = std::make_shared<fake_caller>();
    const auto node = this->entries.at(host);
    ++node->unread_calls;
    node->process->post([node, caller, request = std::move(request)]() mutable {
        --node->unread_calls;
        node->core->handle(std::move(request), caller);
    });
    return caller;
}

} // namespace reedramp::whole_path
