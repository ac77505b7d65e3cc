#include "cluster.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>

#include "cluster_state.hpp"

namespace reedramp::bench {

namespace {

constexpr auto report_period = std::chrono::seconds(1);
constexpr auto loss_noticed_after = std::chrono::milliseconds(100);
constexpr std::size_t most_tries = 3;

auto work_of(const job& item) -> double
{
    return item.prompt / prefill_rate + item.truth.completion / decode_rate;
}

class cluster {
public:
    cluster(const shape& whose, const run_options& wanted)
        : owner(whose), options(wanted), place_by(wanted.chooser),
          source(whose, wanted.load, wanted.time_left, wanted.seed), engine(wanted.seed * 7919 + 1)
    {
        this->make_servers();
        for (std::size_t entry = 0; entry < whose.entries; ++entry) {
            this->entries.push_back(std::unique_ptr<entry_state>(new entry_state{
                placement::probe_pool(wanted.pool),
                placement::retry_budget({}),
                std::vector<std::size_t>(whose.replicas.size(), entry),
                std::vector<std::uint32_t>(this->servers.size())}));
        }
        this->list_candidates();
        this->central.resize(whose.replicas.size());
        this->counts.answered_work.resize(whose.organisations);
        this->counts.offered_work.resize(whose.organisations);
    }

    auto run() -> run_result
    {
        this->schedule_arrival();
        this->take_reports();
        if (this->options.lose_data_centre) {
            this->after(to_duration(this->options.seconds / 2.0), [this] { this->lose(); });
        }
        while (!this->events.empty()) {
            const auto next = this->events.top();
            this->events.pop();
            this->now = next.at;
            next.action();
        }
        return std::move(this->counts);
    }

private:
    auto make_servers() -> void
    {
        auto settings = this->options.queue;
        settings.capacity.slots = this->owner.slots;
        settings.expected_stream_rate = decode_rate;
        for (std::size_t version = 0; version < this->owner.replicas.size(); ++version) {
            this->version_names.emplace_back("v" + std::to_string(version));
            for (std::size_t replica = 0; replica < this->owner.replicas[version]; ++replica) {
                auto made = std::make_unique<fake_server>(this->owner, settings);
                made->id = common::server_id("server-" + std::to_string(this->servers.size()));
                made->version = version;
                made->data_centre = replica % this->owner.data_centres;
                this->numbers.emplace(made->id, this->servers.size());
                this->servers.push_back(std::move(made));
            }
        }
        this->servers.front()->slowness = this->options.slowness;
        this->reported.resize(this->servers.size());
        this->running.resize(this->servers.size());
    }

    [[nodiscard]] auto away(std::size_t from, const fake_server& server) const
        -> placement::server_distance
    {
        return server.data_centre == from ? placement::server_distance::same_data_centre
                                          : placement::server_distance::same_region;
    }

    auto list_candidates() -> void
    {
        this->candidates.assign(
            this->owner.data_centres,
            std::vector<std::vector<placement::candidate>>(this->owner.replicas.size()));
        for (std::size_t from = 0; from < this->owner.data_centres; ++from) {
            for (const auto& server : this->servers) {
                if (!server->lost) {
                    this->candidates[from][server->version].push_back(
                        placement::make_candidate(server->id, this->away(from, *server)));
                }
            }
        }
    }

    auto after(common::duration wait, std::function<auto()->void> action) -> void
    {
        this->events.push({this->now + wait, this->order++, std::move(action)});
    }

    auto schedule_arrival() -> void
    {
        auto item = this->source.next();
        if (to_seconds(item.arrival.time_since_epoch()) >= this->options.seconds) {
            return;
        }
        this->after(item.arrival - this->now, [this, number = item.number] {
            this->schedule_arrival();
            this->count_offer(this->jobs[number].item);
            this->route(number);
        });
        this->jobs.push_back({item, {}, 0, 0, false});
    }

    [[nodiscard]] auto trip(const job& item, std::size_t server) const -> common::duration
    {
        const auto near =
            this->servers[server]->data_centre == item.entry % this->owner.data_centres;
        return near ? this->owner.near_trip : this->owner.far_trip;
    }

    [[nodiscard]] auto counted(const job& item) const -> bool
    {
        return to_seconds(item.arrival.time_since_epoch()) >= this->options.warm_up;
    }

    auto count_offer(const job& item) -> void
    {
        if (this->counted(item)) {
            ++this->counts.offered;
            this->counts.offered_work[item.organisation] += work_of(item);
        }
    }

    [[nodiscard]] auto placement_request(const job_state& state) const
        -> placement::placement_request
    {
        placement::placement_request made;
        made.version = this->version_names[state.item.version];
        if (this->options.use_prefix || this->options.how == method::prefix_only) {
            made.prefix_hash = placement::affinity_hash(
                made.version.value() + "/" + std::to_string(state.item.prefix));
        }
        for (const auto server : state.tried) {
            made.excluded.push_back(this->servers[server]->id);
        }
        return made;
    }

