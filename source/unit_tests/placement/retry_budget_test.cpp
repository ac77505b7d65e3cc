#include "placement/retry_budget.hpp"

#include <catch2/catch.hpp>

TEST_CASE("second tries stay under their share of first tries", "[retry_budget]")
{
    // Every server refuses. The entry would try each request again and so double the load; after
    // what was saved up is spent, one request in ten is tried again and the others are refused.
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
