#include "engine_model.hpp"

#include <algorithm>

namespace reedramp::standin {

namespace {

/// Minimum time between two progress reports of a job. Faster tokens are reported together, as the
/// tokens of one engine step are.
constexpr std::chrono::milliseconds min_report_interval{1};

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
    std::erase_if(this->running, [id](const active_job& entry) { return entry.job.id == id; });
    std::erase_if(this->queue, [id](const auto& waiting) { return waiting.second.id == id; });
    this->fill_slots(now);
}

auto engine_model::advance(common::time_point now) -> std::vector<engine_progress>
{
    std::vector<engine_progress> progress;
    const std::chrono::microseconds decode(this->speed.decode_us_per_token);
    const auto step = std::max<common::duration>(decode, min_report_interval);
    for (auto& entry : this->running) {
        if (entry.next_progress_at > now) {
            continue;
        }
        const auto is_finished = entry.finish_at <= now;
        progress.push_back({entry.job.id, this->tokens_generated_by(entry, now), is_finished});
        entry.next_progress_at = std::min(entry.finish_at, now + step);
    }
    std::erase_if(this->running, [now](const active_job& entry) { return entry.finish_at <= now; });
    this->fill_slots(now);
    return progress;
}

auto engine_model::next_due() const -> std::optional<common::time_point>
{
    if (this->running.empty()) {
        return std::nullopt;
    }
    return std::ranges::min_element(this->running, {}, &active_job::next_progress_at)
        ->next_progress_at;
}

auto engine_model::estimated_wait(common::time_point now) const -> common::duration
{
    if (this->running.size() < this->speed.slots) {
        return {};
    }
    const auto first = std::ranges::min_element(this->running, {}, &active_job::finish_at);
    common::duration queued{};
    for (const auto& [key, job] : this->queue) {
        queued += this->estimate_duration(job);
    }
    return std::max(first->finish_at - now, common::duration::zero()) + queued / this->speed.slots;
}

auto engine_model::start(const engine_job& job, common::time_point now) -> void
{
    const std::chrono::microseconds decode(this->speed.decode_us_per_token);
    const std::chrono::microseconds prefill(this->speed.prefill_us_per_token);
    const auto later_tokens = static_cast<std::int64_t>(job.tokens == 0 ? 0 : job.tokens - 1);
    active_job entry;
    entry.job = job;
    entry.first_token_at =
        now + job.extra + prefill * static_cast<std::int64_t>(job.prefill_tokens);
    entry.finish_at = entry.first_token_at + decode * later_tokens;
    entry.next_progress_at = job.stream ? entry.first_token_at : entry.finish_at;
    this->running.push_back(entry);
}

auto engine_model::fill_slots(common::time_point now) -> void
{
    while (!this->queue.empty() && this->running.size() < this->speed.slots) {
        const auto next = this->queue.extract(this->queue.begin());
        this->start(next.mapped(), now);
    }
}

auto engine_model::estimate_duration(const engine_job& job) const -> common::duration
{
    const auto prefill_us = job.prefill_tokens * this->speed.prefill_us_per_token;
    const auto decode_us = job.tokens * this->speed.decode_us_per_token;
    return job.extra + std::chrono::microseconds(prefill_us + decode_us);
}

auto engine_model::tokens_generated_by(const active_job& entry, common::time_point now) const
    -> std::uint64_t
{
    if (entry.finish_at <= now) {
        return entry.job.tokens;
    }
    if (now < entry.first_token_at) {
        return 0;
    }
    const std::chrono::microseconds decode(this->speed.decode_us_per_token);
    const auto generated = 1 + (now - entry.first_token_at) / decode;
    return std::min(static_cast<std::uint64_t>(generated), entry.job.tokens);
}

auto prefix_cache::use(std::uint64_t prefix_hash) -> bool
{
    const auto found = this->positions.find(prefix_hash);
    if (found != this->positions.end()) {
        this->order.splice(this->order.begin(), this->order, found->second);
        return true;
    }
    if (this->limit == 0) {
        return false;
    }
    this->order.push_front(prefix_hash);
    this->positions.emplace(prefix_hash, this->order.begin());
    if (this->order.size() > this->limit) {
        this->positions.erase(this->order.back());
        this->order.pop_back();
    }
    return false;
}

} // namespace reedramp::standin
