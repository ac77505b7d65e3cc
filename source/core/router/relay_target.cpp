#include <algorithm>

#include "common/log.hpp"
#include "placement/affinity.hpp"
#include "router/relay.hpp"
#include "routing/model_choice.hpp"

/// Part of `relay` that chooses the server, the model and the urgency of a request.
namespace reedramp::router {

namespace {

/// A generated token counts as two prompt tokens. A batch generates a token for all of its answers
/// in one step, so one more answer slows the others little, while processing a prompt stops them
/// all.
constexpr double prompt_tokens_per_answer_token = 2.0;
/// Part of its slots from which a plain server counts as nearly full. The rest is for requests of
/// other entries that are not known here yet.
constexpr double nearly_full_part = 0.75;
/// Work of a request to a plain service, in tokens; about that of a short prompt.
constexpr double plain_work = 1000.0;

} // namespace

auto relay::choose_target() -> void
{
    const auto& route = *this->request.route;
    this->service = routing::choose_service(route, common::random_unit(this->core->hooks.random));
    if (!route.models.empty() && this->request.caller.model == any_model) {
        this->use_model(routing::first_model(route));
    }
    const auto& caller = this->request.caller;
    const auto& session = caller.session.empty() ? caller.attempt : caller.session;
    this->session_hash = placement::affinity_hash(session);
    if (this->is_resumed()) {
        this->core->rollouts.note_resumed(this->service, this->session_hash, this->received);
    }
}

auto relay::use_model(std::size_t at) -> void
{
    this->model_index = at;
    this->model = this->request.route->models[at].value();
}

auto relay::model_slowness() const -> double
{
    return routing::slowness(this->request.rules->find_service(this->service), this->model);
}

auto relay::work() const -> request_work
{
    const auto& caller = this->request.caller;
    if (caller.prompt_tokens == 0) {
        return {0.0, plain_work, 0.0};
    }
    const auto answer = caller.expected_answer_tokens > 0
                            ? std::min(caller.expected_answer_tokens, caller.max_answer_tokens)
                            : caller.max_answer_tokens;
    const auto slowness = this->model_slowness();
    return {
        slowness * static_cast<double>(caller.prompt_tokens),
        slowness * prompt_tokens_per_answer_token * static_cast<double>(answer),
        static_cast<double>(caller.prompt_tokens + answer)};
}

auto relay::rank() const -> unsigned
{
    return this->core->rank_of(*this->request.route, this->request.owner);
}

/// Maps the request's rank around the middle value. A request that is sent again has waited
/// already and goes ahead, and so does a resumed stream, whose caller has a part of it and notices
/// the pause.
auto relay::urgency() const -> int
{
    constexpr int middle = 4;
    constexpr int ahead = 3;
    constexpr int last = 9;
    if (this->admitted.is_deferred && !this->is_streaming && !this->is_resumed()) {
        constexpr int first_deferred = 7;
        return std::min(first_deferred + static_cast<int>(this->rank()), last);
    }
    // An organisation beyond its share gives way by one step.
    const auto rank = middle + static_cast<int>(this->rank()) + (this->excess() > 1.0 ? 1 : 0);
    const bool has_waited = this->ledger.sends() > 1 || this->is_resumed();
    return std::clamp(has_waited ? rank - ahead : rank, 0, last);
}

auto relay::make_placement_request() const -> routing::placement_request
{
    routing::placement_request placement;
    placement.tried = this->tried;
    const auto work = this->work();
    placement.work = work.prompt + work.answer;
    placement.prompt_work = work.prompt;
    placement.memory = work.memory;
    placement.own_data_centre = this->core->options.data_centre;
    const auto& parts = this->request.caller.parts;
    // The last part is specific to this request or its session. Only a resumed stream finds it
    // cached as well, at the server that just generated its beginning.
    const std::size_t own_parts = this->is_resumed() ? 0 : 1;
    std::uint64_t shared = 0;
    for (std::size_t i = 0; i + own_parts < parts.size(); ++i) {
        shared += parts[i].tokens;
    }
    if (parts.size() >= 2) {
        placement.affinity = placement::affinity_hash(parts[parts.size() - 2].id);
        placement.saved_work = this->model_slowness() * static_cast<double>(shared);
    }
    return placement;
}

auto relay::choose_for_send() const -> chosen_server
{
    const auto now = this->core->hooks.clock();
    const auto rule = this->version_rule(now);
    if (rule.allows_all() && !this->has_region_limits()) {
        return {this->choose_among(this->core->servers.usable(this->service), now)};
    }
    const auto allowed = this->filter_by_version(rule, this->eligible_servers());
    const auto* server = this->choose_among(allowed.all, now);
    return {server, server != nullptr && server == allowed.filled_first};
}

auto relay::choose_server() const -> const routing::registration*
{
    return this->choose_for_send().server;
}

auto relay::version_rule(time_point now) const -> routing::version_rule
{
    const auto kind = this->request.caller.session.empty()
                          ? routing::session_kind::single_request
                          : routing::session_kind::several_requests;
    return this->core->rollouts.rule_for(
        this->service, this->session_hash, now, {kind, this->load_test_fill()});
}

auto relay::has_tried(const routing::registration& server) const -> bool
{
    return std::ranges::find(this->tried, server.instance()) != this->tried.end();
}

auto relay::has_region_limits() const -> bool
{
    return this->request.route->homes.has_value() ||
           (this->request.owner != nullptr && this->request.owner->homes.has_value());
}

auto relay::eligible_servers() const -> std::vector<const routing::registration*>
{
    auto open = this->core->servers.usable(this->service);
    const auto& regions = this->core->options.regions;
    routing::keep_at_home(open, this->request.route->homes, regions);
    if (this->request.owner != nullptr) {
        routing::keep_at_home(open, this->request.owner->homes, regions);
    }
    return open;
}

auto relay::could_send_after(const routing::server_instance& first) -> bool
{
    const auto had = this->tried;
    std::erase(this->tried, first);
    const bool has_server = this->choose_server() != nullptr;
    this->tried = had;
    return has_server;
}

auto relay::next_send_slot() const -> time_point
{
    const auto now = this->core->hooks.clock();
    const auto known = this->trackers();
    auto next = common::never;
    for (const auto* server :
         this->filter_by_version(this->version_rule(now), this->eligible_servers()).all) {
        if (!this->has_tried(*server)) {
            next = std::min(next, known.limiter->next_slot(*server, known.cold_per_second, now));
        }
    }
    return next;
}

auto relay::wait_for_send_slot() -> bool
{
    // Another request may take the slot. The minimum wait avoids retrying in a loop.
    constexpr std::chrono::milliseconds least_wait{10};
    const auto now = this->core->hooks.clock();
    const bool is_first = this->slot_deadline == common::never;
    if (is_first) {
        this->slot_deadline = std::min(now + this->core->options.send_slot_wait, this->give_up_at);
    }
    const auto slot = std::max<time_point>(this->next_send_slot(), now + least_wait);
    if (slot > this->slot_deadline) {
        this->log_no_server();
        return false;
    }
    this->core->counters.slot_waits.add(is_first ? 1 : 0);
    // No server call holds the request here, so the timer keeps it alive.
    this->core->hooks.timer(slot, [self = this->shared_from_this()] {
        if (!self->ended) {
            self->send_next();
        }
    });
    return true;
}

auto relay::log_no_server() const -> void
{
    const auto open = this->eligible_servers();
    const auto now = this->core->hooks.clock();
    const auto cold =
        std::ranges::count_if(open, [now](const auto* server) { return server->is_cold(now); });
    const auto resting = std::ranges::count_if(open, [this, now](const auto* server) {
        return this->core->limiter.backoff_until(*server) > now;
    });
    const auto limited = std::ranges::count_if(
        open, [this](const auto* server) { return this->core->limiter.is_limited(*server); });
    common::log(
        common::log_part::place,
        common::log_level::info,
        "no server available request=" + this->request.caller.attempt +
            " service=" + this->service.value() + " open=" + std::to_string(open.size()) +
            " cold=" + std::to_string(cold) + " limited=" + std::to_string(limited) +
            " resting=" + std::to_string(resting) + " tried=" + std::to_string(this->tried.size()) +
            " evacuated=" + std::to_string(this->core->evacuations.evacuated().size()));
}

auto relay::retry_after() const -> std::chrono::milliseconds
{
    if (this->return_after) {
        return *this->return_after;
    }
    const auto& options = this->core->options;
    const auto now = this->core->hooks.clock();
    const auto open = this->eligible_servers();
    if (open.empty()) {
        return options.retry_after_not_ready;
    }
    const auto known = this->trackers();
    auto next = common::never;
    for (const auto* server : open) {
        next = std::min(next, known.limiter->caller_retry_at(*server, known.cold_per_second, now));
    }
    if (next <= now) {
        return options.retry_after;
    }
    const auto spread = common::random_unit(this->core->hooks.random) *
                        static_cast<double>(options.return_spread.count());
    return milliseconds_between(now, next) +
           std::chrono::milliseconds{static_cast<std::int64_t>(spread)};
}

auto relay::filter_by_version(
    const routing::version_rule& rule, std::vector<const routing::registration*> usable) const
    -> allowed_servers
{
    const auto now = this->core->hooks.clock();
    routing::keep_allowed(usable, rule);
    if (!rule.preferred) {
        return {std::move(usable)};
    }
    if (rule.spread < 1.0) {
        routing::keep_canaries(usable, rule.spread, [this, now](const auto& server) {
            return this->is_out(server, now);
        });
    }
    if (!rule.needs_load_test) {
        return {std::move(usable)};
    }
    const auto* first = routing::load_test_server(usable, [this, &rule, now](const auto& server) {
        return server.version != rule.preferred || this->is_out(server, now);
    });
    if (first != nullptr && this->has_room_for_load_test(*first, now)) {
        return {{first}, first};
    }
    // Long prompts would block that server for those that fill it.
    if (usable.size() > 1) {
        std::erase(usable, first);
    }
    return {std::move(usable), first};
}

auto relay::is_out(const routing::registration& server, time_point now) const -> bool
{
    return this->has_tried(server) || this->core->limiter.is_restricted(server, now) ||
           this->core->health.is_ejected(server.instance(), now);
}

auto relay::load_test_fill() const -> routing::fill_level
{
    return this->is_stream()
               ? this->core->load_test_routes.level_of(this->service, this->request.route->name)
               : routing::fill_level::most;
}

auto relay::has_room_for_load_test(const routing::registration& server, time_point now) const
    -> bool
{
    // Streams that wait for their prompts to be read take no slot.
    const double max_occupancy = this->is_stream() ? 1.0 : nearly_full_part;
    // Leaves time to answer in time if the prediction is too short. Requests that fill the server
    // less well go there only while it has little to read, or they would keep it reading.
    const auto fill = this->load_test_fill();
    const double max_part_of_target = fill == routing::fill_level::most ? 0.5 : 0.2;
    // A longer prompt would keep all others waiting, so that the server never fills.
    constexpr double max_prompt_part_of_target = 0.125;
    if (server.is_cold(now) || fill == routing::fill_level::little) {
        return false;
    }
    const auto load = this->core->loads.total(server.instance(), now);
    if (load.requests + 1.0 > max_occupancy * static_cast<double>(server.slots)) {
        return false;
    }
    // A plain server runs as many requests side by side as it has slots.
    if (!this->is_stream()) {
        return true;
    }
    const auto& speeds = this->core->speeds[this->service];
    const auto prompt = this->work().prompt;
    const auto target =
        std::min<common::duration>(this->request.route->target, this->give_up_at - now);
    return speeds.expected(load.reading + prompt) <= max_part_of_target * target &&
           speeds.expected_queueing(prompt) <= max_prompt_part_of_target * target;
}

auto relay::was_nearly_full(const attempt& of) const -> bool
{
    return of.slots > 0 && this->slots_used(of) > nearly_full_part * static_cast<double>(of.slots);
}

auto relay::cold_per_second() const -> double
{
    const auto* known = this->request.rules->find_service(this->service);
    return known == nullptr ? 0.0 : known->cold_per_second;
}

auto relay::trackers() const -> routing::server_trackers
{
    routing::server_trackers known{
        this->core->loads,
        this->core->speeds[this->service],
        this->core->health,
        &this->core->limiter,
        this->cold_per_second()};
    if (this->core->is_overload_controlled()) {
        const auto* service_rules = this->request.rules->find_service(this->service);
        known.peer_speeds = &this->core->peer_speeds;
        known.stated = &this->core->stated_loads;
        known.memory_tokens =
            service_rules == nullptr ? 0.0 : static_cast<double>(service_rules->memory_tokens);
    }
    return known;
}

auto relay::choose_among(const std::vector<const routing::registration*>& allowed, time_point now)
    const -> const routing::registration*
{
    return routing::choose_server(
        allowed,
        this->make_placement_request(),
        this->trackers(),
        this->core->options.choice,
        this->core->hooks.random(),
        now);
}

auto relay::larger_model() -> std::optional<std::size_t>
{
    if (this->model.empty()) {
        return std::nullopt; // The caller chose the model.
    }
    const auto& route = *this->request.route;
    if (!this->core->is_overload_controlled()) {
        return routing::next_model(route);
    }
    const auto* known = this->request.rules->find_service(this->service);
    const auto prompt = static_cast<double>(this->request.caller.prompt_tokens);
    const auto& waits = this->core->first_events[this->service];
    return routing::next_model_in_time(route, this->model_index, [&](std::size_t index) {
        return waits.expected(prompt * routing::slowness(known, route.models[index].value()));
    });
}

auto relay::expect_larger_model(std::optional<std::size_t> larger) -> routing::larger_model_timing
{
    if (!larger) {
        return routing::larger_model_timing::too_slow;
    }
    const auto now = this->core->hooks.clock();
    const auto used = this->model_index;
    this->use_model(*larger);
    const auto* server = this->choose_server();
    const auto ahead =
        server == nullptr ? 0.0 : this->core->loads.total(server->instance(), now).work;
    const auto prompt = this->work().prompt;
    this->use_model(used);
    auto first_event = this->core->speeds[this->service].expected(ahead + prompt);
    if (this->core->is_overload_controlled()) {
        first_event =
            std::max(first_event, this->core->first_events[this->service].expected(prompt));
    }
    return now + first_event > this->received + this->request.route->target
               ? routing::larger_model_timing::late
               : routing::larger_model_timing::in_time;
}

auto relay::required_confidence(std::optional<std::size_t> larger) -> double
{
    const auto& route = *this->request.route;
    if (this->core->must_be_quick(route, this->request.caller)) {
        return 0.0;
    }
    auto options = this->core->options.models;
    auto level = this->core->waits.level();
    if (this->core->is_overload_controlled()) {
        options.late_value = options.contended_late_value;
        level = std::max(level, this->core->pressure(this->service));
    }
    return routing::required_confidence(
        options, route.priority, level, this->expect_larger_model(larger));
}

} // namespace reedramp::router
