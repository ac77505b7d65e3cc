#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace reedramp::common {

/// A map split into shards by key, each under its own lock, so that threads that work on different
/// keys seldom wait for each other.
///
/// The callback of each call runs under the shard's lock; it must not call back into the same map,
/// which would lock the shard twice.
template <typename Key, typename Value, std::size_t ShardCount = 16>
class sharded_map {
public:
    using shard_map = std::unordered_map<Key, Value>;

    /// Runs `action(shard_map&)` on the shard that holds `key`, and returns what it returns.
    template <typename Action>
    auto with_shard(const Key& key, Action&& action) -> decltype(auto)
    {
        auto& part = this->parts[std::hash<Key>{}(key) % ShardCount];
        const std::lock_guard guard(part.lock);
        return std::forward<Action>(action)(part.entries);
    }

    /// Runs `action(shard_map&)` on each shard in turn; there is no moment at which all are locked.
    template <typename Action>
    auto for_each_shard(Action&& action) -> void
    {
        for (auto& part : this->parts) {
            const std::lock_guard guard(part.lock);
            action(part.entries);
        }
    }

    /// The number of entries; exact only while no other thread changes the map.
    [[nodiscard]] auto size() -> std::size_t
    {
        std::size_t total = 0;
        this->for_each_shard([&total](const shard_map& entries) { total += entries.size(); });
        return total;
    }

private:
    struct shard {
        std::mutex lock;
        shard_map entries;
    };

    std::array<shard, ShardCount> parts;
};

} // namespace reedramp::common
