#include "answer_play.hpp"

#include <algorithm>
#include <utility>

#include "../max_count_within.hpp"

namespace reedramp::router::testing {

namespace {

constexpr milliseconds step{10};
constexpr milliseconds answers_after{100};
constexpr seconds entries_settle{3};

} // namespace

answer_play::answer_play(const answer_play_shape& wanted)
    : fleet({.entries = wanted.entries, .loss = wanted.loss, .seed = wanted.seed}),
      random(wanted.seed), shape(wanted), taken(wanted.entries, 0), processes(wanted.entries, 0)
{
    for (const auto* server : {"a", "b", "c", "d"}) {
        this->fleet.remove(server);
    }
    for (std::size_t i = 0; i < wanted.servers; ++i) {
        this->fleet.write(this->name_of(i));
    }
    this->fleet.run(entries_settle);
    this->next_request = this->now();
}

auto answer_play::name_of(std::size_t server) const -> std::string
{
    return "s-" + std::to_string(server);
}

auto answer_play::ask() -> void
{
    auto entry = this->random() % this->fleet.entries.size();
    while (this->fleet.entries[entry]->is_frozen) {
        entry = this->random() % this->fleet.entries.size();
    }
    const auto attempt = "attempt-" + std::to_string(this->callers.size());
    this->callers.push_back(
        this->fleet.entries[entry]->own.ask("/again/1", {{"Reedramp-Attempt-Id", attempt}}));
}

auto answer_play::start_anew(std::size_t entry) -> void
{
    this->fleet.start_anew(entry);
    this->taken[entry] = 0;
    this->processes[entry] += 1;
}

auto answer_play::take_new_sends() -> void
{
    for (std::size_t i = 0; i < this->fleet.entries.size(); ++i) {
        const auto& sent = this->fleet.entries[i]->own.client->sent;
        for (; this->taken[i] < sent.size(); ++this->taken[i]) {
            const auto call = sent[this->taken[i]];
            const arrival came{
                this->now(), i, call->header("Reedramp-Expect-Server"), this->processes[i]};
            this->arrivals.push_back(came);
            this->under_way.push_back({call, came, this->now() + answers_after});
        }
    }
}

auto answer_play::answer_due() -> void
{
    // An answer may lead to another send, which is taken in the next step.
    for (const auto& one : std::exchange(this->under_way, {})) {
        if (one.ends_at > this->now()) {
            this->under_way.push_back(one);
            continue;
        }
        if (!one.call->events.on_done) {
            continue; // Its caller has left it.
        }
        const auto said = this->answer ? this->answer(one.came) : server_answer{};
        this->given.push_back({this->now(), one.came, said.status});
        one.call->answer(said.status, "whole", said.headers);
    }
}

auto answer_play::run(milliseconds time) -> void
{
    const auto between = std::chrono::duration_cast<common::duration>(seconds{1}) /
                         static_cast<std::int64_t>(this->shape.per_second);
    for (const auto until = this->now() + time; this->now() < until;) {
        for (; this->next_request <= this->now(); this->next_request += between) {
            this->ask();
        }
        this->fleet.run(step);
        this->take_new_sends();
        this->answer_due();
    }
}

auto answer_play::had_answer(const arrival& one, common::time_point time) const -> bool
{
    return std::ranges::any_of(this->given, [&](const given_answer& told) {
        return told.at <= time && told.of.entry == one.entry && told.of.server == one.server &&
               told.of.process == one.process;
    });
}

auto answer_play::max_count_within(
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

auto answer_play::arrivals_at(const std::string& server, common::time_point from) const
    -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(this->arrivals, [&](const arrival& one) {
        return one.server == server && one.at >= from;
    }));
}

auto answer_play::with_status(int status) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->callers, [status](const auto& one) { return one->status() == status; }));
}

} // namespace reedramp::router::testing
