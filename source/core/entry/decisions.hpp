#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"

namespace reedramp::entry {

/// One step of a routing decision: "version", "server", "retry" and why.
struct decision_step {
    std::string what;
    std::string chosen;
    std::string reason;
    std::string runner_up;
};

/// Why a request ran where it ran.
struct decision_record {
    common::request_id request;
    common::organisation_id organisation;
    common::log_offset configuration;
    std::vector<decision_step> steps;
    /// Set when the request has ended.
    std::optional<common::result_code> code;
    std::optional<common::execution> run;
};

/// As JSON, for operators.
auto to_json(const decision_record& record) -> std::string;

/// Remembers the newest decision records up to a fixed number; the oldest are dropped.
class decision_ring {
public:
    explicit decision_ring(std::size_t limit);

    auto add(decision_record record) -> void;
    [[nodiscard]] auto find(const common::request_id& request) const
        -> std::optional<decision_record>;

private:
    static constexpr std::size_t shard_count = 16;

    struct shard {
        mutable std::mutex lock;
        std::deque<decision_record> records;
    };

    std::size_t shard_limit;
    std::array<shard, shard_count> shards;
};

} // namespace reedramp::entry
