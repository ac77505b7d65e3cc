#include "claims/claim_arbiter_set.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "membership/rendezvous.hpp"

namespace reedramp::claims {

namespace {

/// The first serves; the second has already replayed the window if the first fails.
constexpr std::size_t arbiters_per_partition = 2;

auto ranked(partition_id partition, const std::vector<common::host_id>& entries)
    -> std::vector<common::host_id>
{
    return membership::rank(stream_of(partition), entries);
}

} // namespace

auto claim_arbiter_set_config::defaults_for_names() -> claim_arbiter_config
{
    claim_arbiter_config config;
    config.window = std::chrono::hours{26};
    return config;
}

claim_arbiter_set::claim_arbiter_set(claim_arbiter_set_config settings, claim_arbiter_hooks given)
    : config(std::move(settings)), hooks(std::move(given))
{
}

auto claim_arbiter_set::update_entries(std::vector<common::host_id> live) -> void
{
    std::vector<arbiter_ptr> started;
    std::vector<arbiter_ptr> idle;
    {
        const std::lock_guard guard(this->lock);
        this->entries = std::move(live);
        const auto is_idle = [](const arbiter_ptr& item) {
            return item->counters().pending == 0;
        };
        std::erase_if(this->retired, is_idle);
        for (std::uint32_t number = 0; number < partition_count && !this->stopped; ++number) {
            const partition_id partition{number};
            auto& current = this->arbiters.at(number);
            if (this->should_serve(partition)) {
                started.push_back(this->get_or_create(partition));
            }
            else if (current) {
                // It gets no new claims but still decides its pending ones.
                this->retired.push_back(std::exchange(current, nullptr));
            }
        }
    }
    for (const auto& item : started) {
        item->start();
    }
}

auto claim_arbiter_set::ranked_entries(
    const messages::claim_request& claim, std::size_t limit) const -> std::vector<common::host_id>
{
    const std::lock_guard guard(this->lock);
    auto order = ranked(partition_of(claim), this->entries);
    order.resize(std::min(order.size(), limit));
    return order;
}

auto claim_arbiter_set::claim(
    messages::claim_request request, messages::answer_hook<messages::claim_answer> done) -> void
{
    arbiter_ptr arbiter;
    {
        const std::lock_guard guard(this->lock);
        if (!this->stopped) {
            arbiter = this->get_or_create(partition_of(request));
        }
    }
    if (!arbiter) {
        done(common::failure(common::result_code::shutting_down, "claim arbiter has stopped"));
        return;
    }
    arbiter->start();
    arbiter->claim(std::move(request), [done = std::move(done)](messages::claim_answer answer) {
        done(std::move(answer));
    });
}

auto claim_arbiter_set::stop() -> void
{
    std::vector<arbiter_ptr> all;
    {
        const std::lock_guard guard(this->lock);
        this->stopped = true;
        all.assign(this->arbiters.begin(), this->arbiters.end());
        all.insert(all.end(), this->retired.begin(), this->retired.end());
        this->arbiters.fill(nullptr);
        this->retired.clear();
    }
    for (const auto& item : all) {
        if (item) {
            item->stop();
        }
    }
}

auto claim_arbiter_set::counters() const -> claim_arbiter_counters
{
    std::vector<arbiter_ptr> all;
    {
        const std::lock_guard guard(this->lock);
        std::ranges::copy_if(this->arbiters, std::back_inserter(all), [](const arbiter_ptr& item) {
            return item != nullptr;
        });
    }
    claim_arbiter_counters sum;
    sum.state = all.empty() ? arbiter_state::stopped : arbiter_state::serving;
    for (const auto& item : all) {
        const auto one = item->counters();
        const auto is_worse =
            one.state == arbiter_state::log_down ||
            (one.state != arbiter_state::serving && sum.state == arbiter_state::serving);
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

auto claim_arbiter_set::should_serve(partition_id partition) const -> bool
{
    const auto order = ranked(partition, this->entries);
    const auto count = std::min(order.size(), arbiters_per_partition);
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
    return std::find(order.begin(), end, this->config.self) != end;
}

auto claim_arbiter_set::get_or_create(partition_id partition) -> arbiter_ptr
{
    auto& current = this->arbiters.at(partition.value());
    if (!current) {
        const auto is_name = partition.value() >= request_partitions;
        auto settings = is_name ? this->config.names : this->config.requests;
        settings.stream = stream_of(partition);
        current = claim_arbiter::create(std::move(settings), this->hooks);
    }
    return current;
}

} // namespace reedramp::claims
