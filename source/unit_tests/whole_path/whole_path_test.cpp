#include <catch2/catch.hpp>

#include <set>

#include "billing/codec.hpp"
#include "billing/ledger.hpp"
#include "calls.hpp"
#include "configuration_records.hpp"
#include "fleet.hpp"

/// Requests through two entries, three agents and the platform, connected by hooks, with no faults
/// but those that a test injects.
namespace reedramp::whole_path {

namespace {

/// Fleet whose processes have all applied the first configuration and discovered each other.
class settled_fleet {
public:
    settled_fleet()
    {
        for (const auto* host : {"e1", "e2"}) {
            this->test_fleet.start_entry(host);
        }
        for (const auto* server : {"a1", "a2", "a3"}) {
            this->test_fleet.start_agent(server);
        }
        this->test_fleet.run(3s);
        for (const auto& [name, node] : this->test_fleet.entries) {
            REQUIRE(node->core->ready());
            REQUIRE(node->follower->snapshot()->problems.empty());
        }
    }

    fleet test_fleet{1};
};

auto read_ledger(fleet& test_fleet) -> billing::ledger
{
    billing::ledger read;
    for (const auto& record : test_fleet.log.records(platform::streams::bills)) {
        read.apply(record);
    }
    return read;
}

} // namespace

TEST_CASE("whole path: chats, streams and calls of a service are answered and billed once")
{
    settled_fleet fixture;
    auto& test_fleet = fixture.test_fleet;
    const auto plain = test_fleet.call("e1", chat("one", "p1", {}));
    const auto stream = test_fleet.call("e2", chat("one", "p2", {.stream = true}));
    const auto limited = test_fleet.call("e2", chat("two", "p3", {}));
    const auto note = test_fleet.call("e1", note_call("one", "p4", "key-4"));
    test_fleet.run(2s);

    CHECK(plain->head.status == 200);
    CHECK(plain->header("Reedramp-Version") == "v2");
    CHECK(chat_answer_text(*plain) == fleet::answer_text("p1", "v2"));
    CHECK(stream->is_complete_stream());
    CHECK(stream->streamed_text() == fleet::answer_text("p2", "v2"));
    CHECK(chat_answer_text(*limited) == fleet::answer_text("p3", "v1"));
    CHECK(note->body == "done p4");
    CHECK(test_fleet.work_starts.size() == 4);

    test_fleet.run(2s);
    const auto bills = read_ledger(test_fleet);
    CHECK(bills.by_organisation().at(common::organisation_id("one")).requests == 3);
    CHECK(bills.by_organisation().at(common::organisation_id("two")).requests == 1);
    CHECK(bills.repeated() == 0);
}

TEST_CASE(
    "whole path: a call with one key at two entries runs once, and both callers get the answer")
{
    // The caller's client retries at the other entry before the first answer arrives. Both entries
    // claim the key; the log grants it to one, and the other gets the answer from the agent.
    settled_fleet fixture;
    auto& test_fleet = fixture.test_fleet;
    const auto first = test_fleet.call("e1", note_call("one", "p1", "key-1"));
    const auto second = test_fleet.call("e2", note_call("one", "p1", "key-1"));
    test_fleet.run(3s);
    CHECK(first->body == "done p1");
    CHECK(second->body == "done p1");
    CHECK(test_fleet.work_starts.size() == 1);
    test_fleet.run(2s);
    const auto bills = read_ledger(test_fleet);
    CHECK(bills.by_organisation().at(common::organisation_id("one")).requests == 1);
}

TEST_CASE("whole path: a withdrawal is in force everywhere, and the version's sessions end")
{
    // An operator withdraws v2 at one entry. Within seconds no entry sends work to v2, requests of
    // its sessions are refused with "not_run", and new requests go to another version.
    settled_fleet fixture;
    auto& test_fleet = fixture.test_fleet;
    const auto opened = test_fleet.call("e1", open_session("one", {}));
    test_fleet.run(1s);
    const auto token = opened->header("Reedramp-Session");
    const auto before = test_fleet.call("e2", chat("one", "p1", {.session = token}));
    test_fleet.run(1s);
    CHECK(chat_answer_text(*before) == fleet::answer_text("p1", "v2"));

    std::optional<common::result<inventory::publication>> published;
    test_fleet.publish(
        "e1", "w1", R"({"withdraw":"v2"})", [&](auto answer) { published = answer; });
    test_fleet.run(3s);
    REQUIRE(published);
    REQUIRE(published->has_value());
    for (const auto& [name, node] : test_fleet.agents) {
        CHECK(node->follower->snapshot()->is_withdrawn(common::version_id("v2")));
    }
    const auto pinned = test_fleet.call("e2", chat("one", "p2", {.session = token}));
    const auto fresh = test_fleet.call("e2", chat("one", "p3", {}));
    test_fleet.run(1s);
    CHECK(pinned->problem_name() == "session_ended");
    CHECK(pinned->execution() == "not_run");
    CHECK(chat_answer_text(*fresh) == fleet::answer_text("p3", "v3"));
}

TEST_CASE("whole path: a draining agent gets no new work although the host list lags")
{
    // The platform stops a1, but its host list shows that only 30 s later. Requests in flight on a1
    // complete; all later requests go to a2.
    settled_fleet fixture;
    auto& test_fleet = fixture.test_fleet;
    test_fleet.hosts.set_lag(30s);
    std::vector<std::shared_ptr<fake_caller>> callers;
    callers.reserve(24);
    for (auto index = 0; index < 4; ++index) {
        callers.push_back(
            test_fleet.call("e1", chat("one", "r" + std::to_string(index), {.stream = true})));
    }
    test_fleet.run(10ms);
    test_fleet.drain_agent("a1");
    const auto before = test_fleet.work_starts.size();
    test_fleet.run(2s);
    std::set<std::string> asked;
    test_fleet.net.on_run = [&](const auto& at, const auto&) {
        asked.insert(at.value());
    };
    for (auto index = 4; index < 24; ++index) {
        callers.push_back(test_fleet.call(
            index % 2 == 0 ? "e1" : "e2", chat("one", "s" + std::to_string(index), {})));
        test_fleet.run(100ms);
    }
    test_fleet.run(1s);
    for (const auto& caller : callers) {
        CHECK(caller->head.status == 200);
        CHECK(caller->finished);
    }
    for (auto index = before; index < test_fleet.work_starts.size(); ++index) {
        CHECK(test_fleet.work_starts[index].server.value() != "a1");
    }
    CHECK(asked == std::set<std::string>{"a2"});
}

TEST_CASE("whole path: an entry that stops completes its requests and loses no bill")
{
    // The platform stops e1 during a stream, and the log is down for longer than e1 waits to append
    // its bills. The caller gets the complete answer; e2 receives the bills and appends them later.
    settled_fleet fixture;
    auto& test_fleet = fixture.test_fleet;
    const auto running = test_fleet.call("e1", chat("one", "p1", {.stream = true}));
    test_fleet.run(10ms);
    platform::log_faults down;
    down.down = true;
    test_fleet.log.set_faults(down);
    test_fleet.stop_entry("e1");
    test_fleet.run(8s);
    test_fleet.log.set_faults({});
    test_fleet.run(15s);
    CHECK(running->streamed_text() == fleet::answer_text("p1", "v2"));
    CHECK(running->is_complete_stream());
    CHECK(test_fleet.entry_at("e1").has_exited);
    CHECK(test_fleet.entry_at("e1").cut_requests == 0);
    const auto bills = read_ledger(test_fleet);
    REQUIRE(bills.by_organisation().contains(common::organisation_id("one")));
    CHECK(bills.by_organisation().at(common::organisation_id("one")).requests == 1);
}

} // namespace reedramp::whole_path
