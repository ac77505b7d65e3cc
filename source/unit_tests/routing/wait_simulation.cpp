#include "wait_simulation.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace reedramp::routing::testing {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

constexpr unsigned slots = 48;
constexpr double tokens_read_per_ms = 157.0;
constexpr milliseconds shortest_step{3.55};
constexpr double chunk = 512.0;
constexpr double tokens_per_event = 7.5;
constexpr double work_per_answer_token = 2.0;
/// Prefixes that an engine keeps cached.
constexpr std::size_t cached_prefixes = 8;
/// Part of a target after which a first token counts as late here, so that enough do at each load.
constexpr double late_part = 0.25;
const common::service_name engines{"engines"};
const time_point start{std::chrono::seconds{100}};

struct request_kind {
    double share = 0.0;
    double shared_prompt = 0.0;
    double own_prompt = 0.0;
    double answer = 0.0;
    milliseconds target{0};
    std::size_t prefixes = 0;
};

/// Long drafts, questions and short tags.
constexpr std::array<request_kind, 3> kinds{
    {{0.25, 5382.0, 6610.0, 360.0, milliseconds{2000}, 24},
     {0.29, 198.0, 628.0, 270.0, milliseconds{1000}, 24},
     {0.46, 568.0, 1800.0, 23.0, milliseconds{1000}, 24}}};

/// Relative engine times of the models, of which larger ones are asked less often.
constexpr std::array<double, 3> model_times{0.3, 0.8, 3.0};
constexpr std::array<double, 3> model_shares{0.7, 0.25, 0.05};

struct running_request {
    std::size_t entry = 0;
    std::size_t model = 0;
    std::uint64_t prefix = 0;
    double unread = 0.0;
    double tokens_left = 0.0;
    double prompt_work = 0.0;
    double answer_work = 0.0;
    double work_ahead = 0.0;
    double predicted = 0.0;
    milliseconds target{0};
    time_point sent;
    time_point first_token{};
    bool is_counted = false;
};

struct engine {
    registration server;
    double speed = 1.0;
    time_point clock = start;
    std::deque<running_request> queue;
    std::vector<running_request> batch;
    std::deque<std::uint64_t> cached;
    double answered = 0.0;
    double late = 0.0;
};

struct entry {
    common::host_id host;
    load_tracker loads;
    std::vector<load_report> last_loads;
    std::map<common::service_name, server_speed_tracker> speeds;
    peer_speed_table peers;
    std::uint64_t last_reported = 0;
};

auto correlation_of(const std::vector<std::array<double, 2>>& pairs) -> double
{
    std::array<double, 2> mean{};
    for (const auto& pair : pairs) {
        mean[0] += pair[0] / static_cast<double>(pairs.size());
        mean[1] += pair[1] / static_cast<double>(pairs.size());
    }
    double both = 0.0;
    std::array<double, 2> squares{};
    for (const auto& pair : pairs) {
        both += (pair[0] - mean[0]) * (pair[1] - mean[1]);
        squares[0] += std::pow(pair[0] - mean[0], 2.0);
        squares[1] += std::pow(pair[1] - mean[1], 2.0);
    }
    return both / std::sqrt(squares[0] * squares[1]);
}

class wait_simulation {
public:
    wait_simulation(const wait_shape& shape_to_use, const choice_options& options_to_use)
        : shape(shape_to_use), options(options_to_use), random(shape_to_use.seed),
          fleet(shape_to_use.servers), entries(shape_to_use.entries)
    {
        for (std::size_t i = 0; i < this->fleet.size(); ++i) {
            auto& one = this->fleet[i];
            one.server.id = common::server_id{"server-" + std::to_string(i)};
            one.server.service = engines;
            one.server.slots = slots;
            one.speed = i % 4 == 0 ? 0.55 : 1.2;
            this->usable.push_back(&one.server);
        }
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
            this->entries[i].host = common::host_id{"host-" + std::to_string(i)};
            this->entries[i].last_reported = this->random();
        }
    }

    auto run(std::chrono::seconds time) -> wait_result
    {
        std::exponential_distribution<double> pause(
            this->shape.rate * static_cast<double>(this->shape.servers));
        auto next = start;
        constexpr std::chrono::milliseconds call{100};
        for (auto now = start; now < start + 2 * time; now += call) {
            for (; next < now + call; next += std::chrono::duration_cast<common::duration>(
                                          std::chrono::duration<double>(pause(this->random)))) {
                this->advance(next);
                this->send(next, next >= start + time);
            }
            this->advance(now + call);
            this->exchange_reports(static_cast<std::size_t>((now - start) / call), now + call);
        }
        return this->result();
    }

