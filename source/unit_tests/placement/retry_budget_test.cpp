#include "placement/retry_budget.hpp"

#include <catch2/catch.hpp>

TEST_CASE("retries stay within their share of first attempts", "[retry_budget]")
{
    // Guards against retries multiplying the load while all servers refuse: once the accumulated
    // retries are spent, only one request in ten is retried.
    reedramp::placement::retry_budget budget({.retries_per_first_try = 0.1, .max_saved = 5.0});
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.record_first_attempt();
        while (budget.try_acquire_retry()) {
            ++retries;
        }
    }
    CHECK(retries >= 100);
    CHECK(retries <= 105);
}
