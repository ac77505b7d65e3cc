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
    CHECK(attempts.note_arrival("a", start + 2s)->at == start);
    CHECK(attempts.note_arrival("a", start + 30s)->at == start);
    CHECK_FALSE(attempts.note_arrival("a", start + 31s));
    CHECK(attempts.size() == 2);
}

TEST_CASE("what became of an attempt is known when it comes again", "[repeated]")
{
    recent_attempts attempts;
    const common::time_point now{1h};
    attempts.note_arrival("a", now);
    attempts.note_arrival("b", now);
    CHECK(attempts.note_arrival("a", now)->fate == attempt_fate::may_have_run);
    attempts.note_fate("a", attempt_fate::refused);
    attempts.note_fate("unknown", attempt_fate::refused);
    CHECK(attempts.note_arrival("a", now)->fate == attempt_fate::refused);
    CHECK(attempts.note_arrival("b", now)->fate == attempt_fate::may_have_run);
    attempts.note_fate("b", attempt_fate::not_run);
    CHECK(attempts.note_arrival("b", now)->fate == attempt_fate::not_run);
    CHECK(attempts.note_arrival("b", now)->fate == attempt_fate::may_have_run);
    CHECK_FALSE(attempts.note_arrival("unknown", now));
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
