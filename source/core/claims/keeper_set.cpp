#include "claims/keeper_set.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "membership/rendezvous.hpp"

namespace reedramp::claims {

namespace {

/// The first serves; the second has read the window already when the first is lost.
constexpr std::size_t prepared_keepers = 2;

auto ranked(partition_id partition, const std::vector<common::host_id>& entries)
    -> std::vector<common::host_id>
{
    return membership::rank(stream_of(partition), entries);
}

} // namespace

auto keeper_set_config::defaults_for_names() -> keeper_config
{
    keeper_config config;
    config.window = std::chrono::hours{26};
    return config;
}

keeper_set::keeper_set(keeper_set_config settings, keeper_hooks given)
    : config(std::move(settings)), hooks(std::move(given))
{
}

auto keeper_set::update_entries(std::vector<common::host_id> live) -> void
{
    std::vector<keeper_ptr> started;
    std::vector<keeper_ptr> idle;
    {
        const std::lock_guard guard(this->lock);
        this->entries = std::move(live);
        const auto is_idle = [](const keeper_ptr& item) {
            return item->counters().pending == 0;
        };
        std::erase_if(this->retired, is_idle);
        for (std::uint32_t number = 0; number < partition_count && !this->stopped; ++number) {
            const partition_id partition{number};
            auto& mine = this->keepers.at(number);
            if (this->wants(partition)) {
                started.push_back(this->obtain(partition));
            }
            else if (mine) {
                // Claims that it has under way are still decided; it gets no new ones.
                this->retired.push_back(std::exchange(mine, nullptr));
            }
        }
    }
    for (const auto& item : started) {
        item->start();
    }
}

auto keeper_set::order_for(const messages::claim_request& claim, std::size_t limit) const
    -> std::vector<common::host_id>
{
    const std::lock_guard guard(this->lock);
    auto order = ranked(partition_of(claim), this->entries);
    order.resize(std::min(order.size(), limit));
    return order;
}

auto keeper_set::claim(
    messages::claim_request request, messages::answer_hook<messages::claim_answer> done) -> void
{
    keeper_ptr responsible;
    {
        const std::lock_guard guard(this->lock);
        if (!this->stopped) {
            responsible = this->obtain(partition_of(request));
        }
    }
    if (!responsible) {
        done(common::failure(common::result_code::shutting_down, "the keeper has stopped"));
        return;
    }
    responsible->start();
    responsible->claim(std::move(request), [done = std::move(done)](messages::claim_answer made) {
        done(std::move(made));
    });
}

auto keeper_set::stop() -> void
{
    std::vector<keeper_ptr> all;
    {
        const std::lock_guard guard(this->lock);
        this->stopped = true;
        all.assign(this->keepers.begin(), this->keepers.end());
        all.insert(all.end(), this->retired.begin(), this->retired.end());
        this->keepers.fill(nullptr);
        this->retired.clear();
    }
    for (const auto& item : all) {
        if (item) {
            item->stop();
        }
    }
}

auto keeper_set::counters() const -> keeper_counters
{
    std::vector<keeper_ptr> all;
    {
        const std::lock_guard guard(this->lock);
        std::ranges::copy_if(this->keepers, std::back_inserter(all), [](const keeper_ptr& item) {
            return item != nullptr;
        });
    }
    keeper_counters sum;
    sum.state = all.empty() ? keeper_state::stopped : keeper_state::serving;
    for (const auto& item : all) {
        const auto one = item->counters();
        const auto is_worse =
            one.state == keeper_state::log_down ||
            (one.state != keeper_state::serving && sum.state == keeper_state::serving);
        sum.state = is_worse ? one.state : sum.state;
        sum.keys += one.keys;
        sum.pending += one.pending;
        sum.appends += one.appends;
        sum.reads += one.reads;
        sum.won += one.won;
        sum.lost += one.lost;
        sum.refused += one.refused;
        sum.malformed_records += one.malformed_records;
        sum.takeovers += one.takeovers;
    }
    return sum;
}

auto keeper_set::wants(partition_id partition) const -> bool
{
    const auto order = ranked(partition, this->entries);
    const auto prepared = std::min(order.size(), prepared_keepers);
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(prepared);
    return std::find(order.begin(), end, this->config.self) != end;
}

auto keeper_set::obtain(partition_id partition) -> keeper_ptr
{
    auto& mine = this->keepers.at(partition.value());
    if (!mine) {
        const auto is_name = partition.value() >= request_partitions;
        auto settings = is_name ? this->config.names : this->config.requests;
        settings.stream = stream_of(partition);
        mine = keeper::create(std::move(settings), this->hooks);
    }
    return mine;
}

} // namespace reedramp::claims
