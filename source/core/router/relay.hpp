#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "router/held_stream.hpp"
#include "router/response_judgement.hpp"
#include "router/router_core.hpp"
#include "routing/attempt_ledger.hpp"
#include "routing/event_splitter.hpp"
#include "routing/prompt_parts.hpp"
#include "routing/request_fingerprint.hpp"

namespace reedramp::router {

inline auto milliseconds_between(time_point from, time_point to) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

/// A request that passed the checks, with the rules that applied.
struct admitted_request {
    http::request original;
    caller_request caller;
    std::shared_ptr<const routing::route_table> rules;
    const routing::route* route = nullptr;
    /// Owner of the caller's key; null without a key.
    const routing::organisation* owner = nullptr;
    /// Start of all times and limits of the request.
    time_point received;
    /// None if it has not been computed.
    std::optional<routing::request_fingerprint> fingerprint = std::nullopt;
};

/// Relays one request: sends it to servers until one has responded or no more attempts are allowed,
/// and gives the caller exactly one response.
///
/// What is known of an attempt decides what may follow. A request that was not sent, or that the
/// server declares not executed, may be sent to another server. One that may have run is sent again
/// only if its route allows it to run twice, or, for a resumable stream, from the event after the
/// last one that the caller has.
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

    /// Ends the request because the entry's process ends now.
    auto on_process_ends() -> void;

    /// Ends the request if it is barred now and no server has begun to answer it.
    auto on_barred() -> void;

    relay(const relay&) = delete;
    relay(relay&&) = delete;
    auto operator=(const relay&) -> relay& = delete;
    auto operator=(relay&&) -> relay& = delete;

private:
    /// One send to one server.
    struct attempt {
        routing::server_instance server;
        common::version_id version;
        /// Work still in flight; `prompt_work` of it ends with the first event.
        double work = 0.0;
        double prompt_work = 0.0;
        /// Requests in flight at the server when it was sent, including itself, and the server's
        /// slots.
        double requests_with_it = 1.0;
        unsigned slots = 0;
        /// Tokens that it holds in the server's memory.
        double memory = 0.0;
        /// Work that the server had to do before this attempt's first event, including its own
        /// prompt.
        double work_ahead = 0.0;
        /// Prompt tokens that it had to read before, its own included.
        double reading_ahead = 0.0;
        /// It was sent to the server that is filled first.
        bool is_load_test = false;
        /// Cost of the choice of its server, and the wait for its first event predicted from that;
        /// none without overload control.
        std::optional<double> cost;
        double predicted_ms = 0.0;
        time_point sent;
        time_point last_progress;
        verdict head_verdict = verdict::none;
        /// Whose attempt id that head repeats.
        echoed_attempt echoed = echoed_attempt::none;
        http::response head;
        /// Directives of the server in that head.
        server_directives directives;
        /// Load that the server stated in that head.
        std::optional<routing::stated_load> stated_load;
        std::string body;
        std::shared_ptr<http::call> call;
        std::optional<routing::event_splitter> events;
        bool has_events = false;
        /// The server was cold when the attempt was sent, so its times say nothing about its
        /// version.
        bool is_cold = false;
        time_point first_event;
        /// Events received in this attempt.
        std::int64_t events_seen = 0;
        /// Events that came with the first packet; no pause lies between them.
        std::int64_t first_events = 0;
        /// Its pauses are a sample of the server's speed already.
        bool is_speed_sampled = false;
        /// Load of the server, summed over `load_samples` samples taken during the stream.
        routing::answer_load load_sum;
        unsigned load_samples = 0;
        /// Its pause between events, or its total time, has been reported to the roll-out guide.
        bool is_timed = false;
        /// The request was sent elsewhere although the server does not count as silent yet.
        bool was_moved_early = false;
        /// Its time was up before it had been answered.
        bool was_timed_out = false;
        /// Its connection was lost before the response ended.
        bool was_lost = false;
        bool ended = false;
        /// Set if it is a retry whose arrival the retry budget does not know yet.
        std::optional<placement::retry_permit> permit;
    };

    /// Servers that the version rule allows for the request.
    struct allowed_servers {
        std::vector<const routing::registration*> all;
        /// The server of a new version that is filled first, which need not be among them; null if
        /// none is needed.
        const routing::registration* filled_first = nullptr;
    };