    [[nodiscard]] auto known_to(const job& item) const -> const std::vector<placement::candidate>&
    {
        return this->candidates[item.entry % this->owner.data_centres][item.version];
    }

    auto route(std::size_t number) -> void
    {
        auto& state = this->jobs[number];
        if (this->options.how == method::central) {
            this->central[state.item.version].push_back(number);
            this->serve_central(state.item.version);
        }
        else if (this->known_to(state.item).empty()) {
            this->refuse(number);
        }
        else if (this->options.how == method::probing) {
            state.rounds = 0;
            this->probe_or_place(number);
        }
        else {
            this->send(number, this->numbers.at(this->pick_baseline(state)));
        }
    }

    auto pick_baseline(const job_state& state) -> const common::server_id&
    {
        const auto& known = this->known_to(state.item);
        auto& entry = *this->entries[state.item.entry];
        switch (this->options.how) {
        case method::round_robin:
            return known[entry.next_in_turn[state.item.version]++ % known.size()].server;
        case method::prefix_only:
            return known[*placement::preferred_candidates(
                             known, this->placement_request(state).prefix_hash)]
                .server;
        case method::least_requests:
            return this->least_requested(entry, known);
        default:
            return known[this->engine() % known.size()].server;
        }
    }

    auto least_requested(entry_state& entry, const std::vector<placement::candidate>& known)
        -> const common::server_id&
    {
        const auto first = this->engine() % known.size();
        std::optional<std::size_t> best;
        for (std::size_t offset = 0; offset < known.size(); ++offset) {
            const auto server = this->numbers.at(known[(first + offset) % known.size()].server);
            const auto load = [&](std::size_t one) {
                return this->reported[one] + entry.sent[one];
            };
            if (!best || load(server) < load(*best)) {
                best = server;
            }
        }
        ++entry.sent[*best];
        return this->servers[*best]->id;
    }

    auto probe_or_place(std::size_t number) -> void
    {
        auto& state = this->jobs[number];
        const auto hook = [this] {
            return this->engine();
        };
        const auto request = this->placement_request(state);
        const auto& known = this->known_to(state.item);
        auto& pool = this->entries[state.item.entry]->pool;
        const auto plan =
            this->place_by.plan(request, known, pool, state.rounds++, this->now, hook);
        if (!plan.targets.empty()) {
            this->ask(number, plan);
            return;
        }
        const auto placed = this->place_by.place(request, known, pool, this->now, hook);
        if (placed) {
            this->send(number, this->numbers.at(placed->server));
        }
        else {
            this->refuse(number);
        }
    }

    auto ask(std::size_t number, const placement::probe_plan& plan) -> void
    {
        const auto& item = this->jobs[number].item;
        auto longest = common::duration(0);
        for (const auto index : plan.targets) {
            const auto server = this->numbers.at(this->known_to(item)[index].server);
            const auto way = this->trip(item, server);
            this->counts.probes += this->counted(item) ? 1 : 0;
            // The answer is taken in here, not a trip later: it is used when all have arrived.
            this->after(way, [this, number, server] { this->answer_probe(number, server); });
            longest = std::max(longest, 2 * way);
        }
        this->after(std::min(longest, plan.place_by - this->now), [this, number] {
            this->probe_or_place(number);
        });
    }

    auto answer_probe(std::size_t number, std::size_t server) -> void
    {
        const auto& item = this->jobs[number].item;
        const auto& asked = *this->servers[server];
        if (!asked.lost) {
            this->entries[item.entry]->pool.add(
                this->version_names[item.version],
                asked.answer(),
                this->away(item.entry % this->owner.data_centres, asked),
                this->now);
        }
    }

    auto send(std::size_t number, std::size_t server) -> void
    {
        auto& state = this->jobs[number];
        if (state.tried.empty()) {
            this->entries[state.item.entry]->budget.record_first_attempt();
        }
        state.tried.push_back(server);
        state.server = server;
        this->after(this->trip(state.item, server), [this, number, server] {
            this->receive(number, server);
        });
    }

    auto receive(std::size_t number, std::size_t server) -> void
    {
        auto& target = *this->servers[server];
        if (target.lost) {
            return;
        }
        auto asked = target.ask_for(this->jobs[number].item);
        if (this->options.first_come) {
            asked.organisation = {};
            asked.deadline = common::never;
        }
        if (!target.queue.push(asked, this->now)) {
            this->try_again(number);
            return;
        }
        this->pump(server);
    }

    auto try_again(std::size_t number) -> void
    {
        const auto& state = this->jobs[number];
        const auto tries = std::min(most_tries, this->known_to(state.item).size());
        if (state.tried.size() < tries &&
            this->entries[state.item.entry]->budget.try_acquire_retry()) {
            this->route(number);
            return;
        }
        this->refuse(number);
    }

    auto refuse(std::size_t number) -> void
    {
        this->jobs[number].done = true;
        this->counts.refused += this->counted(this->jobs[number].item) ? 1 : 0;
    }

