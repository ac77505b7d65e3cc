#include "claims/replay_start_search.hpp"

#include <algorithm>

#include "claims/codec.hpp"

namespace reedramp::claims {

using common::log_offset;

namespace {

/// Beyond every head, so that the answer has no records but says where the stream begins and ends.
constexpr log_offset beyond_head{std::uint64_t{1} << 62U};

auto horizon_of(const platform::read_answer& answer, log_offset wanted) -> std::optional<log_offset>
{
    if (answer.records.empty() || answer.records.front().offset != wanted) {
        return std::nullopt;
    }
    const auto batch = parse(answer.records.front().data);
    if (!batch || batch->horizon > wanted) {
        return std::nullopt;
    }
    return std::max(batch->horizon, log_offset{1});
}

} // namespace

auto replay_start_search::read_after() const -> log_offset
{
    return this->at == step::find_head ? beyond_head : log_offset{this->wanted.value() - 1};
}

auto replay_start_search::on_answer(const platform::read_answer& answer)
    -> std::optional<log_offset>
{
    this->oldest = std::max(answer.oldest, log_offset{1});
    if (this->at == step::find_head) {
        if (answer.head < this->oldest) {
            return log_offset{answer.head.value() + 1};
        }
        this->wanted = answer.head;
        this->at = step::look_at_head;
        return std::nullopt;
    }
    const auto horizon = horizon_of(answer, this->wanted);
    if (!horizon || *horizon < this->oldest) {
        return this->oldest;
    }
    if (this->at == step::look_at_horizon) {
        return horizon;
    }
    this->wanted = *horizon;
    this->at = step::look_at_horizon;
    return std::nullopt;
}

} // namespace reedramp::claims
