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

/// The platform's list of hosts in memory, for tests and for the stand-in. One thread only.
class fake_hosts {
public:
    fake_hosts(common::clock_hook clock, common::timer_hook timers);

    fake_hosts(const fake_hosts&) = delete;
    auto operator=(const fake_hosts&) -> fake_hosts& = delete;

    /// The hooks refer to this object, which has to outlive them and their timers.
    auto hooks() -> host_hooks;

    /// Adds or replaces the row of this host.
    auto put(host_entry entry) -> void;
    auto remove(const common::host_id& host) -> void;

    /// How much later a change shows in the list.
    auto set_lag(common::duration wanted) -> void { this->lag = wanted; }

    auto set_down(bool is_down) -> void { this->down = is_down; }

    /// The list as a reader sees it now.
    [[nodiscard]] auto visible() const -> std::vector<host_entry>;

private:
    auto change_later(std::function<auto()->void> change) -> void;

    common::clock_hook clock;
    common::timer_hook timers;
    common::duration lag{};
    bool down = false;
    std::map<common::host_id, host_entry> entries;
};

/// One answer that was handed in for rating.
struct rated_answer {
    common::request_id request;
    std::string question;
    std::string answer;
};

/// The rating service in memory, for tests and for the stand-in. One thread only.
class fake_ratings {
public:
    /// The score of an answer, or nothing for an answer that never gets one.
    using score_hook = std::function<auto(const rated_answer& submitted)->std::optional<double>>;

    fake_ratings(common::clock_hook clock, common::timer_hook timers, score_hook score);

    fake_ratings(const fake_ratings&) = delete;
    auto operator=(const fake_ratings&) -> fake_ratings& = delete;

    /// The hooks refer to this object, which has to outlive them and their timers.
    auto hooks() -> rating_hooks;

    /// How long a rating takes.
    auto set_delay(common::duration wanted) -> void { this->delay = wanted; }

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
