#include "load_test_simulation.hpp"

#include <algorithm>

#include "rollout_names.hpp"

namespace reedramp::routing::testing {

namespace {

using std::chrono::milliseconds;

const common::service_name service{"lookups"};
const route_name reads{"reads"};
constexpr milliseconds warm_up{5000};
constexpr milliseconds report_period{100};

struct running_request {
    time_point ends;
    std::size_t entry = 0;
    std::size_t server = 0;
    bool is_new = false;
    bool fails = false;
    occupancy used = occupancy::usual;
    std::uint64_t session = 0;

    auto operator>(const running_request& other) const -> bool { return this->ends > other.ends; }
};

class simulation {
public:
    simulation(const load_test_setup& wanted, std::uint64_t seed)
        : setup(wanted), random(seed), managers(wanted.entries, make_manager()),
          running_new(wanted.servers, 0)
    {
    }

    auto play() -> load_test_result
    {
        std::exponential_distribution<double> gap_ms{this->setup.requests_per_second / 1000.0};
        auto now = start - warm_up;
        auto next_report = now;
        bool is_ordered = false;
        while (now < start + allowed) {
            now += std::chrono::duration_cast<common::duration>(
                std::chrono::duration<double, std::milli>(gap_ms(this->random)));
            this->end_until(now);
            if (!is_ordered && now >= start) {
                is_ordered = true;
                for (auto& one : this->managers) {
                    one.apply_order({service, new_version, allowed}, start);
                }
            }
            if (now >= next_report) {
                exchange_reports(this->managers, now);
                next_report = now + report_period;
            }
            this->send(now);
        }
        this->result.is_reverted = std::ranges::any_of(this->managers, [now](rollout_manager& one) {
            return one.rule_for(service, 0, now, single).bars(new_version);
        });
        return this->result;
    }

private:
    static constexpr request_traits single{session_kind::single_request, fill_level::most};

    static auto make_manager() -> rollout_manager
    {
        rollout_options options;
        options.schedule.first_share = 0.18;
        options.exposure_slack = 30.0;
        return rollout_manager{options};
    }

    auto send(time_point now) -> void
    {
        const auto entry = this->random() % this->managers.size();
        auto& manager = this->managers[entry];
        const auto session = this->random();
        const auto rule = manager.rule_for(service, session, now, single);
        const bool is_new = rule.preferred == new_version;
        running_request one{now, entry, 0, is_new, false, occupancy::usual, session};
        if (is_new) {
            one.server = rule.needs_load_test ? 0 : this->random() % this->running_new.size();
            auto& running = this->running_new[one.server];
            running += 1;
            const bool is_high = running >= high_occupancy_part * this->setup.slots;
            one.used = is_high ? occupancy::high : occupancy::usual;
            this->result.most_running = std::max(this->result.most_running, running);
        }
        std::exponential_distribution<double> takes_ms{1.0 / this->setup.answer_ms};
        one.ends += std::chrono::duration_cast<common::duration>(
            std::chrono::duration<double, std::milli>(takes_ms(this->random)));
        one.fails = this->draw_failure(one);
        manager.note_sent(
            service, session, is_new ? new_version : old_version, now, this->setup.slots);
        this->in_flight.push(one);
        this->result.requests += now >= start ? 1 : 0;
        this->result.on_new_version += is_new ? 1 : 0;
    }

    auto draw_failure(const running_request& one) -> bool
    {
        const bool is_bad_now = one.is_new && this->setup.fails_from &&
                                this->running_new[one.server] >= *this->setup.fails_from;
        std::bernoulli_distribution fails{is_bad_now ? 0.5 : this->setup.usual_failures};
        return fails(this->random);
    }

    auto end_until(time_point now) -> void
    {
        while (!this->in_flight.empty() && this->in_flight.top().ends <= now) {
            const auto one = this->in_flight.top();
            this->in_flight.pop();
            const auto& version = one.is_new ? new_version : old_version;
            if (one.is_new) {
                this->running_new[one.server] -= 1;
            }
            auto& manager = this->managers[one.entry];
            manager.note_ended(service, one.session, version, one.ends);
            manager.note_outcome(service, version, reads, !one.fails, one.used);
        }
    }

    load_test_setup setup;
    std::mt19937_64 random;
    std::vector<rollout_manager> managers;
    /// Requests that each of the new version's servers runs.
    std::vector<unsigned> running_new;
    std::priority_queue<running_request, std::vector<running_request>, std::greater<>> in_flight;
    load_test_result result;
};

} // namespace

auto play_load_test(const load_test_setup& setup, std::uint64_t seed) -> load_test_result
{
    return simulation{setup, seed}.play();
}

} // namespace reedramp::routing::testing
