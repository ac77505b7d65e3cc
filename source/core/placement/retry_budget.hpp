#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

#include "common/hooks.hpp"
#include "common/units.hpp"
#include "placement/arrival_smoother.hpp"
#include "placement/retry_window.hpp"

namespace reedramp::placement {

/// Retries that a deployment allows to a service, over all entries and in any window.
struct retry_budget_settings {
    /// Retries per first attempt.
    double ratio = 0.1;
    /// Retries in addition to these.
    double extra = 0.0;
    common::duration window = std::chrono::seconds{10};
};

struct retry_budget_hooks {
    common::clock_hook clock;
    common::random_hook random;
    /// Returns the number of entries that share the extra retries, this one included. Empty if it
    /// is the only one.
    std::function<auto()->std::size_t> entries = {};
};

enum class retry_need : std::uint8_t {
    /// The request fails without the retry.
    required,
    /// The request would be answered without it, though less well.
    optional,
};

/// A granted retry.
struct retry_permit {
    /// It arrives at a server by then, unless the budget is told otherwise.
    common::time_point latest_arrival;
};

/// What a budget has counted since the process started, and what is left.
struct retry_budget_state {
    std::uint64_t first_attempts = 0;
    std::uint64_t granted = 0;
    /// Retries left of those that first attempts earned, and of this entry's share of the extra.
    double earned = 0.0;
    double shared = 0.0;
    /// The largest number of entries known so far.
    std::size_t entries = 1;
    /// Retries that servers may receive within one window, and how many these may be.
    std::size_t in_window = 0;
    double window_limit = 0.0;
};

/// One entry's part of the retries of a service, chosen so that all entries together stay within
/// the deployment's allowance. Without a limit, servers that fail or refuse under load would
/// receive each request several times.
///
/// Each first attempt earns a part of a retry, which this process may use for a fraction of the
/// window. So the earned retries of all processes in a window come from the requests of that window
/// and of that fraction before it. This holds without any message between entries, and however
/// often processes restart, join or are lost: a process starts with nothing.
///
/// The extra retries are divided by the number of entries. Each entry's share accrues over time, so
/// that a restart brings none either.
///
/// The deployment counts requests when callers send them and retries when servers receive them.
/// Requests may be read late, all at once: they earn no faster than their mean rate. Retries may be
/// received late, all at once: those that may still arrive, or arrived within the window, are
/// limited to what the mean rate pays for in a window.
///
/// Thread-safe.
class retry_budget {
public:
    retry_budget(retry_budget_settings settings, retry_budget_hooks hooks);

    /// Replaces the settings. Retries earned so far are kept.
    auto update_settings(retry_budget_settings settings) -> void;

    auto record_first_attempt() -> void;

    /// Uses one retry, which arrives at a server by `latest_arrival`, or at once by default. Empty
    /// if too little is left. An optional retry leaves a part for required ones.
    [[nodiscard]] auto try_acquire_retry(
        retry_need need = retry_need::required, common::time_point latest_arrival = {})
        -> std::optional<retry_permit>;

    /// Records that a retry has arrived by now, or never will.
    auto note_arrived(const retry_permit& permit) -> void;

    [[nodiscard]] auto state() -> retry_budget_state;

private:
    /// Retries earned in one slot of time.
    struct earned_slot {
        std::int64_t number = -1;
        double earned = 0.0;
        double left = 0.0;
    };

    static constexpr std::size_t slot_count = 8;

    /// What the hooks returned. They are called outside the lock.
    struct hook_values {
        common::time_point now;
        std::size_t entries = 1;
    };

    [[nodiscard]] auto read_hooks() const -> hook_values;
    auto refresh(const hook_values& values) -> void;
    auto accrue_share(common::time_point now) -> void;
    auto drop_expired(std::int64_t current_slot) -> void;
    [[nodiscard]] auto max_share() const -> double;
    [[nodiscard]] auto slot_number(common::time_point now) const -> std::int64_t;
    [[nodiscard]] auto earned_left() const -> double;
    [[nodiscard]] auto earned_lately() const -> double;
    [[nodiscard]] auto usable_for(retry_need need) const -> double;
    /// How many retries servers may receive within one window.
    [[nodiscard]] auto window_limit(common::time_point now) -> double;
    /// How many of these are left.
    [[nodiscard]] auto receivable(common::time_point now) -> double;
    auto use(double retries) -> void;

    std::mutex lock;
    retry_budget_settings settings;
    retry_budget_hooks hooks;
    arrival_smoother arrivals;
    retry_window in_window;
    std::array<earned_slot, slot_count> slots;
    double shared = 0.0;
    /// The share has accrued until then.
    common::time_point accrued_until;
    std::size_t max_entries = 1;
    std::uint64_t first_attempts = 0;
    std::uint64_t granted = 0;
};

} // namespace reedramp::placement