    struct chosen_server {
        /// Null if none is left.
        const routing::registration* server = nullptr;
        /// It is the one that is filled first.
        bool is_load_test = false;
    };

    auto start() -> void;
    auto choose_target() -> void;
    /// Chooses the server for the model in use.
    [[nodiscard]] auto choose_for_send() const -> chosen_server;
    /// The server alone; null if none is left.
    [[nodiscard]] auto choose_server() const -> const routing::registration*;
    [[nodiscard]] auto filter_by_version(
        const routing::version_rule& rule, std::vector<const routing::registration*> usable) const
        -> allowed_servers;
    /// How well requests of its kind fill a server in a load test.
    [[nodiscard]] auto load_test_fill() const -> routing::fill_level;
    /// Whether the request may be sent to the server that is filled first, without harm to its
    /// caller.
    [[nodiscard]] auto
    has_room_for_load_test(const routing::registration& server, time_point now) const -> bool;
    /// Whether the request should not go there while others of the version are available.
    [[nodiscard]] auto is_out(const routing::registration& server, time_point now) const -> bool;
    [[nodiscard]] auto has_tried(const routing::registration& server) const -> bool;
    /// Servers of the request's service that the rules allow for it.
    [[nodiscard]] auto eligible_servers() const -> std::vector<const routing::registration*>;
    /// Which versions its session may use. Evaluated for each send: a version that was good for the
    /// first may have been found bad since.
    [[nodiscard]] auto version_rule(time_point now) const -> routing::version_rule;
    /// Whether its route or its organisation restricts the regions in which it may run.
    [[nodiscard]] auto has_region_limits() const -> bool;
    /// Requests per second that a cold server of the service can serve; 0 if unlimited.
    [[nodiscard]] auto cold_per_second() const -> double;
    [[nodiscard]] auto trackers() const -> routing::server_trackers;
    [[nodiscard]] auto
    choose_among(const std::vector<const routing::registration*>& allowed, time_point now) const
        -> const routing::registration*;
    /// Whether some server, `first` included, would accept the request now.
    auto could_send_after(const routing::server_instance& first) -> bool;
    /// When an eligible server next accepts a request of this entry; `never` if there is none.
    [[nodiscard]] auto next_send_slot() const -> time_point;
    /// Time after which the caller should return if no server accepts its request.
    [[nodiscard]] auto retry_after() const -> std::chrono::milliseconds;
    auto log_no_server() const -> void;
    /// Sends the request at its next send slot; false if that is too late.
    auto wait_for_send_slot() -> bool;
    /// Index of the model to ask if the present one's answer is discarded; none if each larger one
    /// is too slow, or if the caller chose the model.
    [[nodiscard]] auto larger_model() -> std::optional<std::size_t>;
    /// When the larger model's first event would come if it were asked now.
    auto expect_larger_model(std::optional<std::size_t> larger) -> routing::larger_model_timing;
    /// Confidence required for passing on the present model's answer.
    auto required_confidence(std::optional<std::size_t> larger) -> double;
    auto use_model(std::size_t at) -> void;
    auto send_next() -> void;
    /// Sends a new request, holds it or refuses it, as overload control decides.
    auto admit(bool has_waited = false) -> void;
    /// Whether overload control refuses a further send; the request has ended then.
    auto is_refused_again(common::result_code why) -> bool;
    /// Whether the throttle of a plain service refuses the next send; the request has ended then.
    auto is_throttled() -> bool;
    auto decide_admission(bool is_further_send, bool has_waited) -> overload::admission_decision;
    auto hold_back(const overload::admission_decision& decision) -> void;
    auto refuse(const overload::admission_decision& decision) -> void;
    auto log_admission(std::string_view what, const overload::admission_decision& decision) -> void;
    [[nodiscard]] auto is_to_plain_service() const -> bool;
    /// Pressure of a plain service by the expected time of this request.
    auto plain_pressure() -> double;
    /// Time for which the caller still waits for any response.
    [[nodiscard]] auto caller_left() const -> std::chrono::milliseconds;
    /// Tells overload control that the service has given the first event or the response.
    auto note_completed() -> void;
    auto send_to(const chosen_server& chosen) -> void;
    /// Whether a send now could run the request a second time against its route; the send is
    /// withheld then.
    auto is_second_send() -> bool;
    /// Records that the send goes out on a new connection, since the kept one had been closed.
    auto note_reconnect(const attempt& of) const -> void;
    /// Creates the attempt, and records the send to the server in all trackers.
    auto begin_attempt(const chosen_server& chosen) -> std::shared_ptr<attempt>;
    [[nodiscard]] auto make_forward_headers(const routing::registration& server) const
        -> forward_headers;
    [[nodiscard]] auto make_placement_request() const -> routing::placement_request;

