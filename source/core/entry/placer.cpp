#include "entry/placer.hpp"

#include <algorithm>
#include <atomic>
#include <utility>

namespace reedramp::entry {

namespace {

/// Key of the probe pool. Services have no version; their probes are stored under a key that no
/// version id can have.
auto pool_key(const placement_query& query) -> common::version_id
{
    if (query.kind == messages::work_kind::chat) {
        return query.version;
    }
    return common::version_id("service/" + query.service.value());
}

auto distance_of(const membership::location& self, const membership::server_view& server)
    -> placement::server_distance
{
    if (server.data_centre == self.data_centre) {
        return placement::server_distance::same_data_centre;
    }
    if (server.region == self.region) {
        return placement::server_distance::same_region;
    }
    return placement::server_distance::other_region;
}

auto no_capacity_error(common::time_point retry_at) -> common::error
{
    auto why = common::make_error(common::result_code::no_capacity);
    why.retry_at = retry_at;
    return why;
}

} // namespace

/// A placement that waits for probe answers.
struct placer::pending {
    placement_query query;
    placement::placement_request request;
    candidate_ptr set;
    done_hook done;
    std::atomic<std::size_t> outstanding_probes{0};
    std::atomic<bool> decided{false};
    /// Number of probe rounds sent.
    std::atomic<std::size_t> rounds{1};

