#include "cluster.hpp"

#include <algorithm>
#include <memory>

namespace reedramp::bench {

namespace {

constexpr double report_seconds = 1.0;
constexpr double loss_noticed_seconds = 0.1;
constexpr std::size_t most_tries = 3;

enum class step : std::uint8_t {
    arrive,
    probe,
    place,
    receive,
    finish,
    check,
    report,
    lose,
    notice
};

struct event {
    common::time_point at;
    std::size_t order = 0;
    step what = step::arrive;
    std::size_t job = 0;
    std::size_t server = 0;

    auto operator>(const event& other) const -> bool
    {
        return std::pair(this->at, this->order) > std::pair(other.at, other.order);
    }
};

struct job_state {
    job item;
    std::vector<std::size_t> tried;
    std::optional<common::time_point> started;
    std::size_t server = 0;
    double run = 0.0;
    bool done = false;
    bool asked_more = false;
};

/// What one entry knows; no field holds a truth.
struct entry_state {
    explicit entry_state(const run_options& options) : pool(options.pool), budget({}) {}

    placement::probe_pool pool;
    placement::retry_budget budget;
    std::vector<std::size_t> next_in_turn;
    /// Requests sent to each server since its last report.
    std::vector<std::uint32_t> sent;
};

class cluster {
public:
    cluster(const shape& whose, const run_options& wanted)
        : owner(whose), options(wanted), place_by(wanted.chooser),
          source(whose, wanted.load, wanted.time_left, wanted.seed), random(wanted.seed * 7919 + 1)
    {
        this->make_servers();
        for (std::size_t entry = 0; entry < whose.entries; ++entry) {
            this->entries.push_back(std::make_unique<entry_state>(wanted));
            this->entries.back()->next_in_turn.resize(whose.replicas.size(), entry);
            this->entries.back()->sent.resize(this->servers.size());
        }
        this->list_candidates();
        this->central.resize(whose.replicas.size());
        this->counts.useful_seconds.resize(whose.organisations);
        this->counts.offered_seconds.resize(whose.organisations);
    }

    auto run() -> run_result
    {
        this->schedule_arrival();
        this->schedule(common::time_point(to_duration(report_seconds)), step::report, 0, 0);
        if (this->options.lose_data_centre) {
            const auto at = common::time_point(to_duration(this->options.seconds / 2.0));
            this->schedule(at, step::lose, 0, 0);
            this->schedule(at + to_duration(loss_noticed_seconds), step::notice, 0, 0);
        }
        while (!this->events.empty()) {
            const auto next = this->events.top();
            this->events.pop();
            this->now = next.at;
            this->handle(next);
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
            this->by_version.emplace_back();
            for (std::size_t replica = 0; replica < this->owner.replicas[version]; ++replica) {
                const auto number = this->servers.size();
                auto made = std::make_unique<fake_server>(this->owner, settings);
                made->id = common::server_id("server-" + std::to_string(number));
                made->version = version;
                made->data_centre = replica % this->owner.data_centres;
                this->by_version.back().push_back(number);
                this->numbers.emplace(made->id, number);
                this->servers.push_back(std::move(made));
            }
        }
        this->servers.front()->slowness = this->options.slowness;
        this->reported.resize(this->servers.size());
        this->listed.resize(this->servers.size(), true);
        this->running.resize(this->servers.size());
    }

    auto list_candidates() -> void
    {
        this->candidates.assign(
            this->owner.data_centres,
            std::vector<std::vector<placement::candidate>>(this->owner.replicas.size()));
        for (std::size_t from = 0; from < this->owner.data_centres; ++from) {
            for (std::size_t number = 0; number < this->servers.size(); ++number) {
                const auto& server = *this->servers[number];
                if (this->listed[number]) {
                    const auto away = server.data_centre == from
                                          ? placement::distance::same_data_centre
                                          : placement::distance::same_region;
                    this->candidates[from][server.version].push_back(
                        placement::make_candidate(server.id, away));
                }
            }
        }
    }

