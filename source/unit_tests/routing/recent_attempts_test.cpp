#include "routing/recent_attempts.hpp"

#include <string>

#include <catch2/catch.hpp>

namespace reedramp::routing {

using namespace std::chrono_literals;

TEST_CASE("an attempt id that comes again within the time that callers wait is known", "[repeated]")
{
    recent_attempts attempts;
    const common::time_point start{1h};
    CHECK_FALSE(attempts.note_arrival("a", start));
    CHECK_FALSE(attempts.note_arrival("b", start + 1s));
    CHECK(attempts.note_arrival("a", start + 2s) == start);
    CHECK(attempts.note_arrival("a", start + 30s) == start);
    CHECK_FALSE(attempts.note_arrival("a", start + 31s));
    CHECK(attempts.size() == 2);
}

TEST_CASE("the ids kept are bounded, and the oldest go first", "[repeated]")
{
    recent_attempts attempts;
    const common::time_point now{1h};
    constexpr int many = 100'000;
    for (int i = 0; i < many; ++i) {
        CHECK_FALSE(attempts.note_arrival(std::to_string(i), now));
    }
    CHECK(attempts.size() < many / 2);
    CHECK(attempts.note_arrival(std::to_string(many - 1), now));
    CHECK_FALSE(attempts.note_arrival("0", now));
}

} // namespace reedramp::routing
