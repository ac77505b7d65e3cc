#include "routing/store_contact.hpp"

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds{100}};

} // namespace

TEST_CASE("without a failure or a gap no outage is reported", "[store_contact]")
{
    store_contact contact;
    contact.note_answer(start);
    contact.note_answer(start + seconds{2});
    CHECK(contact.steady_since(start + seconds{2}) == start);
    CHECK(contact.outage_ended(start + seconds{2}) == time_point::min());
}

TEST_CASE(
    "a failure ends the steady period unless another entry was answered since", "[store_contact]")
{
    store_contact contact;
    contact.note_answer(start);
    SECTION("no entry was answered")
    {
        contact.note_failure(start + seconds{1});
        contact.note_answer(start + seconds{2});
        CHECK(contact.outage_ended(start + seconds{2}) == start + seconds{2});
    }
    SECTION("another entry was answered after this one's query")
    {
        contact.apply_report(start, start + milliseconds{1100}, start + milliseconds{1200}, true);
        contact.note_failure(start + seconds{1});
        contact.note_answer(start + seconds{2});
        CHECK(contact.outage_ended(start + seconds{2}) == time_point::min());
    }
}

TEST_CASE("a gap at all entries is an outage, and ends with the first answer", "[store_contact]")
{
    // The process was paused, or all entries were cut off: none of its own queries failed.
    store_contact contact;
    contact.note_answer(start);
    const auto back = start + seconds{6};
    contact.note_answer(back);
    CHECK(contact.outage_ended(back) == back);
    // Another entry was answered earlier.
    contact.apply_report(back - seconds{1}, back, back, true);
    CHECK(contact.outage_ended(back) == back - seconds{1});
    // Another entry knows of no gap at all.
    contact.apply_report(start, back, back, true);
    CHECK(contact.outage_ended(back) == start);
}

TEST_CASE(
    "an answer that is reported repeatedly does not extend the steady period", "[store_contact]")
{
    store_contact contact;
    contact.note_answer(start);
    // Forwarded in a cycle, and 60 ms too young each time.
    for (int i = 1; i <= 100; ++i) {
        contact.apply_report(
            start, start + milliseconds{60 * i}, start + milliseconds{100 * i}, false);
    }
    contact.note_answer(start + seconds{10});
    CHECK(contact.outage_ended(start + seconds{10}) == start + seconds{10});
}

TEST_CASE("an old answer does not affect the current state", "[store_contact]")
{
    store_contact contact;
    contact.note_failure(start);
    contact.apply_report(start - seconds{60}, start, start + seconds{5}, true);
    CHECK(contact.steady_since(start + seconds{5}) == start + seconds{5});
}

} // namespace reedramp::routing