    auto schedule(common::time_point at, step what, std::size_t job, std::size_t server) -> void
    {
        this->events.push({at, this->order++, what, job, server});
    }

    auto schedule_arrival() -> void
    {
        auto item = this->source.next();
        if (to_seconds(item.arrival.time_since_epoch()) < this->options.seconds) {
            this->schedule(item.arrival, step::arrive, item.number, 0);
            this->jobs.push_back({item, {}, {}, 0, 0.0, false, false});
        }
    }

    [[nodiscard]] auto trip(const job& item, std::size_t server) const -> common::duration
    {
        const auto from = item.entry % this->owner.data_centres;
        return this->servers[server]->data_centre == from ? this->owner.near_trip
                                                          : this->owner.far_trip;
    }

    [[nodiscard]] auto counted(const job& item) const -> bool
    {
        return to_seconds(item.arrival.time_since_epoch()) >= this->options.warm_up;
    }

    auto handle(const event& next) -> void
    {
        switch (next.what) {
        case step::arrive:
            this->schedule_arrival();
            this->count_offer(this->jobs[next.job].item);
            this->route(next.job);
            break;
        case step::probe:
            this->answer_probe(next.job, next.server);
            break;
        case step::place:
            this->place(next.job);
            break;
        case step::receive:
            this->receive(next.job, next.server);
            break;
        case step::finish:
            this->finish(next.job, next.server);
            break;
        case step::check:
            this->pump(next.server);
            break;
        case step::report:
            this->take_reports();
            break;
        case step::lose:
            for (auto& server : this->servers) {
                server->lost = server->lost || server->data_centre == 0;
            }
            break;
        case step::notice:
            this->notice_loss();
            break;
        }
    }

    auto count_offer(const job& item) -> void
    {
        if (this->counted(item)) {
            ++this->counts.offered;
            this->counts.offered_seconds[item.organisation] +=
                item.prompt / prefill_rate + item.truth.completion / decode_rate;
        }
    }

    auto place_request(const job_state& state) const -> placement::place_request
    {
        placement::place_request made;
        made.version = this->version_names[state.item.version];
        if (this->options.use_prefix) {
            const auto name =
                std::to_string(state.item.version) + "/" + std::to_string(state.item.prefix);
            made.prefix_hash = placement::affinity_hash(name);
        }
        for (const auto server : state.tried) {
            made.excluded.push_back(this->servers[server]->id);
        }
        return made;
    }

    auto candidates_for(const job& item) const -> const std::vector<placement::candidate>&
    {
        return this->candidates[item.entry % this->owner.data_centres][item.version];
    }

    auto route(std::size_t number) -> void
    {
        auto& state = this->jobs[number];
        const auto& item = state.item;
        const auto& known = this->candidates_for(item);
        auto& entry = *this->entries[item.entry];
        if (this->options.how == method::central) {
            this->central[item.version].push_back(number);
            this->serve_central(item.version);
            return;
        }
        if (known.empty()) {
            this->refuse(number);
            return;
        }
        const auto hook = [this] {
            return this->random();
        };
        switch (this->options.how) {
        case method::random:
            this->send(number, this->numbers.at(known[this->random() % known.size()].server));
            return;
        case method::round_robin: {
            auto& turn = entry.next_in_turn[item.version];
            this->send(number, this->numbers.at(known[turn++ % known.size()].server));
            return;
        }
        case method::least_requests:
            this->send(number, this->least_requested(entry, known));
            return;
        case method::prefix_only: {
            const auto hash = this->place_request(state).prefix_hash;
            this->send(number, this->numbers.at(known[*placement::preferred(known, hash)].server));
            return;
        }
        case method::probing:
        case method::central:
            break;
        }
        this->ask(
            number,
            this->place_by.plan(this->place_request(state), known, entry.pool, this->now, hook));
    }

