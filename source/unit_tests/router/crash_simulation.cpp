#include "crash_simulation.hpp"

#include <algorithm>
#include <utility>

namespace reedramp::router::testing {

namespace {

constexpr milliseconds step{10};
/// Time from the arrival of a request until the server that it crashes is gone.
constexpr milliseconds crash_delay{60};
constexpr milliseconds shortest_answer{100};
constexpr std::int64_t max_extra_answer_ms = 900;
/// A crashed server's registration lapses at the store, and a replacement starts.
constexpr milliseconds registration_lapses{3600};
constexpr milliseconds restarts_after{3000};
constexpr seconds entries_settle{3};

constexpr std::string_view crash_mark = "ends servers: ";
constexpr std::string_view parts_header = "Reedramp-Prompt-Parts";

} // namespace

crash_simulation::crash_simulation(const crash_simulation_options& initial_options)
    : fleet(
          {.entries = initial_options.entries,
           .loss = initial_options.loss,
           .seed = initial_options.seed}),
      random(initial_options.seed), options(initial_options), collected(initial_options.entries, 0)
{
    this->fleet.listens = [this](const common::server_id& server) {
        return this->alive.contains(server.value());
    };
    for (const auto* server : {"a", "b", "c", "d"}) {
        this->fleet.remove(server);
    }
    for (std::size_t i = 0; i < initial_options.servers; ++i) {
        this->started += 1;
        this->start_server("s-" + std::to_string(this->started));
    }
    this->fleet.run(entries_settle);
}

auto crash_simulation::crashing_body(const std::string& name) -> std::string
{
    return std::string{crash_mark} + name;
}

auto crash_simulation::now() const -> common::time_point
{
    return this->fleet.now;
}

auto crash_simulation::start_server(const std::string& id) -> void
{
    this->alive.insert(id);
    const auto started_at =
        this->options.restarts_under_id ? this->now().time_since_epoch().count() : 0;
    this->fleet.write(id, false, static_cast<std::uint64_t>(started_at));
}

auto crash_simulation::ask(std::size_t entry, const std::string& body, const request_options& how)
    -> std::shared_ptr<caller>
{
    this->attempts += 1;
    const auto attempt = "attempt-" + std::to_string(this->attempts);
    std::vector<http::header> headers{
        {"Reedramp-Attempt-Id", attempt}, {"Reedramp-Model", "s"}, {"Reedramp-Key", how.key}};
    for (const auto& item : how.headers) {
        std::erase_if(headers, [&item](const auto& own) { return own.name == item.name; });
        headers.push_back(item);
    }
    const auto parts = http::find_header(headers, parts_header).value_or("");
    const auto cause = this->cause_in(body, parts);
    auto out = this->fleet.entries[entry]->own.ask(how.path, std::move(headers), body);
    this->requests.push_back({this->now(), entry, attempt, body, cause, out});
    return out;
}

auto crash_simulation::cause_in(const std::string& body, std::string_view parts) const
    -> std::string
{
    if (body.starts_with(crash_mark)) {
        return body;
    }
    const auto found = std::ranges::find_if(this->crashing_parts, [parts](const auto& part) {
        return parts.find(part + ":") != std::string_view::npos;
    });
    return found == this->crashing_parts.end() ? std::string{} : *found;
}

auto crash_simulation::ask_random_entry(const std::string& body, const request_options& how)
    -> std::shared_ptr<caller>
{
    auto& entries = this->fleet.entries;
    auto entry = this->random() % entries.size();
    while (entries[entry]->is_dead || entries[entry]->is_frozen) {
        entry = this->random() % entries.size();
    }
    return this->ask(entry, body, how);
}

auto crash_simulation::collect_sends() -> void
{
    for (std::size_t i = 0; i < this->fleet.entries.size(); ++i) {
        const auto& sent = this->fleet.entries[i]->own.client->sent;
        for (; this->collected[i] < sent.size(); ++this->collected[i]) {
            const auto call = sent[this->collected[i]];
            const auto server = call->header("Reedramp-Expect-Server");
            const auto& body = call->request.body;
            const auto cause = this->cause_in(body, call->header(parts_header));
            this->sends.push_back(
                {this->now(), i, server, call->header("Reedramp-Attempt-Id"), body, cause});
            const milliseconds extra{
                static_cast<std::int64_t>(this->random() % max_extra_answer_ms)};
            this->in_flight.push_back(
                {call,
                 server,
                 cause,
                 this->now() + (cause.empty() ? shortest_answer + extra : crash_delay)});
        }
    }
}

auto crash_simulation::crash_now(const std::string& server) -> void
{
    if (this->alive.erase(server) == 0) {
        return;
    }
    if (!this->options.restarts_under_id) {
        this->to_remove.emplace(this->now() + registration_lapses, server);
    }
    this->to_start.emplace(this->now() + restarts_after, server);
    // Each loss may lead to another send, which is collected in the next step.
    for (const auto& one : std::exchange(this->in_flight, {})) {
        if (one.server != server) {
            this->in_flight.push_back(one);
        }
        else if (one.call->events.on_done) {
            one.call->lose(common::execution::unknown);
        }
    }
}

auto crash_simulation::restart(std::size_t entry) -> void
{
    this->fleet.restart(entry);
    this->collected[entry] = 0;
}

auto crash_simulation::crash(const std::string& server) -> void
{
    this->crash_now(server);
}

auto crash_simulation::respond_due() -> void
{
    std::vector<pending_call> due;
    std::erase_if(this->in_flight, [this, &due](const pending_call& one) {
        const bool is_refused = !this->alive.contains(one.server);
        const bool is_due = is_refused || one.ends_at <= this->now();
        if (is_due) {
            due.push_back(one);
        }
        return is_due;
    });
    for (const auto& one : due) {
        if (!one.call->events.on_done) {
            continue; // Its caller has disconnected or its entry has ended.
        }
        if (!this->alive.contains(one.server)) {
            one.call->lose(common::execution::not_run);
        }
        else if (!one.cause.empty()) {
            one.call->head(200);
            this->crashes_by_cause[one.cause].push_back(this->now());
            this->in_flight.push_back(one);
            this->crash_now(one.server);
        }
        else {
            one.call->answer(200, "id: 0\ndata: 0\n\n");
        }
    }
}

auto crash_simulation::replace_due() -> void
{
    while (!this->to_remove.empty() && this->to_remove.begin()->first <= this->now()) {
        this->fleet.remove(this->to_remove.begin()->second);
        this->to_remove.erase(this->to_remove.begin());
    }
    while (!this->to_start.empty() && this->to_start.begin()->first <= this->now()) {
        const auto ended = this->to_start.begin()->second;
        this->to_start.erase(this->to_start.begin());
        this->started += 1;
        this->start_server(
            this->options.restarts_under_id ? ended : "s-" + std::to_string(this->started));
    }
}

auto crash_simulation::run(milliseconds time) -> void
{
    for (const auto until = this->now() + time; this->now() < until;) {
        this->fleet.run(step);
        this->collect_sends();
        this->respond_due();
        this->replace_due();
        this->note_barred();
    }
}

auto crash_simulation::note_barred() -> void
{
    for (const auto& [body, crashes] : this->crashes_by_cause) {
        const bool is_known = std::ranges::all_of(this->fleet.entries, [&body](const auto& one) {
            const auto fingerprint =
                routing::fingerprint_of({"org", "POST", "h", "/stream/1", body});
            return one->is_dead || one->is_frozen || one->own.core->crashes.is_barred(fingerprint);
        });
        if (is_known) {
            this->barred_at.try_emplace(body, this->now());
        }
    }
}

auto crash_simulation::barred_everywhere_at(const std::string& body) const -> common::time_point
{
    const auto found = this->barred_at.find(body);
    return found == this->barred_at.end() ? common::never : found->second;
}

auto crash_simulation::third_crash(const std::string& body) const -> common::time_point
{
    constexpr std::size_t third = 3;
    return this->crash_number(third, body);
}

auto crash_simulation::crash_number(std::size_t number, const std::string& cause) const
    -> common::time_point
{
    const auto found = this->crashes_by_cause.find(cause);
    const bool has_so_many =
        found != this->crashes_by_cause.end() && found->second.size() >= number;
    return has_so_many ? found->second[number - 1] : common::never;
}

auto crash_simulation::crashes_of(const std::string& cause) const -> std::size_t
{
    const auto found = this->crashes_by_cause.find(cause);
    return found == this->crashes_by_cause.end() ? 0 : found->second.size();
}

auto crash_simulation::arrivals_after(const std::string& cause, common::time_point time) const
    -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->sends, [&cause, time](const simulated_send& one) {
            return one.cause == cause && one.at > time;
        }));
}

