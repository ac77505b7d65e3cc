#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "overload/admission_control.hpp"
#include "overload/service_pressure.hpp"

namespace reedramp::overload::testing {

/// A kind of request in the loop: its share of the load, target, deadline and value if late.
struct request_kind {
    unsigned rank;
    double share;
    double target;
    double deadline;
    double late_value;
};

struct loop_options {
    /// Load relative to the room.
    double load = 1.0;
    /// Seconds for which the load lasts; then it is 0.6.
    int seconds = 20;
    double view_age = 0.1;
    std::size_t entries = 22;
    bool is_controlled = true;
    /// Share of the requests that one organisation beyond its share sends, and its excess.
    double greedy_share = 0.0;
    double greedy_excess = 1.0;
    std::uint64_t seed = 1;
};

/// Entries that decide for one service, second by second. The service works on the most urgent
/// request first; each takes the same work. Entries see its backlog as of some
/// time ago. A caller that is refused returns once.
class admission_loop {
public:
    static constexpr double duration = 0.1;
    static constexpr int steps_per_second = 100;

    /// Ranks, targets and deadlines as on the second deployment.
    static constexpr std::array<request_kind, 3> kinds{
        {{0, 0.3, 1.0, 20.0, 0.3}, {1, 0.45, 2.0, 20.0, 0.3}, {2, 0.25, 1.0, 4.0, 0.3}}};

    struct counts {
        double arrived = 0.0;
        double in_time = 0.0;
        double late = 0.0;
        double refused = 0.0;
        double wait = 0.0;
    };

    explicit admission_loop(const loop_options& options_to_use) : options(options_to_use)
    {
        for (std::size_t i = 0; i < options.entries; ++i) {
            this->entries.push_back(this->make_entry());
        }
    }

    /// Runs a quiet second, the load, and then twenty quiet seconds.
    auto run() -> void
    {
        const auto last = (1 + this->options.seconds + 20) * steps_per_second;
        for (this->step = 0; this->step < last; ++this->step) {
            this->one_step();
        }
    }

    auto one_step() -> void
    {
        const auto second = this->step / steps_per_second;
        const bool is_loaded = second >= 1 && second <= this->options.seconds;
        const auto load = is_loaded ? this->options.load : 0.6;
        std::poisson_distribution<int> arrivals{load * room / steps_per_second};
        for (int n = arrivals(this->random); n > 0; --n) {
            this->arrive(this->new_request());
        }
        const auto due = this->returns.equal_range(this->step);
        for (auto at = due.first; at != due.second; ++at) {
            this->arrive(at->second);
        }
        this->serve();
        std::size_t all = 0;
        for (const auto& queue : this->queues) {
            all += queue.size();
        }
        this->backlog.push_back(static_cast<double>(all) / room);
    }

    struct entry {
        admission_control control;
        pressure_gauge gauge;
        double age;
        /// Part of the backlog that it sees.
        double seen_part = 1.0;
        /// Until this step it handles nothing; its callers wait.
        int frozen_until = 0;
    };

    auto make_entry() -> entry
    {
        const auto age = this->options.view_age * (0.5 + 0.5 * this->unit());
        return {
            admission_control{[this] {
                return this->random();
            }},
            {},
            age};
    }

    auto unit() -> double { return std::uniform_real_distribution{}(this->random); }

    /// Sums over the seconds of the load, by kind.
    [[nodiscard]] auto total(std::size_t kind) const -> counts
    {
        counts sum;
        for (const auto& of_second : this->seconds) {
            const auto& one = of_second.second.at(kind);
            sum.arrived += one.arrived;
            sum.in_time += one.in_time;
            sum.late += one.late;
            sum.refused += one.refused;
            sum.wait += one.wait;
        }
        return sum;
    }

    /// Shares of the room used for answers in time, by second of the load from its third on.
    [[nodiscard]] auto used_in_time() const -> std::vector<double>
    {
        std::vector<double> shares;
        for (int second = 3; second <= this->options.seconds; ++second) {
            double sum = 0.0;
            const auto found = this->served.find(second);
            if (found != this->served.end()) {
                sum = found->second;
            }
            shares.push_back(sum / room);
        }
        return shares;
    }

    [[nodiscard]] auto value() const -> double
    {
        double sum = 0.0;
        double all = 0.0;
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            const auto one = this->total(i);
            sum += one.in_time + kinds.at(i).late_value * one.late;
            all += one.arrived;
        }
        return sum / all;
    }

