#include "common/ids.hpp"

#include <catch2/catch.hpp>

#include "common/sharded_map.hpp"

using namespace reedramp::common;

TEST_CASE("request ids survive their text form; other texts are refused")
{
    const request_id id{0x0123456789abcdefULL, 0xfedcba9876543210ULL};
    CHECK(to_string(id) == "0123456789abcdeffedcba9876543210");
    CHECK(parse_request_id(to_string(id)) == id);
    for (const auto* text :
         {"",
          "0123",
          "0123456789abcdeffedcba987654321",
          "zz23456789abcdeffedcba9876543210",
          "0123456789abcdeffedcba98765432100",
          "-123456789abcdeffedcba9876543210"}) {
        INFO(text);
        CHECK_FALSE(parse_request_id(text));
    }
}

TEST_CASE("a sharded map holds what was put in, whatever the shard")
{
    sharded_map<request_id, int> map;
    for (std::uint64_t i = 0; i < 100; ++i) {
        const request_id id{i, i * 31};
        map.with_shard(id, [&](auto& entries) { entries[id] = static_cast<int>(i); });
    }
    CHECK(map.size() == 100);
    int sum = 0;
    map.for_each_shard([&](const auto& entries) {
        for (const auto& [id, value] : entries) {
            sum += value;
        }
    });
    CHECK(sum == 4950);
}