    auto ask(std::size_t number, const placement::probe_plan& plan) -> void
    {
        const auto& item = this->jobs[number].item;
        auto place_at = this->now;
        for (const auto index : plan.ask) {
            const auto server = this->numbers.at(this->candidates_for(item)[index].server);
            const auto away = this->trip(item, server);
            this->counts.probes += this->counted(item) ? 1 : 0;
            this->schedule(this->now + away, step::probe, number, server);
            place_at = std::max(place_at, this->now + 2 * away);
        }
        this->schedule(std::min(place_at, plan.place_at), step::place, number, 0);
    }

    auto least_requested(entry_state& entry, const std::vector<placement::candidate>& known)
        -> std::size_t
    {
        auto best = this->numbers.at(known.front().server);
        const auto first = this->random() % known.size();
        std::uint32_t least = UINT32_MAX;
        for (std::size_t offset = 0; offset < known.size(); ++offset) {
            const auto& item = known[(first + offset) % known.size()];
            const auto server = this->numbers.at(item.server);
            const auto load = this->reported[server] + entry.sent[server];
            if (load < least) {
                least = load;
                best = server;
            }
        }
        ++entry.sent[best];
        return best;
    }

    auto answer_probe(std::size_t number, std::size_t server) -> void
    {
        const auto& item = this->jobs[number].item;
        if (this->servers[server]->lost) {
            return;
        }
        const auto from = item.entry % this->owner.data_centres;
        const auto away = this->servers[server]->data_centre == from
                              ? placement::distance::same_data_centre
                              : placement::distance::same_region;
        // The answer is taken in here, not a trip later: it is used when all have arrived.
        this->entries[item.entry]->pool.add(
            this->version_names[item.version], this->servers[server]->answer(), away, this->now);
    }

    auto place(std::size_t number) -> void
    {
        auto& state = this->jobs[number];
        const auto hook = [this] {
            return this->random();
        };
        const auto request = this->place_request(state);
        const auto& known = this->candidates_for(state.item);
        auto& pool = this->entries[state.item.entry]->pool;
        if (!state.asked_more) {
            const auto more = this->place_by.plan_more(request, known, pool, this->now, hook);
            state.asked_more = true;
            if (!more.ask.empty()) {
                this->ask(number, more);
                return;
            }
        }
        const auto placed = this->place_by.place(request, known, pool, this->now, hook);
        if (!placed) {
            this->refuse(number);
            return;
        }
        this->send(number, this->numbers.at(placed->server));
    }

    auto send(std::size_t number, std::size_t server) -> void
    {
        auto& state = this->jobs[number];
        if (state.tried.empty()) {
            this->entries[state.item.entry]->budget.note_first_try();
        }
        state.tried.push_back(server);
        state.server = server;
        this->schedule(this->now + this->trip(state.item, server), step::receive, number, server);
    }

    auto receive(std::size_t number, std::size_t server) -> void
    {
        auto& target = *this->servers[server];
        if (target.lost) {
            this->stranded.push_back(number);
            return;
        }
        if (!target.queue.push(target.ask_for(this->jobs[number].item), this->now)) {
            this->try_again(number);
            return;
        }
        this->pump(server);
    }

