#include "routing/store_contact.hpp"

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds{100}};

} // namespace

TEST_CASE("without a failure or a gap there was no outage", "[store_contact]")
{
    store_contact contact;
    contact.note_answer(start);
    contact.note_answer(start + seconds{2});
    CHECK(contact.steady_since(start + seconds{2}) == start);
    CHECK(contact.outage_ended(start + seconds{2}) == time_point::min());
}

TEST_CASE("a failure ends what was known unless another was answered since", "[store_contact]")
{
    store_contact contact;
    contact.note_answer(start);
    SECTION("nobody was answered")
    {
        contact.note_failure(start + seconds{1});
        contact.note_answer(start + seconds{2});
        CHECK(contact.outage_ended(start + seconds{2}) == start + seconds{2});
    }
    SECTION("another entry was, after this one asked")
    {
        contact.hear(start, start + milliseconds{1100}, start + milliseconds{1200}, true);
        contact.note_failure(start + seconds{1});
        contact.note_answer(start + seconds{2});
        CHECK(contact.outage_ended(start + seconds{2}) == time_point::min());
    }
}

TEST_CASE(
    "a silence of all entries is an outage, and ends with the first answer", "[store_contact]")
{
    // The process stood still, or all were cut off: no reading of its own failed.
    store_contact contact;
    contact.note_answer(start);
    const auto back = start + seconds{6};
    contact.note_answer(back);
    CHECK(contact.outage_ended(back) == back);
    // Another was back before.
    contact.hear(back - seconds{1}, back, back, true);
    CHECK(contact.outage_ended(back) == back - seconds{1});
    // One that knows of no gap at all.
    contact.hear(start, back, back, true);
    CHECK(contact.outage_ended(back) == start);
}

TEST_CASE("an answer that is told again makes the store answer no longer", "[store_contact]")
{
    store_contact contact;
    contact.note_answer(start);
    // Passed on in a circle, 60 ms younger each time.
    for (int i = 1; i <= 100; ++i) {
        contact.hear(start, start + milliseconds{60 * i}, start + milliseconds{100 * i}, false);
    }
    contact.note_answer(start + seconds{10});
    CHECK(contact.outage_ended(start + seconds{10}) == start + seconds{10});
}

TEST_CASE("an answer of long ago says nothing about now", "[store_contact]")
{
    store_contact contact;
    contact.note_failure(start);
    contact.hear(start - seconds{60}, start, start + seconds{5}, true);
    CHECK(contact.steady_since(start + seconds{5}) == start + seconds{5});
}

} // namespace reedramp::routing
