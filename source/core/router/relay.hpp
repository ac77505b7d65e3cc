#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "router/router_core.hpp"
#include "routing/attempt_ledger.hpp"
#include "routing/event_splitter.hpp"
#include "routing/request_fingerprint.hpp"

namespace reedramp::router {

inline auto milliseconds_between(time_point from, time_point to) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

/// A request that has passed the checks, and the rules under which it did.
struct admitted_request {
    http::request asked;
    caller_request caller;
    std::shared_ptr<const routing::route_table> rules;
    const routing::route* route = nullptr;
    /// Whose key the caller has; null without one.
    const routing::organisation* owner = nullptr;
    /// Times count from here.
    time_point received;
};

/// One request on its way: sends it to servers until one has answered it or nothing more may be
/// tried, and gives the caller exactly one answer.
///
/// What is known of an attempt decides what may follow. A request that has not been sent, or that
/// the server says it has not run, may go elsewhere. One that may have run goes elsewhere only if
/// its route lets it run twice, or, for a stream that may be resumed, behind the last event that
/// the caller has.
class relay : public std::enable_shared_from_this<relay> {
public:
    static auto begin(
        std::shared_ptr<router_core> core,
        admitted_request request,
        std::shared_ptr<http::responder> out) -> void;

    relay(
        std::shared_ptr<router_core> core,
        admitted_request request,
        std::shared_ptr<http::responder> out);
    ~relay();

    /// The entry's process ends now.
    auto on_process_ends() -> void;

    relay(const relay&) = delete;
    relay(relay&&) = delete;
    auto operator=(const relay&) -> relay& = delete;
    auto operator=(relay&&) -> relay& = delete;

private:
    /// What the head of an answer says about the attempt.
    enum class verdict : std::uint8_t {
        /// No head yet.
        none,
        /// A success of the server, for this attempt.
        success,
        /// The server ran it and failed.
        server_failure,
        /// The server has not run it and never will.
        not_executed,
        /// Nothing that can be believed.
        untrusted,
    };

    /// One send to one server.
    struct attempt {
        routing::server_instance server;
        common::version_id version;
        /// Work still under way; `prompt_work` of it ends with the first event.
        double work = 0.0;
        double prompt_work = 0.0;
        /// Work that the server had to do before this attempt's answer, its own prompt included.
        double work_ahead = 0.0;
        time_point sent;
        time_point last_progress;
        verdict said = verdict::none;
        http::response head;
        /// Of the server, in that head.
        server_directives words;
        std::string body;
        std::shared_ptr<http::call> call;
        std::optional<routing::event_splitter> events;
        bool has_events = false;
        /// The server was still cold when it was sent: its times say nothing of its version.
        bool is_cold = false;
        time_point first_event;
        /// Events of this attempt.
        std::int64_t events_seen = 0;
        /// Prompts that waited at the server, summed over `load_samples` moments of the stream.
        double reading_sum = 0.0;
        unsigned load_samples = 0;
        /// Its pace, or its whole time, has been handed to the guard of roll-outs.
        bool is_timed = false;
        /// Its connection ended in its midst.
        bool was_lost = false;
        bool ended = false;
    };

    auto start() -> void;
    auto choose_target() -> void;
    /// The server for the model in use; null when none is left.
    [[nodiscard]] auto choose_server() const -> const routing::registration*;
    [[nodiscard]] auto allowed_by(
        const routing::version_rule& rule, std::vector<const routing::registration*> usable) const
        -> std::vector<const routing::registration*>;
    [[nodiscard]] auto has_tried(const routing::registration& server) const -> bool;
    /// Servers of the request's service that the rules let it go to.
    [[nodiscard]] auto open_servers() const -> std::vector<const routing::registration*>;
    /// To which versions its session may go. Anew for each send: a version that was fine for the
    /// first may have been found bad since.
    [[nodiscard]] auto version_rule(time_point now) const -> routing::version_rule;
    /// Whether its route or its organisation says in which regions it may run.
    [[nodiscard]] auto has_homes() const -> bool;
    /// What a cold server of the request's service bears; 0 if it bears all.
    [[nodiscard]] auto cold_per_second() const -> double;
    [[nodiscard]] auto books() const -> routing::server_trackers;
    [[nodiscard]] auto
    choose_among(const std::vector<const routing::registration*>& allowed, time_point now) const
        -> const routing::registration*;
    /// Whether a server would take the request now that may go to `first` again.
    auto may_go_on_after(const routing::server_instance& first) -> bool;
    /// When a server that it may go to takes a request of this entry next; `never` without one.
    [[nodiscard]] auto next_slot() const -> time_point;
    /// When a caller should come back that is refused since no server takes its request.
    [[nodiscard]] auto come_back_after() const -> std::chrono::milliseconds;
    auto log_no_server() const -> void;
    /// Sends the request on when its turn at a server comes; false if that is too late.
    auto wait_for_turn() -> bool;
    /// Whether the largest model's first event would come after the route's target.
    auto larger_would_be_late() -> bool;
    auto use_model(std::size_t at) -> void;
    auto send_next() -> void;
    auto send_to(const routing::registration& server) -> void;
    /// Enters a send to `server` in all books.
    auto begin_attempt(const routing::registration& server) -> std::shared_ptr<attempt>;
    [[nodiscard]] auto our_headers(const routing::registration& server) const -> forward_headers;
    [[nodiscard]] auto placement_wish() const -> routing::placement_request;

