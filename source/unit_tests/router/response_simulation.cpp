#include "response_simulation.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "../max_count_within.hpp"

namespace reedramp::router::testing {

namespace {

constexpr milliseconds step{10};
constexpr milliseconds answers_after{100};
constexpr seconds entries_settle{3};

} // namespace

response_simulation::response_simulation(const response_simulation_options& initial_options)
    : fleet(
          {.entries = initial_options.entries,
           .loss = initial_options.loss,
           .seed = initial_options.seed,
           .retries = initial_options.retries}),
      random(initial_options.seed), options(initial_options), collected(initial_options.entries, 0),
      processes(initial_options.entries, 0)
{
    for (const auto* server : {"a", "b", "c", "d"}) {
        this->fleet.remove(server);
    }
    for (std::size_t i = 0; i < initial_options.servers; ++i) {
        this->fleet.write(this->server_name(i));
    }
    this->fleet.run(entries_settle);
    this->next_request = this->now();
}

auto response_simulation::server_name(std::size_t server) const -> std::string
{
    return "s-" + std::to_string(server);
}

auto response_simulation::ask() -> void
{
    this->asked_at.push_back(this->now());
    if (this->are_entries_stopped) {
        this->unread += 1;
        return;
    }
    this->deliver();
}

auto response_simulation::stop_entries() -> void
{
    this->are_entries_stopped = true;
    for (auto& one : this->fleet.entries) {
        one->is_frozen = true;
    }
}

auto response_simulation::resume_entries() -> void
{
    this->are_entries_stopped = false;
    for (auto& one : this->fleet.entries) {
        one->is_frozen = false;
    }
    // Their clocks go on first: the entries read what waited for them now.
    this->fleet.run(step);
    for (; this->unread > 0; --this->unread) {
        this->deliver();
    }
}

auto response_simulation::deliver() -> void
{
    auto entry = this->random() % this->fleet.entries.size();
    while (this->fleet.entries[entry]->is_frozen) {
        entry = this->random() % this->fleet.entries.size();
    }
    const auto attempt = "attempt-" + std::to_string(this->callers.size());
    this->callers.push_back(
        this->fleet.entries[entry]->own.ask("/again/1", {{"Reedramp-Attempt-Id", attempt}}));
}

auto response_simulation::restart(std::size_t entry) -> void
{
    this->fleet.restart(entry);
    this->collected[entry] = 0;
    this->processes[entry] += 1;
}

auto response_simulation::collect_sends() -> void
{
    for (std::size_t i = 0; i < this->fleet.entries.size(); ++i) {
        const auto& sent = this->fleet.entries[i]->own.client->sent;
        for (; this->collected[i] < sent.size(); ++this->collected[i]) {
            const auto call = sent[this->collected[i]];
            const arrival arrived{
                this->now(),
                i,
                call->header("Reedramp-Expect-Server"),
                this->processes[i],
                call->header("Reedramp-Attempt-Id")};
            this->arrivals.push_back(arrived);
            this->in_flight.push_back({call, arrived, this->now() + answers_after});
        }
    }
}

auto response_simulation::respond_due() -> void
{
    // A response may lead to another send, which is collected in the next step.
    for (const auto& one : std::exchange(this->in_flight, {})) {
        const bool is_frozen = this->fleet.entries[one.arrived.entry]->is_frozen;
        if (is_frozen || one.ends_at > this->now()) {
            this->in_flight.push_back(one);
            continue;
        }
        if (!one.call->events.on_done) {
            continue; // Its caller has disconnected.
        }
        const auto response = this->respond ? this->respond(one.arrived) : server_response{};
        this->responses.push_back({this->now(), one.arrived, response.status});
        one.call->answer(response.status, "whole", response.headers);
    }
}

auto response_simulation::run(milliseconds time) -> void
{
    const auto between = std::chrono::duration_cast<common::duration>(seconds{1}) /
                         static_cast<std::int64_t>(this->options.per_second);
    for (const auto until = this->now() + time; this->now() < until;) {
        for (; this->next_request <= this->now(); this->next_request += between) {
            this->ask();
        }
        this->fleet.run(step);
        this->collect_sends();
        this->respond_due();
    }
}

auto response_simulation::had_response(const arrival& one, common::time_point time) const -> bool
{
    return std::ranges::any_of(this->responses, [&](const received_response& response) {
        return response.at <= time && response.of.entry == one.entry &&
               response.of.server == one.server && response.of.process == one.process;
    });
}

auto response_simulation::max_count_within(
    const std::string& server,
    milliseconds window,
    common::time_point from,
    const std::function<auto(const arrival& one)->bool>& counts) const -> std::size_t
{
    std::vector<common::time_point> times;
    for (const auto& one : this->arrivals) {
        if (one.server == server && one.at >= from && (!counts || counts(one))) {
            times.push_back(one.at);
        }
    }
    return reedramp::testing::max_count_within(times, window);
}

auto response_simulation::arrivals_at(const std::string& server, common::time_point from) const
    -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(this->arrivals, [&](const arrival& one) {
        return one.server == server && one.at >= from;
    }));
}

auto response_simulation::history() const -> reedramp::testing::service_history
{
    reedramp::testing::service_history seen{this->asked_at, {}};
    std::set<std::string> arrived;
    for (const auto& one : this->arrivals) {
        if (!arrived.insert(one.attempt).second) {
            seen.repeats.push_back(one.at);
        }
    }
    return seen;
}

auto response_simulation::with_status(int status) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->callers, [status](const auto& one) { return one->status() == status; }));
}

} // namespace reedramp::router::testing