    loop_options options;
    /// Requests per second.
    double room = std::max(200.0, 5.0 * static_cast<double>(options.entries));
    std::mt19937_64 random{options.seed};
    std::vector<entry> entries;
    int step = 0;
    /// Answers in time by the second in which they were given.
    std::map<int, double> served;
    /// Sums by the second of the arrival, and by kind.
    std::map<int, std::array<counts, 3>> seconds;
    std::map<admission, int> decisions;
    /// Organisation beyond its share, and the others.
    std::array<counts, 2> by_owner{};

private:
    struct request {
        std::size_t kind = 0;
        std::size_t entry = 0;
        int arrived = 0;
        bool is_greedy = false;
        bool has_returned = false;
        bool has_waited = false;
        bool is_deferred = false;
        int started = 0;
    };

    auto new_request() -> request
    {
        request one;
        one.is_greedy = this->unit() < this->options.greedy_share;
        const auto draw = this->unit();
        one.kind = draw < kinds[0].share ? 0 : draw < kinds[0].share + kinds[1].share ? 1 : 2;
        one.arrived = this->step;
        this->note(one, &counts::arrived);
        return one;
    }

    auto note(const request& one, double counts::*what, double by = 1.0) -> void
    {
        this->seconds[one.arrived / steps_per_second].at(one.kind).*what += by;
        this->by_owner.at(one.is_greedy ? 0 : 1).*what += by;
    }

    [[nodiscard]] auto age_of(const request& one) const -> double
    {
        return static_cast<double>(this->step - one.arrived) / steps_per_second;
    }

    [[nodiscard]] auto now() const -> time_point
    {
        return time_point{std::chrono::seconds{100} + std::chrono::milliseconds{this->step * 10}};
    }

    static auto to_ms(double time) -> std::chrono::milliseconds
    {
        return std::chrono::milliseconds{static_cast<std::int64_t>(time * 1000.0)};
    }

    auto arrive(request one) -> void
    {
        const auto& kind = kinds.at(one.kind);
        auto& at = this->entries[this->random() % this->entries.size()];
        if (this->step < at.frozen_until) {
            this->returns.insert({at.frozen_until, one});
            return;
        }
        const auto seen_at = this->step - 1 - static_cast<int>(at.age * steps_per_second);
        const auto seen =
            seen_at >= 0 ? at.seen_part * this->backlog.at(static_cast<std::size_t>(seen_at)) : 0.0;
        at.gauge.update(seen, this->now());
        admission_request asked;
        asked.rank = kind.rank;
        asked.excess = one.is_greedy ? this->options.greedy_excess : 1.0;
        asked.target = to_ms(kind.target);
        asked.left = to_ms(kind.deadline - this->age_of(one));
        asked.caller_left = asked.left;
        asked.was_refused = one.has_returned;
        asked.has_waited = one.has_waited;
        asked.expected_duration = to_ms(duration);
        asked.expected_wait = to_ms(seen);
        const service_state state{at.gauge.level()};
        const auto decision = this->options.is_controlled
                                  ? at.control.decide(asked, state, this->now())
                                  : admission_decision{};
        const auto later = this->step + std::max(1, static_cast<int>(decision.delay.count() / 10));
        const bool is_deferred = decision.what == admission::start_deferred;
        this->decisions[decision.what] += 1;
        one.is_deferred = is_deferred;
        one.started = this->step;
        one.entry = static_cast<std::size_t>(&at - this->entries.data());
        if (decision.what == admission::start || is_deferred) {
            this->queues.at(is_deferred ? 3 + kind.rank : kind.rank).push_back(one);
        }
        else if (decision.what == admission::wait) {
            one.has_waited = true;
            this->returns.insert({later, one});
        }
        else if (one.has_returned) {
            this->note(one, &counts::refused);
        }
        else {
            one.has_returned = true;
            this->returns.insert({later, one});
        }
    }

    auto serve() -> void
    {
        this->credit = std::min(this->credit + room / steps_per_second, room / steps_per_second);
        for (auto& queue : this->queues) {
            while (!queue.empty() && this->credit > 0.0) {
                const auto one = queue.front();
                queue.pop_front();
                const auto& kind = kinds.at(one.kind);
                const auto took = this->age_of(one) + duration;
                if (took > kind.deadline) {
                    this->note(one, &counts::refused);
                    continue;
                }
                this->credit -= 1.0;
                this->entries[one.entry].control.note_completed(
                    {.rank = kind.rank,
                     .was_deferred = one.is_deferred,
                     .waited =
                         to_ms(static_cast<double>(this->step - one.started) / steps_per_second),
                     .target = to_ms(kind.target)},
                    this->now());
                const bool is_in_time = took <= kind.target;
                this->note(one, is_in_time ? &counts::in_time : &counts::late);
                this->note(one, &counts::wait, took - duration);
                this->served[this->step / steps_per_second] += is_in_time ? 1.0 : 0.0;
            }
        }
    }

    /// By rank; deferred requests come last.
    std::array<std::deque<request>, 6> queues;
    std::multimap<int, request> returns;
    /// Seconds of work waiting, by step.
    std::vector<double> backlog;
    double credit = 0.0;
};

} // namespace reedramp::overload::testing
