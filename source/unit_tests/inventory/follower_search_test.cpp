#include <catch2/catch.hpp>

#include "fixture.hpp"

using namespace reedramp::inventory;
using namespace reedramp::inventory::testing;

TEST_CASE("a peer's older state arrives during the scan of the log", "[faults]")
{
    // A starting process scans the log for a checkpoint near the head, reading from offset 21 on. A
    // peer that is far behind responds first, with the state at offset 5. If the records from 22 on
    // were folded into that state, version v9, put at offset 6, would be missing permanently, and
    // only this process would refuse requests for it.
    fixture env;
    env.put(first_record());
    auto& old = env.start("old");
    put_changes(env, 4);
    env.run(1s);
    env.freeze_replica();
    old.reads_stale_replica = true;
    env.run(2s);
    env.put(record_text("new-version", 5, put_version("v9", 1)));
    put_changes(env, 35);
    old.is_cut_off = true;
    auto faults = env.log.faults();
    faults.slow = 400ms;
    env.log.set_faults(faults);
    env.start("new");
    env.run(450ms);
    REQUIRE_FALSE(env.at("new").reader->ready());
    old.is_cut_off = false;
    env.run(300ms);
    REQUIRE(env.offset("new") == 5);
    env.run(3s);
    CHECK(env.offset("new") == 41);
    CHECK(env.serving("new", "v9") == result_code::ok);
    CHECK(env.serving("new", "v1") == result_code::ok);
}
