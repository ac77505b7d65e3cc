#include <catch2/catch.hpp>

#include "fixture.hpp"

using namespace reedramp::inventory;
using namespace reedramp::inventory::testing;

TEST_CASE("a checkpoint falls due by records, by age and when the log has cut it off", "[follower]")
{
    // The host has been up for longer than the age at which a checkpoint is due; that says nothing
    // on the age of what is in the log.
    world all;
    all.run(2h);
    all.put(first_record());
    auto& one = all.start("a");
    all.run(1s);
    CHECK_FALSE(one.reader->checkpoint_due());
    put_changes(all, 9);
    all.run(1s);
    CHECK(one.reader->checkpoint_due());
    all.put(format_checkpoint(*one.reader->snapshot()));
    all.run(1s);
    CHECK_FALSE(one.reader->checkpoint_due());
    all.run(1h);
    CHECK(one.reader->checkpoint_due());
    all.put(format_checkpoint(*one.reader->snapshot()));
    put_changes(all, 3);
    all.run(1s);
    CHECK_FALSE(one.reader->checkpoint_due());
    all.log.trim(configuration, all.log.head(configuration));
    all.run(2s);
    CHECK(one.reader->checkpoint_due());
    all.set_down(true);
    all.run(20s);
    // What may be old must not be told to those who start.
    CHECK_FALSE(one.reader->checkpoint_due());
}
