#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/hooks.hpp"
#include "platform/hooks.hpp"

namespace reedramp::platform {

/// An in-memory list of hosts for tests and the stand-in. Not thread-safe.
class fake_hosts {
public:
    fake_hosts(common::clock_hook clock, common::timer_hook timers);

    fake_hosts(const fake_hosts&) = delete;
    auto operator=(const fake_hosts&) -> fake_hosts& = delete;

    /// The returned hooks refer to this object, which has to outlive them and their timers.
    auto hooks() -> host_hooks;

    /// Adds or replaces the row of a host.
    auto put(host_entry entry) -> void;
    auto remove(const common::host_id& host) -> void;

    /// Sets the delay until a change is visible in the list.
    auto set_lag(common::duration value) -> void { this->lag = value; }

    auto set_down(bool is_down) -> void { this->down = is_down; }

    /// The rows that a reader sees now.
    [[nodiscard]] auto visible() const -> std::vector<host_entry>;

private:
    auto apply_delayed(std::function<auto()->void> change) -> void;

    common::clock_hook clock;
    common::timer_hook timers;
    common::duration lag{};
    bool down = false;
    std::map<common::host_id, host_entry> entries;
};

/// An answer submitted for rating.
struct rated_answer {
    common::request_id request;
    std::string question;
    std::string answer;
};

/// An in-memory rating service for tests and the stand-in. Not thread-safe.
class fake_ratings {
public:
    /// Returns the score of an answer, or nullopt if it is never rated.
    using score_hook = std::function<auto(const rated_answer& submitted)->std::optional<double>>;

    fake_ratings(common::clock_hook clock, common::timer_hook timers, score_hook score);

    fake_ratings(const fake_ratings&) = delete;
    auto operator=(const fake_ratings&) -> fake_ratings& = delete;

    /// The returned hooks refer to this object, which has to outlive them and their timers.
    auto hooks() -> rating_hooks;

    /// Sets the time from the submission of an answer to its rating.
    auto set_delay(common::duration value) -> void { this->delay = value; }

    auto set_down(bool is_down) -> void { this->down = is_down; }

    auto submit(rated_answer submitted) -> void;
    [[nodiscard]] auto page_after(std::uint64_t since) const -> rating_page;

    [[nodiscard]] auto submitted_count() const -> std::uint64_t { return this->submitted; }

private:
    common::clock_hook clock;
    common::timer_hook timers;
    score_hook score;
    common::duration delay{};
    bool down = false;
    std::uint64_t submitted = 0;
    std::vector<rating> ratings;
};

} // namespace reedramp::platform
