#include "billing/forward.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "billing/gatherer.hpp"
#include "billing/ledger.hpp"
#include "platform/fake_log.hpp"
#include "platform/fake_time.hpp"

namespace reedramp::billing {

namespace {

using namespace std::chrono_literals;
using platform::streams::bills;

/// Entries that call each other's `receive`; calls may be lost.
class fleet {
public:
    explicit fleet(int size)
    {
        for (int index = 0; index < size; ++index) {
            this->hosts.emplace_back("entry-" + std::to_string(index));
        }
        for (const auto& host : this->hosts) {
            this->collectors[host] = this->make_collector(host);
        }
    }

    /// Adds the bill of one request at each entry.
    auto bill_all() -> void
    {
        std::uint64_t number = 0;
        for (const auto& [host, from] : this->collectors) {
            messages::bill item;
            item.request = {++number, number};
            item.organisation = common::organisation_id{"o"};
            from->add(std::move(item));
        }
    }

    [[nodiscard]] auto appends_of(const common::host_id& host) const -> std::uint64_t
    {
        return this->collectors.at(host)->counters().appends;
    }

    [[nodiscard]] auto is_empty() const -> bool
    {
        return std::all_of(this->collectors.begin(), this->collectors.end(), [](const auto& item) {
            return item.second->empty();
        });
    }

    auto billed_requests() -> std::uint64_t
    {
        ledger read;
        for (const auto& record : this->log.records(bills)) {
            read.apply(record);
        }
        return read.by_organisation().at(common::organisation_id{"o"}).requests;
    }

    platform::fake_time time;
    platform::fake_log log{time.clock(), time.timers()};
    std::vector<common::host_id> hosts;
    std::map<common::host_id, std::shared_ptr<collector>> collectors;
    bool knows_addresses = true;
    bool loses_calls = false;

private:
    auto make_collector(const common::host_id& host) -> std::shared_ptr<collector>
    {
        forward_hooks forwarding;
        forwarding.self = host;
        forwarding.entries = [this] {
            return this->hosts;
        };
        forwarding.address_of = [this](const common::host_id& entry) {
            return messages::rpc_address{this->knows_addresses ? entry.value() : std::string{}};
        };
        forwarding.hand_over = [this](
                                   const messages::rpc_address& to,
                                   messages::bill_handover items,
                                   messages::answer_hook<messages::accepted> done) {
            if (this->loses_calls) {
                done(common::failure(common::result_code::peer_unavailable));
                return;
            }
            this->collectors.at(common::host_id{to.value()})
                ->receive(std::move(items), std::move(done));
        };
        collector_hooks hooks;
        hooks.log = this->log.hooks();
        hooks.now = this->time.clock();
        hooks.timer = this->time.timers();
        hooks.random = [this] {
            return ++this->seed;
        };
        hooks.forward = make_forward(std::move(forwarding));
        return collector::create({}, std::move(hooks));
    }

    std::uint64_t seed = 0;
};

struct forward_row {
    const char* what;
    int entries;
    bool knows_addresses;
    bool loses_calls;
    /// Whether only gatherers append.
    bool is_gathered;
};

} // namespace

TEST_CASE("in a large fleet only gatherers append bills, and each request is billed once")
{
    // The log handles a few hundred appends per second; a hundred entries that each append once per
    // second would leave too few for claims. Even when the gatherer can't be reached, each bill
    // must reach the log, and no entry may keep one forever.
    const std::vector<forward_row> rows = {
        {"few entries append their own bills", 16, true, false, false},
        {"many entries send them to gatherers", 40, true, false, true},
        {"the gatherer's address is not known: append here", 40, false, false, false},
        {"the gatherer can't be reached: append here", 40, true, true, false},
    };
    for (const auto& row : rows) {
        INFO(row.what);
        fleet entries(row.entries);
        entries.knows_addresses = row.knows_addresses;
        entries.loses_calls = row.loses_calls;
        entries.bill_all();
        entries.time.run_for(10s);
        CHECK(entries.billed_requests() == static_cast<std::uint64_t>(row.entries));
        CHECK(entries.is_empty());
        for (const auto& host : entries.hosts) {
            const auto is_sender = gatherer_for(host, entries.hosts).has_value();
            CHECK((entries.appends_of(host) == 0) == (row.is_gathered && is_sender));
        }
    }
}

} // namespace reedramp::billing
