#include "billing/price.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace reedramp::billing {

namespace {

__extension__ using wide = __int128;

constexpr wide tokens_per_price_unit = 1'000'000;

auto unscaled_price(common::token_count tokens, common::micro_money price_per_million) -> wide
{
    return wide{tokens.value()} * wide{price_per_million.value()};
}

} // namespace

auto price(const messages::usage& used, const token_prices& prices) -> common::micro_money
{
    const auto exact = unscaled_price(used.prompt_tokens, prices.prompt_per_million) +
                       unscaled_price(used.completion_tokens, prices.completion_per_million);
    const auto rounded = (exact + tokens_per_price_unit - 1) / tokens_per_price_unit;
    constexpr wide largest = std::numeric_limits<std::int64_t>::max();
    return common::micro_money{static_cast<std::int64_t>(std::clamp(rounded, wide{0}, largest))};
}

} // namespace reedramp::billing
