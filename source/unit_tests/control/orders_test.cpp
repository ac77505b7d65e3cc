#include "control/orders.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "platform/fake_time.hpp"

using namespace reedramp;
using namespace reedramp::control;
using namespace std::chrono_literals;

namespace {

using common::result_code;

const common::version_id v1("v1");
const common::version_id v2("v2");
constexpr common::time_point start{1000s};

struct received_order {
    common::time_point at;
    engine_order order;
    std::uint64_t fencing = 0;
    bool is_refused = false;
};

struct fake_engine {
    std::set<common::version_id> loaded;
    bool checks_fencing = false;
    std::uint64_t highest = 0;
    /// Number of next orders that are lost before they arrive, and of next responses that are lost.
    int lost_orders = 0;
    int lost_responses = 0;
    std::vector<received_order> received;
};

/// Simulates one engine, the registrations in the log, and agents that each believe that they are
/// the engine's agent.
struct simulation {
    struct agent {
        std::unique_ptr<engine_orders> orders;
        /// The host is suspended until then: ticks and responses are delayed.
        common::time_point paused_until{};
        /// Length of a suspension between the decision on an order and its sending.
        common::duration pause_at_order{};
        /// Length of a suspension while a read of the registrations is in flight.
        common::duration pause_at_read{};
    };

    using agent_ptr = std::shared_ptr<agent>;

    /// Registers a new agent and starts it.
    auto start_agent(bool has_lease = true) -> agent_ptr
    {
        ++this->newest;
        const auto made = std::make_shared<agent>();
        const auto now = this->time.now();
        made->orders = std::make_unique<engine_orders>(
            order_settings{},
            has_lease ? std::optional(common::log_offset(this->newest)) : std::nullopt,
            now - 1ms,
            now);
        this->tick(made);
        return made;
    }

    auto run(common::duration span) -> void { this->time.run_for(span); }

    /// Returns false if the condition does not become true within two minutes.
    auto run_until(const std::function<auto()->bool>& condition) -> bool
    {
        const auto end = this->time.now() + 120s;
        while (!condition() && this->time.now() < end) {
            this->run(10ms);
        }
        return condition();
    }

    auto tick(const agent_ptr& owner) -> void
    {
        this->at(owner, 0ms, [this, owner] {
            for (const auto& step : owner->orders->tick(this->plan(), this->time.now())) {
                std::visit([this, &owner](const auto& item) { this->execute(owner, item); }, step);
            }
            this->time.at(this->time.now() + 100ms, [this, owner] { this->tick(owner); });
        });
    }

    auto execute(const agent_ptr& owner, const read_registrations& step) -> void
    {
        ++this->reads;
        common::result<common::log_offset> answer = common::log_offset(this->newest);
        if (this->log_down) {
            answer = common::failure(result_code::log_unavailable);
        }
        if (owner->pause_at_read > 0s) {
            owner->paused_until = this->time.now() + std::exchange(owner->pause_at_read, 0s);
        }
        this->at(owner, this->log_delay, [this, owner, step, answer] {
            owner->orders->on_registrations(step.ticket, answer, this->time.now());
        });
    }

    auto execute(const agent_ptr& owner, const read_engine& step) -> void
    {
        this->at(owner, 1ms, [this, owner, step, loaded = this->engine.loaded] {
            owner->orders->on_engine(step.ticket, loaded, this->time.now());
        });
    }

    auto execute(const agent_ptr& owner, const fetch_weights& step) -> void
    {
        ++this->fetches;
        common::result<void> answer;
        if (this->time.now() < this->store_busy_until) {
            auto why = common::make_error(result_code::platform_unavailable);
            why.retry_at = this->store_busy_until;
            answer = tl::unexpected(why);
        }
        this->at(owner, 50ms, [this, owner, step, answer] {
            owner->orders->on_weights(step.ticket, answer, this->time.now());
        });
    }

    auto execute(const agent_ptr& owner, const send_order& step) -> void
    {
        if (owner->pause_at_order > 0s) {
            owner->paused_until = this->time.now() + owner->pause_at_order;
        }
        this->at(owner, 1ms, [this, owner, step] {
            if (!owner->orders->authorise(step.ticket, this->time.now())) {
                const auto why = common::failure(result_code::lease_lost);
                owner->orders->on_order(step.ticket, why, this->time.now());
                return;
            }
            this->arrive(owner, step);
        });
    }

