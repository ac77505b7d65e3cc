#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "arrivals.hpp"
#include "common/hooks.hpp"
#include "http/client.hpp"
#include "report.hpp"
#include "settings.hpp"

namespace reedramp::load {

/// What the runner needs from the program. Client and timers run on one and the same thread.
struct runner_tools {
    common::clock_hook clock;
    common::wall_clock_hook wall_clock;
    common::timer_hook timers;
    std::shared_ptr<http::client> client;
};

/// Sends the requests of one run and hands their outcomes to the report. One thread only.
class runner {
public:
    runner(const load_settings& given, runner_tools tools, report& into);
    runner(const runner&) = delete;
    auto operator=(const runner&) -> runner& = delete;

    /// `done` runs when all requests have ended. The runner has to live until then.
    auto start(std::function<auto()->void> done) -> void;

private:
    struct exchange;
    struct conversation;
    using exchange_pointer = std::shared_ptr<exchange>;
    using conversation_pointer = std::shared_ptr<conversation>;
    using end_hook =
        std::function<auto(const answer_verdict& verdict, const http::response& answer)->void>;

    auto schedule_next() -> void;
    auto begin(const arrival& what) -> void;
    auto begin_chat(const arrival& what) -> void;
    auto begin_service(const arrival& what) -> void;
    auto begin_session(const arrival& what) -> void;
    auto open_session(const conversation_pointer& talk) -> void;
    auto next_turn(const conversation_pointer& talk) -> void;

    auto make_exchange(const arrival& what, std::string path, std::string body) -> exchange_pointer;
    auto expect_chat(const exchange_pointer& item, const chat_prompt& prompt) -> void;
    auto send(const exchange_pointer& item) -> void;
    /// The next target in turn that has not refused lately; the next one if all have.
    auto pick_target() -> std::size_t;
    [[nodiscard]] auto all_refuse() const -> bool;
    auto take_refused_connect(const exchange_pointer& item) -> void;
    auto take_error(const exchange_pointer& item, const common::error& why) -> void;
    auto take_answer(const exchange_pointer& item, http::response answer) -> void;
    auto retry_later(const exchange_pointer& item, common::duration wait) -> void;
    auto end(const exchange_pointer& item, answer_verdict verdict, const http::response& answer)
        -> void;
    auto end_one() -> void;

    load_settings settings;
    runner_tools tools;
    report& results;
    arrivals source;
    std::string run_id;
    common::time_point started{};
    std::function<auto()->void> done;
    std::size_t next_target = 0;
    /// A target that refused a connection is left out until then, like a balancer does.
    std::vector<common::time_point> refused_until;
    /// Requests and sessions under way, and one for the arrivals themselves.
    std::uint64_t open = 1;
};

} // namespace reedramp::load
