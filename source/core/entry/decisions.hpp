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

/// One step of a routing decision, such as "version", "server" or "retry", and its reason.
struct decision_step {
    std::string kind;
    std::string chosen;
    std::string reason;
    std::string runner_up;
};

/// The routing decisions made for a request, for operators.
struct decision_record {
    common::request_id request;
    common::organisation_id organisation;
    common::log_offset configuration;
    std::vector<decision_step> steps;
    /// Set once the request has ended.
    std::optional<common::result_code> code;
    std::optional<common::execution> run;
};

/// Formats the record as JSON, for operators.
auto to_json(const decision_record& record) -> std::string;

/// Bounded buffer of the latest decision records. Thread-safe. The limit is divided evenly over the
/// shards; each drops its oldest record when it is full.
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
