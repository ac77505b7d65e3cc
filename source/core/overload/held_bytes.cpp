#include "overload/held_bytes.hpp"

namespace reedramp::overload {

held_bytes::held_bytes(held_bytes_options options_to_use) : options(options_to_use) {}

auto held_bytes::add(time_point now) -> held_stream_id
{
    this->last_id += 1;
    this->streams[this->last_id].moved_at = now;
    return held_stream_id{this->last_id};
}

auto held_bytes::remove(held_stream_id stream) -> void
{
    const auto found = this->streams.find(stream.value());
    if (found == this->streams.end()) {
        return;
    }
    this->change_total(found->second.held, 0);
    this->streams.erase(found);
}

auto held_bytes::update(
    held_stream_id stream, std::size_t held, std::uint64_t progress, time_point now) -> void
{
    const auto found = this->streams.find(stream.value());
    if (found == this->streams.end()) {
        return;
    }
    auto& state = found->second;
    const bool has_progress = progress != state.progress || held < state.held || state.held == 0;
    if (has_progress) {
        state.moved_at = now;
    }
    this->change_total(state.held, held);
    state.held = held;
    state.progress = progress;
    if (this->is_over_budget()) {
        this->exceeded_at = now;
    }
}

auto held_bytes::held_by(held_stream_id stream) const -> std::size_t
{
    const auto found = this->streams.find(stream.value());
    return found == this->streams.end() ? 0 : found->second.held;
}

auto held_bytes::idle_time(held_stream_id stream, time_point now) const -> std::chrono::milliseconds
{
    const auto found = this->streams.find(stream.value());
    if (found == this->streams.end()) {
        return {};
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - found->second.moved_at);
}

auto held_bytes::is_over_budget() const -> bool
{
    return this->options.budget > 0 && this->sum > this->options.budget;
}

auto held_bytes::choose_stream_to_give_up(time_point now) const -> std::optional<held_stream_id>
{
    if (!this->is_over_budget()) {
        return std::nullopt;
    }
    std::optional<held_stream_id> chosen;
    bool chosen_is_idle = false;
    std::size_t most = 0;
    for (const auto& [id, state] : this->streams) {
        const bool is_idle = now - state.moved_at >= this->options.idle_after;
        const bool is_larger = is_idle == chosen_is_idle && state.held > most;
        const bool goes_first = is_idle && !chosen_is_idle;
        if (state.held > 0 && (is_larger || goes_first)) {
            chosen = held_stream_id{id};
            chosen_is_idle = is_idle;
            most = state.held;
        }
    }
    return chosen;
}

auto held_bytes::refuses_new(time_point now) const -> bool
{
    return this->is_over_budget() ||
           (this->exceeded_at && now - *this->exceeded_at < this->options.refusal_time);
}

auto held_bytes::change_total(std::size_t before, std::size_t after) -> void
{
    this->sum = this->sum - before + after;
    const auto share = this->options.budget == 0 ? 0.0
                                                 : static_cast<double>(this->sum) /
                                                       static_cast<double>(this->options.budget);
    this->crowded =
        this->crowded ? share >= this->options.crowded_until : share >= this->options.crowded_from;
}

} // namespace reedramp::overload
