#include "claims/replay_start_search.hpp"

#include <algorithm>

#include "claims/codec.hpp"

namespace reedramp::claims {

using common::log_offset;

namespace {

/// Larger than any head offset: the answer has no records but tells the bounds of the stream.
constexpr log_offset beyond_head{std::uint64_t{1} << 62U};

auto horizon_of(const platform::read_answer& answer, log_offset target) -> std::optional<log_offset>
{
    if (answer.records.empty() || answer.records.front().offset != target) {
        return std::nullopt;
    }
    const auto batch = parse(answer.records.front().data);
    if (!batch || batch->horizon > target) {
        return std::nullopt;
    }
    return std::max(batch->horizon, log_offset{1});
}

} // namespace

auto replay_start_search::read_after() const -> log_offset
{
    return this->current_phase == phase::find_head ? beyond_head
                                                   : log_offset{this->target.value() - 1};
}

auto replay_start_search::on_answer(const platform::read_answer& answer)
    -> std::optional<log_offset>
{
    this->oldest = std::max(answer.oldest, log_offset{1});
    if (this->current_phase == phase::find_head) {
        if (answer.head < this->oldest) {
            return log_offset{answer.head.value() + 1};
        }
        this->target = answer.head;
        this->current_phase = phase::read_head;
        return std::nullopt;
    }
    const auto horizon = horizon_of(answer, this->target);
    if (!horizon || *horizon < this->oldest) {
        return this->oldest;
    }
    if (this->current_phase == phase::read_horizon) {
        return horizon;
    }
    this->target = *horizon;
    this->current_phase = phase::read_horizon;
    return std::nullopt;
}

} // namespace reedramp::claims