    auto pump(std::size_t server) -> void
    {
        auto& target = *this->servers[server];
        if (target.lost) {
            return;
        }
        for (const auto& late : target.queue.take_infeasible(this->now)) {
            this->try_again(late.key.request.low);
        }
        while (const auto next = target.queue.pop(this->now)) {
            this->start(next->key.request.low, server);
        }
        if (target.queue.next_check() != common::never) {
            this->after(
                target.queue.next_check() - this->now, [this, server] { this->pump(server); });
        }
    }

    auto start(std::size_t number, std::size_t server) -> void
    {
        auto& state = this->jobs[number];
        bool hit = false;
        const auto seconds = this->servers[server]->run_seconds(state.item, hit);
        state.server = server;
        ++this->running[server];
        this->after(to_duration(seconds), [this, number, server, seconds] {
            this->finish(number, server, seconds);
        });
        if (!this->counted(state.item)) {
            return;
        }
        const auto wait = to_seconds(this->now - state.item.arrival);
        this->counts.waits.push_back(wait);
        this->counts.hits += hit ? 1 : 0;
        if (state.item.prompt > 3.0 * this->owner.prompt_tokens) {
            this->counts.large_waits.push_back(wait);
        }
    }

    auto finish(std::size_t number, std::size_t server, double seconds) -> void
    {
        auto& state = this->jobs[number];
        auto& target = *this->servers[server];
        if (target.lost) {
            return;
        }
        --this->running[server];
        state.done = true;
        this->count_answer(state.item, seconds);
        if (this->options.how == method::central) {
            this->serve_central(state.item.version);
            return;
        }
        target.queue.finish(
            target.ask_for(state.item).key, fake_server::spent(state.item), this->now);
        this->pump(server);
    }

    auto count_answer(const job& item, double seconds) -> void
    {
        if (!this->counted(item)) {
            return;
        }
        this->counts.latencies.push_back(to_seconds(this->now - item.arrival));
        if (this->now > item.deadline) {
            ++this->counts.late;
            return;
        }
        this->counts.useful_seconds += seconds;
        this->counts.answered_work[item.organisation] += work_of(item);
    }

    /// The fastest server with a free slot takes the oldest request.
    auto serve_central(std::size_t version) -> void
    {
        auto& queue = this->central[version];
        while (!queue.empty()) {
            std::optional<std::size_t> best;
            for (std::size_t server = 0; server < this->servers.size(); ++server) {
                const auto& item = *this->servers[server];
                const auto free = item.version == version && !item.lost &&
                                  this->running[server] < this->owner.slots;
                if (free && (!best || item.slowness < this->servers[*best]->slowness)) {
                    best = server;
                }
            }
            if (!best) {
                return;
            }
            const auto number = queue.front();
            queue.pop_front();
            this->start(number, *best);
        }
    }

    auto take_reports() -> void
    {
        for (std::size_t server = 0; server < this->servers.size(); ++server) {
            const auto& queue = this->servers[server]->queue;
            this->reported[server] = static_cast<std::uint32_t>(queue.running() + queue.queued());
        }
        for (auto& entry : this->entries) {
            std::ranges::fill(entry->sent, 0U);
        }
        if (to_seconds(this->now.time_since_epoch()) < this->options.seconds) {
            this->after(report_period, [this] { this->take_reports(); });
        }
    }

    auto lose() -> void
    {
        for (auto& server : this->servers) {
            server->lost = server->data_centre == 0;
        }
        this->after(loss_noticed_after, [this] { this->notice_loss(); });
    }

    /// Connections to the lost servers have closed: what was there is tried again.
    auto notice_loss() -> void
    {
        for (const auto& server : this->servers) {
            for (auto& entry : this->entries) {
                if (server->lost) {
                    entry->pool.remove_server(server->id);
                }
            }
        }
        this->list_candidates();
        for (auto& state : this->jobs) {
            const auto there = this->options.how == method::central || !state.tried.empty();
            if (!state.done && there && this->servers[state.server]->lost) {
                this->route(state.item.number);
            }
        }
    }

    const shape& owner;
    const run_options& options;
    placement::server_selector place_by;
    arrivals source;
    std::mt19937_64 engine;
    common::time_point now;
    std::size_t order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::vector<job_state> jobs;
    std::vector<std::unique_ptr<fake_server>> servers;
    std::unordered_map<common::server_id, std::size_t> numbers;
    std::vector<common::version_id> version_names;
    std::vector<std::unique_ptr<entry_state>> entries;
    /// By data centre of the entry, then version.
    std::vector<std::vector<std::vector<placement::candidate>>> candidates;
    std::vector<std::uint32_t> reported;
    std::vector<std::size_t> running;
    std::vector<std::deque<std::size_t>> central;
    run_result counts;
};

} // namespace

auto run_cluster(const shape& owner, const run_options& options) -> run_result
{
    return cluster(owner, options).run();
}

} // namespace reedramp::bench