    auto arrive(const agent_ptr& owner, const send_order& step) -> void
    {
        if (this->engine.lost_orders-- > 0) {
            return;
        }
        auto& to = this->engine;
        const auto is_refused = to.checks_fencing && step.fencing < to.highest;
        to.received.push_back({this->time.now(), step.order, step.fencing, is_refused});
        common::result<void> answer;
        if (is_refused) {
            answer = common::failure(result_code::fencing_refused);
        }
        else if (step.order.action == order_action::load) {
            to.loaded.insert(step.order.version);
        }
        else {
            to.loaded.erase(step.order.version);
        }
        to.highest = std::max(to.highest, step.fencing);
        if (to.lost_responses-- > 0) {
            return;
        }
        this->at(owner, 1ms, [this, owner, step, answer] {
            owner->orders->on_order(step.ticket, answer, this->time.now());
        });
    }

    /// Runs the action after the delay, or when the agent's suspension ends if that is later.
    auto at(const agent_ptr& owner, common::duration delay, std::function<auto()->void> action)
        -> void
    {
        const auto when = std::max(this->time.now() + delay, owner->paused_until);
        this->time.at(when, [this, owner, action = std::move(action)] {
            if (this->time.now() < owner->paused_until) {
                this->at(owner, 0ms, action);
                return;
            }
            action();
        });
    }

    [[nodiscard]] auto plan() const -> engine_plan
    {
        return {this->wanted, this->unwanted, this->engine.checks_fencing};
    }

    /// Number of orders with this fencing number that the engine accepted since `since`.
    [[nodiscard]] auto orders_of(std::uint64_t fencing, common::time_point since = start) const
        -> std::ptrdiff_t
    {
        return std::ranges::count_if(this->engine.received, [&](const auto& one) {
            return one.fencing == fencing && one.at >= since && !one.is_refused;
        });
    }

