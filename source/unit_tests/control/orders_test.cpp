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

/// An order that reached the engine.
struct taken_order {
    common::time_point at;
    engine_order order;
    std::uint64_t fencing = 0;
    bool is_refused = false;
};

struct fake_engine {
    std::set<common::version_id> loaded;
    bool checks_fencing = false;
    std::uint64_t highest = 0;
    /// The next orders that are lost before they arrive, or whose answers are lost.
    int lost_orders = 0;
    int lost_answers = 0;
    std::vector<taken_order> taken;
};

/// One engine, the log's registrations, and agents that each believe to be its agent.
struct world {
    struct agent {
        std::unique_ptr<engine_orders> orders;
        /// The host is suspended until then: ticks and answers wait.
        common::time_point paused_until{};
        /// Suspended for this long between the decision on an order and its sending.
        common::duration pause_at_order{};
        /// The same while a look for a newer registration is under way.
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

    /// False if it does not come true within two minutes.
    auto run_until(const std::function<auto()->bool>& holds) -> bool
    {
        const auto end = this->time.now() + 120s;
        while (!holds() && this->time.now() < end) {
            this->run(10ms);
        }
        return holds();
    }

    auto tick(const agent_ptr& who) -> void
    {
        this->at(who, 0ms, [this, who] {
            for (const auto& step : who->orders->tick(this->plan(), this->time.now())) {
                std::visit([this, &who](const auto& item) { this->carry_out(who, item); }, step);
            }
            this->time.at(this->time.now() + 100ms, [this, who] { this->tick(who); });
        });
    }

    auto carry_out(const agent_ptr& who, const read_registrations& step) -> void
    {
        ++this->reads;
        common::result<common::log_offset> answer = common::log_offset(this->newest);
        if (this->log_down) {
            answer = common::failure(result_code::log_unavailable);
        }
        if (who->pause_at_read > 0s) {
            who->paused_until = this->time.now() + std::exchange(who->pause_at_read, 0s);
        }
        this->at(who, this->log_delay, [this, who, step, answer] {
            who->orders->on_registrations(step.ticket, answer, this->time.now());
        });
    }

    auto carry_out(const agent_ptr& who, const read_engine& step) -> void
    {
        this->at(who, 1ms, [this, who, step, loaded = this->engine.loaded] {
            who->orders->on_engine(step.ticket, loaded, this->time.now());
        });
    }

    auto carry_out(const agent_ptr& who, const fetch_weights& step) -> void
    {
        ++this->fetches;
        common::result<void> answer;
        if (this->time.now() < this->store_busy_until) {
            auto why = common::make_error(result_code::platform_unavailable);
            why.retry_at = this->store_busy_until;
            answer = tl::unexpected(why);
        }
        this->at(who, 50ms, [this, who, step, answer] {
            who->orders->on_weights(step.ticket, answer, this->time.now());
        });
    }

    auto carry_out(const agent_ptr& who, const give_order& step) -> void
    {
        if (who->pause_at_order > 0s) {
            who->paused_until = this->time.now() + who->pause_at_order;
        }
        this->at(who, 1ms, [this, who, step] {
            if (!who->orders->authorise(step.ticket, this->time.now())) {
                const auto why = common::failure(result_code::lease_lost);
                who->orders->on_order(step.ticket, why, this->time.now());
                return;
            }
            this->arrive(who, step);
        });
    }

    auto arrive(const agent_ptr& who, const give_order& step) -> void
    {
        if (this->engine.lost_orders-- > 0) {
            return;
        }
        auto& to = this->engine;
        const auto is_refused = to.checks_fencing && step.fencing < to.highest;
        to.taken.push_back({this->time.now(), step.order, step.fencing, is_refused});
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
        if (to.lost_answers-- > 0) {
            return;
        }
        this->at(who, 1ms, [this, who, step, answer] {
            who->orders->on_order(step.ticket, answer, this->time.now());
        });
    }

