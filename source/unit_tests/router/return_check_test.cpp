#include <catch2/catch.hpp>

#include "queued_store.hpp"

/// Tests of servers whose registration appears again soon after its end.
namespace reedramp::router::testing {

namespace {

/// An entry whose list is read by the test, and whose service has a status check. The platform
/// shows no registration of which the number alone has changed.
struct checking_entry {
    router_fixture fixture;
    std::shared_ptr<servers_list> list =
        std::make_shared<servers_list>(this->fixture.core, follower_options{});

    checking_entry()
    {
        auto rules = rules_of(2);
        rules.rules.services.front().health_path = "/health";
        this->fixture.core->apply_rules(std::move(rules));
        this->read("new", 1);
        this->read_end("new");
        REQUIRE_FALSE(this->is_used());
        this->fixture.advance(seconds{2});
    }

    auto read(const std::string& id, std::uint64_t sequence) -> void
    {
        auto change = make_registration_change(id);
        change.now->sequence = sequence;
        this->apply(std::move(change));
    }

    auto read_end(const std::string& id) -> void
    {
        this->apply({common::server_id{id}, std::nullopt});
    }

    [[nodiscard]] auto is_used() const -> bool
    {
        return this->fixture.core->servers.find(common::server_id{"new"}) != nullptr;
    }

    auto answer(std::uint16_t status) -> void
    {
        this->fixture.last().events.on_done(http::response{status, {}, {}});
    }

private:
    auto apply(routing::registration_change change) -> void
    {
        this->end += 1;
        this->list->apply_reading(
            reading<routing::registration_change>({std::move(change)}, this->end, false),
            this->fixture.now);
    }

    std::uint64_t end = 0;
};

} // namespace

TEST_CASE("a server whose registration appears after its end is asked first", "[return_check]")
{
    // Guards against requests to a server that is gone, by a late registration with a number that
    // no entry has seen.
    checking_entry one;
    one.read("new", 40);
    REQUIRE(one.fixture.sends() == 1);
    CHECK(one.fixture.last().request.method == "GET");
    CHECK(one.fixture.last().request.target == "/health");
    CHECK(one.fixture.last().header("Reedramp-Expect-Server") == "new");
    CHECK_FALSE(one.is_used());
    SECTION("one that serves is used at once")
    {
        one.answer(200);
        CHECK(one.is_used());
    }
    SECTION("one that leaves is not used, until nothing old can appear any more")
    {
        for (int i = 0; i < 20; ++i) {
            one.answer(503);
            CHECK_FALSE(one.is_used());
            one.fixture.advance(milliseconds{300});
        }
        one.fixture.advance(seconds{3});
        CHECK(one.is_used());
    }
    SECTION("one that is full for a moment is asked again")
    {
        one.answer(503);
        one.fixture.advance(milliseconds{300});
        REQUIRE(one.fixture.sends() == 2);
        one.answer(200);
        CHECK(one.is_used());
    }
    SECTION("one that does not answer is asked again, and used after the time of late writes")
    {
        one.fixture.advance(milliseconds{1400});
        CHECK(one.fixture.sends() == 2);
        CHECK_FALSE(one.is_used());
        one.fixture.advance(seconds{8});
        CHECK(one.is_used());
    }
    SECTION("one whose registration ends again is forgotten")
    {
        one.read_end("new");
        one.answer(200);
        CHECK_FALSE(one.is_used());
    }
    SECTION("a registration that is forwarded by several is asked for once")
    {
        one.read("new", 41);
        CHECK(one.fixture.sends() == 1);
    }
}

TEST_CASE("no server is asked that can be told without", "[return_check]")
{
    // Guards against questions to each server that starts, or is known to have gone.
    checking_entry one;
    one.read("new", 1);
    CHECK_FALSE(one.is_used());
    one.read("other", 1);
    CHECK(one.fixture.core->servers.find(common::server_id{"other"}) != nullptr);
    one.fixture.advance(seconds{11});
    one.read("new", 40);
    CHECK(one.is_used());
    CHECK(one.fixture.sends() == 0);
}

} // namespace reedramp::router::testing
