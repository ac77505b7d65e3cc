#include "entry/context.hpp"

#include <utility>

namespace reedramp::entry {

auto atomic_counters::count_refusal(common::result_code code) -> void
{
    const auto index = static_cast<std::size_t>(code);
    if (index < code_limit) {
        this->refusals[index].fetch_add(1, std::memory_order_relaxed);
    }
}

auto atomic_counters::count_version(const common::version_id& version) -> void
{
    this->versions.with_shard(version, [&version](auto& entries) { ++entries[version]; });
}

auto atomic_counters::snapshot(std::size_t in_flight) -> core_counters
{
    core_counters result;
    result.in_flight = in_flight;
    result.answered = this->answered.load();
    result.retries = this->retries.load();
    result.continued_streams = this->continued_streams.load();
    result.late_events = this->late_events.load();
    result.aborted_by_shutdown = this->aborted_by_shutdown.load();
    for (std::size_t code = 0; code < code_limit; ++code) {
        const auto count = this->refusals[code].load(std::memory_order_relaxed);
        if (count > 0) {
            result.refusals[static_cast<common::result_code>(code)] = count;
        }
    }
    this->versions.for_each_shard([&result](const auto& entries) {
        for (const auto& [version, count] : entries) {
            result.versions[version] += count;
        }
    });
    return result;
}

auto request_registry::shard_of(const common::request_id& id) -> shard&
{
    return this->shards[std::hash<common::request_id>{}(id) % shard_count];
}

auto request_registry::add(const exchange_ptr& item) -> void
{
    auto& target = this->shard_of(item->id);
    const std::lock_guard guard(target.lock);
    target.items.emplace(item->id, item);
    target.due.emplace(item->deadline, item->id);
    ++this->count;
}

auto request_registry::remove(const exchange& item) -> void
{
    auto& target = this->shard_of(item.id);
    const std::lock_guard guard(target.lock);
    target.due.erase(due_key(item.deadline, item.id));
    if (target.items.erase(item.id) > 0) {
        --this->count;
    }
}

auto request_registry::take_overdue(common::time_point now) -> std::vector<exchange_ptr>
{
    std::vector<exchange_ptr> overdue;
    for (auto& target : this->shards) {
        const std::lock_guard guard(target.lock);
        while (!target.due.empty() && target.due.begin()->first <= now) {
            const auto found = target.items.find(target.due.begin()->second);
            if (found != target.items.end()) {
                overdue.push_back(found->second);
            }
            target.due.erase(target.due.begin());
        }
    }
    return overdue;
}

auto request_registry::all() -> std::vector<exchange_ptr>
{
    std::vector<exchange_ptr> found;
    for (auto& target : this->shards) {
        const std::lock_guard guard(target.lock);
        for (const auto& [id, item] : target.items) {
            found.push_back(item);
        }
    }
    return found;
}

auto request_registry::clear() -> void
{
    for (auto& target : this->shards) {
        // Exchanges are destroyed after the lock is released, as their last steps may call hooks.
        std::unordered_map<common::request_id, exchange_ptr> items;
        const std::lock_guard guard(target.lock);
        items.swap(target.items);
        target.due.clear();
    }
}

core_context::core_context(core_options wanted, core_hooks given, admin_api operators)
    : options(wanted), hooks(std::move(given)), admin(std::move(operators)),
      decisions(wanted.decision_limit),
      retry_budget(wanted.retries, {this->hooks.now, this->hooks.random, this->hooks.entry_count}),
      work_chain(
          {make_authenticate(),
           make_organisation_rules(),
           make_billing(),
           make_session(),
           make_version_choice(),
           make_limits(),
           make_placement(),
           make_claim(),
           make_dispatch()}),
      models_chain({make_authenticate(), make_list_models()}), session_chain(
                                                                   {make_authenticate(),
                                                                    make_organisation_rules(),
                                                                    make_version_choice(),
                                                                    make_open_session()})
{
}

} // namespace reedramp::entry
