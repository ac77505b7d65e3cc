#include <algorithm>

#include "common/log.hpp"
#include "placement/affinity.hpp"
#include "router/relay.hpp"
#include "routing/model_choice.hpp"

/// Where a request goes, with which model and how urgently: the part of `relay` that chooses.
namespace reedramp::router {

namespace {

/// A token written counts as two tokens read: a batch writes all its tokens in one step, so that
/// one answer more slows the others little, while a prompt that is read stops them all.
constexpr double read_tokens_per_written = 2.0;
/// Work of a request to a plain service, in tokens: the order of a short prompt.
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
    this->model_at = at;
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
        return {0.0, plain_work};
    }
    const auto answer = caller.expected_answer_tokens > 0
                            ? std::min(caller.expected_answer_tokens, caller.most_answer_tokens)
                            : caller.most_answer_tokens;
    const auto slowness = this->model_slowness();
    return {
        slowness * static_cast<double>(caller.prompt_tokens),
        slowness * read_tokens_per_written * static_cast<double>(answer)};
}

/// A route's rank around the middle. What was dropped or broken off once has waited already, and
/// goes first; so does a stream that was cut with its entry: its caller has a part of it, and the
/// pause counts.
auto relay::urgency() const -> int
{
    constexpr int middle = 4;
    constexpr int ahead = 3;
    constexpr int last = 9;
    const auto rank = middle + static_cast<int>(this->request.route->priority);
    const bool has_waited = this->ledger.sends() > 1 || this->is_resumed();
    return std::clamp(has_waited ? rank - ahead : rank, 0, last);
}

auto relay::placement_wish() const -> routing::placement_request
{
    routing::placement_request wish;
    wish.tried = this->tried;
    const auto work = this->work();
    wish.work = work.prompt + work.answer;
    wish.own_data_centre = this->core->options.data_centre;
    const auto& parts = this->request.caller.parts;
    // The last part belongs to this request or its session alone: only a stream that is resumed
    // finds it, too, at the server that wrote its beginning, a moment ago.
    const std::size_t own_parts = this->is_resumed() ? 0 : 1;
    std::uint64_t shared = 0;
    for (std::size_t i = 0; i + own_parts < parts.size(); ++i) {
        shared += parts[i].tokens;
    }
    if (parts.size() >= 2) {
        wish.affinity = placement::affinity_hash(parts[parts.size() - 2].id);
        wish.saved_work = this->model_slowness() * static_cast<double>(shared);
    }
    return wish;
}

auto relay::choose_server() const -> const routing::registration*
{
    const auto now = this->core->hooks.clock();
    const auto rule = this->version_rule(now);
    if (rule.allows_all() && !this->has_homes()) {
        return this->choose_among(this->core->servers.usable(this->service), now);
    }
    return this->choose_among(this->allowed_by(rule, this->open_servers()), now);
}

auto relay::version_rule(time_point now) const -> routing::version_rule
{
    return this->core->rollouts.rule_for(this->service, this->session_hash, now);
}

auto relay::has_tried(const routing::registration& server) const -> bool
{
    return std::ranges::find(this->tried, server.instance()) != this->tried.end();
}

auto relay::has_homes() const -> bool
{
    return !this->request.route->homes.empty() ||
           (this->request.owner != nullptr && !this->request.owner->homes.empty());
}

auto relay::open_servers() const -> std::vector<const routing::registration*>
{
    auto open = this->core->servers.usable(this->service);
    const auto& regions = this->core->options.regions;
    routing::keep_at_home(open, this->request.route->homes, regions);
    if (this->request.owner != nullptr) {
        routing::keep_at_home(open, this->request.owner->homes, regions);
    }
    return open;
}

auto relay::may_go_on_after(const routing::server_instance& first) -> bool
{
    const auto had = this->tried;
    std::erase(this->tried, first);
    const bool has_server = this->choose_server() != nullptr;
    this->tried = had;
    return has_server;
}

auto relay::next_slot() const -> time_point
{
    const auto now = this->core->hooks.clock();
    const auto known = this->books();
    auto next = common::never;
    for (const auto* server : this->allowed_by(this->version_rule(now), this->open_servers())) {
        if (!this->has_tried(*server)) {
            next = std::min(next, known.limiter->next_slot(*server, known.cold_per_second, now));
        }
    }
    return next;
}