private:
    auto send(time_point now, bool is_counted) -> void
    {
        const auto at = this->random() % this->entries.size();
        auto& from = this->entries[at];
        std::discrete_distribution<std::size_t> model(model_shares.begin(), model_shares.end());
        std::discrete_distribution<std::size_t> kind{
            kinds[0].share, kinds[1].share, kinds[2].share};
        std::lognormal_distribution<double> size(-0.125, 0.5);
        running_request one;
        one.entry = at;
        one.model = model(this->random);
        const auto& of_kind = kinds[kind(this->random)];
        const auto time = model_times[one.model];
        one.tokens_left = std::max(1.0, of_kind.answer * size(this->random));
        one.prompt_work = time * (of_kind.shared_prompt + of_kind.own_prompt * size(this->random));
        one.answer_work = time * work_per_answer_token * one.tokens_left;
        one.target = of_kind.target;
        one.sent = now;
        one.is_counted = is_counted;
        one.prefix = hash_of(common::server_id{std::to_string(
            this->random() % of_kind.prefixes + 100 * (&of_kind - kinds.data()) +
            1000 * static_cast<std::ptrdiff_t>(one.model))});
        placement_request asked;
        asked.work = one.prompt_work + one.answer_work;
        asked.prompt_work = one.prompt_work;
        asked.affinity = one.prefix;
        asked.saved_work = time * of_kind.shared_prompt;
        const server_trackers trackers{
            from.loads,
            from.speeds[engines],
            this->health,
            nullptr,
            0.0,
            this->shape.is_controlled ? &from.peers : nullptr};
        const auto* chosen =
            choose_server(this->usable, asked, trackers, this->options, this->random(), now);
        auto& to = *std::ranges::find(
            this->fleet, chosen, [](const engine& other) { return &other.server; });
        one.predicted = cost_of(*chosen, asked, trackers, this->options, now);
        one.work_ahead = from.loads.total(chosen->instance(), now).work + one.prompt_work;
        const bool is_cached = std::ranges::find(to.cached, one.prefix) != to.cached.end();
        one.unread = one.prompt_work - (is_cached ? asked.saved_work : 0.0);
        from.loads.begin(chosen->instance(), asked.work, one.prompt_work);
        to.clock = to.queue.empty() && to.batch.empty() ? now : to.clock;
        to.queue.push_back(one);
    }

    auto advance(time_point now) -> void
    {
        for (auto& one : this->fleet) {
            while (one.clock < now && !(one.queue.empty() && one.batch.empty())) {
                this->step(one);
            }
        }
    }

    /// Reads a chunk of the first prompts, and generates a token for each request of the batch.
    auto step(engine& one) -> void
    {
        double left = chunk;
        std::vector<running_request> begun;
        while (left > 0.0 && !one.queue.empty() && one.batch.size() + begun.size() < slots) {
            auto& first = one.queue.front();
            const auto amount = std::min(left, first.unread);
            left -= amount;
            first.unread -= amount;
            if (first.unread > 0.0) {
                break;
            }
            begun.push_back(first);
            one.queue.pop_front();
        }
        double time_sum = 0.0;
        for (const auto& each : one.batch) {
            time_sum += model_times[each.model];
        }
        const auto size = static_cast<double>(one.batch.size());
        const auto mean_time = one.batch.empty() ? 0.0 : time_sum / size;
        const auto took = shortest_step * mean_time * (1.0 + size / slots) +
                          milliseconds{(chunk - left) / tokens_read_per_ms + 0.1};
        one.clock += std::chrono::duration_cast<common::duration>(took / one.speed);
        for (auto& each : one.batch) {
            each.tokens_left -= 1.0;
        }
        std::erase_if(one.batch, [&](const running_request& each) {
            const bool is_done = each.tokens_left <= 0.0;
            if (is_done) {
                this->end(one, each);
            }
            return is_done;
        });
        for (auto& each : begun) {
            this->note_first_token(one, each);
            one.batch.push_back(each);
        }
    }

    auto note_first_token(engine& at, running_request& one) -> void
    {
        one.first_token = at.clock;
        auto& from = this->entries[one.entry];
        const auto wait = at.clock - one.sent;
        from.loads.reduce_work(at.server.instance(), one.prompt_work);
        from.speeds[engines].note(
            at.server.instance(),
            std::chrono::duration_cast<std::chrono::milliseconds>(wait),
            one.work_ahead);
        at.cached.push_back(one.prefix);
        if (at.cached.size() > cached_prefixes) {
            at.cached.pop_front();
        }
        if (one.is_counted) {
            this->pairs.push_back({one.predicted, milliseconds{wait}.count()});
            at.answered += 1.0;
            at.late += wait > one.target * late_part ? 1.0 : 0.0;
        }
    }

    auto end(const engine& at, const running_request& one) -> void
    {
        auto& from = this->entries[one.entry];
        from.loads.end(at.server.instance(), one.answer_work);
        const auto took = milliseconds{at.clock - one.first_token}.count();
        const auto tokens = one.answer_work / work_per_answer_token / model_times[one.model];
        if (tokens > 2.0 * tokens_per_event) {
            from.speeds[engines].note_pause(
                at.server.instance(), std::to_string(one.model), took * tokens_per_event / tokens);
        }
    }

    /// Each entry receives each other's report every half second, a tenth of a second late.
    auto exchange_reports(std::size_t number, time_point now) -> void
    {
        constexpr std::size_t calls_per_round = 5;
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
            auto& from = this->entries[i];
            std::vector<speed_report> rows;
            if (number % calls_per_round == 0) {
                rows = next_speed_reports(from.speeds, from.last_reported);
                from.last_reported = rows.empty() ? 0 : rows.back().server;
            }
            for (std::size_t to = 0; to < this->entries.size(); ++to) {
                if (i != to) {
                    this->entries[to].peers.apply_reports(from.host, rows, now);
                }
                if (i != to && (i * 31 + to * 17 + number) % calls_per_round == 0) {
                    this->entries[to].loads.apply_reports(
                        from.host, from.last_loads, now + std::chrono::seconds{3});
                }
            }
            from.last_loads = from.loads.make_reports();
        }
    }

    auto result() -> wait_result
    {
        wait_result found;
        found.correlation = correlation_of(this->pairs);
        double late = 0.0;
        double worst = 0.0;
        for (const auto& one : this->fleet) {
            late += one.late;
            worst = std::max(worst, one.late / std::max(one.answered, 1.0));
        }
        found.late = late / static_cast<double>(this->pairs.size());
        found.worst_server = found.late > 0.0 ? worst / found.late : 0.0;
        std::ranges::sort(this->pairs, {}, [](const auto& pair) { return pair[1]; });
        for (const auto& pair : this->pairs) {
            found.mean_ms += pair[1] / static_cast<double>(this->pairs.size());
        }
        found.p99_ms = this->pairs[this->pairs.size() * 99 / 100][1];
        return found;
    }

    wait_shape shape;
    choice_options options;
    std::mt19937_64 random;
    std::vector<engine> fleet;
    std::vector<entry> entries;
    std::vector<const registration*> usable;
    server_health health{health_options{}};
    /// Predicted cost and real wait in milliseconds of each request.
    std::vector<std::array<double, 2>> pairs;
};

} // namespace

auto simulate_waits(
    const wait_shape& shape, const choice_options& options, std::chrono::seconds time)
    -> wait_result
{
    return wait_simulation{shape, options}.run(time);
}

} // namespace reedramp::routing::testing