    /// Runs the action later, as soon as the agent is not suspended.
    auto at(const agent_ptr& who, common::duration later, std::function<auto()->void> action)
        -> void
    {
        const auto when = std::max(this->time.now() + later, who->paused_until);
        this->time.at(when, [this, who, action = std::move(action)] {
            if (this->time.now() < who->paused_until) {
                this->at(who, 0ms, action);
                return;
            }
            action();
        });
    }

    [[nodiscard]] auto plan() const -> engine_plan
    {
        return {this->wanted, this->unwanted, this->engine.checks_fencing};
    }

    /// Orders with this number that the engine took after `since`.
    [[nodiscard]] auto orders_of(std::uint64_t fencing, common::time_point since = start) const
        -> std::ptrdiff_t
    {
        return std::ranges::count_if(this->engine.taken, [&](const auto& one) {
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
    void (*run)(world& all);
};

const std::vector<fault_row> fault_rows = {
    {"nothing is wrong: what is wanted is loaded once, what is withdrawn goes",
     [](world& all) {
         all.engine.loaded = {v2};
         all.unwanted = {v2};
         all.start_agent();
         all.run(60s);
         CHECK(all.engine.loaded == std::set{v1});
         CHECK(all.engine.taken.size() == 2);
         CHECK(all.fetches == 1);
     }},
    {"process paused past its lease while it fetches weights",
     [](world& all) {
         // Operators see the engine load a version that its new agent does not know of. The host is
         // suspended during the fetch; meanwhile it is replaced. It wakes, gets the answer to the
         // fetch first, and must order nothing, since its lease lapsed while it slept.
         const auto old = all.start_agent();
         all.run(20s);
         REQUIRE(all.engine.loaded == std::set{v1});
         all.wanted = {v1, v2};
         REQUIRE(all.run_until([&all] { return all.fetches == 2; }));
         old->paused_until = all.time.now() + 60s;
         const auto next = all.start_agent();
         all.run(59s);
         const auto woken = all.time.now();
         all.engine.loaded = {v1};
         next->paused_until = common::never;
         all.run(30s);
         CHECK(all.orders_of(11, woken) == 0);
         CHECK(old->orders->held_until() == common::time_point::min());
     }},
    {"process paused between the decision on an order and its sending",
     [](world& all) {
         // The narrowest place: the order is decided under a good lease and is about to be sent
         // when the host is suspended. The check right before the send finds the lease lapsed.
         const auto old = all.start_agent();
         old->pause_at_order = 30s;
         all.run(20s);
         all.start_agent();
         all.run(60s);
         CHECK(all.orders_of(11) == 0);
         CHECK(all.orders_of(12) == 1);
     }},
    {"process paused during the look for a newer registration",
     [](world& all) {
         // The answer was true when it was given: no newer agent. It is read a minute later, when
         // there is one; it must not renew the lease from the moment of its reading.
         const auto old = all.start_agent();
         all.engine.loaded = {v1};
         all.run(20s);
         old->pause_at_read = 60s;
         all.unwanted = {v1};
         all.run(1s);
         REQUIRE(old->paused_until > all.time.now());
         all.start_agent()->paused_until = common::never;
         all.log_delay = 500ms;
         all.run(90s);
         CHECK(all.orders_of(11) == 0);
         CHECK(old->orders->held_until() == common::time_point::min());
     }},
    {"newer registration seen: the old agent stops though it runs well",
     [](world& all) {
         const auto old = all.start_agent();
         all.run(20s);
         all.start_agent();
         all.run(4s);
         const auto since = all.time.now();
         all.wanted = {v1, v2};
         all.run(60s);
         CHECK(old->orders->held_until() == common::time_point::min());
         CHECK(all.orders_of(11, since) == 0);
         CHECK(all.orders_of(12, since) == 1);
     }},
    {"answer of an order lost: the engine is looked at, and not ordered again",
     [](world& all) {
         all.engine.lost_answers = 1;
         all.start_agent();
         all.run(200s);
         CHECK(all.engine.loaded == std::set{v1});
         CHECK(all.engine.taken.size() == 1);
     }},
    {"order lost on its way: given again after the engine was looked at",
     [](world& all) {
         all.engine.lost_orders = 1;
         all.start_agent();
         all.run(200s);
         CHECK(all.engine.loaded == std::set{v1});
         CHECK(all.engine.taken.size() == 1);
         CHECK(all.fetches == 1);
     }},
    {"engine refuses the old number: the old agent gives up",
     [](world& all) {
         // The log is down, so the old agent can't see that it was replaced, and its lease still
         // holds. The engine refuses it, and it does not ask again.
         all.engine.checks_fencing = true;
         all.engine.loaded = {v1};
         const auto old = all.start_agent();
         all.run(9s);
         all.log_down = true;
         all.engine.highest = 12;
         all.wanted = {v1, v2};
         all.run(60s);
         CHECK(all.engine.taken.size() == 1);
         CHECK(all.orders_of(11) == 0);
         CHECK(old->orders->held_until() == common::time_point::min());
     }},
    {"engine ignores numbers: the new agent waits out the old lease",
     [](world& all) {
         // The old agent can't reach the log, and does not know that it was replaced; it may order
         // until its lease lapses. The new one's first order comes after the old one's last.
         all.start_agent();
         REQUIRE(all.run_until([&all] { return !all.engine.taken.empty(); }));
         all.log_down = true;
         const auto replaced = all.time.now();
         all.start_agent();
         for (int second = 0; second < 60; ++second) {
             // Whatever one of them loads is wanted again.
             all.engine.loaded.clear();
             all.run(1s);
             all.log_down = second < 12;
         }
         REQUIRE(all.orders_of(11, replaced) > 0);
         REQUIRE(all.orders_of(12) > 0);
         common::time_point last_old = start;
         common::time_point first_new = common::never;
         for (const auto& one : all.engine.taken) {
             if (one.fencing == 11) {
                 last_old = std::max(last_old, one.at);
             }
             else {
                 first_new = std::min(first_new, one.at);
             }
         }
         CHECK(last_old <= replaced + order_settings{}.lease_time);
         CHECK(first_new >= last_old + order_settings{}.order_time);
     }},
    {"log down: no order after the lease has lapsed, on it goes when the log is back",
     [](world& all) {
         all.engine.loaded = {v1};
         all.start_agent();
         all.run(20s);
         all.log_down = true;
         all.run(11s);
         all.wanted = {v1, v2};
         all.run(60s);
         CHECK(all.engine.taken.empty());
         CHECK(all.fetches == 0);
         all.log_down = false;
         all.run(10s);
         CHECK(all.engine.loaded == std::set{v1, v2});
     }},
    {"nothing to order for long: the log is read seldom, but within its retention",
     [](world& all) {
         // An agent that did not read on for longer than the log keeps its records could not tell
         // whether it was replaced meanwhile, and would give no order any more.
         all.engine.loaded = {v1};
         all.start_agent();
         all.run(4min + 59s);
         CHECK(all.reads == 1);
         all.run(56min);
         CHECK(all.reads >= 11);
         CHECK(all.reads <= 13);
     }},
    {"no registration in the log: no lease, no order",
     [](world& all) {
         all.start_agent(false);
         all.run(60s);
         CHECK(all.engine.taken.empty());
         CHECK(all.fetches == 0);
     }},
    {"weight store at its rate: the fetch waits as long as the store says",
     [](world& all) {
         all.engine.checks_fencing = true;
         all.store_busy_until = start + 30s;
         all.start_agent();
         all.run(29s);
         CHECK(all.fetches == 1);
         CHECK(all.engine.taken.empty());
         all.run(10s);
         CHECK(all.fetches == 2);
         CHECK(all.engine.loaded == std::set{v1});
     }},
};

} // namespace

TEST_CASE("an engine takes orders from one agent at a time", "[faults]")
{
    for (const auto& row : fault_rows) {
        INFO(row.what);
        world all;
        row.run(all);
    }
}