    auto try_again(std::size_t number) -> void
    {
        auto& state = this->jobs[number];
        const auto& known = this->candidates_for(state.item);
        const auto more = state.tried.size() < std::min(most_tries, known.size());
        if (more && this->entries[state.item.entry]->budget.take_retry()) {
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
        for (const auto& late : target.queue.take_hopeless(this->now)) {
            this->try_again(late.key.request.low);
        }
        while (const auto next = target.queue.pop(this->now)) {
            this->start(next->key.request.low, server);
        }
        if (target.queue.next_check() != common::never) {
            this->schedule(target.queue.next_check(), step::check, 0, server);
        }
    }

    auto start(std::size_t number, std::size_t server) -> void
    {
        auto& state = this->jobs[number];
        bool hit = false;
        state.run = this->servers[server]->run_seconds(state.item, hit);
        state.started = this->now;
        state.server = server;
        ++this->running[server];
        this->schedule(this->now + to_duration(state.run), step::finish, number, server);
        if (this->counted(state.item)) {
            const auto wait = to_seconds(this->now - state.item.arrival);
            this->counts.waits.push_back(wait);
            this->counts.hits += hit ? 1 : 0;
            const auto mean = this->owner.mean_seconds();
            if (state.item.prompt / prefill_rate > this->owner.prompt_tokens / prefill_rate * 3.0 &&
                mean > 0.0) {
                this->counts.large_waits.push_back(wait);
            }
        }
    }

    auto finish(std::size_t number, std::size_t server) -> void
    {
        auto& state = this->jobs[number];
        if (this->servers[server]->lost) {
            return;
        }
        --this->running[server];
        state.done = true;
        if (this->counted(state.item)) {
            this->count_answer(state);
        }
        if (this->options.how == method::central) {
            this->serve_central(state.item.version);
            return;
        }
        const auto cost =
            state.item.prompt * decode_rate / prefill_rate + state.item.truth.completion;
        this->servers[server]->queue.finish(
            {{1, number}, {}, {}},
            common::token_count(static_cast<std::uint64_t>(std::max(1.0, cost))),
            this->now);
        this->pump(server);
    }

    auto count_answer(const job_state& state) -> void
    {
        this->counts.latencies.push_back(to_seconds(this->now - state.item.arrival));
        if (this->now > state.item.deadline) {
            ++this->counts.late;
            return;
        }
        ++this->counts.in_time;
        this->counts.useful_seconds[state.item.organisation] += state.run;
    }

    /// The fastest server with a free slot takes the oldest request.
    auto serve_central(std::size_t version) -> void
    {
        auto& queue = this->central[version];
        while (!queue.empty()) {
            std::optional<std::size_t> best;
            for (const auto server : this->by_version[version]) {
                const auto& item = *this->servers[server];
                const auto free = !item.lost && this->running[server] < this->owner.slots;
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
            this->schedule(this->now + to_duration(report_seconds), step::report, 0, 0);
        }
    }

    /// Connections to the lost servers have closed: what ran there is tried again.
    auto notice_loss() -> void
    {
        for (std::size_t server = 0; server < this->servers.size(); ++server) {
            if (this->servers[server]->lost) {
                this->listed[server] = false;
                for (auto& entry : this->entries) {
                    entry->pool.forget(this->servers[server]->id);
                }
            }
        }
        this->list_candidates();
        for (auto& state : this->jobs) {
            const auto there = state.started || !state.tried.empty();
            if (!state.done && there && this->servers[state.server]->lost) {
                state.started.reset();
                this->route(state.item.number);
            }
        }
    }

    const shape& owner;
    const run_options& options;
    placement::chooser place_by;
    arrivals source;
    std::mt19937_64 random;
    common::time_point now;
    std::size_t order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::vector<job_state> jobs;
    std::vector<std::unique_ptr<fake_server>> servers;
    std::unordered_map<common::server_id, std::size_t> numbers;
    std::vector<std::vector<std::size_t>> by_version;
    std::vector<common::version_id> version_names;
    std::vector<std::unique_ptr<entry_state>> entries;
    /// By data centre of the entry, then version.
    std::vector<std::vector<std::vector<placement::candidate>>> candidates;
    std::vector<std::uint32_t> reported;
    std::vector<bool> listed;
    std::vector<std::size_t> running;
    std::vector<std::deque<std::size_t>> central;
    std::vector<std::size_t> stranded;
    run_result counts;
};

} // namespace

auto run_cluster(const shape& owner, const run_options& options) -> run_result
{
    return cluster(owner, options).run();
}

} // namespace reedramp::bench
