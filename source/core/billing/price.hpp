#pragma once

#include "common/units.hpp"
#include "messages/run.hpp"

namespace reedramp::billing {

/// Prices of a version per million tokens.
struct token_prices {
    common::micro_money prompt_per_million;
    common::micro_money completion_per_million;
};

/// Computes the price of `used`, rounded up to a whole micro unit of money and limited to the
/// largest amount of the type. The result for the same usage is the same in every process.
auto price(const messages::usage& used, const token_prices& prices) -> common::micro_money;

} // namespace reedramp::billing