auto relay::wait_for_turn() -> bool
{
    // Another request may take the turn: looked for again then, and not at once.
    constexpr std::chrono::milliseconds least_wait{10};
    const auto now = this->core->hooks.clock();
    const bool is_first = this->turn_by == common::never;
    if (is_first) {
        this->turn_by = std::min(now + this->core->options.turn_patience, this->give_up_at);
    }
    const auto turn = std::max<time_point>(this->next_slot(), now + least_wait);
    if (turn > this->turn_by) {
        this->log_no_server();
        return false;
    }
    this->core->counters.turn_waits.add(is_first ? 1 : 0);
    // Nothing else holds a request that is at no server.
    this->core->hooks.timer(turn, [self = this->shared_from_this()] {
        if (!self->ended) {
            self->send_next();
        }
    });
    return true;
}

auto relay::log_no_server() const -> void
{
    const auto open = this->open_servers();
    const auto now = this->core->hooks.clock();
    const auto cold =
        std::ranges::count_if(open, [now](const auto* server) { return server->is_cold(now); });
    const auto resting = std::ranges::count_if(open, [this, now](const auto* server) {
        return this->core->intake.backoff_until(*server) > now;
    });
    const auto limited = std::ranges::count_if(
        open, [this](const auto* server) { return this->core->intake.is_limited(*server); });
    common::log(
        common::log_part::place,
        common::log_level::info,
        "no server request=" + this->request.caller.attempt + " service=" + this->service.value() +
            " open=" + std::to_string(open.size()) + " cold=" + std::to_string(cold) +
            " limited=" + std::to_string(limited) + " resting=" + std::to_string(resting) +
            " tried=" + std::to_string(this->tried.size()) +
            " evacuated=" + std::to_string(this->core->evacuations.evacuated().size()));
}

auto relay::come_back_after() const -> std::chrono::milliseconds
{
    const auto& options = this->core->options;
    const auto now = this->core->hooks.clock();
    const auto open = this->open_servers();
    if (open.empty()) {
        return options.come_back_when_ready;
    }
    const auto known = this->books();
    auto next = common::never;
    for (const auto* server : open) {
        next = std::min(next, known.limiter->caller_retry_at(*server, known.cold_per_second, now));
    }
    if (next <= now) {
        return options.come_back_after;
    }
    const auto spread = common::random_unit(this->core->hooks.random) *
                        static_cast<double>(options.returns_spread.count());
    return milliseconds_between(now, next) +
           std::chrono::milliseconds{static_cast<std::int64_t>(spread)};
}

auto relay::allowed_by(
    const routing::version_rule& rule, std::vector<const routing::registration*> usable) const
    -> std::vector<const routing::registration*>
{
    const auto now = this->core->hooks.clock();
    routing::keep_allowed(usable, rule);
    if (rule.preferred && rule.spread < 1.0) {
        routing::keep_canaries(usable, rule.spread, [this, now](const auto& server) {
            return this->has_tried(server) || this->core->intake.is_restricted(server, now) ||
                   this->core->health.is_ejected(server.instance(), now);
        });
    }
    return usable;
}

auto relay::cold_per_second() const -> double
{
    const auto* known = this->request.rules->find_service(this->service);
    return known == nullptr ? 0.0 : known->cold_per_second;
}

auto relay::books() const -> routing::server_trackers
{
    return {
        this->core->loads,
        this->core->paces[this->service],
        this->core->health,
        &this->core->intake,
        this->cold_per_second()};
}

auto relay::choose_among(const std::vector<const routing::registration*>& allowed, time_point now)
    const -> const routing::registration*
{
    return routing::choose_server(
        allowed,
        this->placement_wish(),
        this->books(),
        this->core->options.choice,
        this->core->hooks.random(),
        now);
}

auto relay::larger_would_be_late() -> bool
{
    const auto now = this->core->hooks.clock();
    const auto used = this->model_at;
    this->use_model(routing::next_model(*this->request.route));
    const auto* server = this->choose_server();
    const auto ahead =
        server == nullptr ? 0.0 : this->core->loads.total(server->instance(), now).work;
    const auto first_event = this->core->paces[this->service].expected(ahead + this->work().prompt);
    this->use_model(used);
    return now + first_event > this->received + this->request.route->target;
}

} // namespace reedramp::router
