#pragma once

#include <chrono>
#include <cstddef>

#include "common/ids.hpp"
#include "placement/retry_budget.hpp"
#include "router/header_names.hpp"
#include "router/held_stream.hpp"
#include "router/overload_state.hpp"
#include "routing/crash_tracker.hpp"
#include "routing/home_regions.hpp"
#include "routing/list_freshness.hpp"
#include "routing/model_choice.hpp"
#include "routing/rollout_manager.hpp"
#include "routing/server_choice.hpp"
#include "routing/server_health.hpp"
#include "routing/server_limiter.hpp"

namespace reedramp::router {

/// Settings of a `router_core`.
struct router_options {
    header_names names;
    common::data_centre_id data_centre;
    /// The region of each data centre.
    routing::region_map regions;
    routing::choice_options choice;
    routing::server_limiter_options limiter;
    routing::freshness_options freshness;
    /// Of the operators' stream. Neighbours hand news on at once, but large rules take their time.
    routing::freshness_options rules_freshness{
        .first_wait = std::chrono::milliseconds{350}, .forward_wait = std::chrono::seconds{1}};
    routing::health_options health;
    routing::crash_options crashes;
    routing::rollout_options rollout;
    routing::model_options models;
    placement::retry_budget_settings retries;
    overload_options overload;
    held_stream_options streams;
    /// Maximum sends of one request, refused ones included. A refusal costs a round trip, and a
    /// service whose servers all refuse is full.
    unsigned max_sends = 4;

    /// Time that must remain for a request to be accepted by a process that is ending: the base
    /// time, within which nearly all plain requests and first events complete, and for a stream the
    /// time of its tokens at the speed of the largest model under load, or of the smallest one. The
    /// sum grows with callers' waits, up to `max_time_needed`: the balancer keeps sending requests
    /// until then, and a stream that is cut can be resumed.
    std::chrono::milliseconds base_time{1500};
    std::chrono::milliseconds token_time{15};
    std::chrono::milliseconds small_model_token_time{8};
    std::chrono::milliseconds max_time_needed{5200};
    /// Longest response that is buffered before it is forwarded. A longer one comes from a server
    /// that never finishes; some of them at once would use up all memory.
    std::size_t max_buffered_response = 8UL * 1024UL * 1024UL;
    /// Retry-After of a refusal: about the time in which a server finishes a short request.
    std::chrono::milliseconds retry_after{250};
    /// Retry-After of an entry that has no rules or servers yet. Usually the store is unavailable
    /// then for some seconds, and a caller that returns sooner is refused again.
    std::chrono::milliseconds retry_after_not_ready{2000};
    /// How long an entry without rules or servers holds requests, at most a third of the caller's
    /// remaining time. After a process was killed, most callers come with their last attempt.
    /// Usually the store is unavailable then for some seconds.
    std::chrono::milliseconds startup_hold{2000};
    /// Maximum held requests. More than arrive in that time; at some 12 KB each they take 6 MB.
    std::size_t max_held = 512;
    /// Servers of a data centre whose evacuation is revoked count as cold for this long. Servers
    /// report their state every 1.2 s, and it is read at most 2.4 s later.
    std::chrono::milliseconds cold_after_evacuation{3500};
    /// How long a request waits for a send slot if the service has only cold or limited servers:
    /// longer than most waits, and shorter than what callers take for an unresponsive service.
    std::chrono::milliseconds send_slot_wait{500};
    /// Random spread of returns. Callers that were refused because no server accepted requests
    /// return within this time after the first server accepts again, and so do entries that a
    /// server asked to back off. All at once they would overload it.
    std::chrono::milliseconds return_spread{1000};
    /// Minimum interval between immediate reports of limits to all entries. A server that
    /// alternates between stating and omitting a limit must not keep all entries sending.
    std::chrono::milliseconds limit_report_interval{2000};
    /// A stream is resumed at another server after a silence of this many times its route's longest
    /// normal pause.
    double stall_pause_factor = 1.5;
    /// A stream is also sent to another server if it waits for its first event longer than this
    /// many times the route's mean, plus `first_event_patience`. The limit is relative to other
    /// streams, since under load all wait, and restarted work would add to the load.
    double first_event_factor = 5.0;
    std::chrono::milliseconds first_event_patience{700};
    /// If longer, this many times the usual duration of the work before its first event, at the
    /// servers of its service, replaces the route's mean times its factor. The largest prompts take
    /// the largest model seconds to process; with the limit of short ones, each was started at
    /// three servers and finished at none.
    double first_event_work_factor = 3.0;
    /// Where overload control is in force and the service's pressure is below `moves_below`, a
    /// stream is also sent to another server once it has waited for its first event for this part
    /// of its route's target. A long prompt blocks a server for seconds while most others are idle.
    double first_event_target_part = 0.5;
    double moves_below = 0.5;
};

} // namespace reedramp::router
