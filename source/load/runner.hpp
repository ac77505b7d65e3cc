#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "arrival_generator.hpp"
#include "common/hooks.hpp"
#include "http/client.hpp"
#include "report.hpp"
#include "settings.hpp"

namespace reedramp::load {

/// Services that the program provides to the runner. Client and timers must run on the same thread.
struct runner_dependencies {
    common::clock_hook clock;
    common::wall_clock_hook wall_clock;
    common::timer_hook timers;
    std::shared_ptr<http::client> client;
};

/// Sends the requests of one run and adds their outcomes to the report. Must be used on the thread
/// of its client and timers only.
class runner {
public:
    runner(const load_settings& run_settings, runner_dependencies dependencies, report& into);
    runner(const runner&) = delete;
    auto operator=(const runner&) -> runner& = delete;

    /// Starts the run. `done` is called when all requests have ended; the runner must exist until
    /// then.
    auto start(std::function<auto()->void> done) -> void;

private:
    struct tracked_request;
    struct session_state;
    using tracked_request_pointer = std::shared_ptr<tracked_request>;
    using session_state_pointer = std::shared_ptr<session_state>;
    using end_hook =
        std::function<auto(const answer_verdict& verdict, const http::response& answer)->void>;

    auto schedule_next() -> void;
    auto begin_request(const arrival& origin) -> void;
    auto begin_chat(const arrival& origin) -> void;
    auto begin_service(const arrival& origin) -> void;
    auto begin_session(const arrival& origin) -> void;
    auto open_session(const session_state_pointer& session) -> void;
    auto send_next_turn(const session_state_pointer& session) -> void;

    auto make_tracked_request(const arrival& origin, std::string path, std::string body)
        -> tracked_request_pointer;
    auto expect_chat(const tracked_request_pointer& item, const chat_prompt& prompt) -> void;
    auto send(const tracked_request_pointer& item) -> void;
    /// Selects the next target in round-robin order that has not refused a connection recently, or
    /// the next one if all have.
    auto pick_target() -> std::size_t;
    [[nodiscard]] auto all_targets_refuse() const -> bool;
    auto handle_refused_connection(const tracked_request_pointer& item) -> void;
    auto handle_error(const tracked_request_pointer& item, const common::error& error) -> void;
    auto handle_answer(const tracked_request_pointer& item, http::response answer) -> void;
    auto retry_later(const tracked_request_pointer& item, common::duration wait) -> void;
    auto finish(
        const tracked_request_pointer& item, answer_verdict verdict, const http::response& answer)
        -> void;
    auto release_one() -> void;

    load_settings settings;
    runner_dependencies dependencies;
    report& results;
    arrival_generator arrivals;
    std::string run_id;
    common::time_point started{};
    std::function<auto()->void> done;
    std::size_t next_target = 0;
    /// Until when each target is skipped because it refused a connection, as a load balancer does.
    std::vector<common::time_point> refused_until;
    /// Number of requests and sessions in progress, plus one while arrivals continue.
    std::uint64_t open_count = 1;
};

} // namespace reedramp::load