    platform::fake_time time{start};
    fake_engine engine;
    std::set<common::version_id> wanted{v1};
    std::set<common::version_id> unwanted;
    std::uint64_t newest = 10;
    bool log_down = false;
    common::duration log_delay = 1ms;
    common::time_point store_busy_until{};
    int fetches = 0;
    int reads = 0;
};

struct fault_row {
    const char* what;
    void (*run)(simulation& sim);
};

const std::vector<fault_row> fault_rows = {
    {"no fault: a wanted version is loaded once, a withdrawn one is unloaded",
     [](simulation& sim) {
         sim.engine.loaded = {v2};
         sim.unwanted = {v2};
         sim.start_agent();
         sim.run(60s);
         CHECK(sim.engine.loaded == std::set{v1});
         CHECK(sim.engine.received.size() == 2);
         CHECK(sim.fetches == 1);
     }},
    {"process paused past its lease while it fetches weights",
     [](simulation& sim) {
         // The host is suspended during the fetch, and its agent is replaced meanwhile. When the
         // host resumes, the response to the fetch arrives first. The old agent must send no order,
         // since its lease has expired; otherwise the engine loads a version unknown to the new
         // agent.
         const auto old = sim.start_agent();
         sim.run(20s);
         REQUIRE(sim.engine.loaded == std::set{v1});
         sim.wanted = {v1, v2};
         REQUIRE(sim.run_until([&sim] { return sim.fetches == 2; }));
         old->paused_until = sim.time.now() + 60s;
         const auto next = sim.start_agent();
         sim.run(59s);
         const auto resumed = sim.time.now();
         sim.engine.loaded = {v1};
         next->paused_until = common::never;
         sim.run(30s);
         CHECK(sim.orders_of(11, resumed) == 0);
         CHECK(old->orders->held_until() == common::time_point::min());
     }},
    {"process paused between the decision on an order and its sending",
     [](simulation& sim) {
         // The order is decided under a valid lease, and the host is suspended just before it is
         // sent. The check immediately before the send finds that the lease has expired.
         const auto old = sim.start_agent();
         old->pause_at_order = 30s;
         sim.run(20s);
         sim.start_agent();
         sim.run(60s);
         CHECK(sim.orders_of(11) == 0);
         CHECK(sim.orders_of(12) == 1);
     }},
    {"process paused during the read of the registrations",
     [](simulation& sim) {
         // The response, which shows no newer agent, is processed a minute later, when there is
         // one. It must not renew the lease from the time at which it is processed.
         const auto old = sim.start_agent();
         sim.engine.loaded = {v1};
         sim.run(20s);
         old->pause_at_read = 60s;
         sim.unwanted = {v1};
         sim.run(1s);
         REQUIRE(old->paused_until > sim.time.now());
         sim.start_agent()->paused_until = common::never;
         sim.log_delay = 500ms;
         sim.run(90s);
         CHECK(sim.orders_of(11) == 0);
         CHECK(old->orders->held_until() == common::time_point::min());
     }},
    {"newer registration seen: the old agent sends no more orders, though it is healthy",
     [](simulation& sim) {
         const auto old = sim.start_agent();
         sim.run(20s);
         sim.start_agent();
         sim.run(4s);
         const auto since = sim.time.now();
         sim.wanted = {v1, v2};
         sim.run(60s);
         CHECK(old->orders->held_until() == common::time_point::min());
         CHECK(sim.orders_of(11, since) == 0);
         CHECK(sim.orders_of(12, since) == 1);
     }},
    {"response to an order lost: the engine's state is read, and the order is not repeated",
     [](simulation& sim) {
         sim.engine.lost_responses = 1;
         sim.start_agent();
         sim.run(200s);
         CHECK(sim.engine.loaded == std::set{v1});
         CHECK(sim.engine.received.size() == 1);
     }},
    {"order lost before it arrives: sent again after the engine's state was read",
     [](simulation& sim) {
         sim.engine.lost_orders = 1;
         sim.start_agent();
         sim.run(200s);
         CHECK(sim.engine.loaded == std::set{v1});
         CHECK(sim.engine.received.size() == 1);
         CHECK(sim.fetches == 1);
     }},
    {"engine refuses the old fencing number: the old agent sends no more orders",
     [](simulation& sim) {
         // The log is down, so the old agent can't see that it was replaced, and its lease is still
         // valid. The engine refuses its order, and the agent sends no other.
         sim.engine.checks_fencing = true;
         sim.engine.loaded = {v1};
         const auto old = sim.start_agent();
         sim.run(9s);
         sim.log_down = true;
         sim.engine.highest = 12;
         sim.wanted = {v1, v2};
         sim.run(60s);
         CHECK(sim.engine.received.size() == 1);
         CHECK(sim.orders_of(11) == 0);
         CHECK(old->orders->held_until() == common::time_point::min());
     }},
    {"engine ignores fencing numbers: the new agent waits until the old lease has expired",
     [](simulation& sim) {
         // The old agent can't reach the log and does not know that it was replaced; it may send
         // orders until its lease expires. The new agent's first order must follow the old one's
         // last.
         sim.start_agent();
         REQUIRE(sim.run_until([&sim] { return !sim.engine.received.empty(); }));
         sim.log_down = true;
         const auto replaced = sim.time.now();
         sim.start_agent();
         for (int second = 0; second < 60; ++second) {
             // Each loaded version is dropped, so that both agents continue to have orders to send.
             sim.engine.loaded.clear();
             sim.run(1s);
             sim.log_down = second < 12;
         }
         REQUIRE(sim.orders_of(11, replaced) > 0);
         REQUIRE(sim.orders_of(12) > 0);
         common::time_point last_old = start;
         common::time_point first_new = common::never;
         for (const auto& one : sim.engine.received) {
             if (one.fencing == 11) {
                 last_old = std::max(last_old, one.at);
             }
             else {
                 first_new = std::min(first_new, one.at);
             }
         }
         CHECK(last_old <= replaced + order_settings{}.lease_time);
         CHECK(first_new >= last_old + order_settings{}.order_delivery_time);
     }},
    {"log down: no order after the lease has expired, and orders again when the log is back",
     [](simulation& sim) {
         sim.engine.loaded = {v1};
         sim.start_agent();
         sim.run(20s);
         sim.log_down = true;
         sim.run(11s);
         sim.wanted = {v1, v2};
         sim.run(60s);
         CHECK(sim.engine.received.empty());
         CHECK(sim.fetches == 0);
         sim.log_down = false;
         sim.run(10s);
         CHECK(sim.engine.loaded == std::set{v1, v2});
     }},
    {"no order to send for a long time: the log is read rarely, but within its retention",
     [](simulation& sim) {
         // An agent that did not read for longer than the log's retention could not tell whether it
         // was replaced in between, and would send no more orders.
         sim.engine.loaded = {v1};
         sim.start_agent();
         sim.run(4min + 59s);
         CHECK(sim.reads == 1);
         sim.run(56min);
         CHECK(sim.reads >= 11);
         CHECK(sim.reads <= 13);
     }},
    {"no registration in the log: no lease, no order",
     [](simulation& sim) {
         sim.start_agent(false);
         sim.run(60s);
         CHECK(sim.engine.received.empty());
         CHECK(sim.fetches == 0);
     }},
    {"weight store at its rate limit: the fetch is delayed as long as the store asks",
     [](simulation& sim) {
         sim.engine.checks_fencing = true;
         sim.store_busy_until = start + 30s;
         sim.start_agent();
         sim.run(29s);
         CHECK(sim.fetches == 1);
         CHECK(sim.engine.received.empty());
         sim.run(10s);
         CHECK(sim.fetches == 2);
         CHECK(sim.engine.loaded == std::set{v1});
     }},
};

} // namespace

TEST_CASE("an engine accepts orders from one agent at a time", "[faults]")
{
    for (const auto& row : fault_rows) {
        INFO(row.what);
        simulation sim;
        row.run(sim);
    }
}
