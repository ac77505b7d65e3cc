#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "entry/placer.hpp"
#include "platform/fake_time.hpp"

namespace reedramp::entry::test {

namespace {

const common::version_id version("v");

auto host_row(const std::string& name) -> platform::host_entry
{
    platform::host_entry row;
    row.host = common::host_id("h-" + name);
    row.data_centre = common::data_centre_id("d");
    row.region = common::region_id("r");
    row.role = platform::host_role::server;
    row.rpc = name;
    return row;
}

auto server_row(const std::string& name) -> membership::server_row
{
    membership::server_row row;
    row.server = common::server_id(name);
    row.host = common::host_id("h-" + name);
    row.data_centre = common::data_centre_id("d");
    row.region = common::region_id("r");
    row.versions = {version};
    return row;
}

/// Servers "a", "b" and "c", which answer probes immediately, with a failure (`unreachable`), or
/// never
/// (`silent`).
class fixture {
public:
    fixture()
    {
        this->members->update_hosts({host_row("a"), host_row("b"), host_row("c")});
        this->members->update_servers({server_row("a"), server_row("b"), server_row("c")});
        placer_settings settings;
        settings.self.data_centre = common::data_centre_id("d");
        settings.self.region = common::region_id("r");
        placer_hooks hooks;
        hooks.now = this->time.clock();
        hooks.timer = this->time.timers();
        hooks.random = [this] {
            return ++this->random_state * 0x9e3779b97f4a7c15ULL >> 7U;
        };
        hooks.probe = [this](const messages::rpc_address& to, const auto&, const auto& done) {
            this->probe(to.value(), done);
        };
        this->subject = placer::create(settings, hooks, this->members);
    }

    auto place(std::vector<common::server_id> tried_servers = {})
        -> std::optional<common::result<placement_decision>>
    {
        auto found = std::make_shared<std::optional<common::result<placement_decision>>>();
        placement_query query;
        query.version = version;
        query.tried_servers = std::move(tried_servers);
        this->subject->place(query, [found](auto decision) { *found = std::move(decision); });
        if (!*found) {
            this->time.run_for(std::chrono::seconds(2));
        }
        return *found;
    }

    platform::fake_time time{common::time_point(std::chrono::hours(1))};
    std::shared_ptr<membership::view> members = std::make_shared<membership::view>();
    std::shared_ptr<placer> subject;
    std::map<std::string, std::uint32_t> in_flight{{"a", 9}, {"b", 0}, {"c", 9}};
    std::map<std::string, std::uint64_t> incarnations{{"a", 1}, {"b", 2}, {"c", 3}};
    std::set<std::string> unreachable;
    std::set<std::string> silent;
    std::size_t probes = 0;

private:
    auto probe(const std::string& to, const messages::answer_hook<messages::probe_answer>& done)
        -> void
    {
        ++this->probes;
        if (this->silent.contains(to)) {
            return;
        }
        if (this->unreachable.contains(to)) {
            done(common::failure(common::result_code::peer_unavailable));
            return;
        }
        messages::probe_answer answer;
        answer.server = common::server_id(to);
        answer.incarnation = common::incarnation_id(this->incarnations.at(to));
        answer.serves_version = true;
        answer.in_flight = this->in_flight.at(to);
        answer.estimated_wait = std::chrono::milliseconds(10 * this->in_flight.at(to));
        done(answer);
    }

    std::uint64_t random_state = 0;
};

} // namespace

TEST_CASE("a placement gives the server, its address and its incarnation", "[placer]")
{
    fixture test;
    std::map<std::string, int> chosen;
    for (int count = 0; count < 30; ++count) {
        const auto found = test.place();
        REQUIRE(found.has_value());
        REQUIRE(found->has_value());
        const auto& name = (*found)->server.value();
        CHECK((*found)->address.value() == name);
        CHECK((*found)->incarnation.value() == test.incarnations.at(name));
        ++chosen[name];
        test.time.run_for(std::chrono::milliseconds(200));
    }
    CHECK(chosen["b"] > 15);
}

TEST_CASE("a request doesn't wait for its probes while recent answers suffice", "[placer]")
{
    fixture test;
    test.place();
    test.place();
    test.silent = {"a", "b", "c"};
    const auto before = test.time.now();
    CHECK(test.place().has_value());
    CHECK(test.time.now() == before);
    test.time.run_for(std::chrono::milliseconds(200));
    CHECK(test.place().has_value());
    CHECK(test.time.now() > before + std::chrono::milliseconds(200));
}

// Probes of two servers fail. A request is placed on the third one or refused with `no_capacity`
// and a retry time. It is never sent to a server whose incarnation is not known.
TEST_CASE("failed, silent and already tried servers are not chosen", "[placer]")
{
    fixture test;
    test.unreachable = {"a", "c"};
    for (int count = 0; count < 5; ++count) {
        const auto found = test.place();
        REQUIRE(found.has_value());
        if (found->has_value()) {
            CHECK((*found)->server.value() == "b");
        }
    }
    const auto none = test.place({common::server_id("b")});
    REQUIRE(none.has_value());
    REQUIRE_FALSE(none->has_value());
    CHECK(none->error().code == common::result_code::no_capacity);
    CHECK(none->error().retry_at > test.time.now() - std::chrono::seconds(2));

    fixture all_silent;
    all_silent.silent = {"a", "b", "c"};
    const auto unknown = all_silent.place();
    all_silent.time.run_for(std::chrono::seconds(10));
    CHECK((!unknown || !unknown->has_value()));
}

// An agent is replaced. A request for the previous incarnation is refused; the next one must name
// the new incarnation, or the server would refuse all requests.
TEST_CASE("the new incarnation of a replaced agent is probed", "[placer]")
{
    fixture test;
    test.unreachable = {"a", "c"};
    test.place();
    test.place();
    test.incarnations["b"] = 20;
    attempt_report report;
    report.server = common::server_id("b");
    report.incarnation = common::incarnation_id(2);
    report.end = attempt_end::refused;
    report.code = common::result_code::wrong_incarnation;
    test.subject->attempt_ended(report);
    const auto found = test.place();
    REQUIRE(found.has_value());
    REQUIRE(found->has_value());
    CHECK((*found)->incarnation.value() == 20);
}

} // namespace reedramp::entry::test
