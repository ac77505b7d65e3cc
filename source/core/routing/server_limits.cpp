#include "routing/server_limits.hpp"

#include <algorithm>
#include <cmath>

namespace reedramp::routing {

namespace {

/// Peers are told of an answer for so long. All are told in turn within ten seconds, and one that
/// starts hears of each limited server that has answered anybody meanwhile.
constexpr std::chrono::seconds told_for{30};

/// Limits in one message, 16 bytes each. While more servers name one, each entry tells of others.
constexpr std::size_t most_told = 32;

/// A server that has answered nobody for so long is gone, or nobody asks for its service.
constexpr std::chrono::minutes kept_for{5};

/// More servers than the design is for. A bound on what peers' words can make an entry hold.
constexpr std::size_t most_kept = 2048;

constexpr double noted_change = 0.1;

} // namespace

auto server_limits::note(
    const server_instance& server, std::optional<double> per_second, time_point now) -> limit_change
{
    // Nothing was said of most servers, ever.
    if (!per_second && this->words.empty()) {
        return limit_change::none;
    }
    const auto hash = hash_of(server);
    if (!per_second && !this->words.contains(hash)) {
        return limit_change::none;
    }
    return this->take(hash, {per_second, now, true});
}

auto server_limits::note_odd(const server_instance& server) -> bool
{
    return this->odd.size() < most_kept && this->odd.insert(hash_of(server)).second;
}

auto server_limits::hear(const limit_report& told, time_point now) -> limit_change
{
    return this->take(told.server, {told.per_second, now - told.age, false});
}

auto server_limits::take(std::uint64_t server, const word& newest) -> limit_change
{
    const auto found = this->words.find(server);
    const bool is_new = found == this->words.end();
    if (is_new && (!newest.per_second || this->words.size() >= most_kept)) {
        return limit_change::none;
    }
    if (!is_new && newest.said_at <= found->second.said_at) {
        return limit_change::none;
    }
    auto& known = this->words[server];
    const auto before = known.per_second;
    const auto marked = known.marked;
    known = newest;
    known.marked = marked;
    this->limited += known.per_second.has_value() ? 1 : 0;
    this->limited -= before.has_value() ? 1 : 0;
    if (!known.per_second) {
        return before ? limit_change::lifted : limit_change::none;
    }
    const bool has_changed = std::abs(*known.per_second - marked) > noted_change * marked;
    if (before && !has_changed) {
        return limit_change::none;
    }
    known.marked = *known.per_second;
    return before ? limit_change::changed : limit_change::named;
}

auto server_limits::tell(time_point now) const -> std::vector<limit_report>
{
    std::vector<limit_report> told;
    for (const auto& [server, one] : this->words) {
        if (one.is_own && now - one.said_at < told_for) {
            const auto age =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - one.said_at);
            told.push_back({server, one.per_second, age});
        }
    }
    std::ranges::sort(told, {}, &limit_report::age);
    told.resize(std::min(told.size(), most_told));
    return told;
}

auto server_limits::per_second(const server_instance& server) const -> std::optional<double>
{
    if (!this->has_any()) {
        return std::nullopt;
    }
    const auto found = this->words.find(hash_of(server));
    return found == this->words.end() ? std::nullopt : found->second.per_second;
}

auto server_limits::forget_old(time_point now) -> void
{
    std::erase_if(this->words, [this, now](const auto& item) {
        const bool is_old = now - item.second.said_at > kept_for;
        this->limited -= is_old && item.second.per_second.has_value() ? 1 : 0;
        return is_old;
    });
}

} // namespace reedramp::routing
