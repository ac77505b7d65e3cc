#include "crash_play.hpp"

#include <algorithm>
#include <utility>

namespace reedramp::router::testing {

namespace {

constexpr milliseconds step{10};
/// From a request's arrival until the server that it ends is gone.
constexpr milliseconds ends_after{60};
constexpr milliseconds shortest_answer{100};
constexpr std::int64_t longest_more_ms = 900;
/// A server that ended is missed by the store, and another one starts.
constexpr milliseconds registration_lapses{3600};
constexpr milliseconds restarts_after{3000};
constexpr seconds entries_settle{3};

constexpr std::string_view ending_mark = "ends servers: ";

} // namespace

crash_play::crash_play(const crash_play_shape& wanted)
    : fleet({.entries = wanted.entries, .loss = wanted.loss, .seed = wanted.seed}),
      random(wanted.seed), shape(wanted), taken(wanted.entries, 0)
{
    this->fleet.listens = [this](const common::server_id& server) {
        return this->alive.contains(server.value());
    };
    for (const auto* server : {"a", "b", "c", "d"}) {
        this->fleet.remove(server);
    }
    for (std::size_t i = 0; i < wanted.servers; ++i) {
        this->started += 1;
        this->start_server("s-" + std::to_string(this->started));
    }
    this->fleet.run(entries_settle);
}

auto crash_play::ending(const std::string& name) -> std::string
{
    return std::string{ending_mark} + name;
}

auto crash_play::now() const -> common::time_point
{
    return this->fleet.now;
}

auto crash_play::start_server(const std::string& id) -> void
{
    this->alive.insert(id);
    const auto started_at =
        this->shape.returns_under_id ? this->now().time_since_epoch().count() : 0;
    this->fleet.write(id, false, static_cast<std::uint64_t>(started_at));
}

auto crash_play::ask(std::size_t entry, const std::string& body, const asked_by& how)
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
    auto out = this->fleet.entries[entry]->own.ask(how.path, std::move(headers), body);
    this->asked.push_back({entry, attempt, body, out});
    return out;
}

auto crash_play::ask_anywhere(const std::string& body, const asked_by& how)
    -> std::shared_ptr<caller>
{
    auto& entries = this->fleet.entries;
    auto entry = this->random() % entries.size();
    while (entries[entry]->is_dead || entries[entry]->is_frozen) {
        entry = this->random() % entries.size();
    }
    return this->ask(entry, body, how);
}

auto crash_play::take_new_sends() -> void
{
    for (std::size_t i = 0; i < this->fleet.entries.size(); ++i) {
        const auto& sent = this->fleet.entries[i]->own.client->sent;
        for (; this->taken[i] < sent.size(); ++this->taken[i]) {
            const auto call = sent[this->taken[i]];
            const auto server = call->header("Reedramp-Expect-Server");
            this->sends.push_back(
                {this->now(), i, server, call->header("Reedramp-Attempt-Id"), call->asked.body});
            const bool ends = call->asked.body.starts_with(ending_mark);
            const milliseconds more{static_cast<std::int64_t>(this->random() % longest_more_ms)};
            this->under_way.push_back(
                {call,
                 server,
                 call->asked.body,
                 this->now() + (ends ? ends_after : shortest_answer + more)});
        }
    }
}

auto crash_play::end_server(const std::string& server) -> void
{
    if (this->alive.erase(server) == 0) {
        return;
    }
    if (!this->shape.returns_under_id) {
        this->to_remove.emplace(this->now() + registration_lapses, server);
    }
    this->to_start.emplace(this->now() + restarts_after, server);
    // Each loss may lead to another send, which is taken in the next step.
    for (const auto& one : std::exchange(this->under_way, {})) {
        if (one.server != server) {
            this->under_way.push_back(one);
        }
        else if (one.call->events.on_done) {
            one.call->lose(common::execution::unknown);
        }
    }
}

auto crash_play::start_anew(std::size_t entry) -> void
{
    this->fleet.start_anew(entry);
    this->taken[entry] = 0;
}

auto crash_play::crash(const std::string& server) -> void
{
    this->end_server(server);
}

auto crash_play::answer_due() -> void
{
    std::vector<begun> due;
    std::erase_if(this->under_way, [this, &due](const begun& one) {
        const bool is_refused = !this->alive.contains(one.server);
        const bool is_due = is_refused || one.ends_at <= this->now();
        if (is_due) {
            due.push_back(one);
        }
        return is_due;
    });
    for (const auto& one : due) {
        if (!one.call->events.on_done) {
            continue; // Its caller or its entry has left it.
        }
        if (!this->alive.contains(one.server)) {
            one.call->lose(common::execution::not_run);
        }
        else if (one.body.starts_with(ending_mark)) {
            one.call->head(200);
            this->ends_of[one.body].push_back(this->now());
            this->under_way.push_back(one);
            this->end_server(one.server);
        }
        else {
            one.call->answer(200, "id: 0\ndata: 0\n\n");
        }
    }
}

auto crash_play::replace_due() -> void
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
            this->shape.returns_under_id ? ended : "s-" + std::to_string(this->started));
    }
}

auto crash_play::run(milliseconds time) -> void
{
    for (const auto until = this->now() + time; this->now() < until;) {
        this->fleet.run(step);
        this->take_new_sends();
        this->answer_due();
        this->replace_due();
        this->note_known();
    }
}

auto crash_play::note_known() -> void
{
    for (const auto& [body, ends] : this->ends_of) {
        const bool is_known = std::ranges::all_of(this->fleet.entries, [&body](const auto& one) {
            const auto fingerprint =
                routing::fingerprint_of({"org", "POST", "h", "/stream/1", body});
            return one->is_dead || one->is_frozen || one->own.core->crashes.is_barred(fingerprint);
        });
        if (is_known) {
            this->known_at.try_emplace(body, this->now());
        }
    }
}

auto crash_play::known_to_all(const std::string& body) const -> common::time_point
{
    const auto found = this->known_at.find(body);
    return found == this->known_at.end() ? common::never : found->second;
}

auto crash_play::third_end(const std::string& body) const -> common::time_point
{
    constexpr std::size_t third = 2;
    const auto found = this->ends_of.find(body);
    const bool has_three = found != this->ends_of.end() && found->second.size() > third;
    return has_three ? found->second[third] : common::never;
}

auto crash_play::arrivals_after(const std::string& body, common::time_point time) const
    -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->sends, [&body, time](const played_send& one) {
            return one.body == body && one.at > time;
        }));
}

auto crash_play::living() const -> std::vector<std::string>
{
    return {this->alive.begin(), this->alive.end()};
}

} // namespace reedramp::router::testing
