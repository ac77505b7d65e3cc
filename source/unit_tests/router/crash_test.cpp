#include <catch2/catch.hpp>

#include "crash_play.hpp"

namespace reedramp::router::testing {

namespace {

/// Entries that have been in touch for so long know what the others have seen.
constexpr seconds contact{3};
/// Arrivals at servers later than that which the operators allow.
constexpr std::size_t most_late = 3;

} // namespace

TEST_CASE("a request that ends servers is soon sent to none, at all entries", "[crash]")
{
    // Over a tenth of all requests fail in waves, while servers end faster than new ones start, 60
    // in a wave. One request ends each server that begins it. Each of its sends is lost, so that
    // the entry sends it on; its caller comes again, with a new id and at any entry. No attempt is
    // sent more often than allowed, but nothing knew that two attempts are the same request.
    for (const std::size_t entries : {1, 4, 26}) {
        crash_play play{{.entries = entries}};
        const auto body = crash_play::ending("one");
        for (int second = 0; second < 20; ++second) {
            for (int i = 0; i < 20; ++i) {
                play.ask_anywhere("harmless " + std::to_string((100 * second) + i));
                play.run(milliseconds{50});
            }
            play.ask_anywhere(body);
            play.ask_anywhere(body);
        }
        const auto third = play.third_end(body);
        REQUIRE(third != common::never);
        INFO(entries << " entries");
        CHECK(play.arrivals_after(body, third + contact) <= most_late);
    }
}

} // namespace reedramp::router::testing
