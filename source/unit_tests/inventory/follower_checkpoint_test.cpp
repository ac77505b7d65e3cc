#include <catch2/catch.hpp>

#include "fixture.hpp"

using namespace reedramp::inventory;
using namespace reedramp::inventory::testing;

TEST_CASE(
    "a checkpoint is due by records, by age and when the log was trimmed past the last one",
    "[follower]")
{
    // The host has been up for longer than the age at which a checkpoint is due; the age of the
    // newest checkpoint in the log must not be derived from that.
    fixture env;
    env.run(2h);
    env.put(first_record());
    auto& one = env.start("a");
    env.run(1s);
    CHECK_FALSE(one.reader->checkpoint_due());
    put_changes(env, 9);
    env.run(1s);
    CHECK(one.reader->checkpoint_due());
    env.put(format_checkpoint(*one.reader->snapshot()));
    env.run(1s);
    CHECK_FALSE(one.reader->checkpoint_due());
    env.run(1h);
    CHECK(one.reader->checkpoint_due());
    env.put(format_checkpoint(*one.reader->snapshot()));
    put_changes(env, 3);
    env.run(1s);
    CHECK_FALSE(one.reader->checkpoint_due());
    env.log.trim(configuration, env.log.head(configuration));
    env.run(2s);
    CHECK(one.reader->checkpoint_due());
    env.set_down(true);
    env.run(20s);
    // A state that may be outdated must not become a checkpoint for starting processes.
    CHECK_FALSE(one.reader->checkpoint_due());
}
