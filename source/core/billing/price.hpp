#pragma once

#include "common/units.hpp"
#include "messages/run.hpp"

namespace reedramp::billing {

/// Prices of a version for a million tokens.
struct token_prices {
    common::micro_money prompt_per_million;
    common::micro_money completion_per_million;
};

/// The price of `used`, rounded up to a whole millionth, and at the largest amount where it would
/// overflow. The same usage has the same price in every process.
auto price(const messages::usage& used, const token_prices& prices) -> common::micro_money;

} // namespace reedramp::billing
