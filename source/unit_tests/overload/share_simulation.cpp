#include "share_simulation.hpp"

#include <algorithm>
#include <numeric>
#include <string>

namespace reedramp::overload::testing {

namespace {

using namespace std::chrono_literals;

const common::service_name service{"engines"};
constexpr std::size_t ticks_per_second = 10;
constexpr int overload_from = 10;
constexpr int settled_after = 3;
/// Requests per second of each organisation at its usual load: a few large ones.
const std::vector<double> usual{40, 30, 24, 18, 14, 12, 10, 9, 8, 7, 6, 5,
                                5,  4,  4,  4,  3,  3,  3,  3, 2, 2, 1, 1.0 / 60};
const std::size_t rare = usual.size() - 1;
/// Two of ten requests are long.
constexpr double long_part = 0.2;
constexpr double long_work = 3800.0;
constexpr double short_work = 300.0;
constexpr double mean_work = 1000.0;
/// The service takes slightly more than the usual load, whose arrivals are random.
constexpr double spare = 1.05;
constexpr double target_s = 1.0;
constexpr double deadline_s = 4.0;
constexpr double loss = 0.02;
constexpr std::size_t reports_per_tick = 4;

auto sum(const std::vector<double>& values) -> double
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

/// Work per second that the service can do.
auto room() -> double
{
    return spare * mean_work * sum(usual);
}

} // namespace

auto least_fall(std::size_t who, double factor) -> double
{
    auto asked = usual;
    asked[who] *= factor;
    auto sorted = asked;
    std::ranges::sort(sorted);
    auto left = room() / mean_work;
    auto level = sorted.back();
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        level = left / static_cast<double>(sorted.size() - i);
        if (sorted[i] > level) {
            break;
        }
        left -= sorted[i];
    }
    double lost = 0.0;
    for (std::size_t i = 0; i < asked.size(); ++i) {
        lost += i == who ? 0.0 : std::max(0.0, asked[i] - level);
    }
    return lost / (sum(usual) - usual[who]);
}

share_simulation::share_simulation(simulation_options options_to_use)
    : options(options_to_use), random(options_to_use.seed), entries(options_to_use.entries),
      served(usual.size(), 0.0)
{
    for (std::size_t i = 0; i < usual.size(); ++i) {
        this->arrivals.emplace_back(1000 * options_to_use.seed + i);
    }
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        this->entries[i].shares.set_rules(rules_of(service, usual.size()));
        // From 0.1 to 2 s.
        this->entries[i].age = 1 + i % 20;
        this->entries[i].next_peer = (i + 1) % this->entries.size();
    }
}

auto share_simulation::wait() const -> double
{
    return this->queue.back() / room();
}

auto share_simulation::send_reports(std::size_t from) -> void
{
    auto& sender = this->entries[from];
    const auto rows = sender.gauge.level() > 0.5 ? sender.shares.make_reports(this->now)
                                                 : std::vector<usage_report>{};
    const auto rounds = (this->entries.size() - 1 + reports_per_tick - 1) / reports_per_tick;
    const auto trusted = std::max<common::duration>(2s, 100ms * 3 * rounds);
    const common::host_id host{"h" + std::to_string(from)};
    for (std::size_t i = 0; i < reports_per_tick; ++i) {
        if (std::uniform_real_distribution{}(this->random) >= loss) {
            this->entries[sender.next_peer].shares.apply_reports(host, rows, this->now + trusted);
        }
        sender.next_peer = (sender.next_peer + 1) % this->entries.size();
        sender.next_peer += sender.next_peer == from ? 1 : 0;
        sender.next_peer %= this->entries.size();
    }
}

auto share_simulation::ask(entry& at, std::size_t organisation, double work) -> void
{
    const auto name = name_of(organisation);
    const auto pressure = at.gauge.level();
    const auto excess = at.shares.excess(service, name, pressure, this->now);
    const auto admitted = excess > 1.0 ? 1.0 / (pressure * excess) : 1.0;
    if (std::uniform_real_distribution{}(this->random) >= admitted) {
        at.shares.note_refused(service, name, work, this->now);
        this->rare_refused += organisation == rare ? 1 : 0;
        return;
    }
    at.shares.note_sent(service, name, work, true, this->now);
    this->served[organisation] += this->wait() <= deadline_s ? work : 0.0;
    this->queue.back() += work;
}

auto share_simulation::is_idle(int second) const -> bool
{
    return second >= this->options.idle_from && second < this->options.idle_to;
}

auto share_simulation::usual_part(std::size_t organisation) -> double
{
    return mean_work * usual[organisation] / room();
}

auto share_simulation::run_tick(int second) -> void
{
    this->queue.push_back(std::max(0.0, this->queue.back() - room() / ticks_per_second));
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        auto& one = this->entries[i];
        const auto seen =
            this->queue[this->queue.size() - std::min(this->queue.size(), one.age + 1)];
        one.gauge.update(seen / room() / target_s, this->now);
        this->send_reports(i);
    }
    for (std::size_t who = 0; who < usual.size(); ++who) {
        if (who == this->options.idle && this->is_idle(second)) {
            continue;
        }
        auto& draws = this->arrivals[who];
        const bool is_over = who == this->options.who && second >= overload_from;
        const auto rate = usual[who] * (is_over ? this->options.factor : 1.0);
        auto count = std::poisson_distribution<int>{rate / ticks_per_second}(draws);
        for (; count > 0; --count) {
            const bool is_long = std::uniform_real_distribution{}(draws) < long_part;
            auto& at = this->entries[draws() % this->entries.size()];
            this->ask(at, who, is_long ? long_work : short_work);
        }
    }
    this->now += 100ms;
}

auto share_simulation::run() -> simulation_result
{
    simulation_result result;
    const auto from = overload_from + settled_after;
    const auto measured = static_cast<double>(this->options.seconds - from);
    const auto idle_seconds = static_cast<double>(this->options.idle_to - this->options.idle_from);
    for (int second = 0; second < this->options.seconds; ++second) {
        std::ranges::fill(this->served, 0.0);
        double waits = 0.0;
        for (std::size_t tick = 0; tick < ticks_per_second; ++tick) {
            this->run_tick(second);
            waits += this->wait() / target_s / ticks_per_second;
        }
        if (second < from) {
            continue;
        }
        const auto all = sum(this->served);
        result.others += all - this->served[this->options.who];
        result.served += all / room() / measured;
        result.mean_wait += waits / measured;
        if (this->is_idle(second)) {
            result.served_idle += all / room() / idle_seconds;
        }
        else {
            result.served_otherwise += all / room() / (measured - idle_seconds);
        }
        const bool is_back = second >= this->options.idle_to && second < this->options.idle_to + 5;
        if (this->options.idle < usual.size() && is_back) {
            result.returned +=
                this->served[this->options.idle] / room() / usual_part(this->options.idle) / 5.0;
        }
    }
    result.rare_refused = this->rare_refused;
    return result;
}

} // namespace reedramp::overload::testing
