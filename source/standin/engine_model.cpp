#include "engine_model.hpp"

#include <algorithm>

namespace reedramp::standin {

namespace {

/// Tokens of less than this time go out together, as an engine's step does.
constexpr std::chrono::milliseconds shortest_step{1};

} // namespace

auto engine_model::submit(const engine_job& job, common::time_point now) -> bool
{
    if (this->running.size() < this->speed.slots) {
        this->start(job, now);
        return true;
    }
    if (this->queue.size() >= this->speed.queue_limit) {
        return false;
    }
    this->queue.emplace(queue_key{-job.priority, job.id}, job);
    return true;
}

auto engine_model::cancel(std::uint64_t id, common::time_point now) -> void
{
    std::erase_if(this->running, [id](const run& which) { return which.job.id == id; });
    std::erase_if(this->queue, [id](const auto& waiting) { return waiting.second.id == id; });
    this->fill_slots(now);
}

auto engine_model::advance(common::time_point now) -> std::vector<engine_progress>
{
    std::vector<engine_progress> told;
    const std::chrono::microseconds decode(this->speed.decode_us_per_token);
    const auto step = std::max<common::duration>(decode, shortest_step);
    for (auto& which : this->running) {
        if (which.due > now) {
            continue;
        }
        const auto is_finished = which.finish_at <= now;
        told.push_back({which.job.id, this->tokens_at(which, now), is_finished});
        which.due = std::min(which.finish_at, now + step);
    }
    std::erase_if(this->running, [now](const run& which) { return which.finish_at <= now; });
    this->fill_slots(now);
    return told;
}

auto engine_model::next_due() const -> std::optional<common::time_point>
{
    if (this->running.empty()) {
        return std::nullopt;
    }
    return std::ranges::min_element(this->running, {}, &run::due)->due;
}

auto engine_model::estimated_wait(common::time_point now) const -> common::duration
{
    if (this->running.size() < this->speed.slots) {
        return {};
    }
    const auto first = std::ranges::min_element(this->running, {}, &run::finish_at);
    common::duration queued{};
    for (const auto& [key, job] : this->queue) {
        queued += this->time_of(job);
    }
    return std::max(first->finish_at - now, common::duration::zero()) + queued / this->speed.slots;
}

auto engine_model::start(const engine_job& job, common::time_point now) -> void
{
    const std::chrono::microseconds decode(this->speed.decode_us_per_token);
    const std::chrono::microseconds prefill(this->speed.prefill_us_per_token);
    const auto later_tokens = static_cast<std::int64_t>(job.tokens == 0 ? 0 : job.tokens - 1);
    run started;
    started.job = job;
    started.first_token_at =
        now + job.extra + prefill * static_cast<std::int64_t>(job.prefill_tokens);
    started.finish_at = started.first_token_at + decode * later_tokens;
    started.due = job.stream ? started.first_token_at : started.finish_at;
    this->running.push_back(started);
}

auto engine_model::fill_slots(common::time_point now) -> void
{
    while (!this->queue.empty() && this->running.size() < this->speed.slots) {
        const auto next = this->queue.extract(this->queue.begin());
        this->start(next.mapped(), now);
    }
}

auto engine_model::time_of(const engine_job& job) const -> common::duration
{
    const auto prefill_us = job.prefill_tokens * this->speed.prefill_us_per_token;
    const auto decode_us = job.tokens * this->speed.decode_us_per_token;
    return job.extra + std::chrono::microseconds(prefill_us + decode_us);
}

auto engine_model::tokens_at(const run& which, common::time_point now) const -> std::uint64_t
{
    if (which.finish_at <= now) {
        return which.job.tokens;
    }
    if (now < which.first_token_at) {
        return 0;
    }
    const std::chrono::microseconds decode(this->speed.decode_us_per_token);
    const auto made = 1 + (now - which.first_token_at) / decode;
    return std::min(static_cast<std::uint64_t>(made), which.job.tokens);
}

auto prefix_cache::use(std::uint64_t prefix_hash) -> bool
{
    const auto found = this->places.find(prefix_hash);
    if (found != this->places.end()) {
        this->order.splice(this->order.begin(), this->order, found->second);
        return true;
    }
    if (this->limit == 0) {
        return false;
    }
    this->order.push_front(prefix_hash);
    this->places.emplace(prefix_hash, this->order.begin());
    if (this->order.size() > this->limit) {
        this->places.erase(this->order.back());
        this->order.pop_back();
    }
    return false;
}

} // namespace reedramp::standin