auto crash_simulation::refused(bool crashing) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->requests, [crashing](const simulated_request& one) {
            return !one.cause.empty() == crashing && one.out->answer &&
                   one.out->answer->body.find("ends_servers") != std::string::npos;
        }));
}

auto crash_simulation::live_servers() const -> std::vector<std::string>
{
    return {this->alive.begin(), this->alive.end()};
}

auto independent_faults() -> std::vector<crash_fault>
{
    return {
        {"rack",
         [](crash_simulation& simulation, int round) {
             const auto live_servers = simulation.live_servers();
             for (std::size_t i = 0; round % 8 == 0 && i < live_servers.size() / 3; ++i) {
                 simulation.crash(live_servers[i]);
             }
         }},
        {"one_by_one",
         [](crash_simulation& simulation, int) {
             const auto live_servers = simulation.live_servers();
             if (!live_servers.empty()) {
                 simulation.crash(live_servers.front());
             }
         }},
        // The same server again and again; it has restarted two rounds later.
        {"one_again",
         [](crash_simulation& simulation, int round) {
             if (round % 2 == 0) {
                 simulation.crash("s-1");
             }
         }},
        // A bad version runs on a quarter of the servers, one of which crashes twice per second.
        {"bad_version", [](crash_simulation& simulation, int) {
             const auto live_servers = simulation.live_servers();
             if (!live_servers.empty()) {
                 simulation.crash(
                     live_servers[simulation.random() % (live_servers.size() / 4 + 1)]);
             }
         }}};
}

} // namespace reedramp::router::testing