    /// Work of a request for the service's servers, in the unit of `load_tracker`.
    struct request_work {
        double prompt = 0.0;
        double answer = 0.0;
        /// Tokens that the request holds in the server's memory, whatever the model.
        double memory = 0.0;
    };

    [[nodiscard]] auto model_slowness() const -> double;
    [[nodiscard]] auto work() const -> request_work;
    /// Rank that counts in decisions; 0 is the highest.
    [[nodiscard]] auto rank() const -> unsigned;
    /// Owner of the caller's key; empty without one.
    [[nodiscard]] auto organisation() const -> common::organisation_id;
    /// How many times its fair share of the service the organisation uses; 1 if it stays within it.
    [[nodiscard]] auto excess() const -> double;
    /// Notes the work of a send in the organisation's usage.
    auto note_usage(double work) const -> void;
    [[nodiscard]] auto urgency() const -> int;

    auto on_head(const std::shared_ptr<attempt>& of, const http::response& head) -> void;
    /// Applies the directives that the server stated in the response.
    auto apply_directives(const attempt& of) const -> void;
    auto on_bytes(const std::shared_ptr<attempt>& of, std::string bytes) -> void;
    auto on_events(const std::shared_ptr<attempt>& of, const std::string& bytes) -> void;
    auto on_done(const std::shared_ptr<attempt>& of, const common::result<http::response>& answer)
        -> void;
    auto on_success(const std::shared_ptr<attempt>& of, const http::response& answer) -> void;
    /// The server states that it has not executed the request.
    auto on_refusal(const std::shared_ptr<attempt>& of) -> void;
    auto on_server_failure(const std::shared_ptr<attempt>& of) -> void;
    /// Asks a larger model if the answer is not confident enough. Returns whether the answer was
    /// dropped for that.
    auto ask_larger_model(const std::shared_ptr<attempt>& of) -> bool;

    /// Compares the wait for the first event with its prediction.
    auto note_predicted_wait(const attempt& of) const -> void;
    /// Reports the mean pause between events to the roll-out guide, once per attempt.
    auto note_event_pause(attempt& of) const -> void;
    /// Takes the mean pause between events as a sample of the server's speed, once per attempt that
    /// has had at least `min_events`.
    auto note_speed(attempt& of, std::int64_t min_events) const -> void;
    /// Reports the total time of an attempt that ended, or its lower bound if it was given up.
    auto note_total_time(attempt& of, routing::time_bound bound) const -> void;
    auto note_time(attempt& of, const routing::timed_answer& timed) const -> void;
    /// Slots of the server that were in use while it worked on the attempt, as far as known.
    [[nodiscard]] auto slots_used(const attempt& of) const -> double;
    [[nodiscard]] auto occupancy_of(const attempt& of) const -> routing::occupancy;
    /// Whether the server had hardly a slot left, so that requests may have waited for one.
    [[nodiscard]] auto was_nearly_full(const attempt& of) const -> bool;
    auto log_answer(const attempt& of, std::string_view what) const -> void;
    auto log_untrusted(const attempt& of, const response_judgement& judged) const -> void;
    auto log_lost(const attempt& of, const common::error& why) -> void;
    auto on_connection_lost(const std::shared_ptr<attempt>& of, const common::error& why) -> void;

    /// Records the end of the attempt in all trackers, once.
    auto end_attempt(
        const std::shared_ptr<attempt>& of,
        routing::attempt_end end,
        routing::server_outcome outcome) -> void;
    /// Cancels the call of an attempt that may be in flight, then records its end.
    auto abandon(
        const std::shared_ptr<attempt>& of,
        routing::attempt_end end,
        routing::server_outcome outcome) -> void;
    [[nodiscard]] auto is_stream() const -> bool;