    /// Work of a request to one of the service's engines, as the load book counts it.
    struct request_work {
        double prompt = 0.0;
        double answer = 0.0;
    };

    [[nodiscard]] auto model_slowness() const -> double;
    [[nodiscard]] auto work() const -> request_work;
    [[nodiscard]] auto urgency() const -> int;

    auto on_head(const std::shared_ptr<attempt>& of, const http::response& head) -> void;
    /// Takes in what the server says of itself.
    auto hear_server(const attempt& of) const -> void;
    /// Whether the answer names another request: the connection held one too many.
    [[nodiscard]] auto is_for_another(const http::response& head) const -> bool;
    auto on_bytes(const std::shared_ptr<attempt>& of, std::string bytes) -> void;
    auto on_events(const std::shared_ptr<attempt>& of, const std::string& bytes) -> void;
    auto on_done(const std::shared_ptr<attempt>& of, const common::result<http::response>& answer)
        -> void;
    auto on_success(const std::shared_ptr<attempt>& of) -> void;
    /// True when the answer was dropped for a larger model's.
    auto ask_larger_model(const std::shared_ptr<attempt>& of) -> bool;
    /// Of a head that is not another request's.
    [[nodiscard]] auto judge(const http::response& head) const -> verdict;

    /// Hands the pace of the answer to the guard of roll-outs, once an attempt.
    auto note_pace(attempt& of) const -> void;
    /// The same for an answer that ends or is given up: how long it took, or at least.
    auto note_whole_time(attempt& of, routing::time_bound bound) const -> void;
    auto note_time(attempt& of, const routing::timed_answer& timed) const -> void;
    auto log_answer(const attempt& of, std::string_view what) const -> void;
    auto log_lost(const attempt& of, const common::error& why) -> void;
    auto on_lost(const std::shared_ptr<attempt>& of, const common::error& why) -> void;

    /// Ends the attempt's bookkeeping; once.
    auto settle(
        const std::shared_ptr<attempt>& of,
        routing::attempt_end end,
        routing::server_outcome outcome) -> void;
    /// The same for an attempt that may still be under way: its call is ended first.
    auto leave(
        const std::shared_ptr<attempt>& of,
        routing::attempt_end end,
        routing::server_outcome outcome) -> void;
    [[nodiscard]] auto is_stream() const -> bool;
    /// As `router_core::fingerprint_of`; made once it is asked for.
    auto fingerprint() -> routing::request_fingerprint;
    /// The caller has a part of the stream from a connection that was cut.
    [[nodiscard]] auto is_resumed() const -> bool;
    auto retries() -> placement::retry_budget&;
    auto try_again(common::result_code why) -> void;
    [[nodiscard]] auto may_send_again() const -> bool;
    /// Whether the send under way may be left for another one.
    [[nodiscard]] auto may_leave_current() const -> bool;
    auto give_up(common::result_code why) -> void;

    auto watch_for_stall(const std::shared_ptr<attempt>& of) -> void;
    auto on_time_up() -> void;
    /// Ends the send under way, and gives the caller a final answer for one of two reasons.
    auto stop(
        routing::server_outcome of_current,
        common::result_code if_not_run,
        common::result_code otherwise) -> void;
    auto on_caller_left() -> void;
    auto drop_call() -> void;
    auto finish(std::string_view how) -> void;

    std::shared_ptr<router_core> core;
    admitted_request request;
    std::shared_ptr<http::responder> out;

    time_point received;
    time_point give_up_at;
    /// No longer for a turn at a server; `never` while it has not waited.
    time_point turn_by = common::never;
    common::service_name service;
    /// Empty when the caller's choice stands.
    std::string model;
    /// Place of `model` among the route's.
    std::size_t model_at = 0;

    std::uint64_t session_hash = 0;
    std::optional<routing::request_fingerprint> known_print;

    std::shared_ptr<attempt> current;
    std::vector<routing::server_instance> tried;
    routing::attempt_ledger ledger;
    /// A failure that a server answered, for the caller when nothing better comes.
    std::optional<http::response> failure_to_pass;
    /// The caller has the head of a stream.
    bool is_streaming = false;
    /// From the request to the first event that was passed on; 0 without one.
    std::chrono::milliseconds first_event_after{0};
    std::int64_t last_event;
    bool ended = false;
};

} // namespace reedramp::router