    /// Returns true to exactly one caller, which then decides the placement.
    auto claim_decision() -> bool { return !this->decided.exchange(true); }
};

placer::placer(placer_settings wanted, placer_hooks given, std::shared_ptr<membership::view> known)
    : settings(std::move(wanted)), hooks(std::move(given)), members(std::move(known)),
      pool(this->settings.pool), chooser(this->settings.chooser)
{
}

auto placer::create(
    placer_settings settings, placer_hooks hooks, std::shared_ptr<membership::view> members)
    -> std::shared_ptr<placer>
{
    return std::shared_ptr<placer>(
        new placer(std::move(settings), std::move(hooks), std::move(members)));
}

auto placer::make_candidates(const placement_query& query) const -> candidate_ptr
{
    const auto now = this->hooks.now();
    auto made = std::make_shared<candidate_set>();
    made->generation = this->members->generation();
    made->until = now + this->settings.candidates_lifetime;
    const auto usable = query.kind == messages::work_kind::chat
                            ? this->members->servers_for(query.version, now)
                            : this->members->servers_for(query.service, now);
    const auto& self = this->settings.self;
    for (const auto& server : membership::choose_subset(self, usable, this->settings.subset)) {
        made->candidates.push_back(
            placement::make_candidate(server.server, distance_of(self, server)));
        made->addresses.push_back(server.rpc);
    }
    return made;
}

auto placer::candidates_for(const placement_query& query) -> candidate_ptr
{
    const auto key = pool_key(query).value();
    const auto generation = this->members->generation();
    {
        const std::lock_guard guard(this->lock);
        const auto found = this->sets.find(key);
        if (found != this->sets.end() && found->second->generation == generation &&
            this->hooks.now() < found->second->until) {
            return found->second;
        }
    }
    auto made = this->make_candidates(query);
    const std::lock_guard guard(this->lock);
    this->sets[key] = made;
    return made;
}

auto placer::place(placement_query query, done_hook done) -> void
{
    auto item = std::make_shared<pending>();
    item->request.version = pool_key(query);
    if (query.session) {
        item->request.session_hash = placement::affinity_hash(query.session->value());
    }
    item->request.prefix_hash = query.prefix_hash;
    item->request.excluded = query.tried_servers;
    item->set = this->candidates_for(query);
    item->query = std::move(query);
    item->done = std::move(done);
    const auto plan = this->chooser.plan(
        item->request, item->set->candidates, this->pool, 0, this->hooks.now(), this->hooks.random);
    if (plan.targets.empty() || this->has_recent_probes(*item, plan)) {
        this->decide(item);
    }
    else {
        this->hooks.timer(plan.place_by, [weak = this->weak_from_this(), item] {
            if (const auto self = weak.lock()) {
                self->decide(item);
            }
        });
    }
    this->send_probes(item, plan.targets);
}

/// Whether recent probe answers suffice for the placement. Waiting for probes would add a round
/// trip to each request; at a high rate, the answers to the probes of earlier requests are hardly
/// older.
auto placer::has_recent_probes(const pending& item, const placement::probe_plan& plan) -> bool
{
    const auto now = this->hooks.now();
    const auto min_expiry = now + this->settings.pool.lifetime - this->settings.recent_probe_age;
    const auto has_preferred = item.request.session_hash != 0 || item.request.prefix_hash != 0;
    const auto& preferred = item.set->candidates[plan.targets.front()];
    auto knows_preferred = !has_preferred;
    std::size_t recent = 0;
    for (const auto& probe : this->pool.fresh(item.request.version, now)) {
        if (probe.expires < min_expiry) {
            continue;
        }
        ++recent;
        knows_preferred = knows_preferred || probe.hash == preferred.hash;
    }
    const auto wanted = std::min(this->settings.min_recent_probes, item.set->candidates.size());
    return knows_preferred && recent >= wanted;
}

auto placer::send_probes(const pending_ptr& item, const std::vector<std::size_t>& targets) -> void
{
    item->outstanding_probes = targets.size();
    const messages::probe_request request{item->query.version, item->query.prefix_hash};
    for (const auto index : targets) {
        this->hooks.probe(
            item->set->addresses[index],
            request,
            [weak = this->weak_from_this(), item, index](
                const common::result<messages::probe_answer>& answer) {
                const auto self = weak.lock();
                if (!self) {
                    return;
                }
                self->apply_probe(item->request.version, item->set->candidates[index], answer);
                if (item->outstanding_probes.fetch_sub(1) == 1) {
                    self->on_all_probes_answered(item);
                }
            });
    }
}

/// Probes further servers if all that answered are busy. The time at which the placement is decided
/// doesn't change.
auto placer::on_all_probes_answered(const pending_ptr& item) -> void
{
    if (item->decided) {
        return;
    }
    const auto more = this->chooser.plan(
        item->request,
        item->set->candidates,
        this->pool,
        item->rounds.fetch_add(1),
        this->hooks.now(),
        this->hooks.random);
    if (more.targets.empty()) {
        this->decide(item);
        return;
    }
    this->send_probes(item, more.targets);
}

auto placer::apply_probe(
    const common::version_id& version,
    const placement::candidate& from,
    const common::result<messages::probe_answer>& answer) -> void
{
    const auto now = this->hooks.now();
    if (!answer) {
        this->members->on_failure(from.server, now);
        this->pool.remove_server(from.server);
        return;
    }
    this->members->on_probe_answer(*answer);
    this->pool.add(version, *answer, from.distance, now);
}

auto placer::decide(const pending_ptr& item) -> void
{
    if (!item->claim_decision()) {
        return;
    }
    const auto now = this->hooks.now();
    const auto chosen = this->chooser.place(
        item->request, item->set->candidates, this->pool, now, this->hooks.random);
    if (!chosen) {
        item->done(tl::unexpected(no_capacity_error(now + this->settings.retry_after)));
        return;
    }
    const auto server = this->members->find(chosen->server);
    if (!server) {
        item->done(tl::unexpected(no_capacity_error(now + this->settings.retry_after)));
        return;
    }
    if (server->incarnation.value() == 0) {
        this->resolve_incarnation(item, *chosen);
        return;
    }
    item->done(placement_decision{
        chosen->server,
        server->rpc,
        server->incarnation,
        std::string(placement::to_string(chosen->reason)),
        chosen->runner_up.value_or(common::server_id())});
}

/// Probes a chosen server whose incarnation is not known yet, since a request must name the
/// incarnation of the agent that it is sent to. If the server doesn't answer in time, the next best
/// one is chosen.
auto placer::resolve_incarnation(const pending_ptr& item, const placement::placement& chosen)
    -> void
{
    auto next = std::make_shared<pending>();
    next->query = item->query;
    next->request = item->request;
    next->set = item->set;
    next->done = std::move(item->done);
    std::size_t index = 0;
    while (item->set->candidates[index].server != chosen.server) {
        ++index;
    }
    const auto continue_placement = [weak = this->weak_from_this(), next, server = chosen.server] {
        const auto self = weak.lock();
        if (!self || next->decided) {
            return;
        }
        const auto found = self->members->find(server);
        if (!found || found->incarnation.value() == 0) {
            next->request.excluded.push_back(server);
        }
        self->decide(next);
    };
    this->hooks.timer(
        this->hooks.now() + this->settings.incarnation_probe_timeout, continue_placement);
    this->hooks.probe(
        item->set->addresses[index],
        {item->query.version, item->query.prefix_hash},
        [weak = this->weak_from_this(), next, index, continue_placement](
            const common::result<messages::probe_answer>& answer) {
            if (const auto self = weak.lock()) {
                self->apply_probe(next->request.version, next->set->candidates[index], answer);
            }
            continue_placement();
        });
}

auto placer::attempt_ended(const attempt_report& report) -> void
{
    switch (report.end) {
    case attempt_end::answered:
    case attempt_end::cancelled:
    case attempt_end::failed:
        return;
    case attempt_end::refused:
        this->members->on_refusal(report.server, report.incarnation, report.code);
        if (report.code == common::result_code::wrong_incarnation) {
            this->probe(report.server);
        }
        return;
    case attempt_end::never_sent:
    case attempt_end::lost:
        this->members->on_failure(report.server, this->hooks.now());
        this->pool.remove_server(report.server);
        return;
    }
}

auto placer::connection_lost(const messages::rpc_address& address) -> void
{
    const auto now = this->hooks.now();
    for (const auto& status : this->members->statuses(now)) {
        if (status.server.rpc == address) {
            this->members->on_failure(status.server.server, now);
            this->pool.remove_server(status.server.server);
        }
    }
}

auto placer::probe(const common::server_id& server) -> void
{
    const auto found = this->members->find(server);
    if (!found) {
        return;
    }
    this->hooks.probe(
        found->rpc,
        {},
        [weak = this->weak_from_this(),
         server](const common::result<messages::probe_answer>& answer) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            if (answer) {
                self->members->on_probe_answer(*answer);
                return;
            }
            self->members->on_failure(server, self->hooks.now());
        });
}

} // namespace reedramp::entry