    /// As `router_core::fingerprint_of`, computed on first use.
    auto fingerprint() -> routing::request_fingerprint;
    /// The parts of its prompt that other requests may share, computed on first use.
    auto shared_parts() -> const routing::part_set&;
    /// Its shared parts, and the kind of engine that it is for now.
    auto prompt_for(const common::version_id& version) -> routing::prompt_traits;
    /// The bar that concerns the request, if it or parts of its prompt crash servers.
    auto find_bar() -> std::optional<routing::request_fingerprint>;
    /// Ends the request if it is barred. Returns whether it was.
    auto give_up_if_barred() -> bool;
    auto evidence_of(const attempt& of) -> run_evidence;
    /// Records that the attempt was lost with its server.
    auto note_lost(const attempt& of) -> void;
    /// Records that the attempt was answered completely.
    auto note_served(const attempt& of, const http::response& answer) -> void;
    /// How long the attempt has been sending events; 0 before the first one.
    [[nodiscard]] auto streamed_for(const attempt& of) const -> std::chrono::milliseconds;
    /// Whether the caller already has a part of the stream from an earlier connection.
    [[nodiscard]] auto is_resumed() const -> bool;
    auto retries() -> placement::retry_budget&;
    /// Takes a retry from the service's budget, and counts it under the reason `why`; logs it if
    /// the budget denies it.
    auto acquire_retry(
        std::string_view why, placement::retry_need need = placement::retry_need::required) -> bool;
    /// Tells the retry budget that the attempt has arrived at its server, or never will.
    auto settle_retry(std::optional<placement::retry_permit>& permit) -> void;
    auto retry(common::result_code why) -> void;
    [[nodiscard]] auto may_send_again() const -> bool;
    /// Whether the attempt in flight may be abandoned for another one.
    [[nodiscard]] auto may_leave_current() const -> bool;
    auto give_up(common::result_code why) -> void;

    auto watch_for_stall(const std::shared_ptr<attempt>& of) -> void;
    /// Wait for the first event after which the server counts as silent.
    [[nodiscard]] auto silence_limit(const attempt& of) -> common::duration;
    /// How long the attempt may wait for its first event before the request is sent elsewhere.
    [[nodiscard]] auto first_event_limit(const attempt& of) -> common::duration;
    auto on_time_up() -> void;
    /// Ends the attempt in flight and gives the caller a final response with one of two results.
    auto stop(
        routing::server_outcome of_current,
        common::result_code if_not_run,
        common::result_code otherwise) -> void;
    auto on_caller_left() -> void;
    /// Ends the request because the entry holds too much for slow readers.
    auto on_memory_exceeded() -> void;
    auto cancel_call() -> void;
    auto finish(std::string_view how) -> void;

    std::shared_ptr<router_core> core;
    admitted_request request;
    std::shared_ptr<held_stream> out;

    time_point received;
    time_point give_up_at;
    /// Latest time for a send slot; `never` if it has not waited.
    time_point slot_deadline = common::never;
    common::service_name service;
    /// Empty to keep the caller's choice.
    std::string model;
    /// Index of `model` among the route's models.
    std::size_t model_index = 0;

    std::uint64_t session_hash = 0;
    std::optional<routing::part_set> cached_parts;

    std::shared_ptr<attempt> current;
    std::vector<routing::server_instance> tried;
    /// Granted for the next send.
    std::optional<placement::retry_permit> next_permit;
    /// A send was abandoned before its server had responded, and may arrive later than all others.
    bool has_silent_send = false;
    routing::attempt_ledger ledger;
    /// A server's failure response, which the caller gets if no later attempt succeeds.
    std::optional<http::response> failure_response;
    /// The head of a stream was sent to the caller.
    bool is_streaming = false;
    /// Time from the request to the first forwarded event; 0 without one.
    std::chrono::milliseconds first_event_wait{0};
    std::int64_t last_event;
    bool ended = false;

    /// How overload control admitted the request.
    struct admission_record {
        bool is_counted = false;
        bool is_deferred = false;
        double work = 0.0;
        time_point started;
    };

    admission_record admitted;
    /// Retry-After of a refusal by overload control.
    std::optional<std::chrono::milliseconds> return_after;
};

} // namespace reedramp::router
