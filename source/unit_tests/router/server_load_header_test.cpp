#include "router/server_load_header.hpp"

#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace reedramp::router::testing {

namespace {

auto load_of(std::vector<std::string> values) -> load_header
{
    http::response head;
    for (auto& one : values) {
        head.headers.push_back({"reedramp-load", std::move(one)});
    }
    return read_server_load(head, header_names{});
}

} // namespace

TEST_CASE("a server's load has three or four figures", "[server_load]")
{
    // Guards against figures that are read in the wrong order or unit.
    const auto three = load_of({"3,1,64"});
    REQUIRE(three.load);
    CHECK(three.load->running == 3);
    CHECK(three.load->waiting == 1);
    CHECK(three.load->slots == 64);
    CHECK_FALSE(three.load->slowdown);
    CHECK(load_of({"0,0,6,100"}).load->slowdown == 1.0);
    CHECK(load_of({" 0, 0 ,\t6 , 250 "}).load->slowdown == 2.5);
    CHECK_FALSE(load_of({}).load);
    CHECK_FALSE(load_of({}).is_malformed);
}

TEST_CASE("a malformed load is no load", "[server_load]")
{
    // Guards against a garbled header that makes a server look idle or full.
    for (const auto* malformed :
         {"",         " ",       ",",         "1,2",      "1,2,",        ",1,2",
          "1,,2,3",   "1,2,3,",  "1,2,3,4,5", "1,2,3,4,", "-1,2,3",      "1,2,3,-4",
          "+1,2,3",   "1.5,2,3", "1,2,3,1e2", "1,2,x",    "0x1,2,3",     "1 2,3,4",
          "1;2;3",    "1,2,0",   "1,2,0,100", "1,2,3,0",  "1000001,0,6", "1,2,99999999999999999999",
          "1,2,3,nan"}) {
        INFO(malformed);
        CHECK_FALSE(load_of({malformed}).load);
        CHECK(load_of({malformed}).is_malformed);
    }
    // Two headers contradict each other.
    CHECK_FALSE(load_of({"1,2,3", "4,5,6"}).load);
    CHECK(load_of({"1,2,3", "4,5,6"}).is_malformed);
    CHECK_FALSE(load_of({"x", "4,5,6"}).load);
}

TEST_CASE("any bytes are either a valid load or malformed", "[server_load]")
{
    // Guards against a decoder that crashes or yields impossible figures.
    std::mt19937_64 random{1};
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes(random() % 12, '\0');
        for (auto& byte : bytes) {
            byte =
                random() % 8 != 0 ? "0123456789,, -"[random() % 14] : static_cast<char>(random());
        }
        const auto read = load_of({bytes});
        CHECK(read.load.has_value() != read.is_malformed);
        if (read.load) {
            CHECK(read.load->slots > 0);
            CHECK(read.load->slowdown.value_or(1.0) > 0.0);
        }
    }
}

} // namespace reedramp::router::testing
