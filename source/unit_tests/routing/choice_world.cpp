#include "choice_world.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <string>

namespace reedramp::routing::testing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tick{20};
const common::service_name engines{"engines"};
const time_point start{std::chrono::seconds{100}};
const server_health healthy{health_options{}};
const server_speed_tracker alike;

/// A request under way, by the moment of its end.
struct running {
    time_point end;
    std::size_t entry = 0;
    std::size_t server = 0;
    double work = 0.0;

    auto operator>(const running& other) const -> bool { return this->end > other.end; }
};

class world {
public:
    world(const world_shape& shape_to_use, const choice_options& options_to_use)
        : shape(shape_to_use), options(options_to_use), random(shape_to_use.seed),
          books(shape_to_use.view_age.count() == 0 ? 1 : shape_to_use.entries)
    {
        for (std::size_t i = this->shape.returning; i < this->shape.servers; ++i) {
            this->add_server(i, {});
        }
        this->free_at.resize(this->shape.servers, start);
        server_limiter_options options_of_intake;
        options_of_intake.cold_excess = cold_excess;
        options_of_intake.cold_slack = cold_slack;
        for (std::size_t i = 0; i < this->shape.entries; ++i) {
            this->intakes.emplace_back(options_of_intake, send_slot_hooks{[this, i] {
                                           return entry_rank{i, this->shape.entries};
                                       }});
        }
        for (std::size_t i = 0; i < this->books.size(); ++i) {
            this->hosts.emplace_back("entry-" + std::to_string(i));
        }
    }

    auto run(milliseconds time) -> world_result
    {
        const auto begin = start + time;
        const auto mean_work =
            this->shape.work_part * (long_work * long_share + short_work * (1.0 - long_share));
        const auto rate =
            this->shape.load * server_pace * static_cast<double>(this->shape.servers) / mean_work;
        std::exponential_distribution<double> pause(rate);
        auto next = start;
        for (auto now = start; now < begin + time; now += tick) {
            if (now == begin) {
                this->bring_back(begin);
            }
            while (next < now + tick) {
                this->end_until(next);
                this->ask(next, next >= begin);
                next += std::chrono::duration_cast<common::duration>(
                    std::chrono::duration<double>(pause(this->random)));
            }
            this->talk(now);
        }
        return this->result();
    }

private:
    auto add_server(std::size_t number, time_point cold_until) -> void
    {
        registration server;
        server.id = common::server_id{"server-" + std::to_string(number)};
        server.service = engines;
        server.data_centre = this->data_centre(number);
        server.cold_until = cold_until;
        this->table.apply({server.id, server});
        const auto* known = this->table.find(server.id);
        this->starts.resize(this->shape.servers);
        this->starts[number] = known->start();
        this->numbers[known] = number;
    }

    auto bring_back(time_point begin) -> void
    {
        constexpr std::chrono::seconds cold_time{3};
        this->came_back = begin;
        for (std::size_t i = 0; i < this->shape.returning; ++i) {
            this->add_server(i, begin + cold_time);
            this->free_at[i] = begin;
        }
    }

    [[nodiscard]] auto data_centre(std::size_t number) const -> common::data_centre_id
    {
        return common::data_centre_id{"dc-" + std::to_string(number % this->shape.data_centres)};
    }

    [[nodiscard]] auto chance() -> double
    {
        return std::uniform_real_distribution<double>{}(this->random);
    }

    auto book_of(std::size_t entry) -> load_tracker&
    {
        return this->books[entry % this->books.size()];
    }

    auto ask(time_point now, bool is_counted) -> void
    {
        const auto entry = static_cast<std::size_t>(this->random() % this->shape.entries);
        const bool is_hot = this->chance() < this->shape.hot_share;
        const auto prompt = is_hot ? 0 : 1 + this->random() % other_prompts;
        placement_request asked;
        asked.work = this->shape.work_part * (this->chance() < long_share ? long_work : short_work);
        asked.own_data_centre = this->data_centre(entry);
        if (this->shape.hot_share > 0.0) {
            asked.affinity = (prompt + 1) * 0x9e3779b97f4a7c15ULL;
            asked.saved_work = shared_work;
        }
        const auto* chosen = choose_server(
            this->table.usable(engines),
            asked,
            {this->book_of(entry),
             alike,
             healthy,
             this->shape.takes_turns ? &this->intakes[entry] : nullptr,
             this->shape.takes_turns ? cold_rate : 0.0},
            this->options,
            this->random(),
            now);
        this->intakes[entry].note_sent(*chosen, cold_rate, now);
        this->send(now, entry, this->numbers.at(chosen), asked.work, is_counted);
        this->note_prompt(prompt, this->numbers.at(chosen), is_counted);
    }

