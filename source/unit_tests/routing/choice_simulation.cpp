#include "choice_simulation.hpp"

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

/// A request in flight, ordered by its end.
struct running {
    time_point end;
    std::size_t entry = 0;
    std::size_t server = 0;
    double work = 0.0;

    auto operator>(const running& other) const -> bool { return this->end > other.end; }
};

class simulation {
public:
    simulation(const simulation_shape& shape_to_use, const choice_options& options_to_use)
        : shape(shape_to_use), options(options_to_use), random(shape_to_use.seed),
          trackers(shape_to_use.view_age.count() == 0 ? 1 : shape_to_use.entries)
    {
        for (std::size_t i = this->shape.returning; i < this->shape.servers; ++i) {
            this->add_server(i, {});
        }
        this->free_at.resize(this->shape.servers, start);
        server_limiter_options limiter_options;
        limiter_options.cold_excess = cold_excess;
        limiter_options.cold_slack = cold_slack;
        for (std::size_t i = 0; i < this->shape.entries; ++i) {
            this->limiters.emplace_back(limiter_options, send_slot_hooks{[this, i] {
                                            return entry_rank{i, this->shape.entries};
                                        }});
        }
        for (std::size_t i = 0; i < this->trackers.size(); ++i) {
            this->hosts.emplace_back("entry-" + std::to_string(i));
        }
    }

    auto run(milliseconds time) -> simulation_result
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
                this->return_servers(begin);
            }
            while (next < now + tick) {
                this->end_until(next);
                this->handle_request(next, next >= begin);
                next += std::chrono::duration_cast<common::duration>(
                    std::chrono::duration<double>(pause(this->random)));
            }
            this->exchange_reports(now);
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
        this->starts[number] = known->instance();
        this->numbers[known] = number;
    }

    auto return_servers(time_point begin) -> void
    {
        constexpr std::chrono::seconds cold_time{3};
        this->returned_at = begin;
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

    auto loads_of(std::size_t entry) -> load_tracker&
    {
        return this->trackers[entry % this->trackers.size()];
    }

    auto handle_request(time_point now, bool is_counted) -> void
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
            {this->loads_of(entry),
             alike,
             healthy,
             this->shape.uses_send_slots ? &this->limiters[entry] : nullptr,
             this->shape.uses_send_slots ? cold_rate : 0.0},
            this->options,
            this->random(),
            now);
        this->limiters[entry].note_sent(*chosen, cold_rate, now);
        this->send(now, entry, this->numbers.at(chosen), asked.work, is_counted);
        this->note_prompt(prompt, this->numbers.at(chosen), is_counted);
    }

    auto send(time_point now, std::size_t entry, std::size_t server, double work, bool is_counted)
        -> void
    {
        if (server < this->shape.returning) {
            this->sends_to_returned[server].push_back(now);
        }
        this->all_sends.push_back(now);
        auto& free = this->free_at[server];
        const auto starts_at = std::max(free, now);
        const auto found = std::chrono::duration<double>(starts_at - now).count() * server_pace;
        free = starts_at + std::chrono::duration_cast<common::duration>(
                               std::chrono::duration<double>(work / server_pace));
        this->in_flight.push({free, entry, server, work});
        this->loads_of(entry).begin(this->starts[server], work);
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
        while (!this->in_flight.empty() && this->in_flight.top().end <= now) {
            const auto ended = this->in_flight.top();
            this->in_flight.pop();
            this->loads_of(ended.entry).end(this->starts[ended.server], ended.work);
        }
    }

    /// Each entry receives each other entry's report once per twice the mean age.
    auto exchange_reports(time_point now) -> void
    {
        const auto round = static_cast<std::size_t>(2 * this->shape.view_age / tick);
        if (round == 0) {
            return;
        }
        this->end_until(now);
        this->ticks += 1;
        for (std::size_t from = 0; from < this->trackers.size(); ++from) {
            const auto reports = this->trackers[from].make_reports();
            const auto& host = this->hosts[from];
            for (std::size_t to = 0; to < this->trackers.size(); ++to) {
                const auto offset = from * 31 + to * 17 + this->ticks;
                if (from != to && offset % round == 0) {
                    this->trackers[to].apply_reports(host, reports, now + this->shape.view_age * 6);
                }
            }
        }
    }

    auto measure_return(simulation_result& found) const -> void
    {
        constexpr std::chrono::seconds cold_time{3};
        for (const auto& [server, sends] : this->sends_to_returned) {
            const auto warm = std::ranges::lower_bound(sends, this->returned_at + cold_time);
            found.max_while_cold =
                std::max(found.max_while_cold, max_per_second({sends.begin(), warm}));
        }
        const auto part =
            static_cast<double>(this->shape.returning) / static_cast<double>(this->shape.servers);
        constexpr milliseconds window{500};
        const auto count_in = [window](const std::vector<time_point>& sends, time_point from) {
            return static_cast<double>(
                std::ranges::lower_bound(sends, from + window) -
                std::ranges::lower_bound(sends, from));
        };
        for (found.recovery_time = milliseconds{0}; found.recovery_time < std::chrono::seconds{10};
             found.recovery_time += window) {
            const auto from = this->returned_at + found.recovery_time;
            double to_them = 0.0;
            for (const auto& [server, sends] : this->sends_to_returned) {
                to_them += count_in(sends, from);
            }
            if (to_them >= part * count_in(this->all_sends, from)) {
                return;
            }
        }
    }

    auto result() -> simulation_result
    {
        std::ranges::sort(this->found_before);
        const auto at = [this](double part) {
            const auto count = static_cast<double>(this->found_before.size() - 1);
            return this->found_before[static_cast<std::size_t>(part * count)];
        };
        simulation_result found{at(0.5), at(0.99), 0, 0.0, 0, milliseconds{0}};
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

    simulation_shape shape;
    choice_options options;
    std::mt19937_64 random;
    server_table table;
    std::vector<load_tracker> trackers;
    std::vector<common::host_id> hosts;
    std::vector<time_point> free_at;
    std::vector<server_instance> starts;
    std::map<const registration*, std::size_t> numbers;
    std::priority_queue<running, std::vector<running>, std::greater<>> in_flight;
    std::size_t ticks = 0;
    std::vector<double> found_before;
    std::map<std::size_t, std::size_t> hot_sends;
    std::map<std::uint64_t, std::size_t> holder;
    std::vector<server_limiter> limiters;
    time_point returned_at = common::never;
    /// Sends by returned server, and over all servers.
    std::map<std::size_t, std::vector<time_point>> sends_to_returned;
    std::vector<time_point> all_sends;
    std::size_t other_sends = 0;
    std::size_t other_kept = 0;
};

} // namespace

auto run_simulation(
    const simulation_shape& shape, const choice_options& options, std::chrono::seconds time)
    -> simulation_result
{
    return simulation{shape, options}.run(time);
}

} // namespace reedramp::routing::testing
