#include "overload/refusal_throttle.hpp"

#include <algorithm>

namespace reedramp::overload {

refusal_throttle::refusal_throttle(refusal_throttle_options options_to_use)
    : options(options_to_use)
{
}

auto refusal_throttle::should_refuse(std::size_t usable, double draw, time_point now) -> bool
{
    const bool is_probe = now - this->last_sent >= this->options.probe_interval;
    const bool refuses = !is_probe && draw < this->refusal_probability(usable, now);
    auto& bucket = this->bucket_at(now);
    if (refuses) {
        bucket.refused_here += 1;
        return true;
    }
    bucket.sent += 1;
    this->last_sent = now;
    return false;
}

auto refusal_throttle::note_refused(const routing::server_instance& server, time_point now) -> void
{
    this->bucket_at(now).refused_by_servers += 1;
    // Not every entry asks `should_refuse`, so servers that no longer refuse are dropped here too.
    (void)this->refusing_servers(now);
    this->refused_at[server] = now;
}

auto refusal_throttle::refusal_probability(std::size_t usable, time_point now) -> double
{
    constexpr std::size_t least_refusing = 2;
    if (this->refusing_servers(now) < std::min(least_refusing, usable)) {
        return 0.0;
    }
    const auto sum = this->sum_at(now);
    const auto all = static_cast<double>(sum.sent + sum.refused_here);
    // A refusal may be newer than the send that it belongs to, and then outlive it in the window.
    const auto accepted =
        static_cast<double>(sum.sent) - static_cast<double>(sum.refused_by_servers);
    const auto tolerated = this->options.sends_per_accepted * std::max(0.0, accepted);
    return std::max(0.0, (all - tolerated) / (all + 1.0));
}

auto refusal_throttle::bucket_at(time_point now) -> counts&
{
    const auto period = now.time_since_epoch() / bucket_length;
    auto& bucket = this->window.at(static_cast<std::size_t>(period) % buckets);
    if (bucket.period != period) {
        bucket = {};
        bucket.period = period;
    }
    return bucket;
}

auto refusal_throttle::sum_at(time_point now) const -> counts
{
    const auto oldest = now.time_since_epoch() / bucket_length - static_cast<std::int64_t>(buckets);
    counts sum;
    for (const auto& bucket : this->window) {
        if (bucket.period > oldest) {
            sum.sent += bucket.sent;
            sum.refused_here += bucket.refused_here;
            sum.refused_by_servers += bucket.refused_by_servers;
        }
    }
    return sum;
}

auto refusal_throttle::refusing_servers(time_point now) -> std::size_t
{
    constexpr auto window_length = bucket_length * buckets;
    std::erase_if(this->refused_at, [now, window_length](const auto& one) {
        return now - one.second > window_length;
    });
    return this->refused_at.size();
}

} // namespace reedramp::overload
