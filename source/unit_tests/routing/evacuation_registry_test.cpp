#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "routing/evacuation_registry.hpp"

namespace reedramp::routing {

namespace {

const common::data_centre_id dc_a{"a"};
const common::data_centre_id dc_b{"b"};

auto at(std::uint64_t offset, std::uint64_t era = 0) -> stream_position
{
    return stream_position::at(era, offset);
}

} // namespace

TEST_CASE("an evacuation holds until its record is gone", "[evacuation]")
{
    evacuation_registry book;
    CHECK(book.follow({{dc_a, true, at(4)}}, at(5)).evacuated == std::vector{dc_a});
    CHECK(book.follow({}, at(7)).is_empty());
    CHECK(book.evacuated() == std::set{dc_a});
    CHECK(book.follow({{dc_a, false, at(7)}}, at(8)).taken_back == std::vector{dc_a});
    CHECK(book.evacuated().empty());
}

TEST_CASE("a whole reading without an evacuation takes the data centre back", "[evacuation]")
{
    evacuation_registry book;
    book.replace({at(5), {dc_a, dc_b}});
    const auto changed = book.replace({at(9), {dc_b}});
    CHECK(changed.taken_back == std::vector{dc_a});
    CHECK(changed.evacuated.empty());
}

TEST_CASE("news of an earlier position change nothing, also when read again", "[evacuation]")
{
    // A peer has told that the data centre was taken back; this entry then reads the evacuation.
    evacuation_registry book;
    book.replace({at(9), {}});
    CHECK(book.follow({{dc_a, true, at(5)}}, at(6)).is_empty());
    CHECK(book.replace({at(8), {dc_a}}).is_empty());
    CHECK(book.tell().known_to == at(9));
    // A release that knows of no evacuations tells the position 0.
    book.replace({at(12), {dc_a}});
    CHECK(book.replace({at(0), {}}).is_empty());
    CHECK(book.evacuated() == std::set{dc_a});
}

TEST_CASE("what the store says after it came back older counts", "[evacuation]")
{
    evacuation_registry book;
    book.replace({at(20), {dc_a}});
    CHECK(book.replace({at(12, 1), {}}).taken_back == std::vector{dc_a});
    CHECK(book.replace({at(30), {dc_b}}).is_empty());
    CHECK(book.follow({{dc_a, true, at(12, 1)}}, at(13, 1)).evacuated == std::vector{dc_a});
}

TEST_CASE("entries that hear all words in any order agree with the stream", "[evacuation]")
{
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        std::mt19937 random{seed};
        std::vector<evacuation_report> words;
        evacuation_registry reader;
        for (std::uint64_t offset = 0; offset < 12; ++offset) {
            const evacuation_order order{
                random() % 2 == 0 ? dc_a : dc_b, random() % 2 == 0, at(offset)};
            reader.follow({order}, at(offset + 1));
            words.push_back(reader.tell());
        }
        evacuation_registry other;
        std::ranges::shuffle(words, random);
        // One in five is lost, and some come twice; the last state comes at some time.
        for (const auto& told : words) {
            if (random() % 5 != 0) {
                other.replace(told);
            }
        }
        other.replace(reader.tell());
        INFO("seed " << seed);
        CHECK(other.evacuated() == reader.evacuated());
    }
}

} // namespace reedramp::routing