    auto send(time_point now, std::size_t entry, std::size_t server, double work, bool is_counted)
        -> void
    {
        if (server < this->shape.returning) {
            this->sends_back[server].push_back(now);
        }
        this->all_sends.push_back(now);
        auto& free = this->free_at[server];
        const auto begins = std::max(free, now);
        const auto found = std::chrono::duration<double>(begins - now).count() * server_pace;
        free = begins + std::chrono::duration_cast<common::duration>(
                            std::chrono::duration<double>(work / server_pace));
        this->under_way.push({free, entry, server, work});
        this->book_of(entry).begin(this->starts[server], work);
        if (is_counted) {
            this->found_before.push_back(found);
        }
    }

    auto note_prompt(std::uint64_t prompt, std::size_t server, bool is_counted) -> void
    {
        if (is_counted && prompt == 0) {
            this->hot_sends[server] += 1;
        }
        if (is_counted && prompt != 0) {
            const auto last = this->holder.find(prompt);
            this->other_sends += 1;
            this->other_kept += last != this->holder.end() && last->second == server ? 1 : 0;
        }
        this->holder[prompt] = server;
    }

    auto end_until(time_point now) -> void
    {
        while (!this->under_way.empty() && this->under_way.top().end <= now) {
            const auto ended = this->under_way.top();
            this->under_way.pop();
            this->book_of(ended.entry).end(this->starts[ended.server], ended.work);
        }
    }

    /// Each entry hears each other one once in twice the mean age.
    auto talk(time_point now) -> void
    {
        const auto round = static_cast<std::size_t>(2 * this->shape.view_age / tick);
        if (round == 0) {
            return;
        }
        this->end_until(now);
        this->ticks += 1;
        for (std::size_t from = 0; from < this->books.size(); ++from) {
            const auto words = this->books[from].tell();
            const auto& host = this->hosts[from];
            for (std::size_t to = 0; to < this->books.size(); ++to) {
                const auto turn = from * 31 + to * 17 + this->ticks;
                if (from != to && turn % round == 0) {
                    this->books[to].hear(host, words, now + this->shape.view_age * 6);
                }
            }
        }
    }

    auto measure_return(world_result& found) const -> void
    {
        constexpr std::chrono::seconds cold_time{3};
        for (const auto& [server, sends] : this->sends_back) {
            const auto warm = std::ranges::lower_bound(sends, this->came_back + cold_time);
            found.most_while_cold =
                std::max(found.most_while_cold, most_in_a_second({sends.begin(), warm}));
        }
        const auto part =
            static_cast<double>(this->shape.returning) / static_cast<double>(this->shape.servers);
        constexpr milliseconds window{500};
        const auto count_in = [window](const std::vector<time_point>& sends, time_point from) {
            return static_cast<double>(
                std::ranges::lower_bound(sends, from + window) -
                std::ranges::lower_bound(sends, from));
        };
        for (found.carried_after = milliseconds{0}; found.carried_after < std::chrono::seconds{10};
             found.carried_after += window) {
            const auto from = this->came_back + found.carried_after;
            double to_them = 0.0;
            for (const auto& [server, sends] : this->sends_back) {
                to_them += count_in(sends, from);
            }
            if (to_them >= part * count_in(this->all_sends, from)) {
                return;
            }
        }
    }

    auto result() -> world_result
    {
        std::ranges::sort(this->found_before);
        const auto at = [this](double part) {
            const auto count = static_cast<double>(this->found_before.size() - 1);
            return this->found_before[static_cast<std::size_t>(part * count)];
        };
        world_result found{at(0.5), at(0.99), 0, 0.0, 0, milliseconds{0}};
        std::size_t all_hot = 0;
        for (const auto& [server, sends] : this->hot_sends) {
            all_hot += sends;
        }
        for (const auto& [server, sends] : this->hot_sends) {
            found.hot_holders += sends * 100 >= all_hot ? 1 : 0;
        }
        this->measure_return(found);
        const auto others = static_cast<double>(std::max<std::size_t>(this->other_sends, 1));
        found.kept = static_cast<double>(this->other_kept) / others;
        return found;
    }

    world_shape shape;
    choice_options options;
    std::mt19937_64 random;
    server_table table;
    std::vector<load_tracker> books;
    std::vector<common::host_id> hosts;
    std::vector<time_point> free_at;
    std::vector<server_instance> starts;
    std::map<const registration*, std::size_t> numbers;
    std::priority_queue<running, std::vector<running>, std::greater<>> under_way;
    std::size_t ticks = 0;
    std::vector<double> found_before;
    std::map<std::size_t, std::size_t> hot_sends;
    std::map<std::uint64_t, std::size_t> holder;
    std::vector<server_limiter> intakes;
    time_point came_back = common::never;
    /// By server that came back, and over all.
    std::map<std::size_t, std::vector<time_point>> sends_back;
    std::vector<time_point> all_sends;
    std::size_t other_sends = 0;
    std::size_t other_kept = 0;
};

} // namespace

auto run_world(const world_shape& shape, const choice_options& options, std::chrono::seconds time)
    -> world_result
{
    return world{shape, options}.run(time);
}

} // namespace reedramp::routing::testing
