#include "overload/held_bytes.hpp"

#include <catch2/catch.hpp>

using namespace reedramp;
using namespace std::chrono_literals;
using overload::held_bytes;

// Guards against a count that drifts: bytes of a stream that drains or ends must not stay counted.
TEST_CASE("bytes held are counted per stream and in all", "[held_bytes]")
{
    const common::time_point now{10s};
    held_bytes held({.budget = 1000});
    const auto first = held.add(now);
    const auto second = held.add(now);
    held.update(first, 300, 0, now);
    held.update(second, 200, 0, now);
    held.update(first, 100, 200, now);
    CHECK(held.total() == 300);
    CHECK(held.held_by(first) == 100);
    held.remove(first);
    held.remove(first);
    held.update(first, 50, 0, now);
    CHECK(held.total() == 200);
    CHECK(held.held_by(first) == 0);
}

// Guards against giving up a caller that reads while one that has stopped holds memory, and against
// giving up anything within the budget.
TEST_CASE("beyond the budget the largest idle stream is given up first", "[held_bytes]")
{
    common::time_point now{10s};
    held_bytes held({.budget = 1000});
    const auto moving = held.add(now);
    const auto small = held.add(now);
    const auto large = held.add(now);
    held.update(moving, 600, 0, now);
    held.update(small, 100, 0, now);
    held.update(large, 200, 0, now);
    CHECK_FALSE(held.choose_stream_to_give_up(now));
    held.update(moving, 800, 0, now);
    CHECK(held.choose_stream_to_give_up(now) == moving); // none is idle yet
    now += 1s;
    held.update(moving, 800, 50, now); // as many bytes as before, but the reader has taken some
    CHECK(held.choose_stream_to_give_up(now) == large);
    CHECK(held.idle_time(large, now) == 1s);
    held.remove(large);
    CHECK_FALSE(held.choose_stream_to_give_up(now));
}

// Guards against a stream that counts as idle at once because it began long before it held bytes.
TEST_CASE("a stream is idle only after it has held bytes for a while", "[held_bytes]")
{
    common::time_point now{10s};
    held_bytes held({.budget = 100});
    const auto quiet = held.add(now);
    const auto large = held.add(now);
    now += 5s;
    held.update(quiet, 50, 0, now);
    held.update(large, 60, 0, now);
    CHECK(held.choose_stream_to_give_up(now) == large);
}

// Guards against admitting each new stream at the expense of one that has begun.
TEST_CASE("new streams are refused for a while after the budget was exceeded", "[held_bytes]")
{
    common::time_point now{10s};
    held_bytes held({.budget = 100});
    const auto stream = held.add(now);
    held.update(stream, 100, 0, now);
    CHECK_FALSE(held.refuses_new(now));
    held.update(stream, 101, 0, now);
    CHECK(held.refuses_new(now + 1h));
    held.remove(stream);
    CHECK(held.refuses_new(now + 999ms));
    CHECK_FALSE(held.refuses_new(now + 1s));
}

// Guards against an entry that alternates between ready and not ready with each byte.
TEST_CASE("an entry is crowded from nine tenths of its budget until below half", "[held_bytes]")
{
    const common::time_point now{10s};
    held_bytes held({.budget = 1000});
    const auto stream = held.add(now);
    held.update(stream, 899, 0, now);
    CHECK_FALSE(held.is_crowded());
    held.update(stream, 900, 0, now);
    CHECK(held.is_crowded());
    held.update(stream, 500, 0, now);
    CHECK(held.is_crowded());
    held.update(stream, 499, 0, now);
    CHECK_FALSE(held.is_crowded());
}

// Guards against refusing anything on hosts whose memory is unknown.
TEST_CASE("without a budget nothing is given up or refused", "[held_bytes]")
{
    const common::time_point now{10s};
    held_bytes held({});
    held.update(held.add(now), std::size_t{1} << 40U, 0, now);
    CHECK_FALSE(held.choose_stream_to_give_up(now));
    CHECK_FALSE(held.refuses_new(now));
    CHECK_FALSE(held.is_crowded());
}
