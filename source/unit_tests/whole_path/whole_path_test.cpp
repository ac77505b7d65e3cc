#include <catch2/catch.hpp>

#include <set>

#include "billing/codec.hpp"
#include "billing/ledger.hpp"
#include "calls.hpp"
#include "fleet.hpp"
#include "inventory.hpp"

/// Two entries, three agents and the platform, connected by hooks alone, without a fault but those
/// that a test names.
namespace reedramp::whole_path {

namespace {

/// A fleet whose processes all have the first configuration and know each other.
class settled {
public:
    settled()
    {
        for (const auto* host : {"e1", "e2"}) {
            this->all.start_entry(host);
        }
        for (const auto* server : {"a1", "a2", "a3"}) {
            this->all.start_agent(server);
        }
        this->all.run(3s);
        for (const auto& [name, node] : this->all.entries) {
            REQUIRE(node->core->ready());
            REQUIRE(node->follower->snapshot()->problems.empty());
        }
    }

    fleet all{1};
};

auto billed_requests(fleet& all) -> billing::ledger
{
    billing::ledger read;
    for (const auto& record : all.log.records(platform::streams::bills)) {
        read.apply(record);
    }
    return read;
}

} // namespace

TEST_CASE("whole path: chats, streams and calls of a service are answered and billed once")
{
    settled with;
    auto& all = with.all;
    const auto plain = all.call("e1", chat("one", "p1", {}));
    const auto stream = all.call("e2", chat("one", "p2", {.stream = true}));
    const auto limited = all.call("e2", chat("two", "p3", {}));
    const auto note = all.call("e1", note_call("one", "p4", "key-4"));
    all.run(2s);

    CHECK(plain->head.status == 200);
    CHECK(plain->header("Reedramp-Version") == "v2");
    CHECK(answer_of(*plain) == fleet::answer_text("p1", "v2"));
    CHECK(stream->is_complete_stream());
    CHECK(stream->streamed_text() == fleet::answer_text("p2", "v2"));
    CHECK(answer_of(*limited) == fleet::answer_text("p3", "v1"));
    CHECK(note->body == "done p4");
    CHECK(all.starts.size() == 4);

    all.run(2s);
    const auto bills = billed_requests(all);
    CHECK(bills.by_organisation().at(common::organisation_id("one")).requests == 3);
    CHECK(bills.by_organisation().at(common::organisation_id("two")).requests == 1);
    CHECK(bills.repeated() == 0);
}

TEST_CASE("whole path: a key at two entries at once runs once, and both callers get the answer")
{
    // The caller's tool has sent its call again to the other entry before the first answer came.
    // Both claim the key; the log gives it to one, and the other gets the answer from the agent.
    settled with;
    auto& all = with.all;
    const auto first = all.call("e1", note_call("one", "p1", "key-1"));
    const auto second = all.call("e2", note_call("one", "p1", "key-1"));
    all.run(3s);
    CHECK(first->body == "done p1");
    CHECK(second->body == "done p1");
    CHECK(all.starts.size() == 1);
    all.run(2s);
    const auto bills = billed_requests(all);
    CHECK(bills.by_organisation().at(common::organisation_id("one")).requests == 1);
}

TEST_CASE("whole path: a withdrawal is in force everywhere, and its sessions end")
{
    // An operator withdraws v2 at one entry. Within seconds no entry sends it work, its sessions
    // are refused with "not run", and new work goes to another version.
    settled with;
    auto& all = with.all;
    const auto opened = all.call("e1", open_session("one", {}));
    all.run(1s);
    const auto token = opened->header("Reedramp-Session");
    const auto before = all.call("e2", chat("one", "p1", {.session = token}));
    all.run(1s);
    CHECK(answer_of(*before) == fleet::answer_text("p1", "v2"));

    std::optional<common::result<inventory::publication>> published;
    all.publish("e1", "w1", R"({"withdraw":"v2"})", [&](auto answer) { published = answer; });
    all.run(3s);
    REQUIRE(published);
    REQUIRE(published->has_value());
    for (const auto& [name, node] : all.agents) {
        CHECK(node->follower->snapshot()->is_withdrawn(common::version_id("v2")));
    }
    const auto pinned = all.call("e2", chat("one", "p2", {.session = token}));
    const auto fresh = all.call("e2", chat("one", "p3", {}));
    all.run(1s);
    CHECK(pinned->problem_name() == "session_ended");
    CHECK(pinned->execution() == "not_run");
    CHECK(answer_of(*fresh) == fleet::answer_text("p3", "v3"));
}

TEST_CASE("whole path: a leaving agent gets no new work though the list of hosts lags")
{
    // The platform stops a1 and its list shows that 30 s later. What runs there ends; all else goes
    // to a2 from the first request on.
    settled with;
    auto& all = with.all;
    all.hosts.set_lag(30s);
    std::vector<std::shared_ptr<fake_caller>> callers;
    callers.reserve(24);
    for (auto index = 0; index < 4; ++index) {
        callers.push_back(
            all.call("e1", chat("one", "r" + std::to_string(index), {.stream = true})));
    }
    all.run(10ms);
    all.drain_agent("a1");
    const auto before = all.starts.size();
    all.run(2s);
    std::set<std::string> asked;
    all.net.on_run = [&](const auto& at, const auto&) {
        asked.insert(at.value());
    };
    for (auto index = 4; index < 24; ++index) {
        callers.push_back(
            all.call(index % 2 == 0 ? "e1" : "e2", chat("one", "s" + std::to_string(index), {})));
        all.run(100ms);
    }
    all.run(1s);
    for (const auto& caller : callers) {
        CHECK(caller->head.status == 200);
        CHECK(caller->finished);
    }
    for (auto index = before; index < all.starts.size(); ++index) {
        CHECK(all.starts[index].server.value() != "a1");
    }
    CHECK(asked == std::set<std::string>{"a2"});
}

TEST_CASE("whole path: an entry that stops cuts nothing and leaves no bill behind")
{
    // The platform stops e1 while it streams, and the log is down for longer than e1 waits for its
    // bills. Its callers get whole answers; e2 takes the bills over and writes them later.
    settled with;
    auto& all = with.all;
    const auto running = all.call("e1", chat("one", "p1", {.stream = true}));
    all.run(10ms);
    platform::log_faults down;
    down.down = true;
    all.log.set_faults(down);
    all.stop_entry("e1");
    all.run(8s);
    all.log.set_faults({});
    all.run(15s);
    CHECK(running->streamed_text() == fleet::answer_text("p1", "v2"));
    CHECK(running->is_complete_stream());
    CHECK(all.entry_at("e1").left);
    CHECK(all.entry_at("e1").cut == 0);
    const auto bills = billed_requests(all);
    REQUIRE(bills.by_organisation().contains(common::organisation_id("one")));
    CHECK(bills.by_organisation().at(common::organisation_id("one")).requests == 1);
}

} // namespace reedramp::whole_path
